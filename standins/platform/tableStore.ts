/** In-memory table service with transactions and versions; the state behind the stand-in server and the tests. */
import type * as platform from "../../src/backing/index";

export interface TableStore {
    get(keys: readonly string[]): Array<platform.TableRow | undefined>;
    scan(prefix: string, after: string, limit: number): platform.TableRow[];
    /** Versions on success, `undefined` on a conflict. */
    transact(writes: readonly platform.TableWrite[]): number[] | undefined;
    /** Rows written since the start. */
    getRowsWritten(): number;
    size(): number;
}

export function createTableStore(): TableStore {
    const rows = new Map<string, platform.TableRow>();
    let sortedKeys: string[] | undefined;
    let lastVersion = 0;
    let rowsWritten = 0;

    const getSortedKeys = () => {
        sortedKeys ??= [...rows.keys()].sort();
        return sortedKeys;
    };

    const applyWrite = (write: platform.TableWrite) => {
        rowsWritten++;
        if (write.value === undefined) {
            rows.delete(write.key);
            sortedKeys = undefined;
            return 0;
        }
        lastVersion++;
        if (!rows.has(write.key)) {
            sortedKeys = undefined;
        }
        rows.set(write.key, { key: write.key, version: lastVersion, value: write.value });
        return lastVersion;
    };

    return {
        get: keys => keys.map(key => rows.get(key)),
        scan: (prefix, after, limit) => {
            const found: platform.TableRow[] = [];
            const keys = getSortedKeys();
            for (let index = findFirst(keys, after > prefix ? after : prefix); index < keys.length; index++) {
                const key = keys[index]!;
                if (!key.startsWith(prefix) || found.length >= limit) {
                    break;
                }
                if (key !== after) {
                    found.push(rows.get(key)!);
                }
            }
            return found;
        },
        transact: writes => {
            const matches = writes.every(write => (rows.get(write.key)?.version ?? 0) === write.expectedVersion);
            return matches ? writes.map(applyWrite) : undefined;
        },
        getRowsWritten: () => rowsWritten,
        size: () => rows.size,
    };
}

/** Index of the first key that is not below `bound`. */
function findFirst(keys: readonly string[], bound: string): number {
    let low = 0;
    let high = keys.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (keys[middle]! < bound) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/** In-memory table service with transactions and row versions, used by the stand-in server and by tests. */
import type * as platform from "../../src/backing/index";

export interface TableStore {
    get(keys: readonly string[]): Array<platform.TableRow | undefined>;
    /** Returns at most `limit` rows with the prefix and a key above `after`, ordered by key. */
    scan(prefix: string, after: string, limit: number): platform.TableRow[];
    /** Writes all rows if each has its expected version. Returns the new versions, or `undefined` on a conflict. */
    transact(writes: readonly platform.TableWrite[]): number[] | undefined;
    /** Returns the number of row writes so far. */
    getRowsWritten(): number;
    /** Returns the number of rows. */
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
            const page: platform.TableRow[] = [];
            const keys = getSortedKeys();
            for (let index = findLowerBound(keys, after > prefix ? after : prefix); index < keys.length; index++) {
                const key = keys[index]!;
                if (!key.startsWith(prefix) || page.length >= limit) {
                    break;
                }
                if (key !== after) {
                    page.push(rows.get(key)!);
                }
            }
            return page;
        },
        transact: writes => {
            const matches = writes.every(write => (rows.get(write.key)?.version ?? 0) === write.expectedVersion);
            return matches ? writes.map(applyWrite) : undefined;
        },
        getRowsWritten: () => rowsWritten,
        size: () => rows.size,
    };
}

/** Returns the index of the first key that is not below `bound`, by binary search. */
function findLowerBound(keys: readonly string[], bound: string): number {
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

/** A table service in memory for scenarios, with outages and lost answers. */
import type * as platform from "../backing/index";
import type * as random from "../random/index";

export interface FakeTable extends platform.TableService {
    setDown(down: boolean): void;
    setDropsResponses(loses: boolean): void;
    read(key: string): string | undefined;
}

const ANSWER_LOSS = 0.5;

export function createFakeTable(rng: random.Random): FakeTable {
    const rows = new Map<string, platform.TableRow>();
    let version = 0;
    let down = false;
    let losing = false;
    const unavailable = { kind: "unavailable" as const, message: "down" };
    return {
        setDown: isDown => {
            down = isDown;
        },
        setDropsResponses: loses => {
            losing = loses;
        },
        read: key => rows.get(key)?.value,
        get: async keys => down ? unavailable : { kind: "read", value: keys.map(key => rows.get(key)) },
        scan: async (prefix, after, limit) => {
            if (down) {
                return unavailable;
            }
            const keys = [...rows.keys()].filter(key => key.startsWith(prefix) && key > after).sort().slice(0, limit);
            return { kind: "read", value: keys.map(key => rows.get(key)!) };
        },
        transact: async writes => {
            if (down) {
                return unavailable;
            }
            const matches = writes.every(write => (rows.get(write.key)?.version ?? 0) === write.expectedVersion);
            const versions = matches
                ? writes.map(write => {
                    version++;
                    if (write.value === undefined) {
                        rows.delete(write.key);
                        return 0;
                    }
                    rows.set(write.key, { key: write.key, version, value: write.value });
                    return version;
                })
                : [];
            if (losing && rng.nextFloat() < ANSWER_LOSS) {
                return { kind: "unknown", message: "answer lost" };
            }
            return matches ? { kind: "committed", versions } : { kind: "conflict" };
        },
    };
}

/** An in-memory table service for scenarios, with outages and lost responses. */
import type * as platform from "../backing/index";
import type * as random from "../random/index";

/** A table service whose faults a scenario controls. */
export interface FakeTable extends platform.TableService {
    /** While down, every call returns `unavailable`. */
    setDown(down: boolean): void;
    /** While set, some transactions return `unknown`, whether they were committed or not. */
    setDropsResponses(loses: boolean): void;
    /** Reads a value directly, without faults. */
    read(key: string): string | undefined;
}

/** Probability that the response to a transaction is lost. */
const RESPONSE_LOSS_PROBABILITY = 0.5;

/** The random numbers choose which responses are lost. */
export function createFakeTable(rng: random.Random): FakeTable {
    const rows = new Map<string, platform.TableRow>();
    let version = 0;
    let down = false;
    let dropsResponses = false;
    const unavailable = { kind: "unavailable" as const, message: "down" };
    return {
        setDown: isDown => {
            down = isDown;
        },
        setDropsResponses: drops => {
            dropsResponses = drops;
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
            if (dropsResponses && rng.nextFloat() < RESPONSE_LOSS_PROBABILITY) {
                return { kind: "unknown", message: "response lost" };
            }
            return matches ? { kind: "committed", versions } : { kind: "conflict" };
        },
    };
}

/** The in-process stand-in for the platform, with faults. The HTTP server and the tests use it. */
import type * as platform from "../../src/backing/index";
import type * as clock from "../../src/clock/index";
import type * as random from "../../src/random/index";
import * as faults from "./faults";
import * as membershipStore from "./membershipStore";
import * as tableStore from "./tableStore";

export interface EmbeddedPlatform extends platform.Platform {
    readonly store: tableStore.TableStore;
    readonly members: membershipStore.MembershipStore;
    setFaults(changed: Partial<faults.PlatformFaults>): void;
    getFaults(): faults.PlatformFaults;
}

export interface EmbeddedPlatformOptions {
    readonly clock: clock.Clock;
    readonly rng: random.Random;
    /** Age of the membership list that readers get. */
    readonly lagMs: number;
    /** Time after which an entry that is not announced again is removed. */
    readonly expiryMs: number;
}

export function createEmbeddedPlatform(options: EmbeddedPlatformOptions): EmbeddedPlatform {
    const store = tableStore.createTableStore();
    const members = membershipStore.createMembershipStore(options.clock, options.lagMs, options.expiryMs);
    const objects = new Map<string, Uint8Array>();
    let activeFaults = faults.platformFaultsSchema.parse({});

    /** Executes a call; `undefined` while the platform is down. */
    const runCall = async <T>(execute: () => T): Promise<T | undefined> => {
        if (activeFaults.slowMs > 0) {
            await options.clock.sleep(activeFaults.slowMs);
        }
        return activeFaults.down ? undefined : execute();
    };
    const read = async <T>(execute: () => T): Promise<platform.ReadResult<T>> => {
        const value = await runCall(execute);
        return value === undefined ? { kind: "unavailable", message: "down" } : { kind: "read", value };
    };

    return {
        store,
        members,
        setFaults: changed => {
            activeFaults = faults.platformFaultsSchema.parse({ ...activeFaults, ...changed });
        },
        getFaults: () => activeFaults,
        table: {
            get: keys => read(() => store.get(keys)),
            scan: (prefix, after, limit) => read(() => store.scan(prefix, after, limit)),
            transact: async writes => {
                const outcome = await runCall(() => ({ versions: store.transact(writes) }));
                if (!outcome) {
                    return { kind: "unavailable", message: "down" };
                }
                if (activeFaults.loseAnswers > 0 && options.rng.nextFloat() < activeFaults.loseAnswers) {
                    return { kind: "unknown", message: "answer lost" };
                }
                return outcome.versions ? { kind: "committed", versions: outcome.versions } : { kind: "conflict" };
            },
        },
        objects: {
            put: async (key, body) => await runCall(() => !!objects.set(key, body)) ?? false,
            get: async key => {
                const found = await runCall(() => ({ body: objects.get(key) }));
                if (!found) {
                    return { kind: "unavailable" };
                }
                return found.body ? { kind: "found", body: found.body } : { kind: "absent" };
            },
        },
        membership: {
            list: () => runCall(() => members.getSnapshot()),
            announce: async entry => {
                await runCall(() => members.announce({ kind: "instance", ...entry }));
                return !activeFaults.down;
            },
        },
    };
}

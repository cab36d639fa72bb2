/** The stand-in platform as an object in the same process, with faults; the server and the tests share it. */
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
    readonly lagMs: number;
    readonly expiryMs: number;
}

export function createEmbeddedPlatform(options: EmbeddedPlatformOptions): EmbeddedPlatform {
    const store = tableStore.createTableStore();
    const members = membershipStore.createMembershipStore(options.clock, options.lagMs, options.expiryMs);
    const objects = new Map<string, Uint8Array>();
    let current = faults.platformFaultsSchema.parse({});

    const answer = async <T>(execute: () => T): Promise<T | undefined> => {
        if (current.slowMs > 0) {
            await options.clock.sleep(current.slowMs);
        }
        return current.down ? undefined : execute();
    };
    const read = async <T>(execute: () => T): Promise<platform.ReadResult<T>> => {
        const value = await answer(execute);
        return value === undefined ? { kind: "unavailable", message: "down" } : { kind: "read", value };
    };

    return {
        store,
        members,
        setFaults: changed => {
            current = faults.platformFaultsSchema.parse({ ...current, ...changed });
        },
        getFaults: () => current,
        table: {
            get: keys => read(() => store.get(keys)),
            scan: (prefix, after, limit) => read(() => store.scan(prefix, after, limit)),
            transact: async writes => {
                const answered = await answer(() => ({ versions: store.transact(writes) }));
                if (!answered) {
                    return { kind: "unavailable", message: "down" };
                }
                if (current.loseAnswers > 0 && options.rng.nextFloat() < current.loseAnswers) {
                    return { kind: "unknown", message: "answer lost" };
                }
                return answered.versions ? { kind: "committed", versions: answered.versions } : { kind: "conflict" };
            },
        },
        objects: {
            put: async (key, body) => await answer(() => !!objects.set(key, body)) ?? false,
            get: async key => {
                const found = await answer(() => ({ body: objects.get(key) }));
                if (!found) {
                    return { kind: "unavailable" };
                }
                return found.body ? { kind: "found", body: found.body } : { kind: "absent" };
            },
        },
        membership: {
            list: () => answer(() => members.getSnapshot()),
            announce: async entry => {
                await answer(() => members.announce({ kind: "instance", ...entry }));
                return !current.down;
            },
        },
    };
}

/** Takes up and gives up what this instance owns, as membership and configuration change. */
import * as async from "../async/index";
import type * as observe from "../observe/index";
import * as result from "../result/index";

export interface Holdings<T> {
    get(key: string): T | undefined;
    getAll(): readonly T[];
    /** Starts what is wanted and not held, and stops what is held and not wanted. */
    adjust(wanted: ReadonlySet<string>): void;
    /** Gives everything up and waits until it is given up. */
    close(): Promise<void>;
}

interface HoldingsOptions<T> {
    readonly log: observe.Log;
    readonly create: (key: string) => T;
    /** Runs what is held until the signal is aborted. */
    readonly own: (item: T, signal: AbortSignal) => Promise<void>;
}

interface Held<T> {
    readonly item: T;
    readonly controller: AbortController;
    readonly done: Promise<void>;
}

export function createHoldings<T>(options: HoldingsOptions<T>): Holdings<T> {
    const held = new Map<string, Held<T>>();
    const endings = new Map<string, Promise<void>>();

    const start = (key: string) => {
        const item = options.create(key);
        const controller = async.createAbortController();
        const done = options.own(item, controller.signal).catch(err => {
            options.log.error("holding failed", { key, cause: result.getErrorMessage(err) });
        });
        held.set(key, { item, controller, done });
    };

    const stop = (key: string, item: Held<T>) => {
        held.delete(key);
        item.controller.abort();
        // What is given up must have ended before it is taken again, or two loops of this instance fight for one lease.
        const ending = item.done.finally(() => endings.delete(key));
        endings.set(key, ending);
    };

    return {
        get: key => held.get(key)?.item,
        getAll: () => [...held.values()].map(item => item.item),
        adjust: wanted => {
            for (const [key, item] of [...held]) {
                if (!wanted.has(key)) {
                    stop(key, item);
                }
            }
            for (const key of wanted) {
                if (!held.has(key) && !endings.has(key)) {
                    start(key);
                }
            }
        },
        close: async () => {
            for (const [key, item] of [...held]) {
                stop(key, item);
            }
            await Promise.all(endings.values());
        },
    };
}

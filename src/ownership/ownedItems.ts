/** Starts and stops the items that this instance owns, as membership and configuration change. */
import * as async from "../async/index";
import type * as observe from "../observe/index";
import * as result from "../result/index";

/** Running items by key. */
export interface OwnedItems<T> {
    /** The running item; `undefined` when there is none under the key. */
    get(key: string): T | undefined;
    getAll(): readonly T[];
    /**
     * Stops items whose keys are not wanted and starts those that are wanted and not running. An item that is still
     * stopping is started by a later call.
     */
    reconcile(wanted: ReadonlySet<string>): void;
    /** Stops all items and waits until they have stopped. */
    close(): Promise<void>;
}

interface OwnedItemsOptions<T> {
    readonly log: observe.Log;
    /** Creates the item of a key. */
    readonly create: (key: string) => T;
    /** Runs an item until the signal is aborted. */
    readonly run: (item: T, signal: AbortSignal) => Promise<void>;
}

interface RunningItem<T> {
    readonly item: T;
    readonly controller: AbortController;
    readonly done: Promise<void>;
}

/** Creates an empty set of items. */
export function createOwnedItems<T>(options: OwnedItemsOptions<T>): OwnedItems<T> {
    const running = new Map<string, RunningItem<T>>();
    const stopping = new Map<string, Promise<void>>();

    const start = (key: string) => {
        const item = options.create(key);
        const controller = async.createAbortController();
        const done = options.run(item, controller.signal).catch(err => {
            options.log.error("holding failed", { key, cause: result.getErrorMessage(err) });
        });
        running.set(key, { item, controller, done });
    };

    const stop = (key: string, item: RunningItem<T>) => {
        running.delete(key);
        item.controller.abort();
        // An item must have stopped before it starts again. Otherwise two loops of this instance compete for one lease.
        const stopped = item.done.finally(() => stopping.delete(key));
        stopping.set(key, stopped);
    };

    return {
        get: key => running.get(key)?.item,
        getAll: () => [...running.values()].map(item => item.item),
        reconcile: wanted => {
            for (const [key, item] of [...running]) {
                if (!wanted.has(key)) {
                    stop(key, item);
                }
            }
            for (const key of wanted) {
                if (!running.has(key) && !stopping.has(key)) {
                    start(key);
                }
            }
        },
        close: async () => {
            for (const [key, item] of [...running]) {
                stop(key, item);
            }
            await Promise.all(stopping.values());
        },
    };
}

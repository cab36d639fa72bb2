/**
 * Lets one instance stand still: its timers do not fire and no answer reaches it, while everything else goes on. What
 * it had sent is carried out. It wakes up in the middle of whatever it was doing.
 */
import * as clock from "../clock/index";
import type * as leader from "../leader/index";
import type * as rows from "../rows/index";

export interface Freezer {
    readonly clock: clock.Clock;
    isFrozen(): boolean;
    wrapStore(store: rows.RowStore): rows.RowStore;
    wrapWorkers(workers: leader.WorkerPort): leader.WorkerPort;
    /** With `suspended` the monotonic clock does not count the pause, as on a machine that is suspended. */
    freeze(ms: number, suspended: boolean): void;
}

export function createFreezer(base: clock.Clock): Freezer {
    let frozen = false;
    let uncountedMs = 0;
    const held: Array<() => void> = [];

    const pass = async <T>(answer: Promise<T>): Promise<T> => {
        const value = await answer;
        if (frozen) {
            await new Promise<void>(resolve => held.push(resolve));
        }
        return value;
    };
    const setTimer: clock.Clock["setTimer"] = (ms, callback) => {
        let cancelled = false;
        const fire = () => {
            if (!cancelled) {
                callback();
            }
        };
        const cancel = base.setTimer(ms, () => {
            if (frozen) {
                held.push(fire);
                return;
            }
            fire();
        });
        return () => {
            cancelled = true;
            cancel();
        };
    };
    return {
        clock: {
            wallTime: () => base.wallTime(),
            now: () => base.now() - uncountedMs,
            setTimer,
            sleep: clock.createSleep(setTimer),
        },
        isFrozen: () => frozen,
        wrapStore: store => ({
            transact: (tx, timeoutMs) => pass(store.transact(tx, timeoutMs)),
            read: (range, timeoutMs) => pass(store.read(range, timeoutMs)),
            feed: (table, after, waitMs, timeoutMs) => pass(store.feed(table, after, waitMs, timeoutMs)),
        }),
        wrapWorkers: workers => ({
            start: (worker, order, timeoutMs) => pass(workers.start(worker, order, timeoutMs)),
            stop: (worker, order, timeoutMs) => pass(workers.stop(worker, order, timeoutMs)),
            pace: (worker, order, timeoutMs) => pass(workers.pace(worker, order, timeoutMs)),
            poll: (worker, order, timeoutMs) => pass(workers.poll(worker, order, timeoutMs)),
        }),
        freeze: (ms, suspended) => {
            if (frozen) {
                return;
            }
            frozen = true;
            base.setTimer(ms, () => {
                frozen = false;
                uncountedMs += suspended ? ms : 0;
                held.splice(0).forEach(release => release());
            });
        },
    };
}

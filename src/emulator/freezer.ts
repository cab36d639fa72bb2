/**
 * Pauses one instance as a stopped process: its timers do not fire and it receives no answers until it resumes, while
 * everything else goes on. Calls that it has already sent are carried out.
 */
import * as clock from "../clock/index";
import type * as leader from "../leader/index";
import type * as rows from "../rows/index";

/** Wraps the clock, store and workers of one instance, so that it can be paused. */
export interface Freezer {
    /** The instance's clock. */
    readonly clock: clock.Clock;
    isFrozen(): boolean;
    wrapStore(store: rows.RowStore): rows.RowStore;
    wrapWorkers(workers: leader.WorkerPort): leader.WorkerPort;
    /** Pauses for `ms`; with `suspended` the monotonic clock does not count the pause, as on a suspended machine. */
    freeze(ms: number, suspended: boolean): void;
}

/** Creates the freezer of one instance on the clock of the site. */
export function createFreezer(base: clock.Clock): Freezer {
    let frozen = false;
    let suspendedMs = 0;
    const deferred: Array<() => void> = [];

    const holdWhileFrozen = async <T>(answer: Promise<T>): Promise<T> => {
        const value = await answer;
        if (frozen) {
            await new Promise<void>(resolve => deferred.push(resolve));
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
                deferred.push(fire);
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
            now: () => base.now() - suspendedMs,
            setTimer,
            sleep: clock.createSleep(setTimer),
        },
        isFrozen: () => frozen,
        wrapStore: store => ({
            transact: (tx, timeoutMs) => holdWhileFrozen(store.transact(tx, timeoutMs)),
            read: (range, timeoutMs) => holdWhileFrozen(store.read(range, timeoutMs)),
            feed: (table, after, waitMs, timeoutMs) => holdWhileFrozen(store.feed(table, after, waitMs, timeoutMs)),
        }),
        wrapWorkers: workers => ({
            start: (worker, order, timeoutMs) => holdWhileFrozen(workers.start(worker, order, timeoutMs)),
            stop: (worker, order, timeoutMs) => holdWhileFrozen(workers.stop(worker, order, timeoutMs)),
            pace: (worker, order, timeoutMs) => holdWhileFrozen(workers.pace(worker, order, timeoutMs)),
            poll: (worker, order, timeoutMs) => holdWhileFrozen(workers.poll(worker, order, timeoutMs)),
        }),
        freeze: (ms, suspended) => {
            if (frozen) {
                return;
            }
            frozen = true;
            base.setTimer(ms, () => {
                frozen = false;
                suspendedMs += suspended ? ms : 0;
                deferred.splice(0).forEach(release => release());
            });
        },
    };
}

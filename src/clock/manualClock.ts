/** A clock for tests. */
import * as clock from "./clock";

/** A clock that stands still until a test advances it. */
export interface ManualClock extends clock.Clock {
    /** Advances time by `ms`, firing due timers in order and running promise callbacks between them. */
    advance(ms: number): Promise<void>;
}

interface ManualTimer {
    readonly dueAt: number;
    readonly order: number;
    readonly callback: () => void;
}

/** Wall-clock time starts at `startAt` (milliseconds since the Unix epoch), monotonic time at 0. */
export function createManualClock(startAt = 0): ManualClock {
    const timers = new Set<ManualTimer>();
    let currentMs = 0;
    let nextOrder = 0;

    const setTimer: clock.Clock["setTimer"] = (ms, callback) => {
        const timer: ManualTimer = { dueAt: currentMs + Math.max(0, ms), order: nextOrder++, callback };
        timers.add(timer);
        return () => {
            timers.delete(timer);
        };
    };

    const getNextDue = (until: number): ManualTimer | undefined => {
        let next: ManualTimer | undefined;
        for (const timer of timers) {
            if (timer.dueAt > until) {
                continue;
            }
            if (!next || timer.dueAt < next.dueAt || (timer.dueAt === next.dueAt && timer.order < next.order)) {
                next = timer;
            }
        }
        return next;
    };

    return {
        wallTime: () => startAt + currentMs,
        now: () => currentMs,
        setTimer,
        sleep: clock.createSleep(setTimer),
        advance: async ms => {
            const until = currentMs + ms;
            await drainMicrotasks();
            for (let timer = getNextDue(until); timer; timer = getNextDue(until)) {
                timers.delete(timer);
                currentMs = Math.max(currentMs, timer.dueAt);
                timer.callback();
                await drainMicrotasks();
            }
            currentMs = until;
        },
    };
}

/** Runs all promise callbacks that are ready: an immediate fires only after the microtask queue is empty. */
function drainMicrotasks(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

import * as clock from "./clock";

/** A clock that stands still until a test advances it. */
export interface ManualClock extends clock.Clock {
    /** Moves time forward, firing due timers in order and letting promise callbacks run between them. */
    advance(ms: number): Promise<void>;
}

interface ManualTimer {
    readonly dueAt: number;
    readonly order: number;
    readonly callback: () => void;
}

/** Wall time starts at `startAt` (milliseconds since the epoch), monotonic time at 0. */
export function createManualClock(startAt = 0): ManualClock {
    const timers = new Set<ManualTimer>();
    let current = 0;
    let nextOrder = 0;

    const setTimer: clock.Clock["setTimer"] = (ms, callback) => {
        const timer: ManualTimer = { dueAt: current + Math.max(0, ms), order: nextOrder++, callback };
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
        wallTime: () => startAt + current,
        now: () => current,
        setTimer,
        sleep: clock.createSleep(setTimer),
        advance: async ms => {
            const until = current + ms;
            await drainMicrotasks();
            for (let timer = getNextDue(until); timer; timer = getNextDue(until)) {
                timers.delete(timer);
                current = Math.max(current, timer.dueAt);
                timer.callback();
                await drainMicrotasks();
            }
            current = until;
        },
    };
}

/** Lets all promise callbacks that are ready run; an immediate fires only after the microtask queue is empty. */
function drainMicrotasks(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

/**
 * The system clock with timers that can all be cancelled; otherwise timers of long tasks would keep the process alive.
 */
import * as clock from "../src/clock/index";

export interface StoppableClock extends clock.Clock {
    /** Cancels all timers; pending sleeps never resolve. */
    stop(): void;
}

export function createStoppableClock(): StoppableClock {
    const system = clock.createSystemClock();
    const cancelCallbacks = new Set<clock.CancelTimer>();
    const setTimer: clock.Clock["setTimer"] = (ms, callback) => {
        const cancel = system.setTimer(ms, () => {
            cancelCallbacks.delete(cancel);
            callback();
        });
        cancelCallbacks.add(cancel);
        return () => {
            cancelCallbacks.delete(cancel);
            cancel();
        };
    };
    return {
        ...system,
        setTimer,
        sleep: clock.createSleep(setTimer),
        stop: () => cancelCallbacks.forEach(cancel => cancel()),
    };
}

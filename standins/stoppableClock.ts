/** The system's clock with timers that can all be ended: those of long tasks would keep a process alive for nothing. */
import * as clock from "../src/clock/index";

export interface StoppableClock extends clock.Clock {
    /** Ends all timers; sleeps then never end. */
    stop(): void;
}

export function createStoppableClock(): StoppableClock {
    const system = clock.createSystemClock();
    const cancels = new Set<clock.CancelTimer>();
    const setTimer: clock.Clock["setTimer"] = (ms, callback) => {
        const cancel = system.setTimer(ms, () => {
            cancels.delete(cancel);
            callback();
        });
        cancels.add(cancel);
        return () => {
            cancels.delete(cancel);
            cancel();
        };
    };
    return {
        ...system,
        setTimer,
        sleep: clock.createSleep(setTimer),
        stop: () => cancels.forEach(cancel => cancel()),
    };
}

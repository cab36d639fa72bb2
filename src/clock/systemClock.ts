/** The clock of production. */
import * as perfHooks from "node:perf_hooks";
import * as clock from "./clock";

/** The clock of the operating system. Its timers keep the process alive. */
export function createSystemClock(): clock.Clock {
    const setTimer: clock.Clock["setTimer"] = (ms, callback) => {
        const timer = setTimeout(callback, ms);
        return () => clearTimeout(timer);
    };
    return {
        wallTime: () => Date.now(),
        now: () => perfHooks.performance.now(),
        setTimer,
        sleep: clock.createSleep(setTimer),
    };
}

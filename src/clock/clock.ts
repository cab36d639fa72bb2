/**
 * The clock that every module takes as a parameter, so that tests can control time.
 * All times and durations are in milliseconds.
 */

/** Cancels a timer. Has no effect if the timer has fired or was cancelled before. */
export type CancelTimer = () => void;

/** Source of time and timers. */
export interface Clock {
    /** Wall-clock time, in milliseconds since the Unix epoch. May jump; use it only for times that leave the process. */
    wallTime(): number;
    /** Monotonic time in milliseconds, which also advances while the process is paused. Used to measure leases. */
    now(): number;
    /** Calls `callback` once after `ms`. */
    setTimer(ms: number, callback: () => void): CancelTimer;
    /** Resolves after `ms`, or as soon as the signal is aborted. Never rejects. */
    sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Implements `Clock.sleep` by `setTimer`. */
export function createSleep(setTimer: Clock["setTimer"]): Clock["sleep"] {
    return (ms, signal) =>
        new Promise<void>(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = () => {
                cancel();
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const cancel = setTimer(ms, finish);
            signal?.addEventListener("abort", finish, { once: true });
        });
}

/**
 * The clock that every module takes as a parameter, so that tests can drive time by hand.
 * All times and durations are in milliseconds.
 */

/** Cancels a timer. Calling it again, or after the timer fired, does nothing. */
export type CancelTimer = () => void;

export interface Clock {
    /** Wall-clock time, in milliseconds since the Unix epoch. May step; use it only for times that leave the process. */
    wallTime(): number;
    /** Milliseconds on a monotonic clock that also advances while the process is paused. Leases are measured with it. */
    now(): number;
    /** Calls back once after `ms`. */
    setTimer(ms: number, callback: () => void): CancelTimer;
    /** Resolves after `ms`, or as soon as the signal is aborted. Never rejects. */
    sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Builds `sleep` from `setTimer`, for every clock alike. */
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

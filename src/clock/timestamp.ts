import type * as clock from "./clock";

/** One moment on both clocks. */
export interface Timestamp {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

export function getTimestamp(time: Pick<clock.Clock, "now" | "wallTime">): Timestamp {
    return { monotonicMs: time.now(), wallMs: time.wallTime() };
}

/**
 * Milliseconds since the moment, by the clock that lost most time. A machine that was suspended wakes up with a
 * monotonic clock that did not count the pause, and would take for recent what is seconds old; a time of day that was
 * set back says too little as well.
 */
export function getElapsedMs(time: Pick<clock.Clock, "now" | "wallTime">, since: Timestamp): number {
    const now = getTimestamp(time);
    return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}

export function addMs(moment: Timestamp, ms: number): Timestamp {
    return { monotonicMs: moment.monotonicMs + ms, wallMs: moment.wallMs + ms };
}

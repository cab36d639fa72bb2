import type * as clock from "./clock";

/** One moment on both clocks. */
export interface Moment {
    readonly monotonic: number;
    readonly wall: number;
}

export function readMoment(time: Pick<clock.Clock, "now" | "wallTime">): Moment {
    return { monotonic: time.now(), wall: time.wallTime() };
}

/**
 * Milliseconds since the moment, by the clock that lost most time. A machine that was suspended wakes up with a
 * monotonic clock that did not count the pause, and would take for recent what is seconds old; a time of day that was
 * set back says too little as well.
 */
export function getElapsedMs(time: Pick<clock.Clock, "now" | "wallTime">, since: Moment): number {
    const now = readMoment(time);
    return Math.max(now.monotonic - since.monotonic, now.wall - since.wall);
}

export function addMs(moment: Moment, ms: number): Moment {
    return { monotonic: moment.monotonic + ms, wall: moment.wall + ms };
}

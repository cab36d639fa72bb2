/** Timestamps that survive a suspended machine and a changed time of day. */
import type * as clock from "./clock";

/** A point in time on both clocks, in milliseconds. */
export interface Timestamp {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** The current time on both clocks. */
export function getTimestamp(time: Pick<clock.Clock, "now" | "wallTime">): Timestamp {
    return { monotonicMs: time.now(), wallMs: time.wallTime() };
}

/**
 * Milliseconds since a timestamp, by the clock that advanced more. The monotonic clock may not advance while the machine
 * is suspended, so that old data would be taken for recent; the wall clock counts too little if it is set back.
 */
export function getElapsedMs(time: Pick<clock.Clock, "now" | "wallTime">, since: Timestamp): number {
    const now = getTimestamp(time);
    return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}

/** The timestamp `ms` later on both clocks. */
export function addMs(timestamp: Timestamp, ms: number): Timestamp {
    return { monotonicMs: timestamp.monotonicMs + ms, wallMs: timestamp.wallMs + ms };
}

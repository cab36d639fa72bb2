/** When work on a worker is certain to be over, because every lease that it can have has run out. */

/** A worker's clock may be 2% slow, so a lease may last that much longer on ours. */
const MAX_LEASE_STRETCH = 1.03;
/** The part of a time that such a clock does not show. */
const MAX_CLOCK_SLOWNESS = 0.02;
/** The way there of the last look that prolonged it. */
const MAX_TRANSIT_MS = 300;

/** `grantedAt`: our time of the last grant that anyone can have made. */
export function getExpiresAt(grantedAt: number, maxLeaseMs: number): number {
    return grantedAt + maxLeaseMs * MAX_LEASE_STRETCH + MAX_TRANSIT_MS;
}

/** What a worker's clock showed, and our time at which we read it. */
export interface ClockReading {
    readonly value: number;
    readonly readAt: number;
}

/**
 * What the worker's clock shows at least by now.
 *
 * What goes wrong when it is taken to run like ours: of an hour of idle time a slow clock shows 72 s less, so a lease
 * granted after it lasts as much longer than we count on, and a start that is carried out late runs beside its successor.
 */
export function getMinClock(reading: ClockReading, now: number): number {
    return reading.value + (now - reading.readAt) * (1 - MAX_CLOCK_SLOWNESS);
}

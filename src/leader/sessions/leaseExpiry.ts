/** Computes when every lease that a worker can hold has expired, so that nothing runs there any more. */

/** A worker's clock may be 2% slow, so a lease may last that much longer by the leader's clock. */
const MAX_LEASE_STRETCH = 1.03;
/** Share of the elapsed time that the slowest clock does not show. */
const MAX_CLOCK_SLOWNESS = 0.02;
/** Upper bound of the transit time of the last poll that renewed the lease. */
const MAX_TRANSIT_MS = 300;

/**
 * Returns the time, on the leader's clock, by which a lease of at most `maxLeaseMs` has expired; `grantedAt` is the
 * latest time at which any leader can have granted or renewed it.
 */
export function getExpiresAt(grantedAt: number, maxLeaseMs: number): number {
    return grantedAt + maxLeaseMs * MAX_LEASE_STRETCH + MAX_TRANSIT_MS;
}

/** Returns the time, on the leader's clock, from which a start sent at `sentAt` with that validity is refused. */
export function getStartExpiresAt(sentAt: number, validMs: number): number {
    return sentAt + validMs * MAX_LEASE_STRETCH;
}

/** A reading of a worker's clock, and the leader's time at which it was read, in milliseconds. */
export interface ClockReading {
    readonly value: number;
    readonly readAt: number;
}

/**
 * Returns a lower bound of what the worker's clock shows at `now`.
 *
 * Over an idle hour a clock that is 2% slow falls behind by 72 s. If it were assumed to be exact, a lease granted after
 * that would last as much longer than expected, and a delayed start could run beside its successor.
 */
export function getMinClock(reading: ClockReading, now: number): number {
    return reading.value + (now - reading.readAt) * (1 - MAX_CLOCK_SLOWNESS);
}

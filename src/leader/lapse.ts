/** When work on a worker is certain to be over, because every lease that it can have has run out. */

/** A worker's clock may be 2% slow, so a lease may last that much longer on ours. */
const CLOCK_STRETCH = 1.03;
/** The way there of the last look that prolonged it. */
const WAY_MS = 300;

/** `grantedAt`: our time of the last grant that anyone can have made. */
export function getLapsedAt(grantedAt: number, maxLeaseMs: number): number {
    return grantedAt + maxLeaseMs * CLOCK_STRETCH + WAY_MS;
}

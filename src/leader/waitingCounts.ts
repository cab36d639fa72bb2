/**
 * Counts of waiting jobs, as far as they have room in the lease's row.
 *
 * What goes wrong without a bound: the row grows with the queues that have waiting jobs, and the store refuses one that
 * is too long. A count takes some 14 bytes, so with 3,500 such queues the leader could not renew its lease any more,
 * and neither could any successor. One notices terms that end a second after they began while the store answers.
 */

export interface WaitingCounts {
    readonly counts: Readonly<Record<string, number>>;
    /** Whether a queue that is not among them has no waiting job. */
    readonly complete: boolean;
}

/**
 * A quarter of the shortest row that a store takes today (65,536 bytes, in base64): room for 1,170 queues beside all
 * else that the row holds, and 44 kB a second to each instance, which reads it twice a second.
 */
export const MAX_COUNTS_BYTES = 16_384;
/** Two quotes, a colon and a comma. */
const PUNCTUATION_BYTES = 4;

/** Leaves out the queues with the fewest waiting jobs where there is no room for all. */
export function truncateCounts(counts: Readonly<Record<string, number>>, mostBytes = MAX_COUNTS_BYTES): WaitingCounts {
    const entries = Object.entries(counts);
    const byCount = [...entries].sort(([, a], [, b]) => b - a);
    let bytes = 0;
    const fitting = byCount.filter(([queue, count]) => {
        bytes += Buffer.byteLength(queue) + String(count).length + PUNCTUATION_BYTES;
        return bytes <= mostBytes;
    });
    return fitting.length === entries.length
        ? { counts, complete: true }
        : { counts: Object.fromEntries(fitting), complete: false };
}

/**
 * Counts of waiting jobs by queue, bounded to fit into the row of the lease.
 *
 * The row grows with the number of queues that have waiting jobs, and the store refuses rows that are too long. A count
 * takes some 14 bytes, so with 3,500 such queues neither the leader nor a successor could renew the lease: terms would
 * end a second after they began, while the store answers.
 */

/** Numbers of waiting jobs by queue, possibly truncated. */
export interface WaitingCounts {
    readonly counts: Readonly<Record<string, number>>;
    /** Whether all queues with waiting jobs are included. */
    readonly complete: boolean;
}

/**
 * A quarter of the smallest row limit of a store (65,536 bytes, in base64): fits 1,170 queues beside the row's other
 * fields, and costs 44 kB/s for each instance, which reads the row twice a second.
 */
export const MAX_COUNTS_BYTES = 16_384;
/** JSON syntax of an entry: two quotes, a colon and a comma. */
const PUNCTUATION_BYTES = 4;

/** Omits the queues with the fewest waiting jobs if the counts of all do not fit. */
export function truncateCounts(counts: Readonly<Record<string, number>>, maxBytes = MAX_COUNTS_BYTES): WaitingCounts {
    const entries = Object.entries(counts);
    const byCount = [...entries].sort(([, a], [, b]) => b - a);
    let bytes = 0;
    const fitting = byCount.filter(([queue, count]) => {
        bytes += Buffer.byteLength(queue) + String(count).length + PUNCTUATION_BYTES;
        return bytes <= maxBytes;
    });
    return fitting.length === entries.length
        ? { counts, complete: true }
        : { counts: Object.fromEntries(fitting), complete: false };
}

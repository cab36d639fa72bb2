/** Tables, parts and row keys of jobs in the store. */

/** Names of tables. */
export const Table = {
    /** Submissions, keyed by job id, and cancellations; written by the instance that received the call. */
    Jobs: "jobs",
    /** Progress of jobs and occurrences; written only by the leader. */
    Progress: "progress",
    /** The leader's lease and fencing token. */
    LeaderLease: "lead",
    /** What the leader has measured, one row for each kind; written only by the leader. */
    Learned: "learned",
} as const;

/** Submissions are spread over several parts, since the store serializes the transactions of a part. */
const INTAKE_PART_COUNT = 16;
/** Parts of submissions; separate from the leader's, so that a burst of submissions does not delay its writes. */
export const INTAKE_PARTS: readonly string[] = Array.from(
    { length: INTAKE_PART_COUNT },
    (_, index) => `intake-${index.toString(INTAKE_PART_COUNT)}`,
);
/** Part of all rows that the leader writes: each write is one transaction with the row of the fencing token. */
export const LEADER_PART = "leader";

/**
 * The part of a job's submission and cancellation. The hash covers the whole id, since callers choose their ids.
 *
 * With a single part, a store that is 98 times slower than usual completes two transactions per second, so the
 * submissions of a large site queue up and are refused with "too many calls on this part" though the store responds.
 */
export function getIntakePart(jobId: string): string {
    let hash = FNV_OFFSET;
    for (let index = 0; index < jobId.length; index++) {
        hash = Math.imul(hash ^ jobId.charCodeAt(index), FNV_PRIME);
    }
    // The last characters have affected only some of the bits.
    hash = Math.imul(hash ^ (hash >>> HALF_BITS), MIX_FACTOR);
    return INTAKE_PARTS[(hash >>> HALF_BITS) % INTAKE_PART_COUNT]!;
}

/** Offset basis and prime of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Factor of the finalizer of MurmurHash3. */
const MIX_FACTOR = 0x85ebca6b;
const HALF_BITS = 16;

const CANCEL_SUFFIX = "!";

/** Row key of a job's cancellation. */
export function getCancelKey(jobId: string): string {
    return `${jobId}${CANCEL_SUFFIX}`;
}

/** Id of the job that a cancellation row refers to; `undefined` for the row of a submission. */
export function getCancelledJobId(key: string): string | undefined {
    return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : undefined;
}

/** Row key of an occurrence's progress. */
export function getOccurrenceKey(jobId: string, occurrence: number): string {
    return `${jobId}.${occurrence}`;
}

/** Inverse of `getOccurrenceKey`; `undefined` for the row key of a job. */
export function parseOccurrenceKey(key: string): { jobId: string; occurrence: number; } | undefined {
    const separator = key.indexOf(".");
    return separator < 0
        ? undefined
        : { jobId: key.slice(0, separator), occurrence: Number(key.slice(separator + 1)) };
}

/** Name of a task, used in logs and towards the worker. */
export function getTaskName(jobId: string, occurrence: number, step: number, index: number): string {
    return `${jobId}.${occurrence}.${step}.${index}`;
}

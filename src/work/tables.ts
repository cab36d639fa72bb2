/** Where jobs lie in the store. */

export const Table = {
    /** Submissions under the job's id, and cancellations; written by whichever instance took the call. */
    Jobs: "jobs",
    /** Progress of jobs and occurrences; written by the leader alone. */
    Progress: "progress",
    /** The leader's lease and fencing token. */
    LeaderLease: "lead",
} as const;

/** Submissions lie in so many parts, since a part takes one transaction after another. */
const INTAKE_PART_COUNT = 16;
/** Parts of the submissions: apart from the leader's writes, so that a burst of them does not hold up the leader. */
export const INTAKE_PARTS: readonly string[] = Array.from(
    { length: INTAKE_PART_COUNT },
    (_, number) => `intake-${number.toString(INTAKE_PART_COUNT)}`,
);
/** Part of all that the leader writes, since one transaction guards a write by the row of the fencing token. */
export const LEADER_PART = "leader";

/**
 * The part of a job's submission and cancellation. Callers choose their ids, so all of an id counts.
 *
 * What goes wrong with one part for all: a store that is 98 times slower takes two transactions a second in it, and the
 * submissions of a large site queue up until they are turned away. One notices refusals for "too many calls on this
 * part" from a store that answers.
 */
export function getIntakePart(jobId: string): string {
    let hash = FNV_OFFSET;
    for (let index = 0; index < jobId.length; index++) {
        hash = Math.imul(hash ^ jobId.charCodeAt(index), FNV_PRIME);
    }
    // The last characters have reached only some of the bits.
    hash = Math.imul(hash ^ (hash >>> HALF), MIX_FACTOR);
    return INTAKE_PARTS[(hash >>> HALF) % INTAKE_PART_COUNT]!;
}

/** Of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Of the last step of MurmurHash3. */
const MIX_FACTOR = 0x85ebca6b;
const HALF = 16;

const CANCEL_SUFFIX = "!";

export function getCancelKey(jobId: string): string {
    return `${jobId}${CANCEL_SUFFIX}`;
}

/** The job that a cancellation row is about; `undefined` for a submission's row. */
export function getCancelledJobId(key: string): string | undefined {
    return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : undefined;
}

export function getOccurrenceKey(jobId: string, occurrence: number): string {
    return `${jobId}.${occurrence}`;
}

export function parseOccurrenceKey(key: string): { jobId: string; occurrence: number; } | undefined {
    const separator = key.indexOf(".");
    return separator < 0
        ? undefined
        : { jobId: key.slice(0, separator), occurrence: Number(key.slice(separator + 1)) };
}

/** Name of a task, the same in all logs and for the worker. */
export function getTaskName(jobId: string, occurrence: number, step: number, index: number): string {
    return `${jobId}.${occurrence}.${step}.${index}`;
}

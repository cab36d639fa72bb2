/** Where jobs lie in the store. */

export const Table = {
    /** Submissions under the job's id, and cancellations; written by whichever instance took the call. */
    Jobs: "jobs",
    /** Progress of jobs and occurrences; written by the leader alone. */
    Progress: "progress",
    /** The leader's lease and fencing token. */
    Lead: "lead",
} as const;

/** Part of the submissions: apart from the leader's writes, so that a burst of them does not hold up the leader. */
export const INTAKE_PART = "intake";
/** Part of all that the leader writes, since one transaction guards a write by the row of the fencing token. */
export const LEADER_PART = "leader";

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

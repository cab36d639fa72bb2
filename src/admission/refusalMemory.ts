/** Remembers recent jobs of one instance, bounded in number and time. */

export interface RefusalMemory {
    /** Records a refusal of the job. Returns the time since the first one that is remembered; 0 if this is the first. */
    recordRefusal(jobId: string, now: number): number;
    /** The outcome of a write of the job is unknown. */
    recordUndecided(jobId: string, now: number): void;
    /** Whether a write of the job may still be carried out, so that a refusal could be untrue. */
    mayBeWritten(jobId: string, now: number): boolean;
}

/** Some 100 bytes each: 0.2 MB. At 30 refusals a second it covers half a minute. */
const MAX_JOBS = 1_000;
/** Longer than any Retry-After, and than a write may be carried out late. */
const RETENTION_MS = 60_000;

/** Creates an empty memory. */
export function createRefusalMemory(): RefusalMemory {
    const refusedAt = new Map<string, number>();
    const undecidedAt = new Map<string, number>();
    const find = (times: Map<string, number>, jobId: string, now: number) => {
        const at = times.get(jobId);
        return at !== undefined && now - at <= RETENTION_MS ? at : undefined;
    };
    const add = (times: Map<string, number>, jobId: string, now: number) => {
        times.delete(jobId);
        times.set(jobId, now);
        if (times.size > MAX_JOBS) {
            const [oldest] = times.keys();
            times.delete(oldest!);
        }
    };
    return {
        recordRefusal: (jobId, now) => {
            const firstAt = find(refusedAt, jobId, now);
            if (firstAt === undefined) {
                add(refusedAt, jobId, now);
            }
            return now - (firstAt ?? now);
        },
        recordUndecided: (jobId, now) => add(undecidedAt, jobId, now),
        mayBeWritten: (jobId, now) => find(undecidedAt, jobId, now) !== undefined,
    };
}

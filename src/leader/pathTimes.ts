/** Critical paths of jobs, from the expected durations of their steps. */
import * as work from "../work/index";
import type * as entries from "./entries";

/** Estimates the run time of a task of the step in milliseconds, from what was learned about its queue. */
export type RunTimeEstimator = (step: entries.StepEntry) => number;

/** Expected durations along the longest chains of dependent steps, in milliseconds. */
export interface PathTimes {
    /** From the step's start to the end of its occurrence. */
    getRemainingMs(step: entries.StepEntry): number;
    /** From the start of an occurrence of the job to its end; 0 while the job has no occurrence. */
    getCriticalPathMs(job: entries.JobEntry): number;
}

/** Expected durations of one job. */
interface JobPaths {
    /** By the number of a step, from its start to the end of the occurrence. */
    readonly remainingMs: readonly number[];
    readonly criticalPathMs: number;
}

/** Creates path times that hold while the estimates do not change. Those of a job are computed once, on demand. */
export function createPathTimes(estimateRunMs: RunTimeEstimator): PathTimes {
    const pathsByJob = new Map<entries.JobEntry, JobPaths>();
    /** All occurrences of a job have the same steps, and so the same paths. */
    const getPaths = ({ job, steps }: entries.OccurrenceEntry) => {
        let paths = pathsByJob.get(job);
        if (!paths) {
            const runsMs = steps.map(estimateRunMs);
            const remainingMs = steps.length > 1 ? work.getLongestChains(job.submission.spec.steps, runsMs) : runsMs;
            paths = { remainingMs, criticalPathMs: Math.max(...remainingMs) };
            pathsByJob.set(job, paths);
        }
        return paths;
    };
    return {
        getRemainingMs: step => getPaths(step.occurrence).remainingMs[step.number]!,
        getCriticalPathMs: job => {
            const [occurrence] = job.occurrences.values();
            return occurrence ? getPaths(occurrence).criticalPathMs : 0;
        },
    };
}

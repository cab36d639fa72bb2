/** Weights of jobs, as the users count them: a fixed part, and a part in proportion to the job's work within its class. */
import type * as generate from "./generate";

/** A late job earns something until this multiple of its objective. */
export const LATE_MULTIPLE = 3;
const BASE_WEIGHT = 0.3;
const MAX_WEIGHT = 4;

/** Returns the weight of a job among all jobs of a load. */
export function createWeights(jobs: readonly generate.PlannedJob[]): (planned: generate.PlannedJob) => number {
    const totals = new Map<string, { sum: number; count: number; }>();
    for (const { class: jobClass, coreSeconds } of jobs) {
        const total = totals.get(jobClass.name) ?? { sum: 0, count: 0 };
        total.sum += coreSeconds;
        total.count++;
        totals.set(jobClass.name, total);
    }
    return ({ class: jobClass, coreSeconds }) => {
        const { sum, count } = totals.get(jobClass.name)!;
        return Math.min(MAX_WEIGHT, BASE_WEIGHT + (1 - BASE_WEIGHT) * coreSeconds * count / sum);
    };
}

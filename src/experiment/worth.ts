/** What a job is worth, as the users count: a part by itself, the rest by its work beside that of its class. */
import type * as generate from "./generate";

/** A late job earns up to this multiple of its objective. */
export const LATE_MULTIPLE = 3;
const BASE_WORTH = 0.3;
const MOST_WORK = 4;

/** Weights of jobs among all of a load. */
export function createWeights(all: readonly generate.PlannedJob[]): (planned: generate.PlannedJob) => number {
    const sums = new Map<string, { sum: number; count: number; }>();
    for (const { class: item, coreSeconds } of all) {
        const entry = sums.get(item.name) ?? { sum: 0, count: 0 };
        entry.sum += coreSeconds;
        entry.count++;
        sums.set(item.name, entry);
    }
    return ({ class: item, coreSeconds }) => {
        const { sum, count } = sums.get(item.name)!;
        return Math.min(MOST_WORK, BASE_WORTH + (1 - BASE_WORTH) * coreSeconds * count / sum);
    };
}

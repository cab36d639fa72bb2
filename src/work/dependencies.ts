/** Dependencies between the steps of a job. Each function visits a step and a dependency once. */
import type * as spec from "./spec";

/** The steps of a job as a graph. Arrays are indexed by the number of a step. */
export interface StepGraph {
    /** Number of distinct earlier steps that the step waits for. */
    readonly predecessorCounts: readonly number[];
    /** Numbers of the steps that wait for the step, in ascending order. */
    readonly successors: ReadonlyArray<readonly number[]>;
}

/** Builds the graph. A dependency that is listed twice counts once; one that names no earlier step is ignored. */
export function createStepGraph(steps: ReadonlyArray<Pick<spec.StepSpec, "after">>): StepGraph {
    const predecessorCounts: number[] = [];
    const successors = steps.map((): number[] => []);
    steps.forEach(({ after }, number) => {
        const predecessors = new Set(after.filter(earlier => isEarlierStep(earlier, number)));
        predecessorCounts.push(predecessors.size);
        predecessors.forEach(earlier => successors[earlier]!.push(number));
    });
    return { predecessorCounts, successors };
}

/**
 * Returns for each step the length of the longest chain of dependent steps that begins with it, in the unit of
 * `durations`, which has one value for each step.
 */
export function getLongestChains(
    steps: ReadonlyArray<Pick<spec.StepSpec, "after">>,
    durations: readonly number[],
): number[] {
    const longestAfter = new Array<number>(steps.length).fill(0);
    const chains = new Array<number>(steps.length).fill(0);
    // Steps depend only on earlier ones, so all successors of a step are complete before it is reached.
    for (let number = steps.length - 1; number >= 0; number--) {
        const chain = durations[number]! + longestAfter[number]!;
        chains[number] = chain;
        for (const earlier of steps[number]!.after) {
            if (isEarlierStep(earlier, number) && chain > longestAfter[earlier]!) {
                longestAfter[earlier] = chain;
            }
        }
    }
    return chains;
}

function isEarlierStep(earlier: number, number: number): boolean {
    return Number.isInteger(earlier) && earlier >= 0 && earlier < number;
}

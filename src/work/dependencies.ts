/** Dependencies between the steps of a job. */
import type * as spec from "./spec";

/**
 * Returns for each step the length of the longest chain of dependent steps that begins with it, in the unit of
 * `durations`, which has one value for each step. Visits each dependency once.
 */
export function getLongestChains(
    steps: ReadonlyArray<Pick<spec.StepSpec, "after">>,
    durations: readonly number[],
): number[] {
    const longestAfter = new Array<number>(steps.length).fill(0);
    const chains = new Array<number>(steps.length).fill(0);
    // Steps depend only on earlier ones, so all that depend on a step are complete before it is reached.
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

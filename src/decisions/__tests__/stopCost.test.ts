import * as stopCost from "../stopCost";
import * as types from "../types";

/** Work of 8 s, 4 s of it done, in a job that is 4 s old and has an objective of 24 s. */
const HALF_DONE: stopCost.StopCostInput = {
    lossCoreSeconds: 40,
    urgency: { tier: types.PreemptionTier.None, priority: 1, ageMs: 4_000, objectiveMs: 24_000, remainingMs: 8_000 },
    elapsedMs: 4_000,
    unsavedMs: 4_000,
    preemptions: 0,
};

function withAge(ageMs: number, fields: Partial<stopCost.StopCostInput> = {}): stopCost.StopCostInput {
    return { ...HALF_DONE, ...fields, urgency: { ...HALF_DONE.urgency, ageMs } };
}

describe("the cost of a stop", () => {
    const cases: ReadonlyArray<readonly [name: string, input: stopCost.StopCostInput, cost: number]> = [
        ["is the thrown-away work for a job with slack", HALF_DONE, 40],
        ["includes a penalty for a job that becomes late", withAge(19_000), 1_040],
        ["has no penalty for work with a checkpoint that is still in time", withAge(17_000, { unsavedMs: 0 }), 40],
        ["has no penalty for a job that is late either way", withAge(30_000), 40],
        ["includes a penalty for a late job that loses its remaining credit", withAge(66_000), 1_040],
        ["grows with earlier preemptions", { ...HALF_DONE, preemptions: 2 }, 320],
    ];
    test.each(cases)("%s", (_name, input, cost) => {
        expect(stopCost.getStopCost(input)).toBe(cost);
    });
});

import * as stopCost from "../stopCost";
import * as types from "../types";

/** Work of 8 s, 4 s of it done, in a job that may take 24 s and is 4 s old. */
const HALF_DONE: stopCost.StopCostInput = {
    lossCoreSeconds: 40,
    urgency: { tier: types.Claim.None, priority: 1, ageMs: 4_000, objectiveMs: 24_000, remainingMs: 8_000 },
    elapsedMs: 4_000,
    unsavedMs: 4_000,
    preemptions: 0,
};

function withAge(ageMs: number, fields: Partial<stopCost.StopCostInput> = {}): stopCost.StopCostInput {
    return { ...HALF_DONE, ...fields, urgency: { ...HALF_DONE.urgency, ageMs } };
}

describe("what a stop costs", () => {
    const cases: ReadonlyArray<readonly [name: string, input: stopCost.StopCostInput, cost: number]> = [
        ["a job that has time loses the work alone", HALF_DONE, 40],
        ["a job that ends late for it loses its worth, too", withAge(19_000), 1_040],
        ["work that saves begins where it stopped, and is still in time", withAge(17_000, { unsavedMs: 0 }), 40],
        ["a job that is late either way", withAge(30_000), 40],
        ["a job that is past all credit for it", withAge(66_000), 1_040],
        ["work that was stopped before", { ...HALF_DONE, preemptions: 2 }, 320],
    ];
    test.each(cases)("%s", (_name, input, cost) => {
        expect(stopCost.getStopCost(input)).toBe(cost);
    });
});

import * as order from "../order";
import * as stopCost from "../stopCost";
import * as types from "../types";

const { PreemptionTier } = types;

/** Urgency with the given slack and usage; in time unless `fields` say otherwise. */
function createUrgency(slackMs: number, usage?: number, fields: Partial<order.Urgency> = {}): order.Urgency {
    return {
        tier: PreemptionTier.None,
        priority: 1,
        ageMs: 0,
        objectiveMs: 10_000 + slackMs,
        remainingMs: 10_000,
        usage,
        ...fields,
    };
}

describe.each([
    ["with lateness", order.compareUrgency],
    ["without lateness", order.compareWithoutLateness],
])("the order %s", (_name, compare) => {
    test("serves the account with less usage first, though its work has more slack", () => {
        expect(compare(createUrgency(5_000, 0.5), createUrgency(1_000, 3))).toBeLessThan(0);
        expect(compare(createUrgency(5_000, 1.5), createUrgency(1_000, 3))).toBeLessThan(0);
    });

    test.each([
        ["without usage", undefined, undefined],
        ["up to their shares", 0.1, 1.04],
        ["within a quarter of a share", 2.1, 2.25],
    ])("goes by slack between accounts %s", (_case, first, second) => {
        expect(compare(createUrgency(1_000, second), createUrgency(5_000, first))).toBeLessThan(0);
        expect(compare(createUrgency(1_000, first), createUrgency(5_000, second))).toBeLessThan(0);
    });

    test("serves a higher priority and tier first, whatever its account has used", () => {
        expect(compare(createUrgency(0, 9, { priority: 0 }), createUrgency(0, 0))).toBeLessThan(0);
        expect(compare(createUrgency(0, 9, { tier: PreemptionTier.Urgent }), createUrgency(0, 0))).toBeLessThan(0);
    });

    // Guards against a guarantee that is delayed because its account has used more than its share.
    test("ignores usage within the tier Guaranteed", () => {
        const guaranteed = { tier: PreemptionTier.Guaranteed };
        expect(compare(createUrgency(1_000, 9, guaranteed), createUrgency(5_000, 0, guaranteed))).toBeLessThan(0);
    });
});

describe("the cost of a stop", () => {
    const getCost = (lossCoreSeconds: number, usage?: number, tier: types.PreemptionTier = PreemptionTier.None) =>
        stopCost.getStopCost({
            lossCoreSeconds,
            urgency: createUrgency(60_000, usage, { tier }),
            elapsedMs: 1_000,
            unsavedMs: 1_000,
            preemptions: 0,
        });

    test("is lower for an account with more usage if the costs differ by at most a quarter", () => {
        expect(getCost(124, 3)).toBeLessThan(getCost(100, 0.5));
        expect(getCost(126, 3)).toBeGreaterThan(getCost(100, 0.5));
    });

    test("is that of the thrown-away work up to the account's share, and for guaranteed work", () => {
        expect(getCost(100, 1.04)).toBe(100);
        expect(getCost(100)).toBe(100);
        expect(getCost(100, 9, PreemptionTier.Guaranteed)).toBe(100);
    });
});

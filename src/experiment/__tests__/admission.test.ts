import * as decisions from "../../decisions/index";
import * as experiment from "../index";

jest.setTimeout(120_000);

const SMALL = experiment.LOADS["small"]!;
/** Single tasks at about five times what the workers can run, for several times as long as a backlog takes to count. */
const OVERLOAD: experiment.Load = {
    ...SMALL,
    workers: 8,
    durationMs: 60_000,
    classes: SMALL.classes.filter(({ name }) => name === "batch").map(jobClass => ({
        ...jobClass,
        perSecond: 1.65,
        poisonedShare: 0,
        failedRunShare: 0,
        cancelledShare: 0,
    })),
};

async function simulate(leftOut: readonly decisions.Mechanism[]) {
    const policy = decisions.disableMechanisms(decisions.POLICIES.worth, leftOut);
    const simulated = await experiment.simulate({ load: OVERLOAD, seed: 1, policy });
    const { all } = experiment.summarise(simulated);
    return { violations: simulated.violations, all };
}

describe("an overload of five times the capacity", () => {
    test("is refused in part, which saves callers from waiting in vain and costs no worth", async () => {
        const withIt = await simulate([]);
        const without = await simulate(["admission"]);
        expect([...withIt.violations, ...without.violations]).toEqual([]);
        expect(without.all.refused).toBe(0);
        expect(withIt.all.refused).toBeGreaterThan(0.2 * withIt.all.asked);
        // Accepted jobs that earned nothing.
        expect(withIt.all.missed).toBeLessThan(0.75 * without.all.missed);
        expect(withIt.all.worth).toBeGreaterThan(without.all.worth - 0.01);
    });
});

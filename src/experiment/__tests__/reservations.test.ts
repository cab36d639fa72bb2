// Guards against wide gangs that starve among single tasks of the same priority, which take each place that becomes free.
import * as decisions from "../../decisions/index";
import * as experiment from "../index";

const NAMED = experiment.LOADS["gangsAmongSmall"]!;
const SCALE = 12 / NAMED.workers;
/** The named load on twelve workers, with gangs of half of them. */
const LOAD: experiment.Load = {
    ...NAMED,
    workers: 12,
    classes: NAMED.classes.map(item => ({
        ...item,
        perSecond: item.perSecond * SCALE,
        width: item.name === "plan" ? { mean: 6, variation: 0, max: 6 } : item.width,
        cancelledShare: 0,
    })),
};
const SEEDS = [1, 2];
/** The longest run of either class, beyond the objective, is what a gang may wait for on its reserved workers. */
const LONGEST_RUN_MS = Math.max(...LOAD.classes.map(({ durationMs }) => durationMs.max));

async function countGangs(policy: decisions.Policy) {
    const counts = { gangs: 0, beyondBound: 0 };
    for (const seed of SEEDS) {
        const { jobs, violations } = await experiment.simulate({ load: LOAD, seed, policy });
        expect(violations).toEqual([]);
        for (const { planned, firstStartMs } of jobs.filter(job => job.planned.class.name === "plan")) {
            counts.gangs++;
            counts.beyondBound += (firstStartMs ?? Infinity) > planned.objectiveMs + LONGEST_RUN_MS ? 1 : 0;
        }
    }
    return counts;
}

// Four simulations of a few seconds each on an idle machine.
jest.setTimeout(120_000);

test("a wide gang among single tasks starts within its objective and one run, and without reservations does not", async () => {
    const withReservations = await countGangs(decisions.POLICIES.worth);
    const without = await countGangs(decisions.disableMechanisms(decisions.POLICIES.worth, ["gangReservations"]));
    expect(withReservations.beyondBound).toBe(0);
    expect(without.gangs).toBe(withReservations.gangs);
    expect(without.beyondBound).toBeGreaterThan(0);
});

import * as decisions from "../../decisions/index";
import * as experiment from "../index";
import type * as loads from "../load";

const GREEDY = experiment.LOADS["greedyAccount"]!;
const GREEDY_NAME = "account-0";
const SEEDS = [1, 2];

// The three simulations of a seed take about 8 s on an idle machine; the timeout allows for a busy one.
jest.setTimeout(240_000);

interface Times {
    readonly mean: number;
    readonly p90: number;
}

/** Completion times of the other accounts' jobs; a job that does not end counts with the end of the simulation. */
async function getOthersTimes(load: loads.Load, disabled: readonly decisions.Mechanism[] = []): Promise<Times> {
    const times: number[] = [];
    for (const seed of SEEDS) {
        const policy = decisions.disableMechanisms(decisions.POLICIES.worth, disabled);
        const simulated = await experiment.simulate({ load, seed, policy });
        expect(simulated.violations).toEqual([]);
        const others = simulated.jobs.filter(job => job.planned.job.account !== GREEDY_NAME);
        times.push(...others.map(({ planned, end }) => end?.afterMs ?? simulated.simulatedMs - planned.arrivesAt));
    }
    times.sort((a, b) => a - b);
    return {
        mean: times.reduce((sum, time) => sum + time, 0) / times.length,
        p90: times[Math.floor(0.9 * times.length)]!,
    };
}

describe("an account that submits ten times its share", () => {
    let alone: Times;
    let fair: Times;
    let unfair: Times;

    beforeAll(async () => {
        alone = await getOthersTimes({ ...GREEDY, greedy: undefined });
        fair = await getOthersTimes(GREEDY);
        unfair = await getOthersTimes(GREEDY, ["fairShares"]);
        expect(alone.mean).toBeGreaterThan(0);
    });

    // Guards against accounts that wait behind the queue of another one.
    test.each(["mean", "p90"] as const)("moves the %s of the others' completion times by at most a tenth", measure => {
        expect(fair[measure]).toBeLessThanOrEqual(1.1 * alone[measure]);
    });

    // Guards against usage that is measured but no longer changes what is served first.
    test.each(["mean", "p90"] as const)("delays the %s of the others by less than half of that without", measure => {
        expect(fair[measure] - alone[measure]).toBeLessThan((unfair[measure] - alone[measure]) / 2);
    });
});

import * as decisions from "../../decisions/index";
import * as generate from "../generate";
import * as experiment from "../index";
import type * as loads from "../load";
import * as bound from "../upperBound";

const SMALL = experiment.LOADS["small"]!;
const SHORT: loads.Load = { ...SMALL, workers: 8, forMs: 6_000 };

/** Jobs that each need all of one worker's accelerators for 4 s, arrive at once, and have 5 s. */
function createJobs(count: number): generate.PlannedJob[] {
    const [sample] = generate.generateJobs(SHORT, generate.createSeededRandom(5));
    const step = { ...sample!.job.spec.steps[0]!, count: 1, needs: { ...SHORT.capacity, cpuMillis: 1, memoryMb: 1 } };
    return Array.from({ length: count }, () => ({
        ...sample!,
        job: { ...sample!.job, spec: { ...sample!.job.spec, steps: [step] }, durationsMs: [4_000] },
        class: { ...sample!.class, worth: { inTime: 1, late: 0 } },
        arrivesAt: 0,
        cancelAfterMs: undefined,
        poisoned: false,
        crashing: false,
        objectiveMs: 5_000,
    }));
}

describe("the bound of what can be earned", () => {
    const cases: ReadonlyArray<{ name: string; workers: number; jobs: number; least: number; most: number; }> = [
        { name: "is all where there is room", workers: 8, jobs: 8, least: 1, most: 1 },
        { name: "counts time that is left over, since work can be divided", workers: 8, jobs: 10, least: 1, most: 1 },
        // 5 s on one worker hold 1.25 jobs of 4 s.
        { name: "is the share that time and room can hold", workers: 1, jobs: 5, least: 0.25, most: 0.3 },
    ];
    test.each(cases)("$name", ({ workers, jobs, least, most }) => {
        const share = bound.getUpperBound({ ...SHORT, workers }, createJobs(jobs));
        expect(share).toBeGreaterThanOrEqual(least - 1e-9);
        expect(share).toBeLessThanOrEqual(most + 1e-9);
    });

    test.each([1, 2, 3])("is not exceeded by what was earned, seed %i", async seed => {
        const load: loads.Load = { ...SMALL, workers: 2, forMs: 20_000 };
        const played = await experiment.simulate({ load, seed, policy: decisions.POLICIES.worth });
        const kept = played.jobs.filter(job => job.planned.cancelAfterMs === undefined);
        const earned = experiment.summarise({ ...played, jobs: kept }).all.worth;
        const most = bound.getUpperBound(load, kept.map(job => job.planned));
        expect(earned).toBeLessThanOrEqual(most);
        expect(most).toBeLessThan(1);
    });
});

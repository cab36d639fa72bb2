import * as decisions from "../../decisions/index";
import * as generate from "../generate";
import * as experiment from "../index";
import type * as loads from "../load";
import * as upperBound from "../upperBound";

const SMALL = experiment.LOADS["small"]!;
const SHORT: loads.Load = { ...SMALL, workers: 8, durationMs: 6_000 };

/** Jobs that arrive together, each need all accelerators of one worker for 4 s, and have an objective of 5 s. */
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
        crashesWorkers: false,
        objectiveMs: 5_000,
    }));
}

describe("the upper bound of the earned worth", () => {
    const cases: ReadonlyArray<{ name: string; workers: number; jobs: number; min: number; max: number; }> = [
        { name: "is 1 if the site has capacity for all jobs", workers: 8, jobs: 8, min: 1, max: 1 },
        { name: "uses leftover time, since work is divisible", workers: 8, jobs: 10, min: 1, max: 1 },
        // One worker can do 1.25 jobs of 4 s in 5 s.
        { name: "is the share that fits into the time and capacity", workers: 1, jobs: 5, min: 0.25, max: 0.3 },
    ];
    test.each(cases)("$name", ({ workers, jobs, min, max }) => {
        const share = upperBound.getUpperBound({ ...SHORT, workers }, createJobs(jobs));
        expect(share).toBeGreaterThanOrEqual(min - 1e-9);
        expect(share).toBeLessThanOrEqual(max + 1e-9);
    });

    test.each([1, 2, 3])("is not exceeded by the worth earned in a simulation, seed %i", async seed => {
        const load: loads.Load = { ...SMALL, workers: 2, durationMs: 20_000 };
        const simulated = await experiment.simulate({ load, seed, policy: decisions.POLICIES.worth });
        const jobsToServe = simulated.jobs.filter(job => job.planned.cancelAfterMs === undefined);
        const earned = experiment.summarise({ ...simulated, jobs: jobsToServe }).all.worth;
        const bound = upperBound.getUpperBound(load, jobsToServe.map(job => job.planned));
        expect(earned).toBeLessThanOrEqual(bound);
        expect(bound).toBeLessThan(1);
    });
});

import * as decisions from "../../decisions/index";
import * as generate from "../generate";
import * as experiment from "../index";
import type * as loads from "../load";
import type * as simulationResult from "../simulationResult";

const SMALL = experiment.LOADS["small"]!;
const SHORT: loads.Load = { ...SMALL, workers: 8, durationMs: 6_000 };

function simulateShort(changes: Partial<loads.Load> = {}, policy: decisions.Policy = decisions.POLICIES.worth) {
    return experiment.simulate({ load: { ...SHORT, ...changes }, seed: 3, policy });
}

describe("a load", () => {
    test("gives the same result for the same seed", async () => {
        const [first, second] = [await simulateShort(), await simulateShort()];
        expect(experiment.summarise(second)).toEqual(experiment.summarise(first));
        expect(first.jobs.length).toBeGreaterThan(5);
    });

    const names = Object.keys(experiment.LOADS);
    test.each(names)("%s generates jobs of each class, with tasks that its workers can hold", name => {
        const load = experiment.LOADS[name]!;
        const jobs = generate.generateJobs({ ...load, durationMs: 60_000 }, generate.createSeededRandom(name.length));
        expect(new Set(jobs.map(job => job.class.name))).toEqual(new Set(load.classes.map(item => item.name)));
        for (const { job } of jobs) {
            for (const step of job.spec.steps) {
                expect(step.needs.cpuMillis).toBeLessThanOrEqual(load.capacity.cpuMillis);
                expect(step.needs.memoryMb).toBeLessThanOrEqual(load.capacity.memoryMb);
                expect(step.needs.accelerators).toBeLessThanOrEqual(load.capacity.accelerators);
            }
        }
    });

    const faults: ReadonlyArray<readonly [string, loads.Fault]> = [
        ["slow workers", { kind: "slow", atMs: 1_000, durationMs: 4_000, share: 0.25, factor: 6 }],
        ["hanging workers", { kind: "hang", atMs: 1_000, durationMs: 4_000, share: 0.25 }],
        ["unreachable workers", { kind: "cut", atMs: 1_000, durationMs: 4_000, share: 0.25 }],
        ["workers that fail all tasks", { kind: "fail", atMs: 1_000, durationMs: 4_000, share: 0.25 }],
        ["lost workers", { kind: "crash", atMs: 2_000, share: 0.25 }],
        ["leaving workers", { kind: "leave", atMs: 2_000, share: 0.25, remainingMs: 3_000 }],
        ["a burst", { kind: "burst", atMs: 1_000, durationMs: 2_000, class: "urgent", factor: 4 }],
    ];
    test.each(faults)("with %s violates no guarantee, and every job that can succeed ends", async (_name, fault) => {
        const simulated = await simulateShort({ faults: [fault] });
        expect(simulated.violations).toEqual([]);
        const expectedJobs = simulated.jobs.filter(job =>
            !job.planned.poisoned && job.planned.cancelAfterMs === undefined
        );
        const unended = expectedJobs.filter(job => job.end === undefined);
        expect(unended).toEqual([]);
    });

    test.each(Object.keys(decisions.POLICIES))("violates no guarantee under the policy %s", async name => {
        const simulated = await simulateShort({}, decisions.POLICIES[name as decisions.PolicyName]);
        expect(simulated.violations).toEqual([]);
    });
});

describe("a report", () => {
    test("has a row for each run, and four charts", async () => {
        const simulated = await simulateShort();
        const summary = experiment.summarise(simulated);
        const html = await experiment.renderReport([
            { load: "short", policy: "worth", seed: 3, summary, samples: simulated.samples },
            { load: "short", policy: "slack", seed: 3, summary, samples: simulated.samples },
        ]);
        expect(html.match(/<svg/g)).toHaveLength(4);
        expect(html).toContain(`<td>short worth 3</td><td>${summary.all.worth.toFixed(3)}</td>`);
        expect(html).toContain("<td>short slack 3</td>");
    });
});

describe("the summary of a job", () => {
    const [planned] = generate.generateJobs(SHORT, generate.createSeededRandom(5));
    const createOutcome = (fields: Partial<simulationResult.JobOutcome>): simulationResult.JobOutcome => ({
        planned: { ...planned!, cancelAfterMs: undefined, poisoned: false, crashesWorkers: false, objectiveMs: 10_000 },
        zone: "zone-0",
        accepted: true,
        firstStartMs: 100,
        end: { state: "completed", afterMs: 5_000 },
        ...fields,
    });
    const cases: ReadonlyArray<
        readonly [name: string, fields: Partial<simulationResult.JobOutcome>, worth: number, outcomeCount: string]
    > = [
        ["done within its objective", {}, 1, "inTime"],
        ["done late", { end: { state: "completed", afterMs: 25_000 } }, 0.25, "late"],
        ["done too late to earn anything", { end: { state: "completed", afterMs: 31_000 } }, 0, "missed"],
        ["that never ends", { end: undefined }, 0, "missed"],
        ["that fails though it could succeed", { end: { state: "failed", afterMs: 1_000 } }, 0, "missed"],
        ["that is refused", { accepted: false, end: undefined }, 0, "refused"],
    ];
    test.each(cases)("%s", (_name, fields, worth, outcomeCount) => {
        const outcome = createOutcome(fields);
        const simulated: simulationResult.SimulationResult = {
            jobs: [{
                ...outcome,
                planned: {
                    ...outcome.planned,
                    class: { ...outcome.planned.class, worth: { inTime: 4, late: 1 } },
                },
            }],
            samples: [],
            thrownAwayCoreSeconds: 0,
            stoppedRuns: 0,
            thrownAwayByReason: {},
            workerCalls: 0,
            violations: [],
            simulatedMs: 0,
        };
        const { all } = experiment.summarise(simulated);
        expect(all.worth).toBeCloseTo(worth);
        expect(all[outcomeCount as "inTime"]).toBe(1);
    });
});

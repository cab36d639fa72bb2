import * as decisions from "../../decisions/index";
import * as generate from "../generate";
import * as experiment from "../index";
import type * as loads from "../load";
import type * as outcomes from "../simulationResult";

const SMALL = experiment.LOADS["small"]!;
const SHORT: loads.Load = { ...SMALL, workers: 8, forMs: 6_000 };

function playShort(changes: Partial<loads.Load> = {}, policy: decisions.Policy = decisions.POLICIES.worth) {
    return experiment.simulate({ load: { ...SHORT, ...changes }, seed: 3, policy });
}

describe("a load", () => {
    test("is the same each time for the same seed", async () => {
        const [first, second] = [await playShort(), await playShort()];
        expect(experiment.summarise(second)).toEqual(experiment.summarise(first));
        expect(first.jobs.length).toBeGreaterThan(5);
    });

    const names = Object.keys(experiment.LOADS);
    test.each(names)("%s draws jobs of each class that its site can hold", name => {
        const load = experiment.LOADS[name]!;
        const jobs = generate.generateJobs({ ...load, forMs: 60_000 }, generate.createSeededRandom(name.length));
        expect(new Set(jobs.map(job => job.class.name))).toEqual(new Set(load.classes.map(item => item.name)));
        for (const { job } of jobs) {
            for (const step of job.spec.steps) {
                expect(step.needs.cpuMillis).toBeLessThanOrEqual(load.capacity.cpuMillis);
                expect(step.needs.memoryMb).toBeLessThanOrEqual(load.capacity.memoryMb);
                expect(step.needs.accelerators).toBeLessThanOrEqual(load.capacity.accelerators);
            }
        }
    });

    const troubles: ReadonlyArray<readonly [string, loads.Fault]> = [
        ["slow workers", { kind: "slow", atMs: 1_000, forMs: 4_000, share: 0.25, times: 6 }],
        ["hanging workers", { kind: "hang", atMs: 1_000, forMs: 4_000, share: 0.25 }],
        ["workers that are cut off", { kind: "cut", atMs: 1_000, forMs: 4_000, share: 0.25 }],
        ["workers that fail", { kind: "fail", atMs: 1_000, forMs: 4_000, share: 0.25 }],
        ["lost workers", { kind: "crash", atMs: 2_000, share: 0.25 }],
        ["leaving workers", { kind: "leave", atMs: 2_000, share: 0.25, leftMs: 3_000 }],
        ["a burst", { kind: "burst", atMs: 1_000, forMs: 2_000, class: "urgent", times: 4 }],
    ];
    test.each(troubles)("with %s breaks no promise, and every sound job ends well", async (_name, trouble) => {
        const played = await playShort({ troubles: [trouble] });
        expect(played.breaches).toEqual([]);
        const sound = played.jobs.filter(job => !job.planned.poisoned && job.planned.cancelAfterMs === undefined);
        const unended = sound.filter(job => job.end === undefined);
        expect(unended).toEqual([]);
    });

    test.each(Object.keys(decisions.POLICIES))("is played under the policy %s without a broken promise", async name => {
        const played = await playShort({}, decisions.POLICIES[name as decisions.PolicyName]);
        expect(played.breaches).toEqual([]);
    });
});

describe("a report", () => {
    test("has a row for each run and draws its charts", async () => {
        const played = await playShort();
        const summary = experiment.summarise(played);
        const html = await experiment.renderReport([
            { load: "short", policy: "worth", seed: 3, summary, samples: played.samples },
            { load: "short", policy: "slack", seed: 3, summary, samples: played.samples },
        ]);
        expect(html.match(/<svg/g)).toHaveLength(4);
        expect(html).toContain(`<td>short worth 3</td><td>${summary.all.worth.toFixed(3)}</td>`);
        expect(html).toContain("<td>short slack 3</td>");
    });
});

describe("what callers got", () => {
    const [planned] = generate.generateJobs(SHORT, generate.createSeededRandom(5));
    const createOutcome = (fields: Partial<outcomes.JobOutcome>): outcomes.JobOutcome => ({
        planned: { ...planned!, cancelAfterMs: undefined, poisoned: false, crashesWorkers: false, objectiveMs: 10_000 },
        zone: "zone-0",
        accepted: true,
        firstStartMs: 100,
        end: { state: "completed", afterMs: 5_000 },
        ...fields,
    });
    const cases: ReadonlyArray<
        readonly [name: string, fields: Partial<outcomes.JobOutcome>, worth: number, counted: string]
    > = [
        ["in time", {}, 1, "inTime"],
        ["late", { end: { state: "completed", afterMs: 25_000 } }, 0.25, "late"],
        ["beyond all credit", { end: { state: "completed", afterMs: 31_000 } }, 0, "missed"],
        ["never done", { end: undefined }, 0, "missed"],
        ["shown as failed though it could be done", { end: { state: "failed", afterMs: 1_000 } }, 0, "missed"],
        ["refused", { accepted: false, end: undefined }, 0, "refused"],
    ];
    test.each(cases)("%s", (_name, fields, worth, counted) => {
        const outcome = createOutcome(fields);
        const played: outcomes.SimulationResult = {
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
            lossByReason: {},
            workerCalls: 0,
            breaches: [],
            simulatedMs: 0,
        };
        const { all } = experiment.summarise(played);
        expect(all.worth).toBeCloseTo(worth);
        expect(all[counted as "inTime"]).toBe(1);
    });
});

import * as work from "../../work/index";
import * as entries from "../entries";
import * as units from "../units";
import * as fixtures from "./fixtures";

const STEPS = 12;
const RUN_MS = 1_000;
/** Visits of steps and dependencies, per step and dependency of the job, that a pass may take. */
const MAX_VISITS_EACH = 8;

/** Dependencies of a step by its number, and the length of the longest chain of all steps. */
const SHAPES = [
    {
        name: "each step after all earlier ones",
        getAfter: (number: number) => Array.from({ length: number }, (_, earlier) => earlier),
        longestChain: STEPS,
    },
    {
        name: "each step after the two before it",
        getAfter: (number: number) => [number - 1, number - 2].filter(earlier => earlier >= 0),
        longestChain: STEPS,
    },
    {
        name: "stages of three steps, each step after the whole stage before",
        getAfter: (number: number) => number < 3 ? [] : [1, 2, 3].map(back => number - (number % 3) - back),
        longestChain: STEPS / 3,
    },
    {
        name: "a chain that names each step many times",
        getAfter: (number: number) => number === 0 ? [] : new Array<number>(20).fill(number - 1),
        longestChain: STEPS,
    },
    { name: "steps without dependencies", getAfter: () => [], longestChain: 1 },
];

/** A job whose dependencies count the reads of their elements. */
function createJob(getAfter: (number: number) => number[]) {
    let visits = 0;
    let size = 0;
    const steps = Array.from({ length: STEPS }, (_, number): work.StepSpec => {
        const after = getAfter(number);
        size += 1 + after.length;
        const counted = fixtures.countReads(after, () => visits++);
        return { ...work.DEFAULT_STEP, count: 1, needs: work.NO_RESOURCES, estimateMs: RUN_MS, after: counted };
    });
    const submission = fixtures.createSubmission("job");
    const registry = fixtures.createJobRegistry();
    const job = registry.addJob({ ...submission, spec: { ...submission.spec, steps } });
    registry.releaseDueOccurrences();
    const options = fixtures.createUnitsOptions({
        estimateRunMs: step => {
            visits++;
            return step.spec.estimateMs;
        },
    });
    visits = 0;
    return { registry, job, options, size, getVisits: () => visits };
}

describe.each(SHAPES)("$name", ({ getAfter, longestChain }) => {
    // Guards against a pass whose time doubles with each step, so that no instance that leads answers any more.
    test("a pass visits each dependency of waiting and running steps a bounded number of times", () => {
        const { job, options, size, getVisits } = createJob(getAfter);
        const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
        for (const step of job.occurrences.get(0)!.steps) {
            step.readySince = 0;
            if (step.number % 2 === 0) {
                entries.assign(step.tasks[0]!, worker);
                step.tasks[0]!.phase = "running";
            }
        }
        expect(units.collectWaitingUnits([job], options)).toHaveLength(STEPS / 2);
        expect(units.collectRunningGroups([job], options).size).toBe(STEPS / 2);
        expect(getVisits()).toBeLessThanOrEqual(MAX_VISITS_EACH * size);
    });

    // Guards against ends of steps whose time grows with all dependencies of the job, also for each step of a takeover.
    test("the ends of all steps visit each dependency a bounded number of times, and release the steps in order", () => {
        const { registry, job, size, getVisits } = createJob(getAfter);
        const { steps } = job.occurrences.get(0)!;
        const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
        const listReady = () => steps.filter(step => step.readySince !== undefined).map(step => step.number);
        for (let ended = 0; ended < STEPS; ended++) {
            const isReleased = (number: number) => getAfter(number).every(earlier => earlier < ended);
            expect(listReady()).toEqual(steps.map(step => step.number).filter(isReleased));
            const [task] = steps[ended]!.tasks;
            entries.assign(task!, worker);
            Object.assign(task!, { phase: "running", run: 1 });
            registry.recordRunEnd(worker, { number: ended + 1, task: task!.name, run: 1, how: "done", saved: "" });
        }
        expect(job.state).toBe("completed");
        expect(getVisits()).toBeLessThanOrEqual(MAX_VISITS_EACH * size);
    });

    test("the critical path is the longest chain, and what remains of it shrinks to the last step", () => {
        const { job, options } = createJob(getAfter);
        const { steps } = job.occurrences.get(0)!;
        expect(units.getExpectedTimes(job, options.estimateRunMs).criticalPathMs).toBe(longestChain * RUN_MS);
        expect(units.getUrgency(steps[0]!, options).remainingMs).toBe(longestChain * RUN_MS);
        expect(units.getUrgency(steps.at(-1)!, options).remainingMs).toBe(RUN_MS);
    });
});

import * as fc from "fast-check";
import * as work from "../../work/index";
import * as entries from "../entries";
import * as units from "../units";
import * as fixtures from "./fixtures";

const ROW_BYTES = 65_536;
const PASSES = 2;
const RUNS = 10;
/** Units that start after each pass. */
const STARTS = 20;
/** Visits of a pass for each character of the jobs' text and each open task. */
const MAX_VISITS_EACH = 12;
/** Waiting tasks that may be open of one job, beside those of its first unfinished occurrence. */
const MAX_WAITING_TASKS_OF_JOB = 4_000;
const MAX_NEW_UNITS_PER_STEP = 256;

/** Dependencies of a step by its number, and by the size of a stage. */
const GRAPHS: ReadonlyArray<(number: number, stage: number) => number[]> = [
    () => [],
    number => [number - 1],
    number => Array.from({ length: number }, (_, earlier) => earlier),
    number => [number - 1, number - 2],
    (number, stage) => Array.from({ length: stage }, (_, index) => number - number % stage - stage + index),
    (number, stage) => new Array<number>(stage).fill(number - 1),
];

const jobShapes = fc.record({
    graph: fc.constantFrom(...GRAPHS),
    stage: fc.integer({ min: 2, max: 8 }),
    steps: fc.integer({ min: 1, max: 13 }),
    count: fc.oneof(fc.integer({ min: 1, max: 12 }), fc.constantFrom(90, 400, 1_170)),
    gang: fc.boolean(),
    maxPerWorker: fc.constantFrom(0, 1, 20),
    lasting: fc.boolean(),
    mayMiss: fc.constantFrom(0, 3),
    repeats: fc.constantFrom(0, 0, 1, 40, 5_000),
    advice: fc.boolean(),
});
type JobShape = typeof jobShapes extends fc.Arbitrary<infer Shape> ? Shape : never;

function createSubmission(shape: JobShape, jobId: string): work.Submission {
    const submission = fixtures.createSubmission(jobId);
    const steps = Array.from({ length: shape.steps }, (_, number): work.StepSpec => ({
        ...work.DEFAULT_STEP,
        needs: work.NO_RESOURCES,
        estimateMs: 1_000,
        count: shape.count,
        gang: shape.gang,
        maxPerWorker: shape.maxPerWorker,
        lasting: shape.lasting,
        mayMiss: shape.lasting ? shape.mayMiss : 0,
        after: shape.graph(number, shape.stage).filter(earlier => earlier >= 0),
    }));
    return { ...submission, spec: { payload: "", steps, repeats: shape.repeats, firstDueAt: 0, periodMs: 0 } };
}

/** Plays passes that place and complete what they find; returns what exceeds the bounds. */
function play(shapes: readonly JobShape[]): string[] {
    const submissions = shapes
        .map((shape, number) => createSubmission(shape, `job${number}`))
        .filter(({ spec }) => work.findExceededLimit(spec, JSON.stringify(spec).length, ROW_BYTES) === undefined);
    const textSize = JSON.stringify(submissions).length;
    let visits = 0;
    const onRead = () => visits++;
    const registry = fixtures.createJobRegistry();
    const jobs = submissions.map((submission, number) => {
        const steps = submission.spec.steps.map(step => ({
            ...step,
            after: fixtures.countReads([...step.after], onRead),
        }));
        const job = registry.addJob({ ...submission, spec: { ...submission.spec, steps } });
        job.queue = {
            ...job.queue,
            advice: shapes[number]!.advice ? { decideMs: 1, eachMs: 1, validMs: 1 } : undefined,
        };
        return job;
    });
    const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
    const options = fixtures.createUnitsOptions({
        estimateRunMs: step => {
            visits++;
            return step.spec.estimateMs;
        },
    });
    const excesses: string[] = [];
    const check = (name: string, value: number, bound: number) => {
        if (value > bound) {
            excesses.push(`${name}: ${value}, more than ${bound}`);
        }
    };
    const counted = new Set<entries.StepEntry>();
    for (let pass = 0; pass < PASSES; pass++) {
        visits = 0;
        registry.releaseDueOccurrences();
        const steps = jobs.flatMap(job => [...job.occurrences.values()]).flatMap(occurrence => occurrence.steps);
        for (const step of steps.filter(candidate => !counted.has(candidate))) {
            counted.add(step);
            Object.assign(step, { tasks: fixtures.countReads(step.tasks, onRead) });
        }
        const openTasks = steps.reduce((sum, step) => sum + step.tasks.length, 0);
        const waiting = units.collectWaitingUnits(jobs, options);
        units.collectRunningGroups(jobs, options);
        check("visits of a pass", visits, MAX_VISITS_EACH * (textSize + openTasks));
        check("units", waiting.length, MAX_NEW_UNITS_PER_STEP * steps.length);
        for (const job of jobs) {
            const tasks = [...job.occurrences.values()].flatMap(({ steps: all }) => all).flatMap(step => step.tasks);
            const ofOne = work.countTasks(job.submission.spec);
            check(
                "waiting tasks",
                tasks.filter(task => task.phase === "waiting").length,
                MAX_WAITING_TASKS_OF_JOB + ofOne,
            );
        }
        const started = waiting.slice(0, STARTS);
        const placed = started.flatMap(({ tasks }) => tasks);
        for (const { tasks } of started) {
            registry.place(tasks, tasks.map(() => worker));
        }
        for (const [number, task] of placed.entries()) {
            task.phase = "running";
            if (number % 3 > 0 && !task.step.spec.lasting) {
                registry.recordRunEnd(worker, { number, task: task.name, run: task.run, how: "done", saved: "" });
            }
        }
    }
    return excesses;
}

// Guards against an accepted job for which the time or memory of a pass is out of proportion to the job's text, so that
// each instance that leads stops answering or ends.
test("the cost of passes is bounded by the text of the accepted jobs and their open tasks", () => {
    const jobs = fc.array(jobShapes, { minLength: 1, maxLength: 3 });
    fc.assert(fc.property(jobs, shapes => expect(play(shapes)).toEqual([])), {
        numRuns: RUNS,
        seed: 1,
        endOnFailure: true,
    });
});

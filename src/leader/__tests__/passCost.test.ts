import type * as work from "../../work/index";
import * as entries from "../entries";
import * as stalledSteps from "../stalledSteps";
import * as units from "../units";
import * as fixtures from "./fixtures";

const NOW = 10_000;
const TASKS = 120;
const PLACED_TASKS = 40;
/** Reads of entries that a pass may take for each task of a step. */
const MAX_READS_EACH = 8;

/** A step of which some tasks run, with counters of the reads of its tasks and its tickets. */
function createStep(spec: Partial<work.StepSpec>, { hasAdvice, placed }: { hasAdvice: boolean; placed: number; }) {
    let reads = 0;
    const registry = fixtures.createJobRegistry();
    const submission = fixtures.createSubmission("job", { count: TASKS, ...spec });
    const job = registry.addJob(submission);
    job.queue = { ...job.queue, advice: hasAdvice ? { decideMs: 1, eachMs: 1, validMs: 1_000 } : undefined };
    registry.releaseDueOccurrences();
    const step = job.occurrences.get(0)!.steps[0]!;
    for (const [index, task] of step.tasks.slice(0, placed).entries()) {
        entries.assign(task, entries.createWorkerEntry(entries.createUnknownWorkerInfo(`w${index}`)));
        Object.assign(task, { phase: "running", percent: 100 });
        step.tickets.set(`w${index}`, { ticket: "t", until: Infinity });
    }
    Object.assign(step, {
        tasks: fixtures.countReads(step.tasks, () => reads++),
        tickets: new Proxy(step.tickets, {
            get: (target, key) => {
                reads += key === Symbol.iterator ? target.size : 0;
                const value = Reflect.get(target, key) as unknown;
                return typeof value === "function" ? (value.bind(target) as unknown) : value;
            },
        }),
    });
    return { job, getReads: () => reads };
}

// Guards against passes whose time grows with the square of a step's tasks, during which an instance answers nothing.
describe("a pass reads the tasks of a step a bounded number of times", () => {
    test.each([
        { name: "a limit of tasks per worker", spec: { maxPerWorker: 1 } },
        { name: "tickets of an adviser", spec: {}, hasAdvice: true },
        { name: "a disruption budget", spec: { lasting: true, mayMiss: 5 } },
        { name: "no placed task", spec: {}, placed: 0 },
    ])("$name", ({ spec, hasAdvice = false, placed = PLACED_TASKS }) => {
        const { job, getReads } = createStep(spec, { hasAdvice, placed });
        const options = fixtures.createUnitsOptions({ now: NOW, wallNow: NOW });
        const waiting = units.collectWaitingUnits([job], options);
        expect(waiting).toHaveLength(TASKS - placed);
        expect(units.collectRunningGroups([job], options).size).toBe(placed);
        stalledSteps.logStalledSteps({
            now: NOW,
            log: fixtures.LOG,
            waiting,
            workers: [],
            isPlaceable: () => true,
            evacuations: { isEvacuated: () => false },
        });
        expect(getReads()).toBeLessThanOrEqual(MAX_READS_EACH * TASKS);
    });
});

// Guards against passes whose time and memory grow with all tasks that wait, of which a few large jobs have 96,000.
describe("a step of many waiting tasks", () => {
    const COUNT = 1_000;
    const collect = (job: entries.JobEntry) => units.collectWaitingUnits([job], fixtures.createUnitsOptions());
    const createJob = (spec: Partial<work.StepSpec>) => {
        const registry = fixtures.createJobRegistry();
        const job = registry.addJob(fixtures.createSubmission("job", { count: COUNT, ...spec }));
        registry.releaseDueOccurrences();
        return job;
    };

    test("gets units for the first ones, and says how many are left out", () => {
        const waiting = collect(createJob({}));
        expect(waiting).toHaveLength(256);
        expect(waiting.map(item => item.tasks[0]!.index)).toEqual(waiting.map((_, index) => index));
        expect(waiting.reduce((sum, item) => sum + item.omittedTasks, waiting.length)).toBe(COUNT);
    });

    test("gets units for all tasks that have run before, which may need other workers than the rest", () => {
        const job = createJob({});
        const restarted = job.occurrences.get(0)!.steps[0]!.tasks.slice(500);
        restarted.forEach(task => task.run = 1);
        const waiting = new Set(collect(job).flatMap(item => item.tasks));
        expect(restarted.every(task => waiting.has(task))).toBe(true);
        expect(waiting.size).toBe(restarted.length + 256);
    });

    test("gets one unit for a gang, with all its members", () => {
        const waiting = collect(createJob({ gang: true }));
        expect(waiting.map(item => item.tasks.length)).toEqual([COUNT]);
        expect(waiting[0]!.omittedTasks).toBe(0);
    });
});

import * as clocks from "../../clock/index";
import type * as work from "../../work/index";
import * as entries from "../entries";
import * as fixtures from "./fixtures";

/** The manual clock of the registry's fixture stands at 0. */
const NOW = 0;
const PERIOD_MS = 1_000;
const MAX_OPEN_TASKS_OF_JOB = 4_000;
const MAX_OPEN_TASKS = 20_000;

function createScheduledSubmission(jobId: string, count: number, repeats: number): work.Submission {
    const submission = fixtures.createSubmission(jobId, { count });
    const firstDueAt = NOW - repeats * PERIOD_MS;
    return { ...submission, spec: { ...submission.spec, repeats, firstDueAt, periodMs: PERIOD_MS } };
}

function listOpen(job: entries.JobEntry): number[] {
    return [...job.occurrences.keys()];
}

function countOpenTasks(jobs: readonly entries.JobEntry[]): number {
    const steps = jobs.flatMap(job => [...job.occurrences.values()]).flatMap(occurrence => occurrence.steps);
    return steps.reduce((sum, step) => sum + step.tasks.length, 0);
}

/** Runs all tasks of the occurrence to their end. */
function complete(registry: ReturnType<typeof fixtures.createJobRegistry>, occurrence: entries.OccurrenceEntry): void {
    const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
    for (const task of occurrence.steps.flatMap(step => step.tasks)) {
        registry.place([task], [worker]);
        task.phase = "running";
        registry.recordRunEnd(worker, { number: 1, task: task.name, run: task.run, how: "done", saved: "" });
    }
}

// Guards against an accepted job whose overdue occurrences end each leader in turn for want of memory.
describe("overdue occurrences", () => {
    test.each([
        { name: "of one job", jobs: 1, count: 10, repeats: 8_760, maxOpen: MAX_OPEN_TASKS_OF_JOB },
        { name: "of one job, one task each", jobs: 1, count: 1, repeats: 10_000, maxOpen: MAX_OPEN_TASKS_OF_JOB },
        { name: "of many jobs", jobs: 40, count: 9, repeats: 1_000, maxOpen: MAX_OPEN_TASKS + 40 * 9 },
        { name: "that are large", jobs: 1, count: 1_000, repeats: 90, maxOpen: MAX_OPEN_TASKS_OF_JOB },
    ])("$name are opened up to the limits", ({ jobs: jobCount, count, repeats, maxOpen }) => {
        const registry = fixtures.createJobRegistry();
        const jobs = Array.from(
            { length: jobCount },
            (_, number) => registry.addJob(createScheduledSubmission(`job${number}`, count, repeats)),
        );
        registry.releaseDueOccurrences();
        expect(countOpenTasks(jobs)).toBeLessThanOrEqual(maxOpen);
        jobs.forEach(job => expect(listOpen(job)[0]).toBe(0));
        const open = jobs.reduce((sum, job) => sum + job.occurrences.size, 0);
        expect(registry.countHeldBackOccurrences()).toBe(jobCount * repeats - open);
    });

    test("are all opened once, in order, as the earlier ones end, and their entries are dropped", () => {
        const registry = fixtures.createJobRegistry();
        const job = registry.addJob(createScheduledSubmission("job", 100, 400));
        const completed: number[] = [];
        let mostTasks = 0;
        while (job.state !== "completed") {
            registry.releaseDueOccurrences();
            mostTasks = Math.max(mostTasks, countOpenTasks([job]));
            for (const occurrence of [...job.occurrences.values()].slice(0, 7)) {
                complete(registry, occurrence);
                completed.push(occurrence.number);
            }
        }
        expect(completed).toEqual(Array.from({ length: 400 }, (_, number) => number));
        expect(mostTasks).toBeLessThanOrEqual(MAX_OPEN_TASKS_OF_JOB);
        registry.releaseDueOccurrences();
        expect(registry.getTask("job.0.0.0")).toBeUndefined();
        expect(registry.countHeldBackOccurrences()).toBe(0);
    });

    test("do not hold back the first occurrence of another job", () => {
        const registry = fixtures.createJobRegistry();
        for (let number = 0; number < 6; number++) {
            registry.addJob(createScheduledSubmission(`job${number}`, 10, 8_000));
        }
        registry.releaseDueOccurrences();
        const later = registry.addJob(createScheduledSubmission("later", 1_000, 90));
        registry.releaseDueOccurrences();
        expect(listOpen(later)).toEqual([0]);
    });
});

describe("more waiting tasks than may be open at once", () => {
    const JOBS = 70;
    const TASKS = 1_000;
    const MAX_WAITING_TASKS = 30_000;
    const openSite = () => {
        const clock = clocks.createManualClock();
        const registry = fixtures.createJobRegistry({ clock });
        const jobs = Array.from(
            { length: JOBS },
            (_, number) => registry.addJob(fixtures.createSubmission(`job${number}`, { count: TASKS })),
        );
        return { clock, registry, jobs };
    };

    // Guards against many large jobs, each within the limits, that end each leader in turn for want of memory.
    test("are opened up to the limit, the oldest jobs first", () => {
        const { registry, jobs } = openSite();
        registry.releaseDueOccurrences();
        expect(countOpenTasks(jobs)).toBe(MAX_WAITING_TASKS);
        expect(jobs.filter(job => job.occurrences.size > 0)).toEqual(jobs.slice(0, MAX_WAITING_TASKS / TASKS));
        expect(registry.countHeldBackOccurrences()).toBe(JOBS - MAX_WAITING_TASKS / TASKS);
    });

    // Guards against jobs that fit on no worker and block all later ones.
    test("are each open within seconds while none of them can start", async () => {
        const { clock, registry, jobs } = openSite();
        const seen = new Set<entries.JobEntry>();
        for (let pass = 0; pass < 16; pass++) {
            registry.releaseDueOccurrences();
            jobs.filter(job => job.occurrences.size > 0).forEach(job => seen.add(job));
            expect(countOpenTasks(jobs)).toBeLessThanOrEqual(MAX_WAITING_TASKS);
            await clock.advance(250);
        }
        expect(seen.size).toBe(JOBS);
    });

    test("leave room for urgent work", () => {
        const { registry } = openSite();
        registry.releaseDueOccurrences();
        const submission = fixtures.createSubmission("urgent", { count: TASKS });
        const urgent = registry.addJob(submission);
        urgent.queue = { ...urgent.queue, priority: 0 };
        registry.releaseDueOccurrences();
        expect(listOpen(urgent)).toEqual([0]);
    });

    test("keep the entries of occurrences that have started", async () => {
        const { clock, registry, jobs } = openSite();
        registry.releaseDueOccurrences();
        const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
        const task = registry.getTask("job0.0.0.0")!;
        registry.place([task], [worker]);
        for (let pass = 0; pass < 16; pass++) {
            await clock.advance(250);
            registry.releaseDueOccurrences();
            expect(registry.getTask(task.name)).toBe(task);
        }
        expect(jobs[1]!.nextOccurrence).toBeLessThanOrEqual(1);
    });
});

// Guards against passes that count through all occurrences of a job, thousands of which may have ended.
test("a pass does not look at occurrences that have ended", () => {
    const registry = fixtures.createJobRegistry();
    const submission = createScheduledSubmission("job", 1, 10_000);
    const job = registry.addJob({ ...submission, spec: { ...submission.spec, firstDueAt: NOW - 9_000 * PERIOD_MS } });
    const ended = Array.from({ length: 9_001 }, (_, number) => number);
    registry.restoreJob(job, { state: "running", ended, failed: false, endedAt: 0 }, 1);
    registry.releaseDueOccurrences();
    let looks = 0;
    const has = job.endedOccurrences.has.bind(job.endedOccurrences);
    job.endedOccurrences.has = number => {
        looks++;
        return has(number);
    };
    expect(registry.releaseDueOccurrences()).toBe(NOW + PERIOD_MS);
    expect(looks).toBeLessThanOrEqual(1);
});

// Guards against a takeover that creates the tasks of thousands of occurrences that have ended.
test("a restored occurrence that has ended gets entries only while a worker may hold one of its runs", () => {
    const registry = fixtures.createJobRegistry();
    const job = registry.addJob(createScheduledSubmission("job", 1, 10));
    registry.restoreJob(job, { state: "running", ended: [0, 1], failed: false, endedAt: 0 }, 1);
    const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
    const attempts = { run: 1, failures: 0, crashBudgetUsed: 0, knownCrashes: 0, saved: "" };
    registry.restoreOccurrence(job, 0, [[{ kind: "done", run: 1 }]], 1, () => worker);
    registry.restoreOccurrence(job, 1, [[{ kind: "placed", ...attempts, workerId: "w" }]], 1, () => worker);
    expect(listOpen(job)).toEqual([1]);
    const task = registry.getTask("job.1.0.0")!;
    expect(task.phase).toBe("stopping");
    registry.revertPlacement(task);
    registry.releaseDueOccurrences();
    expect(listOpen(job)[0]).toBe(2);
});

import * as clocks from "../../../clock/index";
import * as fixtures from "../../__tests__/fixtures";
import * as crashHistory from "../../crashHistory";
import type * as directory from "../../directory";
import * as entries from "../../entries";
import * as unansweredStarts from "../unansweredStarts";
import * as workerRegistry from "../workerRegistry";
import type * as workerSession from "../workerSession";

const NAME = "w";
const FIRST = { name: NAME, startedAt: 1_000 };
const SECOND = { name: NAME, startedAt: 2_000 };
const TASK = "job.0.0.0";

function list(startedAt: number): directory.ListedWorker {
    return {
        ...entries.createUnknownWorkerInfo(""),
        name: NAME,
        startedAt,
        address: "a:1",
        service: "booking",
        reportedAt: 0,
    };
}

/** Opens a registry with one worker, on whose first incarnation one task is placed. */
function openRegistry() {
    const time = clocks.createManualClock();
    const stops: string[] = [];
    const closedRuns: string[] = [];
    const polls: string[] = [];
    const starts = unansweredStarts.createUnansweredStarts(time);
    const jobs = fixtures.createJobRegistry({
        getWorkers: () => registry.workers.values(),
        unansweredStarts: starts,
        onStopRequested: task => stops.push(task.worker!.id),
    });
    const registry: workerRegistry.WorkerRegistry = workerRegistry.createWorkerRegistry({
        clock: time,
        log: fixtures.LOG,
        leadership: fixtures.LEADERSHIP,
        maxLeaseMs: 6_000,
        jobRegistry: jobs,
        unansweredStarts: starts,
        filterKnownServices: listed => listed,
        openSession: worker => createSession(() => polls.push(worker.id)),
        closeRun: (worker, task, run) => closedRuns.push(`${worker.id} ${task} ${run}`),
        onChanged: () => undefined,
    });
    registry.applyDirectory([list(FIRST.startedAt)]);
    const first = registry.findCurrent(NAME)!;
    const job = jobs.addJob(fixtures.createSubmission("job"));
    jobs.releaseDueOccurrences();
    const task = job.occurrences.get(0)!.steps[0]!.tasks[0]!;
    jobs.place([task], [first]);
    return { time, jobs, registry, first, task, starts, stops, closedRuns, polls };
}

function createSession(pollNow: () => void): workerSession.WorkerSession {
    return {
        hasAnsweredWithin: () => true,
        ensureReachable: async () => true,
        start: async () => ({ kind: "unwell" }),
        stop: async () => ({ kind: "unwell" }),
        pace: async () => ({ kind: "unwell" }),
        pollNow,
        close: () => undefined,
    };
}

function createPollResult(sentAt: number, fields: Partial<workerSession.PollResult> = {}): workerSession.PollResult {
    return { sentAt, running: [], ended: [], isEndListComplete: true, ...fields };
}

const RUNNING = { task: TASK, run: 1, saved: "", percent: 0, recentFigure: 0 };
const ENDED = { number: 1, task: TASK, run: 1, how: "done", saved: "" } as const;

interface Case {
    readonly name: string;
    readonly initial: Partial<entries.TaskEntry>;
    readonly pollResult: workerSession.PollResult;
    readonly phase: entries.TaskPhase;
    readonly isOnNextIncarnation: boolean;
    readonly crashBudgetUsed: number;
}

const cases: readonly Case[] = [
    {
        name: "that the first incarnation reported is lost with it",
        initial: { phase: "running", orderedAt: 10, runningSince: 20, lastReportAt: 30 },
        pollResult: createPollResult(100),
        phase: "waiting",
        isOnNextIncarnation: false,
        crashBudgetUsed: 1,
    },
    {
        name:
            "that was confirmed before the next incarnation was polled, and is not listed there, is lost with the first",
        initial: { phase: "running", orderedAt: 10, runningSince: 20 },
        pollResult: createPollResult(100),
        phase: "waiting",
        isOnNextIncarnation: false,
        crashBudgetUsed: 1,
    },
    {
        name: "that was confirmed after the next incarnation was polled is stopped there first",
        initial: { phase: "running", orderedAt: 10, runningSince: 200 },
        pollResult: createPollResult(100),
        phase: "stopping",
        isOnNextIncarnation: true,
        crashBudgetUsed: 1,
    },
    {
        name: "whose start got no answer is stopped on the next incarnation first",
        initial: { phase: "ordered", orderedAt: 1_000 },
        pollResult: createPollResult(100),
        phase: "stopping",
        isOnNextIncarnation: true,
        crashBudgetUsed: 1,
    },
    {
        name: "that an earlier leader ordered is stopped on the next incarnation first",
        initial: { phase: "running", orderedAt: 10, runningSince: 20, inherited: true },
        pollResult: createPollResult(100),
        phase: "stopping",
        isOnNextIncarnation: true,
        crashBudgetUsed: 1,
    },
    {
        name: "that the next incarnation lists continues there",
        initial: { phase: "running", orderedAt: 10, runningSince: 20 },
        pollResult: createPollResult(100, { running: [RUNNING] }),
        phase: "running",
        isOnNextIncarnation: true,
        crashBudgetUsed: 0,
    },
    {
        name: "that has ended on the next incarnation is assigned to it",
        initial: { phase: "ordered", orderedAt: 10 },
        pollResult: createPollResult(100, { ended: [ENDED] }),
        phase: "ordered",
        isOnNextIncarnation: true,
        crashBudgetUsed: 0,
    },
    {
        name: "whose start order was not sent is requeued",
        initial: {},
        pollResult: createPollResult(100),
        phase: "waiting",
        isOnNextIncarnation: false,
        crashBudgetUsed: 0,
    },
];

// Guards against a delayed start that the next incarnation carries out while the task runs elsewhere, and against
// crashes that are not counted.
describe("when the next incarnation of a worker answers, a run", () => {
    test.each(cases)("$name", ({ initial, pollResult, phase, isOnNextIncarnation, crashBudgetUsed }) => {
        const { registry, first, task, stops } = openRegistry();
        Object.assign(task, initial);
        registry.onNextIncarnation(first, SECOND, pollResult);
        const next = registry.findCurrent(NAME)!;
        expect(next.incarnation).toEqual(SECOND);
        expect(task.phase).toBe(phase);
        expect(crashHistory.getCounts(task.crashes).crashBudgetUsed).toBe(crashBudgetUsed);
        expect(task.worker === next).toBe(isOnNextIncarnation);
        expect(stops).toEqual(phase === "stopping" ? [next.id] : []);
        expect([...registry.workers.keys()]).toEqual([next.id]);
    });
});

// Guards against stale directory entries and answers that restore an earlier incarnation.
describe("the current incarnation", () => {
    test("a directory entry older than an answer does not restore the earlier incarnation", () => {
        const { registry, first } = openRegistry();
        registry.onNextIncarnation(first, SECOND, createPollResult(100));
        registry.applyDirectory([list(FIRST.startedAt)]);
        expect(registry.workers.has(first.id)).toBe(false);
        registry.applyDirectory([list(SECOND.startedAt)]);
        expect(registry.findCurrent(NAME)).toMatchObject({ incarnation: SECOND, listed: true });
    });

    test("a newly listed incarnation is not polled before the previous one has answered for its tasks", () => {
        const { registry, first, polls } = openRegistry();
        registry.applyDirectory([list(SECOND.startedAt)]);
        expect(polls).toEqual([first.id]);
        expect(registry.getSession(registry.findCurrent(NAME)!)).toBeUndefined();
        registry.onNextIncarnation(first, SECOND, createPollResult(100));
        expect(registry.getSession(registry.findCurrent(NAME)!)).toBeDefined();
    });

    test("an incarnation that a stored row names has ended once the directory lists a later one", () => {
        const { registry, first, task } = openRegistry();
        const inherited = registry.getWorker("v@rs");
        entries.unassign(task);
        entries.assign(task, inherited);
        Object.assign(task, { phase: "running", orderedAt: 10, runningSince: 10, inherited: true });
        registry.applyDirectory([list(FIRST.startedAt), { ...list(5_000), name: "v", address: "a:2" }]);
        expect(registry.workers.has(inherited.id)).toBe(false);
        expect(task).toMatchObject({ phase: "stopping", worker: registry.findCurrent("v") });
        expect(first.listed).toBe(true);
    });

    test("an entry without a start time stands for the latest known incarnation", () => {
        const { registry, first } = openRegistry();
        registry.applyDirectory([list(0)]);
        expect(registry.findCurrent(NAME)).toBe(first);
    });
});

// Guards against a worker that is not used for the rest of the term: another writer overwrites its entry with one whose
// start time is in the future, and every later entry of the worker itself looks outdated.
describe("a worker whose entry was overwritten by one with a later start time", () => {
    const PHANTOM_STARTED_AT = Number.MAX_SAFE_INTEGER;
    test.each([
        { name: "keeps its task, and its session", hasTask: true },
        { name: "gets a session again while it is idle", hasTask: false },
    ])("$name once it has written its own again", ({ hasTask }) => {
        const { registry, first, task } = openRegistry();
        if (!hasTask) {
            entries.unassign(task);
        }
        registry.applyDirectory([list(PHANTOM_STARTED_AT)]);
        registry.applyDirectory([list(FIRST.startedAt)]);
        const worker = registry.findCurrent(NAME)!;
        expect(worker).toMatchObject({ incarnation: FIRST, listed: true });
        expect(registry.getSession(worker)).toBeDefined();
        expect([...registry.workers.keys()]).toEqual([first.id]);
        expect(worker.tasks.size).toBe(hasTask ? 1 : 0);
    });

    test("does not come back by a delayed entry once its next incarnation has answered itself", () => {
        const { registry, first, task } = openRegistry();
        entries.unassign(task);
        registry.applyDirectory([list(SECOND.startedAt)]);
        registry.onConfirmed(registry.findCurrent(NAME)!);
        registry.applyDirectory([list(FIRST.startedAt)]);
        expect(registry.workers.has(first.id)).toBe(false);
    });
});

// Guards against a start without an answer that the next incarnation carries out, although the run was stopped on the
// previous one or has ended there.
describe("the run of a start that got no answer", () => {
    const OTHER = { task: "other.0.0.0", run: 3 };

    test("is stopped on the next incarnation too", () => {
        const { registry, first, starts, closedRuns } = openRegistry();
        starts.add(NAME, OTHER)(false);
        registry.onNextIncarnation(first, SECOND, createPollResult(100));
        expect(closedRuns).toEqual([`${registry.findCurrent(NAME)!.id} other.0.0.0 3`]);
    });

    test("is stopped on the next incarnation after the entry of the first was removed", () => {
        const { registry, first, task, starts, closedRuns } = openRegistry();
        starts.add(NAME, OTHER)(false);
        entries.unassign(task);
        registry.applyDirectory([]);
        expect(registry.workers.has(first.id)).toBe(false);
        registry.applyDirectory([list(SECOND.startedAt)]);
        expect(closedRuns).toEqual([`${registry.findCurrent(NAME)!.id} other.0.0.0 3`]);
    });

    test("is stopped on the next incarnation first if the repeated order was accepted and the run reported", () => {
        const { registry, first, task, starts, stops } = openRegistry();
        starts.add(NAME, { task: TASK, run: 1 })(false);
        Object.assign(task, { phase: "running", orderedAt: 10, runningSince: 20, lastReportAt: 30 });
        registry.onNextIncarnation(first, SECOND, createPollResult(100));
        expect(task.phase).toBe("stopping");
        expect(stops).toEqual([registry.findCurrent(NAME)!.id]);
    });

    test("is not stopped where the next incarnation has begun it and continues it", () => {
        const { registry, first, task, starts, closedRuns } = openRegistry();
        starts.add(NAME, { task: TASK, run: 1 })(false);
        Object.assign(task, { phase: "ordered", orderedAt: 10 });
        registry.onNextIncarnation(first, SECOND, createPollResult(100, { running: [RUNNING] }));
        expect(task).toMatchObject({ phase: "ordered", worker: registry.findCurrent(NAME) });
        expect(closedRuns).toEqual([]);
    });
});

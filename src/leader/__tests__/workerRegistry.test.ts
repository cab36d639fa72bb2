import * as clocks from "../../clock/index";
import * as crashHistory from "../crashHistory";
import type * as directory from "../directory";
import * as entries from "../entries";
import * as workerRegistry from "../workerRegistry";
import type * as workerSession from "../workerSession";
import * as fixtures from "./fixtures";

const NAME = "w";
const FIRST = { name: NAME, startedAt: 1_000 };
const SECOND = { name: NAME, startedAt: 2_000 };
const TASK = "job.0.0.0";

function list(bornAt: number): directory.ListedWorker {
    return {
        ...entries.createUnknownWorkerInfo(""),
        name: NAME,
        startedAt: bornAt,
        address: "a:1",
        service: "booking",
        reportedAt: 0,
    };
}

/** A registry with one task placed on the first life of the one worker. */
function openRegistry() {
    const time = clocks.createManualClock();
    const stops: string[] = [];
    const closed: string[] = [];
    const looks: string[] = [];
    const book = fixtures.createJobRegistry({
        getWorkers: () => registry.workers.values(),
        stopWanted: task => stops.push(task.worker!.id),
    });
    const registry: workerRegistry.WorkerRegistry = workerRegistry.createWorkerRegistry({
        clock: time,
        log: fixtures.LOG,
        leadership: fixtures.LEADERSHIP,
        maxLeaseMs: 6_000,
        jobRegistry: book,
        filterKnownServices: listed => listed,
        openSession: worker => createSession(() => looks.push(worker.id)),
        closeRun: (worker, task, run) => closed.push(`${worker.id} ${task} ${run}`),
        onChanged: () => undefined,
    });
    registry.applyDirectory([list(FIRST.startedAt)]);
    const first = registry.findCurrent(NAME)!;
    const job = book.addJob(fixtures.createSubmission("job"));
    book.releaseDueOccurrences();
    const task = job.occurrences.get(0)!.steps[0]!.tasks[0]!;
    book.place([task], [first]);
    return { time, book, registry, first, task, stops, closed, looks };
}

function createSession(lookNow: () => void): workerSession.WorkerSession {
    return {
        hasAnsweredWithin: () => true,
        ensureReachable: async () => true,
        start: async () => ({ kind: "unwell" }),
        stop: async () => ({ kind: "unwell" }),
        pace: async () => ({ kind: "unwell" }),
        pollNow: lookNow,
        close: () => undefined,
    };
}

function createLists(sentAt: number, fields: Partial<workerSession.PollResult> = {}): workerSession.PollResult {
    return { sentAt, running: [], ended: [], isEndListComplete: true, ...fields };
}

const RUNNING = { task: TASK, run: 1, saved: "", percent: 0, recentFigure: 0 };
const ENDED = { number: 1, task: TASK, run: 1, how: "done", saved: "" } as const;

interface Case {
    readonly name: string;
    readonly put: Partial<entries.TaskEntry>;
    readonly lists: workerSession.PollResult;
    readonly phase: entries.TaskPhase;
    readonly isOnNextLife: boolean;
    readonly crashBudgetUsed: number;
}

const cases: readonly Case[] = [
    {
        name: "that the first life told of is lost with it",
        put: { phase: "running", orderedAt: 10, runningSince: 20, lastReportAt: 30 },
        lists: createLists(100),
        phase: "waiting",
        isOnNextLife: false,
        crashBudgetUsed: 1,
    },
    {
        name: "that was confirmed before the next life was asked, and that it does not tell of, is lost with the first",
        put: { phase: "running", orderedAt: 10, runningSince: 20 },
        lists: createLists(100),
        phase: "waiting",
        isOnNextLife: false,
        crashBudgetUsed: 1,
    },
    {
        name: "that was confirmed after the next life was asked is closed there first",
        put: { phase: "running", orderedAt: 10, runningSince: 200 },
        lists: createLists(100),
        phase: "stopping",
        isOnNextLife: true,
        crashBudgetUsed: 1,
    },
    {
        name: "that is without an answer is closed on the next life first",
        put: { phase: "ordered", orderedAt: 1_000 },
        lists: createLists(100),
        phase: "stopping",
        isOnNextLife: true,
        crashBudgetUsed: 1,
    },
    {
        name: "that an earlier leader ordered is closed on the next life first",
        put: { phase: "running", orderedAt: 10, runningSince: 20, inherited: true },
        lists: createLists(100),
        phase: "stopping",
        isOnNextLife: true,
        crashBudgetUsed: 1,
    },
    {
        name: "that the next life tells of goes on there",
        put: { phase: "running", orderedAt: 10, runningSince: 20 },
        lists: createLists(100, { running: [RUNNING] }),
        phase: "running",
        isOnNextLife: true,
        crashBudgetUsed: 0,
    },
    {
        name: "that has ended on the next life is looked for there",
        put: { phase: "ordered", orderedAt: 10 },
        lists: createLists(100, { ended: [ENDED] }),
        phase: "ordered",
        isOnNextLife: true,
        crashBudgetUsed: 0,
    },
    {
        name: "whose order has not gone out waits again",
        put: {},
        lists: createLists(100),
        phase: "waiting",
        isOnNextLife: false,
        crashBudgetUsed: 0,
    },
];

// Guards against a start that the next life carries out while its task runs elsewhere, and against crashes not counted.
describe("when the next life of a worker answers, a run", () => {
    test.each(cases)("$name", ({ put, lists, phase, isOnNextLife, crashBudgetUsed }) => {
        const { registry, first, task, stops } = openRegistry();
        Object.assign(task, put);
        registry.onNextIncarnation(first, SECOND, lists);
        const next = registry.findCurrent(NAME)!;
        expect(next.incarnation).toEqual(SECOND);
        expect(task.phase).toBe(phase);
        expect(crashHistory.getCounts(task.crashes).crashBudgetUsed).toBe(crashBudgetUsed);
        expect(task.worker === next).toBe(isOnNextLife);
        expect(stops).toEqual(phase === "stopping" ? [next.id] : []);
        expect([...registry.workers.keys()]).toEqual([next.id]);
    });
});

// Guards against an entry of the directory, or an answer, that brings an earlier life back.
describe("which life is the present one", () => {
    test("an entry that is behind an answer does not bring the earlier life back", () => {
        const { registry, first } = openRegistry();
        registry.onNextIncarnation(first, SECOND, createLists(100));
        registry.applyDirectory([list(FIRST.startedAt)]);
        expect(registry.workers.has(first.id)).toBe(false);
        registry.applyDirectory([list(SECOND.startedAt)]);
        expect(registry.findCurrent(NAME)).toMatchObject({ incarnation: SECOND, listed: true });
    });

    test("a life that the directory lists is not asked before the one before has told what became of its tasks", () => {
        const { registry, first, looks } = openRegistry();
        registry.applyDirectory([list(SECOND.startedAt)]);
        expect(looks).toEqual([first.id]);
        expect(registry.getSession(registry.findCurrent(NAME)!)).toBeUndefined();
        registry.onNextIncarnation(first, SECOND, createLists(100));
        expect(registry.getSession(registry.findCurrent(NAME)!)).toBeDefined();
    });

    test("a life that a stored row names is over once the directory lists a later one", () => {
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

    test("an entry that does not tell is taken for the newest life known", () => {
        const { registry, first } = openRegistry();
        registry.applyDirectory([list(0)]);
        expect(registry.findCurrent(NAME)).toBe(first);
    });
});

// Guards against a start that got no answer, and is carried out by the next life after its run was closed on the one before.
test("a start that got no answer is closed on the next life too", () => {
    const { registry, first, closed } = openRegistry();
    first.unconfirmedStarts.set("other.0.0.0", 3);
    registry.onNextIncarnation(first, SECOND, createLists(100));
    expect(closed).toEqual([`${registry.findCurrent(NAME)!.id} other.0.0.0 3`]);
});

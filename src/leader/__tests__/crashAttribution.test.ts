import * as clocks from "../../clock/index";
import type * as work from "../../work/index";
import * as crashes from "../crashAttribution";
import * as crashHistory from "../crashHistory";
import * as entries from "../entries";
import * as fixtures from "./fixtures";

const STARTED_AT = 100_000;
const CRASHED_AT = STARTED_AT + 20_000;
const REVIEWED_MS = 2_500;
const RACK = 4;

function createWorker(number: number, rack = "r0"): entries.WorkerEntry {
    const info = { ...entries.createUnknownWorkerInfo(`w${number}`), address: `a${number}`, rack };
    const worker = entries.createWorkerEntry(info);
    entries.setReachable(worker, true, CRASHED_AT);
    return worker;
}

/** A task of a job of its own, or of `job`, that was confirmed at once and that its worker told of for `seenMs`. */
function addTask(
    worker: entries.WorkerEntry,
    seenMs: number,
    fields: Partial<entries.TaskEntry> = {},
    step: Partial<work.StepSpec> = {},
): entries.TaskEntry {
    const task = fixtures.createTask(`job-of-${worker.id}-${worker.tasks.size}`, step);
    const startedAt = CRASHED_AT - seenMs;
    entries.assign(task, worker);
    Object.assign(task, { phase: "running", orderedAt: startedAt, runningSince: startedAt, lastReportAt: CRASHED_AT });
    return Object.assign(task, fields);
}

/** Three earlier losses, and the current run's start. */
const createCharged = () => crashHistory.restoreCrashHistory({ knownCrashes: 0, crashBudgetUsed: 4 }, true);

type Counts = readonly [knownCrashes: number, budgetUsed: number];

interface Case {
    readonly name: string;
    /** Of the worker that is lost, of which the first task is looked at. */
    readonly put: (worker: entries.WorkerEntry) => void;
    readonly restarted?: boolean;
    readonly hasNextLife?: boolean;
    /** Meanwhile, with the other workers of its rack. */
    readonly meanwhile?: (judge: crashes.CrashAttribution, workers: readonly entries.WorkerEntry[]) => void;
    /** When the worker is lost, and after the review. */
    readonly atOnce: Counts | undefined;
    readonly reviewed: Counts | undefined;
}

const noteBack = (judge: crashes.CrashAttribution, { info }: entries.WorkerEntry) =>
    judge.recordWorkerSeen({ ...info, id: `${info.id}-again` });

const CERTAIN: Counts = [1, 1];
const LIKELY: Counts = [0.5, 1];
const POSSIBLE: Counts = [0, 1];
/** Of a run whose start was counted already. */
const LIKELY_CHARGED: Counts = [0.5, 0];
const NOTHING: Counts = [0, 0];

const cases: readonly Case[] = [
    { name: "that had just begun, alone", put: worker => addTask(worker, 10), atOnce: CERTAIN, reviewed: CERTAIN },
    {
        name: "that had just begun, and may have ended while its worker was silent",
        put: worker => addTask(worker, 950, { lastReportAt: CRASHED_AT - 950 }, { estimateMs: 1_000 }),
        atOnce: LIKELY,
        reviewed: LIKELY,
    },
    {
        name: "that had just begun, and whose connection broke long before the next life answered",
        put: worker => {
            addTask(worker, 3_000, { lastReportAt: CRASHED_AT - 3_000 });
            worker.disconnectedAt = CRASHED_AT - 2_900;
        },
        atOnce: CERTAIN,
        reviewed: CERTAIN,
    },
    {
        name: "that was confirmed after a connection to its worker broke, and may have ended since",
        put: worker => {
            addTask(worker, 3_000, { lastReportAt: CRASHED_AT - 3_000 });
            worker.disconnectedAt = CRASHED_AT - 3_100;
        },
        atOnce: LIKELY,
        reviewed: LIKELY,
    },
    {
        name: "that had been at work",
        put: worker => addTask(worker, 5_000),
        atOnce: LIKELY,
        reviewed: LIKELY,
    },
    {
        name: "that had just begun, beside one of another job",
        put: worker => [10, 20].forEach(seenMs => addTask(worker, seenMs)),
        atOnce: LIKELY,
        reviewed: LIKELY,
    },
    {
        name: "that had just begun and is suspect, beside one of another job",
        put: worker =>
            [1, 0].forEach(knownCrashes =>
                addTask(worker, 10, {
                    crashes: crashHistory.createCrashHistory({ knownCrashes, crashBudgetUsed: 0 }),
                })
            ),
        atOnce: CERTAIN,
        reviewed: CERTAIN,
    },
    {
        name: "on a worker that is only silent",
        put: worker => addTask(worker, 10),
        restarted: false,
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "on a worker that is only silent, and is replaced a moment later",
        put: worker => addTask(worker, 10),
        restarted: false,
        meanwhile: (judge, [own]) => noteBack(judge, own!),
        atOnce: POSSIBLE,
        reviewed: LIKELY,
    },
    {
        name: "on a worker that is only silent, and answers after all",
        put: worker => addTask(worker, 10),
        restarted: false,
        meanwhile: (judge, [own]) => judge.recordWorkerSeen(own!.info),
        atOnce: POSSIBLE,
        reviewed: NOTHING,
    },
    {
        name: "that an earlier leader ordered",
        put: worker => addTask(worker, 0, { inherited: true }),
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "whose start was never confirmed, and went to a worker that had not answered for a second",
        put: worker => addTask(worker, 0, { phase: "stopping", runningSince: 0, orderedAt: CRASHED_AT + 1_000 }),
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "whose start was never confirmed, and went to a worker that had just answered",
        put: worker => addTask(worker, 0, { phase: "stopping", runningSince: 0 }),
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "whose start is still under way, on a worker that has started again under its name",
        put: worker => addTask(worker, 0, { phase: "ordered", runningSince: 0, orderedAt: CRASHED_AT + 1_000 }),
        hasNextLife: true,
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "whose start is still under way",
        put: worker => addTask(worker, 0, { phase: "ordered", runningSince: 0 }),
        atOnce: undefined,
        reviewed: undefined,
    },
    {
        name: "that its worker no longer listed",
        put: worker => addTask(worker, 0, { phase: "stopping", stopReason: entries.MISSING_RUN_REASON }),
        atOnce: undefined,
        reviewed: undefined,
    },
    {
        name: "that had been at work, and whose rack is back with the worker",
        put: worker => addTask(worker, 5_000),
        meanwhile: (judge, workers) => workers.slice(1).forEach(worker => noteBack(judge, worker)),
        atOnce: LIKELY,
        reviewed: POSSIBLE,
    },
    {
        name: "that had just begun, and whose rack is back with the worker",
        put: worker => addTask(worker, 10),
        meanwhile: (judge, workers) => workers.slice(1).forEach(worker => noteBack(judge, worker)),
        atOnce: CERTAIN,
        reviewed: POSSIBLE,
    },
    {
        name: "beside two other workers that fell silent",
        put: worker => addTask(worker, 10),
        meanwhile: (_judge, workers) =>
            workers.slice(1, 3).forEach(worker => entries.setReachable(worker, false, CRASHED_AT)),
        atOnce: CERTAIN,
        reviewed: LIKELY,
    },
    {
        name: "that lasts and was at work for long",
        put: worker => addTask(worker, 90_000, {}, { lasting: true }),
        atOnce: undefined,
        reviewed: undefined,
    },
    {
        name: "that was counted when it was placed",
        put: worker => addTask(worker, 5_000, { crashes: createCharged() }),
        atOnce: LIKELY_CHARGED,
        reviewed: LIKELY_CHARGED,
    },
    {
        name: "that was counted when it was placed, on a worker that was draining",
        put: worker => {
            addTask(worker, 10, { crashes: createCharged() });
            worker.info = { ...worker.info, draining: true };
        },
        atOnce: NOTHING,
        reviewed: NOTHING,
    },
    {
        name: "that was counted when it was placed, lasts and was at work for long",
        put: worker => addTask(worker, 90_000, { crashes: createCharged() }, { lasting: true }),
        atOnce: undefined,
        reviewed: undefined,
    },
    {
        name: "on a worker that was draining",
        put: worker => {
            addTask(worker, 10);
            worker.info = { ...worker.info, draining: true };
        },
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
];

describe("the loss of a worker counts for a run", () => {
    test.each(cases)("$name", async ({ put, restarted = true, hasNextLife = false, meanwhile, atOnce, reviewed }) => {
        const time = clocks.createManualClock();
        await time.advance(CRASHED_AT);
        const workers = Array.from({ length: RACK }, (_, number) => createWorker(number));
        const judge = crashes.createCrashAttribution({
            clock: time,
            getWorkers: () => workers,
            estimateRunMs: ({ spec }) => spec.estimateMs,
            onReviewed: () => undefined,
        });
        workers.forEach(worker => judge.recordWorkerSeen(worker.info));
        put(workers[0]!);
        const task = [...workers[0]!.tasks][0]!;
        const before = crashHistory.getCounts(task.crashes);
        entries.setReachable(workers[0]!, false, CRASHED_AT);
        const loss = judge.attributeLoss(workers[0]!, { restarted, hasNextIncarnation: hasNextLife }).get(task);
        if (loss) {
            crashHistory.recordLoss(task.crashes, loss);
        }
        expect(loss && subtract(task, before)).toEqual(atOnce);
        await time.advance(200);
        meanwhile?.(judge, workers);
        await time.advance(REVIEWED_MS);
        expect(loss && subtract(task, before)).toEqual(reviewed);
    });
});

function subtract(task: entries.TaskEntry, before: crashHistory.CrashCounts): Counts {
    const { knownCrashes, crashBudgetUsed } = crashHistory.getCounts(task.crashes);
    return [knownCrashes - before.knownCrashes, crashBudgetUsed - before.crashBudgetUsed];
}

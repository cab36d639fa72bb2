import * as clocks from "../../../clock/index";
import type * as work from "../../../work/index";
import * as fixtures from "../../__tests__/fixtures";
import * as crashHistory from "../../crashHistory";
import * as entries from "../../entries";
import * as crashAttribution from "../crashAttribution";

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

/** Adds a task of a job of its own, which was confirmed at once and which its worker reported for `observedMs`. */
function addTask(
    worker: entries.WorkerEntry,
    observedMs: number,
    fields: Partial<entries.TaskEntry> = {},
    step: Partial<work.StepSpec> = {},
): entries.TaskEntry {
    const task = fixtures.createTask(`job-of-${worker.id}-${worker.tasks.size}`, step);
    const startedAt = CRASHED_AT - observedMs;
    entries.assign(task, worker);
    Object.assign(task, { phase: "running", orderedAt: startedAt, runningSince: startedAt, lastReportAt: CRASHED_AT });
    return Object.assign(task, fields);
}

/** Creates a history of three earlier losses and the charged start of the current run. */
const createCharged = () => crashHistory.restoreCrashHistory({ knownCrashes: 0, crashBudgetUsed: 4 }, true);

type Counts = readonly [knownCrashes: number, budgetUsed: number];

interface Case {
    readonly name: string;
    /** Prepares the worker that is lost; the counts of its first task are checked. */
    readonly prepare: (worker: entries.WorkerEntry) => void;
    readonly restarted?: boolean;
    readonly hasNextIncarnation?: boolean;
    /** Runs between the loss and its review, with all workers of the rack. */
    readonly meanwhile?: (
        attribution: crashAttribution.CrashAttribution,
        workers: readonly entries.WorkerEntry[],
    ) => void;
    /** Expected changes of the counts at the loss, and after the review; `undefined` if the loss does not count. */
    readonly atOnce: Counts | undefined;
    readonly reviewed: Counts | undefined;
}

const recordRestarted = (attribution: crashAttribution.CrashAttribution, { info }: entries.WorkerEntry) =>
    attribution.recordWorkerSeen({ ...info, id: `${info.id}-again` });

const CERTAIN: Counts = [1, 1];
const LIKELY: Counts = [0.5, 1];
const POSSIBLE: Counts = [0, 1];
/** Counts of a run whose start was charged before. */
const LIKELY_CHARGED: Counts = [0.5, 0];
const NOTHING: Counts = [0, 0];

const cases: readonly Case[] = [
    { name: "that had just begun, alone", prepare: worker => addTask(worker, 10), atOnce: CERTAIN, reviewed: CERTAIN },
    {
        name: "that had just begun, and may have ended while its worker was unreachable",
        prepare: worker => addTask(worker, 950, { lastReportAt: CRASHED_AT - 950 }, { estimateMs: 1_000 }),
        atOnce: LIKELY,
        reviewed: LIKELY,
    },
    {
        name: "that had just begun, on a worker whose connection broke long before the next incarnation answered",
        prepare: worker => {
            addTask(worker, 3_000, { lastReportAt: CRASHED_AT - 3_000 });
            worker.disconnectedAt = CRASHED_AT - 2_900;
        },
        atOnce: CERTAIN,
        reviewed: CERTAIN,
    },
    {
        name: "that was confirmed after a connection to its worker broke, and may have ended since",
        prepare: worker => {
            addTask(worker, 3_000, { lastReportAt: CRASHED_AT - 3_000 });
            worker.disconnectedAt = CRASHED_AT - 3_100;
        },
        atOnce: LIKELY,
        reviewed: LIKELY,
    },
    {
        name: "that had run for some time",
        prepare: worker => addTask(worker, 5_000),
        atOnce: LIKELY,
        reviewed: LIKELY,
    },
    {
        name: "that had just begun, beside one of another job",
        prepare: worker => [10, 20].forEach(observedMs => addTask(worker, observedMs)),
        atOnce: LIKELY,
        reviewed: LIKELY,
    },
    {
        name: "that had just begun and is suspect, beside one of another job",
        prepare: worker =>
            [1, 0].forEach(knownCrashes =>
                addTask(worker, 10, {
                    crashes: crashHistory.createCrashHistory({ knownCrashes, crashBudgetUsed: 0 }),
                })
            ),
        atOnce: CERTAIN,
        reviewed: CERTAIN,
    },
    {
        name: "on a worker that is merely unreachable",
        prepare: worker => addTask(worker, 10),
        restarted: false,
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "on an unreachable worker that turns out to have restarted",
        prepare: worker => addTask(worker, 10),
        restarted: false,
        meanwhile: (attribution, [own]) => recordRestarted(attribution, own!),
        atOnce: POSSIBLE,
        reviewed: LIKELY,
    },
    {
        name: "on an unreachable worker that answers again",
        prepare: worker => addTask(worker, 10),
        restarted: false,
        meanwhile: (attribution, [own]) => attribution.recordWorkerSeen(own!.info),
        atOnce: POSSIBLE,
        reviewed: NOTHING,
    },
    {
        name: "that an earlier leader ordered",
        prepare: worker => addTask(worker, 0, { inherited: true }),
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "whose start was never confirmed, and went to a worker that had not answered for a second",
        prepare: worker => addTask(worker, 0, { phase: "stopping", runningSince: 0, orderedAt: CRASHED_AT + 1_000 }),
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "whose start was never confirmed, and went to a worker that had just answered",
        prepare: worker => addTask(worker, 0, { phase: "stopping", runningSince: 0 }),
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "whose start is still in flight, on a worker that has restarted under its name",
        prepare: worker => addTask(worker, 0, { phase: "ordered", runningSince: 0, orderedAt: CRASHED_AT + 1_000 }),
        hasNextIncarnation: true,
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
    {
        name: "whose start is still in flight",
        prepare: worker => addTask(worker, 0, { phase: "ordered", runningSince: 0 }),
        atOnce: undefined,
        reviewed: undefined,
    },
    {
        name: "that its worker no longer listed",
        prepare: worker => addTask(worker, 0, { phase: "stopping", stopReason: entries.MISSING_RUN_REASON }),
        atOnce: undefined,
        reviewed: undefined,
    },
    {
        name: "that had run for some time, and whose rack restarted with the worker",
        prepare: worker => addTask(worker, 5_000),
        meanwhile: (attribution, workers) => workers.slice(1).forEach(worker => recordRestarted(attribution, worker)),
        atOnce: LIKELY,
        reviewed: POSSIBLE,
    },
    {
        name: "that had just begun, and whose rack restarted with the worker",
        prepare: worker => addTask(worker, 10),
        meanwhile: (attribution, workers) => workers.slice(1).forEach(worker => recordRestarted(attribution, worker)),
        atOnce: CERTAIN,
        reviewed: POSSIBLE,
    },
    {
        name: "on a worker that became unreachable with two others",
        prepare: worker => addTask(worker, 10),
        meanwhile: (_attribution, workers) =>
            workers.slice(1, 3).forEach(worker => entries.setReachable(worker, false, CRASHED_AT)),
        atOnce: CERTAIN,
        reviewed: LIKELY,
    },
    {
        name: "of a lasting task that had run for long",
        prepare: worker => addTask(worker, 90_000, {}, { lasting: true }),
        atOnce: undefined,
        reviewed: undefined,
    },
    {
        name: "whose start was charged",
        prepare: worker => addTask(worker, 5_000, { crashes: createCharged() }),
        atOnce: LIKELY_CHARGED,
        reviewed: LIKELY_CHARGED,
    },
    {
        name: "whose start was charged, on a draining worker",
        prepare: worker => {
            addTask(worker, 10, { crashes: createCharged() });
            worker.info = { ...worker.info, draining: true };
        },
        atOnce: NOTHING,
        reviewed: NOTHING,
    },
    {
        name: "of a lasting task whose start was charged and that had run for long",
        prepare: worker => addTask(worker, 90_000, { crashes: createCharged() }, { lasting: true }),
        atOnce: undefined,
        reviewed: undefined,
    },
    {
        name: "on a draining worker",
        prepare: worker => {
            addTask(worker, 10);
            worker.info = { ...worker.info, draining: true };
        },
        atOnce: POSSIBLE,
        reviewed: POSSIBLE,
    },
];

// Guards against tasks that crash their workers without ever failing, and against crashes attributed to healthy tasks.
describe("the loss of a worker is attributed to a run", () => {
    test.each(cases)(
        "$name",
        async ({ prepare, restarted = true, hasNextIncarnation = false, meanwhile, atOnce, reviewed }) => {
            const time = clocks.createManualClock();
            await time.advance(CRASHED_AT);
            const workers = Array.from({ length: RACK }, (_, number) => createWorker(number));
            const attribution = crashAttribution.createCrashAttribution({
                clock: time,
                getWorkers: () => workers,
                estimateRunMs: ({ spec }) => spec.estimateMs,
                onReviewed: () => undefined,
            });
            workers.forEach(worker => attribution.recordWorkerSeen(worker.info));
            prepare(workers[0]!);
            const task = [...workers[0]!.tasks][0]!;
            const before = crashHistory.getCounts(task.crashes);
            entries.setReachable(workers[0]!, false, CRASHED_AT);
            const loss = attribution.attributeLoss(workers[0]!, { restarted, hasNextIncarnation }).get(task);
            if (loss) {
                crashHistory.recordLoss(task.crashes, loss);
            }
            expect(loss && subtract(task, before)).toEqual(atOnce);
            await time.advance(200);
            meanwhile?.(attribution, workers);
            await time.advance(REVIEWED_MS);
            expect(loss && subtract(task, before)).toEqual(reviewed);
        },
    );
});

function subtract(task: entries.TaskEntry, before: crashHistory.CrashCounts): Counts {
    const { knownCrashes, crashBudgetUsed } = crashHistory.getCounts(task.crashes);
    return [knownCrashes - before.knownCrashes, crashBudgetUsed - before.crashBudgetUsed];
}

const UNCONFIRMED = { phase: "stopping", runningSince: 0, lastReportAt: 0 } as const;

// Guards against giving up a healthy task whose unanswered starts went to workers that another task had crashed.
describe("a lost run beside one of another job that is a likely crash", () => {
    const { OtherCause } = crashHistory;
    test.each([
        { name: "may be due to it while it is open", fields: UNCONFIRMED, cause: OtherCause.Possible },
        {
            name: "is not due to it once it has ended otherwise",
            fields: UNCONFIRMED,
            end: (other: entries.TaskEntry) => {
                other.step.occurrence.isEnded = true;
            },
            cause: OtherCause.None,
        },
        {
            name: "is due to it once it was given up for its crashes",
            fields: UNCONFIRMED,
            end: (other: entries.TaskEntry) => {
                other.step.crashesWorkers = true;
                other.step.occurrence.isEnded = true;
            },
            cause: OtherCause.Known,
        },
        { name: "is not due to it if the lost run was confirmed", fields: {}, cause: OtherCause.None },
        {
            name: "is not due to it if an earlier leader ordered the lost run",
            fields: { ...UNCONFIRMED, inherited: true },
            cause: OtherCause.None,
        },
    ])("$name", async ({ fields, end, cause }) => {
        const time = clocks.createManualClock();
        await time.advance(CRASHED_AT);
        const worker = createWorker(0);
        const attribution = crashAttribution.createCrashAttribution({
            clock: time,
            getWorkers: () => [worker],
            estimateRunMs: ({ spec }) => spec.estimateMs,
            onReviewed: () => undefined,
        });
        const task = addTask(worker, 10, fields);
        const other = addTask(worker, 10);
        entries.setReachable(worker, false, CRASHED_AT);
        const losses = attribution.attributeLoss(worker, { restarted: true, hasNextIncarnation: false });
        losses.forEach((loss, { crashes }) => crashHistory.recordLoss(crashes, loss));
        end?.(other);
        expect(losses.get(task)?.findOtherCause()).toBe(cause);
    });
});

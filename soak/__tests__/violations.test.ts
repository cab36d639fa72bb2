import type * as emulator from "../../src/emulator/index";
import * as work from "../../src/work/index";
import * as verdict from "../violations";

const JOB: emulator.EmulatedJob = {
    jobId: "00000000000000aa",
    queue: "urgent",
    account: "office",
    spec: {
        payload: "",
        steps: [{ ...work.DEFAULT_STEP, count: 2, needs: work.NO_RESOURCES, estimateMs: 1_000 }],
        repeats: 0,
        firstDueAt: 0,
        periodMs: 0,
    },
    durationsMs: [1_000],
};
const TASKS = [`${JOB.jobId}.0.0.0`, `${JOB.jobId}.0.0.1`];
const ALWAYS_CALM: verdict.FaultFreeTimes = { isFaultFree: () => true };
const NEVER_CALM: verdict.FaultFreeTimes = { isFaultFree: () => false };

function createRecord(fields: Partial<verdict.JobRecord>): verdict.JobRecord {
    return {
        job: JOB,
        refused: false,
        acceptedAt: 0,
        cancelSentAt: undefined,
        cancelledAt: undefined,
        state: "completed",
        ...fields,
    };
}

type Seen = Pick<
    emulator.EmulatedWorkers,
    "breaches" | "starts" | "aloneEnds" | "shrunkStarts" | "lossTimes" | "lossCounts" | "doneCounts"
>;

function createWorkers(fields: Partial<Seen>): emulator.EmulatedWorkers {
    const seen: Seen = {
        breaches: [],
        starts: [],
        aloneEnds: [],
        shrunkStarts: [],
        lossTimes: [],
        lossCounts: new Map(),
        doneCounts: new Map(),
        ...fields,
    };
    return seen as emulator.EmulatedWorkers;
}

function startAt(at: number, workerId = "w") {
    return { task: TASKS[0]!, run: 1, workerId, incarnationId: workerId, at };
}

interface Case {
    readonly name: string;
    readonly record?: Partial<verdict.JobRecord>;
    readonly workers?: Partial<Seen>;
    readonly drainedAt?: number;
    readonly calm?: verdict.FaultFreeTimes;
    /** Part of the one breach; without it there is none. */
    readonly breach?: string;
}

const cases: readonly Case[] = [
    { name: "a job that is completed" },
    { name: "a job that is lost", record: { state: undefined }, breach: "is not shown, not completed" },
    { name: "a job that is shown as failed", record: { state: "failed" }, breach: "is failed, not completed" },
    { name: "a job that is cancelled", record: { state: "cancelled", cancelSentAt: 5, cancelledAt: 6 } },
    { name: "a job that was turned away", record: { refused: true, acceptedAt: undefined, state: undefined } },
    {
        name: "a job that was turned away, and runs",
        record: { refused: true, acceptedAt: undefined, state: undefined },
        workers: { starts: [startAt(1)] },
        breach: "ran, but each attempt",
    },
    { name: "a job of which nobody knows", record: { acceptedAt: undefined, state: undefined } },
    {
        name: "a start soon after the cancellation",
        record: { state: "cancelled", cancelSentAt: 0, cancelledAt: 0 },
        workers: { starts: [startAt(3_400)] },
    },
    {
        name: "a start long after the cancellation",
        record: { state: "cancelled", cancelSentAt: 0, cancelledAt: 0 },
        workers: { starts: [startAt(3_600)] },
        breach: "3600 ms after the cancellation",
    },
    {
        name: "a start long after the cancellation, in trouble",
        record: { state: "cancelled", cancelSentAt: 0, cancelledAt: 0 },
        workers: { starts: [startAt(3_600)] },
        calm: NEVER_CALM,
    },
    { name: "a start on a worker that begins to drain", workers: { starts: [startAt(2_400)] }, drainedAt: 0 },
    {
        name: "a start on a worker that drains",
        workers: { starts: [startAt(2_600)] },
        drainedAt: 0,
        breach: "started on w 2600 ms after it began to drain",
    },
    {
        name: "a start on another worker meanwhile",
        workers: { starts: [startAt(2_600, "v")] },
        drainedAt: 0,
    },
    { name: "a part of a gang", workers: { aloneEnds: [startAt(9_000)] }, breach: "waited in vain" },
    { name: "a part of a gang in trouble", workers: { aloneEnds: [startAt(9_000)] }, calm: NEVER_CALM },
    {
        name: "a part of a gang long after a loss",
        workers: { aloneEnds: [startAt(9_000)], lossTimes: [3_900] },
        breach: "in vain",
    },
    { name: "a part of a gang that lost a worker", workers: { aloneEnds: [startAt(9_000)], lossTimes: [4_100] } },
    {
        name: "a start over a capacity that had shrunk",
        workers: { shrunkStarts: [startAt(9_000)] },
        breach: "had shrunk",
    },
    {
        name: "a start over a capacity that had shrunk, held up in trouble",
        workers: { shrunkStarts: [startAt(9_000)] },
        calm: NEVER_CALM,
    },
    {
        name: "a job that is shown as failed after one worker was lost",
        record: { state: "failed" },
        workers: { lossCounts: new Map([[TASKS[0]!, 1], [TASKS[1]!, 1]]) },
        breach: "is failed, not completed",
    },
    {
        name: "a job that is shown as failed after two workers were lost under one of its tasks",
        record: { state: "failed" },
        workers: { lossCounts: new Map([[TASKS[0]!, 2]]) },
    },
    { name: "what a worker has seen", workers: { breaches: ["a task ran twice"] }, breach: "a task ran twice" },
];

test.each(cases)("$name", ({ record = {}, workers = {}, drainedAt, calm = ALWAYS_CALM, breach }) => {
    const breaches = verdict.findViolations({
        jobs: [createRecord(record)],
        workers: createWorkers(workers),
        drains: drainedAt === undefined ? [] : [{ lifeId: "w", at: drainedAt }],
        faultFreeTimes: calm,
    });
    expect(breaches).toEqual(breach === undefined ? [] : [expect.stringContaining(breach)]);
});

test("a job is shown as completed when all of its tasks have ended well, and not before", () => {
    const record = createRecord({});
    const half = createWorkers({ doneCounts: new Map([[TASKS[0]!, 1]]) });
    const whole = createWorkers({ doneCounts: new Map(TASKS.map(task => [task, 1])) });
    expect(verdict.checkReportedState(record, "completed", half)).toEqual([expect.stringContaining(TASKS[1]!)]);
    expect(verdict.checkReportedState(record, "completed", whole)).toEqual([]);
    expect(verdict.checkReportedState(record, "running", half)).toEqual([]);
});

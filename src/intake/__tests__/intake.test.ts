import type * as catalogs from "../../catalog/index";
import * as clocks from "../../clock/index";
import * as emulator from "../../emulator/index";
import * as telemetry from "../../telemetry/index";
import * as work from "../../work/index";
import * as intakes from "../index";

const QUEUE: catalogs.Queue = {
    name: "q",
    host: "h",
    pathPrefix: "/",
    service: "s",
    priority: 1,
    maxAttempts: 1,
    stretch: 1,
    objectiveMs: 0,
    needsKey: true,
};
const SPEC: work.JobSpec = { payload: "p", steps: [], repeats: 0, firstDueAt: 0, periodMs: 0 };
const JOB = "00000000000000aa";
const CALLER_TIMEOUT_MS = 3_000;

interface Opened {
    readonly time: clocks.ManualClock;
    readonly store: emulator.EmulatedStore;
    readonly intake: intakes.Intake;
    submit(): Promise<{ reply: intakes.IntakeReply; tookMs: number; }>;
}

interface OpenOptions {
    readonly decide?: (call: number) => emulator.StoreFault;
    readonly isUnreachable?: boolean;
    /** The store counts as unreachable after this many calls. */
    readonly unreachableAfterCalls?: number;
    /** Time since the last answer of the store. */
    readonly silenceMs?: number;
    readonly countsAgeMs?: number;
    /** Counts published by the leader; `complete` if they cover all queues. */
    readonly counts?: { readonly counts: Readonly<Record<string, number>>; readonly complete: boolean; };
}

function open(options: OpenOptions): Opened {
    const time = clocks.createManualClock(1_000);
    let calls = 0;
    const store = emulator.createEmulatedStore({
        clock: time,
        latencyMs: 5,
        faults: { decide: () => options.decide?.(calls++) ?? "none", lateMs: 500 },
    });
    const intake = intakes.createIntake({
        store: store.open("a"),
        health: {
            getUnreachableMs: () =>
                options.isUnreachable || calls >= (options.unreachableAfterCalls ?? Infinity) ? 0 : undefined,
            getTimeSinceAnswerMs: () => options.silenceMs ?? 0,
            getLatencyMs: () => 0,
        },
        clock: time,
        log: { info: () => undefined, warn: () => undefined, error: () => undefined },
        ...telemetry.createMetrics(),
        getMaxRowBytes: () => 65_536,
        getPublishedCounts: () => ({
            ...(options.counts ?? { counts: { q: 4 }, complete: true }),
            ageMs: options.countsAgeMs ?? 0,
        }),
    });
    const submit = async () => {
        const startedAt = time.now();
        const pending = intake.submit(createCaller(time), JOB, SPEC);
        let tookMs: number | undefined;
        void pending.then(() => {
            tookMs = time.now() - startedAt;
        });
        while (tookMs === undefined) {
            await time.advance(5);
        }
        return { reply: await pending, tookMs };
    };
    return { time, store, intake, submit };
}

function createCaller(time: clocks.Clock): intakes.Caller {
    return { requestId: "r", queue: QUEUE, account: "x", deadlineAt: time.now() + CALLER_TIMEOUT_MS };
}

describe("a submission", () => {
    interface Case extends OpenOptions {
        readonly name: string;
        readonly kind: intakes.IntakeReply["kind"];
        readonly maxMs: number;
        /** Expected rows of jobs in the end. */
        readonly rows: number;
    }
    const cases: readonly Case[] = [
        { name: "is stored before it is accepted", kind: "accepted", maxMs: 20, rows: 1 },
        {
            name: "whose answer was lost is accepted after a retry",
            decide: call => call === 0 ? "loseAnswer" : "none",
            kind: "accepted",
            maxMs: 1_200,
            rows: 1,
        },
        {
            name: "that is carried out late and retried creates one job",
            decide: call => call === 0 ? "late" : "none",
            kind: "accepted",
            maxMs: 1_200,
            rows: 1,
        },
        {
            name: "that the store rejects is refused soon",
            decide: () => "refuse",
            kind: "notAccepted",
            maxMs: 400,
            rows: 0,
        },
        {
            name: "that may have been written is undecided, never refused",
            decide: call => call === 0 ? "loseAnswer" : "refuse",
            kind: "undecided",
            maxMs: CALLER_TIMEOUT_MS,
            rows: 1,
        },
        {
            // Guards against callers that wait 2.9 s for an undecided outcome while other instances could serve them:
            // the store resets connections, and a write without an answer is repeated to no effect until the deadline.
            name: "is undecided at once if the store becomes unreachable during its write",
            decide: call => call === 0 ? "loseAnswer" : "refuse",
            unreachableAfterCalls: 1,
            kind: "undecided",
            maxMs: 1_000,
            rows: 1,
        },
        {
            name: "is refused at once, and nothing is sent, while the store is unreachable",
            isUnreachable: true,
            kind: "notAccepted",
            maxMs: 5,
            rows: 0,
        },
        {
            // Guards against submissions with status 504, whose callers do not retry, at the beginning of an outage:
            // the store falls silent, and the write of a job gets no answer, so its outcome is unknown.
            name: "to a store that has fallen silent is refused before anything is written",
            decide: () => "silent",
            silenceMs: 400,
            kind: "notAccepted",
            maxMs: 1_800,
            rows: 0,
        },
        {
            name: "to a store that answers again after a silence is stored",
            silenceMs: 400,
            kind: "accepted",
            maxMs: 30,
            rows: 1,
        },
    ];
    test.each(cases)("$name", async ({ kind, maxMs, rows, ...options }) => {
        const opened = open(options);
        const { reply, tookMs } = await opened.submit();
        await opened.time.advance(2_000);
        expect(reply.kind).toBe(kind);
        expect(tookMs).toBeLessThanOrEqual(maxMs);
        expect(opened.store.getRows("jobs")).toHaveLength(rows);
    });
});

describe("a submission that can never run", () => {
    // Guards against leaders that crash while they read the jobs: a job of a billion tasks is accepted if only the
    // length of the request's body is limited.
    const needs = { cpuMillis: 1, memoryMb: 1, accelerators: 0 };
    const step: work.StepSpec = { ...work.DEFAULT_STEP, count: 1, needs, estimateMs: 1 };
    const cases: ReadonlyArray<readonly [name: string, spec: work.JobSpec]> = [
        ["with more tasks than can be stored", { ...SPEC, steps: [{ ...step, count: 1e9 }] }],
        ["with a spec longer than a row", { ...SPEC, steps: Array.from({ length: 600 }, () => step) }],
    ];
    test.each(cases)("%s is refused at once, with the reason, and leaves nothing behind", async (_name, spec) => {
        const { time, store, intake } = open({});
        const reply = await intake.submit(createCaller(time), JOB, spec);
        expect(reply).toMatchObject({ kind: "impossible", reason: expect.stringContaining("more than") });
        expect(store.getRows("jobs")).toEqual([]);
    });
});

describe("a count", () => {
    async function count(opened: Opened): Promise<intakes.IntakeReply> {
        const pending = opened.intake.count(createCaller(opened.time));
        await opened.time.advance(100);
        return pending;
    }

    test("is the one published by the leader while that is recent", async () => {
        expect(await count(open({}))).toEqual({ kind: "waiting", count: 4 });
    });

    test.each([
        ["is zero for a queue without a count if the leader published the counts of all queues", true, 0],
        ["is taken from the rows if the published counts omit the queue", false, 1],
    ])("%s", async (_name, complete, expected) => {
        const opened = open({ counts: { counts: { other: 9 }, complete } });
        await opened.submit();
        expect(await count(opened)).toEqual({ kind: "waiting", count: expected });
    });

    test("is taken from the rows if the published counts are old", async () => {
        // Guards against a count of zero while jobs wait: the leader is lost or has just begun, and its last counts, or
        // none, are used.
        const opened = open({ countsAgeMs: 10_000 });
        await opened.submit();
        expect(await count(opened)).toEqual({ kind: "waiting", count: 1 });
    });

    test("from the rows includes those beyond the first page", async () => {
        // Guards against a count that is too low by more than half: there are more rows than the store returns in one
        // answer, and only the first page is read.
        const opened = open({ countsAgeMs: 10_000 });
        const waiting = 620;
        for (let number = 0; number < waiting; number++) {
            const jobId = number.toString(16).padStart(16, "0");
            const submission: work.Submission = { jobId, queue: QUEUE, account: "x", acceptedAt: 0, spec: SPEC };
            opened.store.put({
                table: "jobs",
                part: work.getIntakePart(jobId),
                key: jobId,
                value: JSON.stringify(submission),
            });
        }
        expect(await count(opened)).toEqual({ kind: "waiting", count: waiting });
    });
});

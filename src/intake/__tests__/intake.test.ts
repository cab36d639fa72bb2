import type * as admission from "../../admission/index";
import type * as catalogs from "../../catalog/index";
import * as clocks from "../../clock/index";
import * as emulator from "../../emulator/index";
import type * as rows from "../../rows/index";
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
    readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
    submit(jobId?: string): Promise<{ reply: intakes.IntakeReply; tookMs: number; }>;
}

interface OpenOptions {
    readonly decide?: (call: number) => emulator.StoreFault;
    readonly isUnreachable?: boolean;
    /** The store counts as unreachable after this many calls. */
    readonly unreachableAfterCalls?: number;
    /** Whether the store leaves out the rows of a conflict. */
    readonly hidesConflictingRows?: boolean;
    /** Time since the last answer of the store. */
    readonly silenceMs?: number;
    readonly countsAgeMs?: number;
    /** Delay of calls that are carried out late. */
    readonly lateMs?: number;
    /** The leader's load as the instance knows it; without it the instance has no admission. */
    readonly view?: admission.LoadView;
    /** Counts published by the leader; `complete` if they cover all queues. */
    readonly counts?: { readonly counts: Readonly<Record<string, number>>; readonly complete: boolean; };
}

function open(options: OpenOptions): Opened {
    const time = clocks.createManualClock(1_000);
    let calls = 0;
    const lines: Array<Readonly<Record<string, unknown>>> = [];
    const recordLine = (event: string, fields?: Readonly<Record<string, unknown>>) =>
        void lines.push({ event, ...fields });
    const store = emulator.createEmulatedStore({
        clock: time,
        latencyMs: 5,
        faults: { decide: () => options.decide?.(calls++) ?? "none", lateMs: options.lateMs ?? 500 },
    });
    const opened = store.open("a");
    const transact: rows.RowStore["transact"] = async (tx, timeoutMs) => {
        const result = await opened.transact(tx, timeoutMs);
        return result.kind === "conflict" && options.hidesConflictingRows ? { ...result, rows: [] } : result;
    };
    const intake = intakes.createIntake({
        store: { ...opened, transact },
        health: {
            getUnreachableMs: () =>
                options.isUnreachable || calls >= (options.unreachableAfterCalls ?? Infinity) ? 0 : undefined,
            getTimeSinceAnswerMs: () => options.silenceMs ?? 0,
            getLatencyMs: () => 0,
        },
        clock: time,
        log: { info: recordLine, warn: recordLine, error: recordLine },
        ...telemetry.createMetrics(),
        getMaxRowBytes: () => 65_536,
        getLoadView: options.view && (() => options.view),
        getPublishedCounts: () => ({
            ...(options.counts ?? { counts: { q: 4 }, complete: true }),
            ageMs: options.countsAgeMs ?? 0,
        }),
    });
    const submit = async (jobId = JOB) => {
        const startedAt = time.now();
        const pending = intake.submit(createCaller(time), jobId, SPEC);
        let tookMs: number | undefined;
        void pending.then(() => {
            tookMs = time.now() - startedAt;
        });
        while (tookMs === undefined) {
            await time.advance(5);
        }
        return { reply: await pending, tookMs };
    };
    return { time, store, intake, lines, submit };
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
            // Guards against a refusal of a job that is stored: a conflict was taken for one with a cancellation.
            name: "whose answer was lost is undecided if the conflict of its repetition names no row",
            decide: call => call === 0 ? "loseAnswer" : "none",
            hidesConflictingRows: true,
            kind: "undecided",
            maxMs: CALLER_TIMEOUT_MS,
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

/** A job of the queue can wait for no time at all: its objective is 0. */
const OVERLOAD: admission.LoadView = {
    summary: {
        computedAt: 0,
        queues: new Map([["q", { waitingJobs: 50, lateWaitMs: 40_000, waits: [{ slackMs: 0, waitMs: 20_000 }] }]]),
        accountsBeyondGuarantee: new Set(),
    },
    ageMs: 300,
};
const OTHER_JOB = "00000000000000bb";

describe("a submission to an overloaded queue", () => {
    test("is refused after the job was looked up, stored nowhere, and logged with what decided", async () => {
        const { store, lines, submit } = open({ view: OVERLOAD });
        const { reply, tookMs } = await submit();
        expect(reply).toMatchObject({ kind: "notAccepted", reason: "refused for load", final: true });
        expect(tookMs).toBeLessThanOrEqual(10);
        expect(store.getRows("jobs")).toEqual([]);
        expect(lines.at(-1)).toMatchObject({
            event: "request",
            admission: "refused",
            expectedWaitMs: 40_000,
            maxWaitMs: 0,
            loadAgeMs: 300,
        });
    });

    test("is told to return sooner when it was refused before", async () => {
        const { time, submit } = open({ view: OVERLOAD });
        const first = (await submit()).reply;
        await time.advance(5_000);
        const second = (await submit()).reply;
        if (first.kind !== "notAccepted" || second.kind !== "notAccepted") {
            throw new Error("not refused");
        }
        expect(first.retryAfterMs - second.retryAfterMs).toBeGreaterThanOrEqual(5_000);
    });

    test("of a job that is stored already is accepted", async () => {
        // Guards against an untrue refusal: the answer to the first submission was lost, and the caller sends it again.
        const opened = open({ view: OVERLOAD });
        opened.store.put({ table: "jobs", part: work.getIntakePart(JOB), key: JOB, value: "{}" });
        expect((await opened.submit()).reply).toEqual({ kind: "accepted" });
        expect((await opened.submit(OTHER_JOB)).reply).toMatchObject({ kind: "notAccepted" });
    });

    test("is not refused for load if the job cannot be looked up", async () => {
        const { submit, lines } = open({ view: OVERLOAD, decide: call => call < 3 ? "refuse" : "none" });
        expect((await submit()).reply).toEqual({ kind: "accepted" });
        expect(lines.at(-1)).toMatchObject({ admission: "mayBeStored" });
    });

    test("of a job whose earlier write may still be carried out is not refused for load", async () => {
        // Guards against an untrue refusal: the write of the first submission is carried out after the look-up. The
        // overload begins after that submission, so it is not refused itself.
        const view = { ...OVERLOAD, ageMs: 3_000 };
        let isRefusing = true;
        const decide = (call: number) => call === 0 ? "late" : isRefusing ? "refuse" : "none";
        const opened = open({ view, lateMs: 6_000, decide });
        expect((await opened.submit()).reply).toMatchObject({ kind: "undecided" });
        Object.assign(view, { ageMs: 0 });
        isRefusing = false;
        expect((await opened.submit()).reply).toEqual({ kind: "accepted" });
        expect(opened.lines.at(-1)).toMatchObject({ admission: "mayBeStored" });
        expect((await opened.submit(OTHER_JOB)).reply).toMatchObject({ reason: "refused for load" });
    });

    test("is refused because of the store, not for load, while the store is unreachable", async () => {
        const { reply, tookMs } = await open({ view: OVERLOAD, isUnreachable: true }).submit();
        expect(reply).toMatchObject({ kind: "notAccepted", reason: "the store cannot be reached" });
        expect(tookMs).toBeLessThanOrEqual(5);
    });
});

describe("Retry-After while the store does not serve the instance", () => {
    const IDS = Array.from({ length: 40 }, (_, number) => number.toString(16).padStart(16, "0"));
    const getRetries = async (silenceMs: number, view?: admission.LoadView) => {
        const { submit } = open({ isUnreachable: true, silenceMs, view });
        const retries: number[] = [];
        for (const id of IDS) {
            const { reply, tookMs } = await submit(id);
            expect(tookMs).toBeLessThanOrEqual(5);
            retries.push(reply.kind === "notAccepted" ? reply.retryAfterMs : NaN);
        }
        return retries;
    };

    test("grows with the outage and is spread, with admission", async () => {
        const early = await getRetries(100, OVERLOAD);
        const late = await getRetries(5_000, OVERLOAD);
        expect(Math.min(...early)).toBeGreaterThanOrEqual(500);
        expect(Math.max(...early)).toBeLessThan(Math.min(...late));
        expect(Math.max(...late)).toBeLessThanOrEqual(2_000);
        expect(Math.max(...late) - Math.min(...late)).toBeGreaterThan(200);
    });

    test("is one second without admission", async () => {
        expect(new Set(await getRetries(5_000))).toEqual(new Set([1_000]));
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

    // Guards against an instance that ends for want of memory when many callers ask for counts that nobody publishes.
    test("is read once for all callers that ask meanwhile", async () => {
        let calls = 0;
        const opened = open({
            countsAgeMs: 10_000,
            decide: () => {
                calls++;
                return "none";
            },
        });
        await count(opened);
        const callsOfOne = calls;
        const pending = Array.from({ length: 50 }, () => opened.intake.count(createCaller(opened.time)));
        await opened.time.advance(1_000);
        const replies = await Promise.all(pending);
        expect(new Set(replies.map(reply => JSON.stringify(reply))).size).toBe(1);
        expect(calls).toBe(2 * callsOfOne);
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

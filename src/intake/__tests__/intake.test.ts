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
const PATIENCE_MS = 3_000;

interface Opened {
    readonly time: clocks.ManualClock;
    readonly store: emulator.EmulatedStore;
    readonly intake: intakes.Intake;
    submit(): Promise<{ reply: intakes.IntakeReply; tookMs: number; }>;
}

interface OpenOptions {
    readonly decide?: (call: number) => emulator.StoreFault;
    readonly away?: boolean;
    /** The store counts as away from so many calls on. */
    readonly lostAfterCalls?: number;
    /** Since the store last answered. */
    readonly silenceMs?: number;
    readonly countsAgeMs?: number;
    /** The leader's counts, of some queues only or of all. */
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
            getAwayMs: () => options.away || calls >= (options.lostAfterCalls ?? Infinity) ? 0 : undefined,
            getSilenceMs: () => options.silenceMs ?? 0,
            getAnswerMs: () => 0,
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
    return { requestId: "r", queue: QUEUE, account: "x", deadlineAt: time.now() + PATIENCE_MS };
}

describe("a submission", () => {
    interface Case extends OpenOptions {
        readonly name: string;
        readonly kind: intakes.IntakeReply["kind"];
        readonly mostMs: number;
        /** Rows of jobs that are there in the end. */
        readonly rows: number;
    }
    const cases: readonly Case[] = [
        { name: "is stored before it is accepted", kind: "accepted", mostMs: 20, rows: 1 },
        {
            name: "whose answer was lost is found by repeating it",
            decide: call => call === 0 ? "loseAnswer" : "none",
            kind: "accepted",
            mostMs: 1_200,
            rows: 1,
        },
        {
            name: "that comes late after all remains one job",
            decide: call => call === 0 ? "late" : "none",
            kind: "accepted",
            mostMs: 1_200,
            rows: 1,
        },
        {
            name: "that the store turns away is refused soon",
            decide: () => "refuse",
            kind: "notAccepted",
            mostMs: 400,
            rows: 0,
        },
        {
            name: "that may have been written is never called refused",
            decide: call => call === 0 ? "loseAnswer" : "refuse",
            kind: "undecided",
            mostMs: PATIENCE_MS,
            rows: 1,
        },
        {
            // Symptom: callers wait for 2.9 s and are told nothing, though other instances could serve them. Sequence: the
            // store resets connections; a write has no answer. Cause: it is repeated until the deadline, in vain.
            name: "is left open at once when the store is lost with its write under way",
            decide: call => call === 0 ? "loseAnswer" : "refuse",
            lostAfterCalls: 1,
            kind: "undecided",
            mostMs: 1_000,
            rows: 1,
        },
        {
            name: "is refused at once, with nothing sent, while the store is away",
            away: true,
            kind: "notAccepted",
            mostMs: 5,
            rows: 0,
        },
        {
            // Symptom: at the beginning of an outage jobs end with 504, and their callers do not come back. Sequence:
            // the store falls silent; a job is handed in. Cause: the write has no answer, so nothing can be promised.
            name: "to a store that has fallen silent is refused for certain, before anything is written",
            decide: () => "silent",
            silenceMs: 400,
            kind: "notAccepted",
            mostMs: 1_800,
            rows: 0,
        },
        {
            name: "that the store answers after a silence is stored",
            silenceMs: 400,
            kind: "accepted",
            mostMs: 30,
            rows: 1,
        },
    ];
    test.each(cases)("$name", async ({ kind, mostMs, rows, ...options }) => {
        const opened = open(options);
        const { reply, tookMs } = await opened.submit();
        await opened.time.advance(2_000);
        expect(reply.kind).toBe(kind);
        expect(tookMs).toBeLessThanOrEqual(mostMs);
        expect(opened.store.getRows("jobs")).toHaveLength(rows);
    });
});

describe("a submission that can never be carried out", () => {
    // Symptom: every leader ends as it reads the jobs. Sequence: a caller hands in a job of a billion tasks, and it is
    // accepted. Cause: only the length of a body was bounded.
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

    test("is the leader's while that is recent", async () => {
        expect(await count(open({}))).toEqual({ kind: "waiting", count: 4 });
    });

    test.each([
        ["none waits of a queue that the leader does not count among all", true, 0],
        ["it is taken from the rows where the leader's counts had no room for the queue", false, 1],
    ])("%s", async (_name, complete, expected) => {
        const opened = open({ counts: { counts: { other: 9 }, complete } });
        await opened.submit();
        expect(await count(opened)).toEqual({ kind: "waiting", count: expected });
    });

    test("is taken from the rows when no leader has told for a while", async () => {
        // Symptom: no job is said to wait while some do. Sequence: the leader is lost or has just begun. Cause: its last
        // counts, or none, were given for the truth.
        const opened = open({ countsAgeMs: 10_000 });
        await opened.submit();
        expect(await count(opened)).toEqual({ kind: "waiting", count: 1 });
    });

    test("from the rows counts those beyond the first page, too", async () => {
        // Symptom: fewer jobs are said to wait than half of those that do. Sequence: more rows than the store returns
        // in one answer, and no leader that counts. Cause: only the first page was read.
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

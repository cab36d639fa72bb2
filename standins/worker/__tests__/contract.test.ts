/** Contract tests of a worker, run against the stand-in's core and through the HTTP client and server. */
import type * as clock from "../../../src/clock/index";
import * as random from "../../../src/random/index";
import * as workers from "../../../src/workers/index";
import * as stoppableClock from "../../stoppableClock";
import * as standin from "../index";

const CAPACITY = { accelerators: 8, slots: 8, cpus: 32, memoryMb: 1024 };
/**
 * Longer than any test. On a busy machine calls take seconds; a lease of 1 s expired between them, and tests of other
 * behaviour got "staleToken". Tests of lease expiry move the clock instead.
 */
const LEASE_MS = 60_000;
const NEEDS = { accelerators: 4, slots: 1, cpus: 4, memoryMb: 128 };

interface Subject {
    readonly worker: workers.Worker;
    readonly faults: standin.WorkerFaultSwitch;
    readonly journal: standin.Journal;
    /** Moves the worker's clock forward. */
    readonly skip: (ms: number) => void;
    readonly close: () => Promise<void>;
}

/** The system clock, which a test can move forward, so that the test doesn't depend on how long calls take. */
interface SkippingClock {
    readonly clock: clock.Clock;
    readonly skip: (ms: number) => void;
    /** Cancels all timers. */
    readonly stop: () => void;
}

function createSkippingClock(): SkippingClock {
    const stoppable = stoppableClock.createStoppableClock();
    let skippedMs = 0;
    return {
        clock: { ...stoppable, now: () => stoppable.now() + skippedMs },
        skip: ms => {
            skippedMs += ms;
        },
        stop: stoppable.stop,
    };
}

function createCore(
    faults: standin.WorkerFaultSwitch,
    journal: standin.Journal,
    time: clock.Clock,
): standin.WorkerCore {
    return standin.createWorkerCore({
        id: "w1",
        clock: time,
        capacity: CAPACITY,
        incarnation: 1,
        journal,
        checkpointMs: 5,
        shouldFailTasks: () => faults.get().failTasks,
    });
}

const subjects: ReadonlyArray<{ name: string; create: () => Promise<Subject>; }> = [
    {
        name: "core",
        create: async () => {
            const faults = standin.createFaultSwitch();
            const journal = standin.createJournal();
            const { clock: time, skip, stop } = createSkippingClock();
            const core = createCore(faults, journal, time);
            const close = async () => stop();
            return { worker: { ...core, close }, faults, journal, skip, close };
        },
    },
    {
        name: "over HTTP",
        create: async () => {
            const faults = standin.createFaultSwitch();
            const journal = standin.createJournal();
            const { clock: time, skip, stop } = createSkippingClock();
            const core = createCore(faults, journal, time);
            const options = { clock: time, rng: random.createRandom(1), core, faults };
            const server = await standin.startWorkerServer("127.0.0.1", 0, options);
            const worker = workers.createHttpWorker({
                id: "w1",
                address: `127.0.0.1:${server.port}`,
                connections: 4,
                timeoutMs: 300,
                maxAnswerBytes: 4096,
            });
            return {
                worker,
                faults,
                journal,
                skip,
                close: async () => {
                    await worker.close();
                    await server.close();
                    stop();
                },
            };
        },
    },
];

function order(taskId: string, runMs: number, extra: Partial<workers.TaskOrder> = {}): workers.TaskOrder {
    return {
        taskId,
        account: "alpha",
        needs: NEEDS,
        queueZone: "zone-a",
        note: "",
        payload: JSON.stringify({ runMs, mark: taskId }),
        leaseMs: 5000,
        resumeMs: 0,
        start: true,
        ...extra,
    };
}

function syncOrder(token: number, extra: Partial<workers.SyncOrder> = {}): workers.SyncOrder {
    return { token, ttlMs: LEASE_MS, renew: [], leaseMs: 5000, acknowledged: [], waitMs: 0, sequence: -1, ...extra };
}

describe.each(subjects)("$name", ({ create }) => {
    let subject: Subject;
    let worker: workers.Worker;
    beforeEach(async () => {
        subject = await create();
        worker = subject.worker;
    });
    afterEach(() => subject.close());

    const acquire = async (holder = "owner-1", ttlMs = LEASE_MS): Promise<number> => {
        const lease = await worker.acquireLease(holder, ttlMs);
        if (lease.kind === "fault") {
            throw new Error(lease.fault.kind);
        }
        return lease.value.token;
    };

    const states = async (token: number) => {
        const report = await worker.sync(syncOrder(token));
        return report.kind === "ok"
            ? report.value.tasks.map(task => `${task.taskId}:${task.state}`)
            : report.fault.kind;
    };

    test("a lease has one holder at a time, its tokens increase, and an older token is refused", async () => {
        const first = await acquire("owner-1", 60_000);
        expect(await worker.acquireLease("owner-2", 1000)).toMatchObject({ fault: { kind: "held" } });
        subject.skip(60_001);
        expect(await worker.create(first, order("t1", 10))).toMatchObject({ fault: { kind: "staleToken" } });
        const second = await acquire("owner-2");
        expect(second).toBeGreaterThan(first);
        expect(await worker.create(first, order("t1", 10))).toMatchObject({ fault: { kind: "staleToken" } });
        expect(await worker.stop(first, "t1", "tombstone", "")).toMatchObject({ fault: { kind: "staleToken" } });
        expect(await worker.sync(syncOrder(first))).toMatchObject({ fault: { kind: "staleToken" } });
    });

    test("a released lease can be acquired at once", async () => {
        await worker.releaseLease(await acquire("owner-1", 60_000));
        expect(await acquire("owner-2")).toBeGreaterThan(0);
    });

    test("a task id never runs twice, and a repeated run returns the answer of the first", async () => {
        const token = await acquire();
        const answers = await Promise.all(
            [1, 2].map(() => worker.run(token, order("i1", 20, { queueZone: "" }), 1000)),
        );
        for (const answer of answers) {
            expect(
                answer.kind === "ok" && answer.value.kind === "finished"
                    && workers.checkAnswer(answer.value.answer, "i1"),
            ).toBe("whole");
        }
        expect(await worker.run(token, order("i1", 20, { queueZone: "" }), 1000)).toMatchObject({
            value: { kind: "finished" },
        });
        expect(subject.journal.getEntries()).toHaveLength(1);
    });

    test("a tombstone reports whether a task started, and prevents the start of one that did not", async () => {
        const token = await acquire();
        expect(await worker.stop(token, "t1", "tombstone", "mine")).toMatchObject({
            value: { state: "tombstoned", note: "mine" },
        });
        expect(await worker.stop(token, "t1", "tombstone", "other")).toMatchObject({
            value: { state: "tombstoned", note: "mine" },
        });
        expect(await worker.create(token, order("t1", 10))).toMatchObject({ fault: { kind: "tombstoned" } });
        await worker.create(token, order("t2", 0));
        expect(await worker.stop(token, "t2", "tombstone", "")).toMatchObject({ value: { state: "finished" } });
        await worker.create(token, order("t3", 5000, { start: false }));
        expect(await worker.stop(token, "t3", "tombstone", "")).toMatchObject({ value: { state: "tombstoned" } });
        expect(subject.journal.getEntries().map(entry => entry.taskId)).toEqual(["t2"]);
    });

    test("a checkpoint saves the progress, from which the next attempt resumes", async () => {
        const token = await acquire();
        await worker.create(token, order("t1", 10_000));
        const stopped = await worker.stop(token, "t1", "checkpoint", "");
        expect(stopped).toMatchObject({ value: { state: "stopped" } });
        expect(stopped.kind === "ok" && stopped.value.savedMs).toBeGreaterThanOrEqual(4);
        await worker.create(token, order("t2", 10_000, { resumeMs: 10_000 }));
        expect(await worker.getOutcome("t2")).toMatchObject({ value: { kind: "finished" } });
    });

    test("prepared tasks hold their resources, and a task beyond the capacity is refused", async () => {
        const token = await acquire();
        await worker.create(token, order("t1", 10, { start: false }));
        await worker.create(token, order("t2", 10, { start: false }));
        expect(await worker.create(token, order("t3", 10))).toMatchObject({ fault: { kind: "noRoom" } });
        expect(await states(token)).toEqual(["t1:prepared", "t2:prepared"]);
    });

    test("a task whose lease is not renewed is stopped; one whose lease is renewed goes on", async () => {
        const token = await acquire("owner-1", 5000);
        await worker.create(token, order("t1", 5000, { leaseMs: 60 }));
        await worker.create(token, order("t2", 5000, { leaseMs: 60 }));
        await worker.sync(syncOrder(token, { ttlMs: 5000, renew: ["t1"], leaseMs: 5000 }));
        await new Promise(resolve => setTimeout(resolve, 90));
        expect(await states(token)).toEqual(["t1:running", "t2:stopped"]);
    });

    test("an ended task is reported until it is acknowledged", async () => {
        const token = await acquire();
        await worker.create(token, order("t1", 0));
        expect(await states(token)).toEqual(["t1:finished"]);
        expect(await states(token)).toEqual(["t1:finished"]);
        await worker.sync(syncOrder(token, { acknowledged: ["t1"] }));
        expect(await states(token)).toEqual([]);
    });

    test("a sync call waits for a change", async () => {
        const token = await acquire();
        const before = await worker.sync(syncOrder(token));
        const sequence = before.kind === "ok" ? before.value.sequence : 0;
        const waiting = worker.sync(syncOrder(token, { waitMs: 250, sequence }));
        await worker.create(token, order("t1", 5000));
        expect(await waiting).toMatchObject({ value: { tasks: [{ taskId: "t1", state: "running" }] } });
    });

    test("a faulty worker fails every task that it starts", async () => {
        const token = await acquire();
        subject.faults.set({ failTasks: true });
        expect(await worker.run(token, order("i1", 10, { queueZone: "" }), 1000)).toMatchObject({
            value: { kind: "failed" },
        });
    });
});

describe("over HTTP, with faults", () => {
    let subject: Subject;
    let token: number;
    beforeEach(async () => {
        subject = await subjects[1]!.create();
        const lease = await subject.worker.acquireLease("owner-1", 60_000);
        token = lease.kind === "ok" ? lease.value.token : 0;
    });
    afterEach(() => subject.close());

    test("a command whose response is lost is reported as lost, although it may have been executed", async () => {
        subject.faults.set({ loseAnswers: 1 });
        expect(await subject.worker.create(token, order("t1", 10))).toMatchObject({ fault: { kind: "lost" } });
        expect(subject.journal.getEntries()).toHaveLength(1);
    });

    test.each([
        { name: "truncated", faults: { truncateAnswers: 1 }, check: "truncated" },
        { name: "crossed", faults: { crossAnswers: 1 }, check: "crossed" },
    ])("an answer that is $name is detected", async ({ faults, check }) => {
        await subject.worker.run(token, order("i0", 0, { queueZone: "" }), 1000);
        subject.faults.set(faults);
        const answer = await subject.worker.run(token, order("i1", 0, { queueZone: "" }), 1000);
        expect(
            answer.kind === "ok" && answer.value.kind === "finished" && workers.checkAnswer(answer.value.answer, "i1"),
        ).toBe(check);
    });

    test("an answer above the size limit is rejected", async () => {
        const payload = JSON.stringify({ answerBytes: 10_000 });
        expect(await subject.worker.run(token, order("i1", 0, { queueZone: "", payload }), 1000)).toMatchObject({
            fault: { kind: "lost" },
        });
    });

    test("a call to a worker that does not answer fails after the timeout", async () => {
        subject.faults.set({ paused: true });
        expect(await subject.worker.create(token, order("t1", 10))).toMatchObject({ fault: { kind: "lost" } });
        subject.faults.set({ paused: false });
    });
});

import * as clocks from "../../../clock/index";
import * as fixtures from "../../__tests__/fixtures";
import * as initialPollLimiter from "../initialPollLimiter";
import * as leaseExpiry from "../leaseExpiry";
import type * as port from "../workerPort";
import * as workerSession from "../workerSession";

const MAX_LEASE_MS = 6_000;

/** Creates a session whose callbacks do nothing, apart from the given options. */
function createSession(
    time: clocks.Clock,
    options: Pick<workerSession.WorkerSessionOptions, "port"> & Partial<workerSession.WorkerSessionOptions>,
): workerSession.WorkerSession {
    return workerSession.createWorkerSession({
        worker: { name: "w", address: "a:1" },
        incarnation: { name: "w", startedAt: 0 },
        clock: time,
        log: fixtures.LOG,
        leadership: fixtures.LEADERSHIP,
        pollLimiter: initialPollLimiter.createInitialPollLimiter(time),
        maxLeaseMs: MAX_LEASE_MS,
        isBusy: () => true,
        getPollWaitMs: () => 500,
        onPollResult: async () => undefined,
        onConfirmed: () => undefined,
        onLost: () => undefined,
        onNextIncarnation: () => undefined,
        onReachability: () => undefined,
        onDisconnected: () => undefined,
        onFenced: () => undefined,
        ...options,
    });
}

/**
 * Opens a session with a worker whose clock runs at the given rate; returns the deadlines of the starts that it got.
 */
async function openSession(rate: number) {
    const time = clocks.createManualClock();
    const deadlines: number[] = [];
    const getWorkerClock = () => 5_000 + time.now() * rate;
    const worker: port.WorkerPort = {
        start: async (_worker, order) => {
            deadlines.push(order.deadline);
            return { kind: "unknown", message: "no answer" };
        },
        stop: async () => ({ kind: "accepted", workerClock: getWorkerClock() }),
        pace: async () => ({ kind: "accepted", workerClock: getWorkerClock() }),
        poll: async () => ({ kind: "lists", workerClock: getWorkerClock(), startedAt: 0, running: [], ended: [] }),
    };
    const session = createSession(time, { port: worker, isBusy: () => false, getPollWaitMs: () => 0 });
    await time.advance(500);
    return { time, session, deadlines, getWorkerClock };
}

// Guards against a start that is carried out after its lease counts as expired, because a slow clock made its deadline
// too late.
describe("a start sent after a long idle time", () => {
    const idle: readonly number[] = [0, 20_000, 3_600_000];
    test.each(idle)("of %d ms has expired when the leader expects it, with a clock that is 2%% slow", async idleMs => {
        const { time, session, deadlines, getWorkerClock } = await openSession(0.98);
        await time.advance(idleMs);
        const sentAt = time.now();
        void session.start({ task: "t", run: 1, payload: "", saved: "" });
        await time.advance(0);
        await time.advance(leaseExpiry.getExpiresAt(sentAt, MAX_LEASE_MS) - sentAt);
        expect(deadlines).toHaveLength(1);
        expect(getWorkerClock()).toBeGreaterThan(deadlines[0]!);
        session.close();
    });

    test("still has most of its lease with an exact clock", async () => {
        const { time, session, deadlines, getWorkerClock } = await openSession(1);
        await time.advance(10_000);
        void session.start({ task: "t", run: 1, payload: "", saved: "" });
        await time.advance(0);
        expect(deadlines[0]! - getWorkerClock()).toBeGreaterThan(0.9 * MAX_LEASE_MS);
        session.close();
    });
});

/** Opens a session with a worker that a test can restart; `acknowledged` has its acknowledged ends. */
async function openRestartable() {
    const time = clocks.createManualClock();
    const begin = (startedAt: number) => ({
        startedAt,
        ends: [] as port.TaskEnd[],
        acknowledged: [] as port.TaskEnd[],
    });
    const worker = { incarnation: begin(FIRST_STARTED_AT) };
    const nextIncarnations: Array<{ startedAt: number; pollResult: workerSession.PollResult; }> = [];
    const taken: port.TaskEnd[] = [];
    const accepted = async () => ({ kind: "accepted", workerClock: 1 + time.now() } as const);
    const session = createSession(time, {
        incarnation: { name: "w", startedAt: FIRST_STARTED_AT },
        port: {
            start: accepted,
            stop: accepted,
            pace: accepted,
            poll: async (_worker, { recordedUpTo, waitMs }) => {
                const { incarnation } = worker;
                incarnation.acknowledged.push(...incarnation.ends.filter(end => end.number <= recordedUpTo));
                incarnation.ends = incarnation.ends.filter(end => end.number > recordedUpTo);
                if (incarnation.ends.length === 0) {
                    await time.sleep(waitMs);
                }
                return incarnation === worker.incarnation
                    ? {
                        kind: "lists",
                        workerClock: 1 + time.now(),
                        startedAt: incarnation.startedAt,
                        running: [],
                        ended: incarnation.ends,
                    }
                    : { kind: "unknown", message: "restarted" };
            },
        },
        onPollResult: async ({ ended }) => void taken.push(...ended),
        onNextIncarnation: ({ startedAt }, pollResult) => nextIncarnations.push({ startedAt, pollResult }),
    });
    const end = (number: number) => worker.incarnation.ends.push({ number, task: "t", run: 1, how: "done", saved: "" });
    const restart = () => {
        worker.incarnation = begin(FIRST_STARTED_AT + time.now());
    };
    await time.advance(100);
    return { time, session, worker, taken, nextIncarnations, end, restart };
}

const FIRST_STARTED_AT = 1_000;

// Guards against an acknowledgement by number that reaches the next incarnation, whose end numbers start anew.
describe("ends are acknowledged", () => {
    test("to the incarnation that listed them", async () => {
        const { time, session, worker, taken, end } = await openRestartable();
        end(1);
        await time.advance(1_500);
        expect(taken).toHaveLength(1);
        expect(worker.incarnation.acknowledged).toHaveLength(1);
        session.close();
    });

    const pauses: readonly number[] = [0, 1, 50, 400, 600, 1_200];
    test.each(pauses)("never to the next incarnation, which gets a start and ends it %d ms later", async pauseMs => {
        const { time, session, worker, taken, nextIncarnations, end, restart } = await openRestartable();
        [1, 2, 3].forEach(end);
        await time.advance(600);
        restart();
        const { incarnation } = worker;
        void session.start({ task: "t", run: 2, payload: "", saved: "" });
        await time.advance(pauseMs);
        end(1);
        await time.advance(3_000);
        expect(taken).toHaveLength(3);
        expect(incarnation.acknowledged).toEqual([]);
        expect(nextIncarnations).toMatchObject([{ startedAt: incarnation.startedAt }]);
        session.close();
    });
});

// Guards against an unreachable worker that counts as crashed, and against a crash that is detected too late.
describe("a poll without an answer", () => {
    const cases: ReadonlyArray<readonly [name: string, failsAfterMs: number, isReported: boolean]> = [
        ["whose connection breaks is reported at once", 50, true],
        ["that times out is not reported", Infinity, false],
    ];
    test.each(cases)("%s", async (_name, failsAfterMs, isReported) => {
        const time = clocks.createManualClock();
        let disconnections = 0;
        const refused = async () => ({ kind: "unreachable", message: "" } as const);
        const session = createSession(time, {
            port: {
                start: refused,
                stop: refused,
                pace: refused,
                poll: async (_worker, _order, timeoutMs) => {
                    await time.sleep(Math.min(failsAfterMs, timeoutMs));
                    return { kind: "unknown", message: "" };
                },
            },
            onDisconnected: () => disconnections++,
        });
        await time.advance(1_000);
        session.close();
        expect(disconnections > 0).toBe(isReported);
    });
});

// Guards against a leader that spends its time and its log lines on entries of workers that do not exist.
describe("a worker that never answers", () => {
    test.each([
        { name: "is polled once a second and logged once while it is idle", isBusy: false, maxPolls: 14 },
        { name: "is polled without a longer pause while a task may run there", isBusy: true, maxPolls: 70 },
    ])("$name", async ({ isBusy, maxPolls }) => {
        const time = clocks.createManualClock();
        let polls = 0;
        const events: string[] = [];
        const record = (event: string) => void events.push(event);
        const refused = async () => ({ kind: "unreachable", message: "" } as const);
        const session = createSession(time, {
            port: {
                start: refused,
                stop: refused,
                pace: refused,
                poll: async () => {
                    polls++;
                    return refused();
                },
            },
            log: { info: record, warn: record, error: record },
            isBusy: () => isBusy,
        });
        await time.advance(10_000);
        session.close();
        expect(polls).toBeLessThanOrEqual(maxPolls);
        expect(polls).toBeGreaterThan(isBusy ? maxPolls / 2 : maxPolls / 4);
        expect(events.filter(event => event === "lookFailed")).toHaveLength(1);
    });
});

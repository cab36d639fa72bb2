import * as clocks from "../../clock/index";
import * as firstLooks from "../initialPollLimiter";
import * as lapse from "../leaseExpiry";
import type * as port from "../workerPort";
import * as workerSession from "../workerSession";
import * as fixtures from "./fixtures";

const MAX_LEASE_MS = 6_000;

/** A session that nobody listens to, with what `options` say otherwise. */
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
        pollLimiter: firstLooks.createInitialPollLimiter(time),
        maxLeaseMs: MAX_LEASE_MS,
        isBusy: () => true,
        getPollWaitMs: () => 500,
        onPollResult: async () => undefined,
        onLost: () => undefined,
        onNextIncarnation: () => undefined,
        onReachability: () => undefined,
        onDisconnected: () => undefined,
        onFenced: () => undefined,
        ...options,
    });
}

/** A session with a worker whose clock runs at that rate of ours, and the deadlines of the starts that it got. */
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

// Guards against a start that is carried out after it counts as lapsed, since a slow clock made its deadline too late.
describe("a start sent after a long idle time", () => {
    const idle: readonly number[] = [0, 20_000, 3_600_000];
    test.each(idle)("of %d ms has lapsed when we count on it, at a clock that is 2%% slow", async idleMs => {
        const { time, session, deadlines, getWorkerClock } = await openSession(0.98);
        await time.advance(idleMs);
        const sentAt = time.now();
        void session.start({ task: "t", run: 1, payload: "", saved: "" });
        await time.advance(0);
        await time.advance(lapse.getExpiresAt(sentAt, MAX_LEASE_MS) - sentAt);
        expect(deadlines).toHaveLength(1);
        expect(getWorkerClock()).toBeGreaterThan(deadlines[0]!);
        session.close();
    });

    test("still has most of its lease at a clock that is right", async () => {
        const { time, session, deadlines, getWorkerClock } = await openSession(1);
        await time.advance(10_000);
        void session.start({ task: "t", run: 1, payload: "", saved: "" });
        await time.advance(0);
        expect(deadlines[0]! - getWorkerClock()).toBeGreaterThan(0.9 * MAX_LEASE_MS);
        session.close();
    });
});

/** A session with a worker that a test ends and begins again; ends that a life has forgotten are in `forgotten`. */
async function openRestartable() {
    const time = clocks.createManualClock();
    const begin = (bornAt: number) => ({ bornAt, ends: [] as port.TaskEnd[], forgotten: [] as port.TaskEnd[] });
    const worker = { life: begin(FIRST_BORN_AT) };
    const nextLives: Array<{ bornAt: number; lists: workerSession.PollResult; }> = [];
    const taken: port.TaskEnd[] = [];
    const accepted = async () => ({ kind: "accepted", workerClock: 1 + time.now() } as const);
    const session = createSession(time, {
        incarnation: { name: "w", startedAt: FIRST_BORN_AT },
        port: {
            start: accepted,
            stop: accepted,
            pace: accepted,
            poll: async (_worker, { recordedUpTo, waitMs }) => {
                const { life } = worker;
                life.forgotten.push(...life.ends.filter(end => end.number <= recordedUpTo));
                life.ends = life.ends.filter(end => end.number > recordedUpTo);
                if (life.ends.length === 0) {
                    await time.sleep(waitMs);
                }
                return life === worker.life
                    ? {
                        kind: "lists",
                        workerClock: 1 + time.now(),
                        startedAt: life.bornAt,
                        running: [],
                        ended: life.ends,
                    }
                    : { kind: "unknown", message: "its life is over" };
            },
        },
        onPollResult: async ({ ended }) => void taken.push(...ended),
        onNextIncarnation: ({ startedAt: bornAt }, lists) => nextLives.push({ bornAt, lists }),
    });
    const end = (number: number) => worker.life.ends.push({ number, task: "t", run: 1, how: "done", saved: "" });
    const restart = () => {
        worker.life = begin(FIRST_BORN_AT + time.now());
    };
    await time.advance(100);
    return { time, session, worker, taken, nextLives, end, restart };
}

const FIRST_BORN_AT = 1_000;

// Guards against an acknowledgement by number that meets the ends of the worker's next life.
describe("ends are acknowledged", () => {
    test("to the life that listed them", async () => {
        const { time, session, worker, taken, end } = await openRestartable();
        end(1);
        await time.advance(1_500);
        expect(taken).toHaveLength(1);
        expect(worker.life.forgotten).toHaveLength(1);
        session.close();
    });

    const pauses: readonly number[] = [0, 1, 50, 400, 600, 1_200];
    test.each(pauses)("never to the next life, which gets a start and ends it %d ms later", async pauseMs => {
        const { time, session, worker, taken, nextLives, end, restart } = await openRestartable();
        [1, 2, 3].forEach(end);
        await time.advance(600);
        restart();
        const { life } = worker;
        void session.start({ task: "t", run: 2, payload: "", saved: "" });
        await time.advance(pauseMs);
        end(1);
        await time.advance(3_000);
        expect(taken).toHaveLength(3);
        expect(life.forgotten).toEqual([]);
        expect(nextLives).toMatchObject([{ bornAt: life.bornAt }]);
        session.close();
    });
});

// Guards against a worker that is out of reach and counts as crashed, and against a crash that is known too late.
describe("a look without an answer", () => {
    const cases: ReadonlyArray<readonly [name: string, failsAfterMs: number, isBrokenOff: boolean]> = [
        ["whose connection breaks is told at once", 50, true],
        ["that times out is not told", Infinity, false],
    ];
    test.each(cases)("%s", async (_name, failsAfterMs, isBrokenOff) => {
        const time = clocks.createManualClock();
        let brokenOff = 0;
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
            onDisconnected: () => brokenOff++,
        });
        await time.advance(1_000);
        session.close();
        expect(brokenOff > 0).toBe(isBrokenOff);
    });
});

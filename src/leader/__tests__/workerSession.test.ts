import * as clocks from "../../clock/index";
import * as firstLooks from "../firstLooks";
import * as lapse from "../lapse";
import type * as port from "../workerPort";
import * as workerSession from "../workerSession";

const MAX_LEASE_MS = 6_000;
const LOG = { info: () => undefined, warn: () => undefined, error: () => undefined };

/** A session with a worker whose clock runs at that rate of ours, and the deadlines of the starts that it got. */
async function openSession(rate: number) {
    const time = clocks.createManualClock();
    const deadlines: number[] = [];
    const over = new AbortController();
    const getWorkerClock = () => 5_000 + time.now() * rate;
    const worker: port.WorkerPort = {
        start: async (_worker, order) => {
            deadlines.push(order.deadline);
            return { kind: "unknown", message: "no answer" };
        },
        stop: async () => ({ kind: "accepted", workerClock: getWorkerClock() }),
        pace: async () => ({ kind: "accepted", workerClock: getWorkerClock() }),
        look: async () => ({ kind: "lists", workerClock: getWorkerClock(), bornAt: 0, running: [], ended: [] }),
    };
    const session = workerSession.createWorkerSession({
        worker: { name: "w", address: "a:1" },
        life: { name: "w", bornAt: 0 },
        port: worker,
        clock: time,
        log: LOG,
        leadership: {
            token: 1,
            guard: { table: "t", part: "", key: "k", version: 1 },
            signal: over.signal,
            transact: async () => ({ kind: "refused", message: "" }),
            mayOrder: () => true,
            mayProlong: () => true,
            othersSilentAt: 0,
        },
        firstLooks: firstLooks.createFirstLooks(time),
        maxLeaseMs: MAX_LEASE_MS,
        isBusy: () => false,
        getWaitMs: () => 0,
        onLists: async () => undefined,
        onGone: () => undefined,
        onNextLife: () => undefined,
        onHeard: () => undefined,
        onFenced: () => undefined,
    });
    await time.advance(500);
    return { time, session, deadlines, getWorkerClock };
}

// Symptom: a task runs on two workers, or one of a cancelled job runs though nobody knows of it. Sequence: a worker with
// a slow clock is idle for long, a start is sent to it and not answered, the worker is cut off until all that it could
// run counts as lapsed, and then it carries the start out. Cause: the start's deadline was made from the worker's clock
// as it was long before, which by now shows less, so it lay beyond the time at which the start counts as lapsed.
describe("a start sent after a long idle time", () => {
    const idle: readonly number[] = [0, 20_000, 3_600_000];
    test.each(idle)("of %d ms has lapsed when we count on it, at a clock that is 2%% slow", async idleMs => {
        const { time, session, deadlines, getWorkerClock } = await openSession(0.98);
        await time.advance(idleMs);
        const sentAt = time.now();
        void session.start({ task: "t", run: 1, payload: "", saved: "" });
        await time.advance(0);
        await time.advance(lapse.getLapsedAt(sentAt, MAX_LEASE_MS) - sentAt);
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

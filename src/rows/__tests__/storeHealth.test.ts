import * as clocks from "../../clock/index";
import type * as rows from "../index";
import * as storeHealth from "../storeHealth";

const TX: rows.RowTransaction = { conditions: [], puts: [], removals: [] };

function open() {
    const time = clocks.createManualClock();
    const events: string[] = [];
    let reachable = true;
    let refusing = false;
    const answer = async <T>(good: T, refused: T, silent: T, timeoutMs: number): Promise<T> => {
        if (!reachable) {
            await time.sleep(timeoutMs);
            return silent;
        }
        return refusing ? refused : good;
    };
    const unavailable = { kind: "unavailable" as const, message: "m" };
    const store: rows.RowStore = {
        transact: (_tx, timeoutMs) =>
            answer<rows.TransactResult>({ kind: "committed", version: 1 }, { kind: "refused", message: "m" }, {
                kind: "unknown",
                message: "m",
            }, timeoutMs),
        read: (_range, timeoutMs) =>
            answer<rows.ReadResult>(
                { kind: "read", rows: [], hasMore: false, version: 1 },
                unavailable,
                unavailable,
                timeoutMs,
            ),
        feed: (_table, _after, _waitMs, timeoutMs) =>
            answer<rows.FeedResult>({ kind: "changes", rows: [], version: 1 }, unavailable, unavailable, timeoutMs),
    };
    const controller = new AbortController();
    const health = storeHealth.createStoreHealth({
        store,
        clock: time,
        signal: controller.signal,
        probe: { table: "t", part: "" },
        onUnreachable: () => events.push(`unreachable at ${time.now()}`),
        onReachable: () => events.push(`reachable at ${time.now()}`),
    });
    return {
        time,
        health,
        events,
        setReachable: (value: boolean) => {
            reachable = value;
        },
        setRefusing: (value: boolean) => {
            refusing = value;
        },
    };
}

describe("health of the store", () => {
    test("one unanswered call makes the store unreachable, and a probe detects its recovery", async () => {
        const { time, health, events, setReachable } = open();
        setReachable(false);
        void health.store.transact(TX, 300);
        await time.advance(2_000);
        expect(health.getUnreachableMs()).toBeDefined();
        setReachable(true);
        await time.advance(1_000);
        expect(health.getUnreachableMs()).toBeUndefined();
        expect(events).toHaveLength(2);
    });

    test("a write sent while the store was silent is abandoned when the store is reachable again", async () => {
        // Guards against up to a second more without stored writes after an outage: a write is sent in the last moment
        // of the silence and waits for its timeout although the store is reachable again.
        const { time, health, setReachable } = open();
        setReachable(false);
        void health.store.transact(TX, 300);
        await time.advance(1_000);
        let outcome: rows.TransactResult | undefined;
        void health.store.transact(TX, 10_000).then(result => {
            outcome = result;
        });
        await time.advance(500);
        setReachable(true);
        await time.advance(1_000);
        expect(outcome?.kind).toBe("unknown");
        expect(health.getUnreachableMs()).toBeUndefined();
    });

    test("an unanswered poll is followed by a separate call", async () => {
        // Guards against callers that are sent for 5 s to an instance that is cut off: it only polls, and a failed poll
        // counts little, so three of them have to fail.
        const { time, health, setReachable } = open();
        setReachable(false);
        void health.store.feed("t", 0, 700, 1_200);
        await time.advance(1_200 + 100 + 500);
        expect(health.getUnreachableMs()).toBeDefined();
    });

    test("a single poll that fails on its own connection does not make the store unreachable", async () => {
        const { time, health, setReachable, events } = open();
        setReachable(false);
        void health.store.feed("t", 0, 700, 1_200);
        await time.advance(1_100);
        setReachable(true);
        await time.advance(2_000);
        expect(health.getUnreachableMs()).toBeUndefined();
        expect(events).toEqual([]);
    });

    test("repeated refusals make the store unreachable, a single one does not", async () => {
        const { time, health, setRefusing } = open();
        setRefusing(true);
        await health.store.transact(TX, 300);
        setRefusing(false);
        await time.advance(400);
        expect(health.getUnreachableMs()).toBeUndefined();
        setRefusing(true);
        await health.store.transact(TX, 300);
        await time.advance(400);
        expect(health.getUnreachableMs()).toBeDefined();
    });
});

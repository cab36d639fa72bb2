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
    const away = { kind: "unavailable" as const, message: "m" };
    const store: rows.RowStore = {
        transact: (_tx, timeoutMs) =>
            answer<rows.TransactResult>({ kind: "committed", version: 1 }, { kind: "refused", message: "m" }, {
                kind: "unknown",
                message: "m",
            }, timeoutMs),
        read: (_range, timeoutMs) =>
            answer<rows.ReadResult>({ kind: "read", rows: [], hasMore: false, version: 1 }, away, away, timeoutMs),
        feed: (_table, _after, _waitMs, timeoutMs) =>
            answer<rows.FeedResult>({ kind: "changes", rows: [], version: 1 }, away, away, timeoutMs),
    };
    const controller = new AbortController();
    const health = storeHealth.createStoreHealth({
        store,
        clock: time,
        signal: controller.signal,
        probe: { table: "t", part: "" },
        onUnreachable: () => events.push(`away at ${time.now()}`),
        onReachable: () => events.push(`back at ${time.now()}`),
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
    test("one call without an answer is enough, and a probe finds the return", async () => {
        const { time, health, events, setReachable } = open();
        setReachable(false);
        void health.store.transact(TX, 300);
        await time.advance(2_000);
        expect(health.getAwayMs()).toBeDefined();
        setReachable(true);
        await time.advance(1_000);
        expect(health.getAwayMs()).toBeUndefined();
        expect(events).toHaveLength(2);
    });

    test("a call that went out in silence is given up when the store is back", async () => {
        // Symptom: after an outage nothing is stored for up to a second more. Sequence: a write goes out in the last moment
        // of the silence; the store comes back, and the write waits for its timeout. Cause: nobody told it.
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
        expect(health.getAwayMs()).toBeUndefined();
    });

    test("a silent poll is checked by a call of its own", async () => {
        // Symptom: callers are sent for 5 s to an instance that is cut off. Sequence: it only polls, and three polls
        // have to fail. Cause: a poll says little, and nothing else was asked.
        const { time, health, setReachable } = open();
        setReachable(false);
        void health.store.feed("t", 0, 700, 1_200);
        await time.advance(1_200 + 100 + 500);
        expect(health.getAwayMs()).toBeDefined();
    });

    test("a poll that fails alone, on its own connection, changes nothing", async () => {
        const { time, health, setReachable, events } = open();
        setReachable(false);
        void health.store.feed("t", 0, 700, 1_200);
        await time.advance(1_100);
        setReachable(true);
        await time.advance(2_000);
        expect(health.getAwayMs()).toBeUndefined();
        expect(events).toEqual([]);
    });

    test("a store that turns every call away is away, one that did so once is not", async () => {
        const { time, health, setRefusing } = open();
        setRefusing(true);
        await health.store.transact(TX, 300);
        setRefusing(false);
        await time.advance(400);
        expect(health.getAwayMs()).toBeUndefined();
        setRefusing(true);
        await health.store.transact(TX, 300);
        await time.advance(400);
        expect(health.getAwayMs()).toBeDefined();
    });
});

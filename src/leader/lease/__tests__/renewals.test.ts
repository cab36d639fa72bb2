import * as clocks from "../../../clock/index";
import type * as rows from "../../../rows/index";
import * as renewalsOfTerm from "../renewals";

const TOKEN: rows.RowKey = { table: "lead", part: "leader", key: "token" };
const LEASE: rows.RowKey = { ...TOKEN, key: "lease" };
const GUARD: rows.RowCondition = { ...TOKEN, version: 1 };
const COMMITTED: rows.TransactResult = { kind: "committed", version: 5 };

/** A store whose answers the test gives explicitly. */
function openRenewals() {
    const clock = clocks.createManualClock(0);
    const calls: Array<{
        readonly tx: rows.RowTransaction;
        readonly timeoutMs: number;
        answer(result: rows.TransactResult): void;
    }> = [];
    const store: rows.RowStore = {
        transact: (tx, timeoutMs) => new Promise(answer => calls.push({ tx, timeoutMs, answer })),
        read: async () => ({ kind: "unavailable", message: "" }),
        feed: async () => ({ kind: "unavailable", message: "" }),
    };
    const supersededReasons: string[] = [];
    const renewals = renewalsOfTerm.createRenewals({
        clock,
        log: { info: () => {}, warn: () => {}, error: () => {} },
        guard: GUARD,
        sentAt: clocks.getTimestamp(clock),
        createRow: leaseMs => ({ ...LEASE, value: String(leaseMs) }),
        onRenewed: () => {},
        onSuperseded: reason => supersededReasons.push(reason),
        onOverdue: () => {},
    });
    const getLeaseMs = (call: number) => Number(calls[call]!.tx.puts.find(put => put.key === LEASE.key)!.value);
    return { clock, calls, store, supersededReasons, renewals, getLeaseMs };
}

describe("renewals of a lease", () => {
    test("are combined with a write that is sent when one is due", async () => {
        const { clock, calls, store, renewals } = openRenewals();
        void renewals.transact(store, { puts: [{ ...TOKEN, key: "a", value: "" }] }, 900);
        await clock.advance(500);
        void renewals.transact(store, { puts: [{ ...TOKEN, key: "b", value: "" }] }, 900);
        expect(calls.map(call => call.tx.puts.map(put => put.key))).toEqual([["a"], ["b", "lease"]]);
        expect(renewals.getMsUntilDue()).toBe(500);
    });

    test("are not combined with a write that already has the maximum number of entries", async () => {
        const { clock, calls, store, renewals } = openRenewals();
        await clock.advance(500);
        const puts = Array.from({ length: 99 }, (_, number) => ({ ...TOKEN, key: String(number), value: "" }));
        void renewals.transact(store, { puts }, 900);
        expect(calls[0]!.tx.puts).toHaveLength(99);
        expect(renewals.getMsUntilDue()).toBe(0);
    });

    // Guards against a healthy leader that loses its lease at a store that answers after a second: a renewal that is
    // conditional on the version of the previous one must wait for its answer.
    test("are sent while another is in flight, and each counts from when it was sent", async () => {
        const { clock, calls, store, renewals } = openRenewals();
        await clock.advance(500);
        renewals.send(store);
        await clock.advance(500);
        renewals.send(store);
        expect(calls.map(call => call.tx.conditions)).toEqual([[GUARD], [GUARD]]);
        calls[1]!.answer(COMMITTED);
        await clock.advance(0);
        calls[0]!.answer(COMMITTED);
        await clock.advance(0);
        expect(renewals.getRemainingMs()).toBeGreaterThanOrEqual(renewalsOfTerm.LEASE_MS - 250);
    });

    const cases = [
        { name: "for the normal time at a store that answers at once", answersAfterMs: 10, leaseMs: 1_600 },
        { name: "longer by two answer times at a slow store", answersAfterMs: 400, leaseMs: 2_400 },
        { name: "for at most four seconds", answersAfterMs: 3_000, leaseMs: 4_000 },
    ];
    test.each(cases)("ask for a lease that lasts $name", async ({ answersAfterMs, leaseMs }) => {
        const { clock, calls, store, renewals, getLeaseMs } = openRenewals();
        renewals.send(store);
        await clock.advance(answersAfterMs);
        calls[0]!.answer(COMMITTED);
        await clock.advance(0);
        renewals.send(store);
        expect(getLeaseMs(1)).toBe(leaseMs);
    });

    test("end no sooner than the previous lease when the store is fast again", async () => {
        const { clock, calls, store, renewals, getLeaseMs } = openRenewals();
        renewals.send(store);
        await clock.advance(1_000);
        calls[0]!.answer(COMMITTED);
        await clock.advance(0);
        renewals.send(store);
        expect(getLeaseMs(1)).toBe(3_600);
        await clock.advance(10);
        calls[1]!.answer(COMMITTED);
        await clock.advance(490);
        renewals.send(store);
        expect(getLeaseMs(2)).toBe(3_100);
    });

    // Guards against a failover that takes twice as long after some answers of the store were lost: a renewal without
    // an answer was taken for a slow store, although later calls were answered at once.
    test("request a lease of normal duration if an answer is lost and later ones come at once", async () => {
        const { clock, calls, store, renewals, getLeaseMs } = openRenewals();
        await clock.advance(500);
        renewals.send(store);
        await clock.advance(100);
        void renewals.transact(store, {}, 900);
        await clock.advance(10);
        calls[1]!.answer(COMMITTED);
        await clock.advance(400);
        renewals.send(store);
        expect(getLeaseMs(2)).toBe(1_600);
    });

    test.each([
        { name: "another leader's token ends the term", version: 2, supersededCount: 1 },
        { name: "a conflict of other rows does not", version: 1, supersededCount: 0 },
    ])("$name", async ({ version, supersededCount }) => {
        const opened = openRenewals();
        await opened.clock.advance(500);
        void opened.renewals.transact(opened.store, {}, 900);
        opened.calls[0]!.answer({ kind: "conflict", rows: [{ ...TOKEN, value: "", version }] });
        await opened.clock.advance(0);
        expect(opened.supersededReasons).toHaveLength(supersededCount);
    });
});

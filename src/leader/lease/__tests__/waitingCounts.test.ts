import * as clocks from "../../../clock/index";
import * as emulator from "../../../emulator/index";
import * as telemetry from "../../../telemetry/index";
import * as lease from "../lease";
import type * as leaseRecord from "../leaseRecord";
import * as renewals from "../renewals";
import * as waitingCounts from "../waitingCounts";

/** Row limit of the users' stores, without the overhead of base64. */
const ROW_BYTES = 49_152;
const ENTRY_BYTES = 14;

function createCounts(queues: number): Record<string, number> {
    return Object.fromEntries(
        Array.from({ length: queues }, (_, number) => [`r-${String(number).padStart(7, "0")}`, 1 + number % 9]),
    );
}

describe("counts of waiting jobs", () => {
    const maxQueues = Math.floor(waitingCounts.MAX_COUNTS_BYTES / ENTRY_BYTES);
    const cases: ReadonlyArray<readonly [name: string, queues: number, counted: number]> = [
        ["of no queue", 0, 0],
        ["of as many queues as fit", maxQueues, maxQueues],
        ["of one queue more", maxQueues + 1, maxQueues],
        ["of the queues of a large site", 20_000, maxQueues],
    ];
    test.each(cases)("%s", (_name, queues, counted) => {
        const fitted = waitingCounts.truncateCounts(createCounts(queues));
        expect(Object.keys(fitted.counts)).toHaveLength(counted);
        expect(fitted.complete).toBe(counted === queues);
    });

    test("omit the queues with the fewest waiting jobs", () => {
        expect(waitingCounts.truncateCounts({ a: 1, b: 300, c: 20 }, 17)).toEqual({
            counts: { b: 300, c: 20 },
            complete: false,
        });
    });

    const load = { at: 1, queues: Object.fromEntries(Object.keys(createCounts(80)).map(name => [name, [1, 2, 3, 4]])) };
    test.each([
        ["", undefined],
        [" beside a summary of the load", load],
    ])("do not prevent the leader from renewing its lease%s", async (_name, published) => {
        // Guards against terms that end a second after they began while the store answers: with 5,000 queues the counts
        // in the row of the lease made it longer than the store accepts.
        const time = clocks.createManualClock(0);
        const store = emulator.createEmulatedStore({ clock: time, latencyMs: 5 });
        const stopping = new AbortController();
        const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
        lease.createLease({
            store: store.open("a"),
            clock: time,
            log,
            meter: telemetry.createMetrics().meter,
            instance: "a",
            incarnationId: "a-1",
            watchAddress: "",
            peerAddress: "",
            watchHolder: () => ({ getHeartbeatAgeMs: () => undefined, end: () => undefined }),
            power: 1,
            signal: stopping.signal,
            getWaitingCounts: () => createCounts(5_000),
            getLoad: () => published,
            onRenewalOverdue: () => undefined,
            onElected: () => undefined,
        });
        await time.advance(renewals.LEASE_MS + 3_000);
        stopping.abort();
        const row = store.getRows("lead").find(({ key }) => key === "lease");
        const record = JSON.parse(row?.value ?? "{}") as leaseRecord.LeaseRecord;
        expect(Object.keys(record.waiting ?? {}).length).toBeGreaterThan(0);
        expect(Buffer.byteLength(row!.value)).toBeLessThan(ROW_BYTES);
        // The counts give way to the summary: the row is no longer than without it.
        expect(record.load).toEqual(published);
        expect(Buffer.byteLength(JSON.stringify([record.waiting, record.load]))).toBeLessThanOrEqual(
            waitingCounts.MAX_COUNTS_BYTES + 16,
        );
    });
});

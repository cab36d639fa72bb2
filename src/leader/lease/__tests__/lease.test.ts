import * as events from "node:events";
import * as clocks from "../../../clock/index";
import * as emulator from "../../../emulator/index";
import * as telemetry from "../../../telemetry/index";
import * as leases from "../lease";

const SILENT_LOG = { info: () => {}, warn: () => {}, error: () => {} };

/** Instances that compete for the lease; `isCut` says which are cut off from the store. */
function openInstances(names: readonly string[], isCut: (name: string, now: number) => boolean) {
    const clock = clocks.createManualClock(1_000_000);
    const store = emulator.createEmulatedStore({
        clock,
        latencyMs: 5,
        faults: { decide: caller => isCut(caller, clock.now()) ? "silent" : "none", lateMs: 0 },
    });
    const controller = new AbortController();
    events.setMaxListeners(0, controller.signal);
    const terms: string[] = [];
    const exitByWatcher = new Map<string, () => void>();
    const open = (name: string) =>
        leases.createLease({
            store: store.open(name),
            clock,
            log: SILENT_LOG,
            ...telemetry.createMetrics(),
            instance: name,
            incarnationId: `${name}-1`,
            watchAddress: name,
            peerAddress: "",
            watchHolder: (_address, onExit) => {
                exitByWatcher.set(name, onExit);
                return { getHeartbeatAgeMs: () => undefined, end: () => {} };
            },
            power: 1,
            signal: controller.signal,
            getWaitingCounts: () => undefined,
            onRenewalOverdue: () => {},
            onElected: () => terms.push(name),
        });
    return { clock, terms, leases: names.map(open), reportExit: (name: string) => exitByWatcher.get(name)!() };
}

describe("an instance that is cut off from the store", () => {
    const CUT_FROM_MS = 2_000;
    const CUT_UNTIL_MS = 7_000;

    // Guards against a healthy leader that is replaced when the partition of another zone ends. The partition resets
    // connections and refuses new ones, which looks like the exit of the holder's process. An instance must drop that
    // report when it sees the holder renew the lease.
    test.each([
        { name: "with a report that the holder has exited does not replace a holder that renews", reportsExit: true },
        { name: "without such a report does not replace it either", reportsExit: false },
    ])("$name", async ({ reportsExit }) => {
        const site = openInstances(
            ["first", "second"],
            (caller, now) => caller === "second" && now >= CUT_FROM_MS && now < CUT_UNTIL_MS,
        );
        await site.clock.advance(CUT_FROM_MS + 100);
        expect(site.terms).toEqual(["first"]);
        if (reportsExit) {
            site.reportExit("second");
        }
        await site.clock.advance(CUT_UNTIL_MS);
        expect(site.terms).toEqual(["first"]);
        expect(site.leases.map(lease => lease.isLeading())).toEqual([true, false]);
    });
});

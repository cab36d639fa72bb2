import * as clocks from "../../../clock/index";
import * as emulator from "../../../emulator/index";
import * as leases from "../../lease/index";
import * as upkeepRows from "../upkeepRows";
import type * as stagesOfWave from "../upkeepStages";

/** Row limit of the users' stores, without the overhead of base64. */
const ROW_BYTES = 49_152;
const WAVE = 7;
const NOW = 5_000;

/** Every third machine is ordered down, every third is done, and the others are pending. */
function createStages(machines: number): Map<string, stagesOfWave.MachineStage> {
    return new Map(Array.from({ length: machines }, (_, number): [string, stagesOfWave.MachineStage] => {
        const id = `m-${String(number).padStart(10, "0")}`;
        const stages: readonly stagesOfWave.MachineStage[] = [
            { kind: "ordered", workerName: `i-${number}`, confirmedAt: undefined },
            { kind: "done" },
            { kind: "pending" },
        ];
        return [id, stages[number % stages.length]!];
    }));
}

describe("the stored orders of a wave", () => {
    // Guards against a wave that does not proceed because it has more machines than fit into one row: all of its
    // orders were in one row, which the store refused.
    test.each([0, 1, 33, 877, 4_800])(
        "of %d machines are read as they were written, and no row exceeds the limit",
        async count => {
            const time = clocks.createManualClock(0);
            const store = emulator.createEmulatedStore({ clock: time, latencyMs: 5 });
            const tokenKey = { table: "lead", part: "leader", key: "token" };
            store.put({ ...tokenKey, value: "1" });
            const { leadership } = leases.createHeldLease(time, {
                log: { info: () => {}, warn: () => {}, error: () => {} },
                token: 1,
                guard: { ...tokenKey, version: 1 },
                sentAt: clocks.getTimestamp(time),
                predecessorsInactiveAt: 0,
                createRow: () => ({ ...tokenKey, key: "lease", value: "" }),
                onRenewed: () => {},
                onSuperseded: () => {},
                onOverdue: () => {},
            });
            const options = { store: store.open("a"), leadership, timeoutMs: 700 };
            const stages = createStages(count);
            const writing = upkeepRows.writeStages(options, WAVE, stages);
            // A row of another wave whose key has the same prefix.
            store.put({
                table: "upkeep",
                part: "leader",
                key: "70",
                value: JSON.stringify({ other: { worker: "w" } }),
            });
            await time.advance(100);
            expect(await writing).toBe(true);
            const reading = upkeepRows.readStages(options, WAVE, [...stages.keys()], NOW);
            await time.advance(100);
            const read = await reading;
            const expected = new Map([...stages].map(([id, stage]): [string, stagesOfWave.MachineStage] => [
                id,
                // A machine that is done is stored as a confirmed order to an earlier incarnation.
                stage.kind === "done" ? { kind: "ordered", workerName: "", confirmedAt: NOW } : stage,
            ]));
            expect(read).toEqual(expected);
            const lengths = store.getRows("upkeep").map(row => Buffer.byteLength(row.value));
            expect(Math.max(...lengths)).toBeLessThan(ROW_BYTES);
        },
    );
});

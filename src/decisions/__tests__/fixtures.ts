/** Workers, units and groups for tests of scheduling passes. */
import * as types from "../types";

/** A worker with 8 accelerators, 32 cores and 64 GB, all free. */
export function createWorker(id: string, fields: Partial<types.PlaceableWorker> = {}): types.PlaceableWorker {
    return {
        id,
        service: "booking",
        rack: "r1",
        labels: ["a", "r1"],
        capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 },
        used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        releasing: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        latencySensitiveTasks: 0,
        bestEffortTasks: 0,
        occupancy: types.Occupancy.Idle,
        ...fields,
    };
}

/** A single task with one accelerator. */
export function createUnit(key: string, fields: Partial<types.WaitingUnit> = {}): types.WaitingUnit {
    return {
        key,
        equivalenceClass: key,
        step: key,
        service: "booking",
        needs: { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 1 },
        count: 1,
        gang: false,
        sameRack: false,
        maxPerWorker: 0,
        tier: types.PreemptionTier.None,
        latencySensitive: false,
        bestEffort: false,
        mayCrashWorker: false,
        excludedWorkerIds: new Set(),
        waitedMs: 0,
        expectedDurationMs: 5_000,
        ...fields,
    };
}

/** One running task with one accelerator on `workerId`. */
export function createGroup(
    key: string,
    workerId: string,
    fields: Partial<types.RunningGroup> = {},
): types.RunningGroup {
    return {
        key,
        tier: types.PreemptionTier.None,
        members: [{ workerId, needs: { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 1 } }],
        lossCoreSeconds: 10,
        costCoreSeconds: fields.lossCoreSeconds ?? 10,
        ...fields,
    };
}

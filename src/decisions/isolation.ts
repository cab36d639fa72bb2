/**
 * Isolates tasks that may crash their worker.
 *
 * A crash loses all other tasks on the worker, and those that have just started there are suspected of it as well. So
 * such a task is placed on an idle worker if possible, else on one without recent starts, and no other task is started
 * there in the same pass.
 */
import * as types from "./types";

/** Restricts the workers of isolated units within one pass. */
export interface Isolation {
    /** The unit; if it has to be isolated, it excludes workers on which a task has just started. */
    avoidRecentStarts(unit: types.WaitingUnit): types.WaitingUnit;
    /** The unit restricted to idle workers; `undefined` if it need not be isolated. */
    requireIdleWorkers(unit: types.WaitingUnit): types.WaitingUnit | undefined;
    /** Records that the pass starts a task on these workers. */
    recordStart(workerIds: readonly string[]): void;
}

/** Isolation for a pass that has started nothing yet. */
export function createIsolation(workers: readonly types.PlaceableWorker[]): Isolation {
    /** Workers on which this pass has started a task. */
    const startedWorkerIds = new Set<string>();
    const listExcluded = (unit: types.WaitingUnit, occupancy: types.Occupancy) => [
        ...unit.excludedWorkerIds,
        ...startedWorkerIds,
        ...workers.filter(worker => worker.occupancy >= occupancy).map(worker => worker.id),
    ];
    const exclude = (unit: types.WaitingUnit, occupancy: types.Occupancy) => ({
        ...unit,
        excludedWorkerIds: new Set(listExcluded(unit, occupancy)),
    });
    return {
        avoidRecentStarts: unit => unit.mayCrashWorker ? exclude(unit, types.Occupancy.RecentStart) : unit,
        requireIdleWorkers: unit => unit.mayCrashWorker ? exclude(unit, types.Occupancy.Stable) : undefined,
        recordStart: workerIds => workerIds.forEach(id => startedWorkerIds.add(id)),
    };
}

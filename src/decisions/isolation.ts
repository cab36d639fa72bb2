/**
 * Keeps a task that may take its worker down apart from other work.
 *
 * What it takes with it is lost, and what has begun beside it would be as suspect as the task itself. So it goes to a
 * worker without other tasks if it can, else to one on which all have settled in, and nothing joins it in that pass.
 */
import * as types from "./types";

export interface Isolation {
    /** The unit as it may be placed; a suspect one avoids workers on which something has just begun. */
    avoidRecentStarts(unit: types.WaitingUnit): types.WaitingUnit;
    /** The unit as it is best placed, on workers without tasks; `undefined` where that makes no difference. */
    requireIdleWorkers(unit: types.WaitingUnit): types.WaitingUnit | undefined;
    /** The unit starts there. */
    recordStart(workerIds: readonly string[]): void;
}

export function createIsolation(workers: readonly types.PlaceableWorker[]): Isolation {
    /** Workers on which this pass has started something. */
    const begun = new Set<string>();
    const listAvoided = (unit: types.WaitingUnit, company: types.Company) => [
        ...unit.excludedWorkerIds,
        ...begun,
        ...workers.filter(worker => worker.occupancy >= company).map(worker => worker.id),
    ];
    const avoid = (unit: types.WaitingUnit, company: types.Company) => ({
        ...unit,
        excludedWorkerIds: new Set(listAvoided(unit, company)),
    });
    return {
        avoidRecentStarts: unit => unit.mayCrashWorker ? avoid(unit, types.Company.RecentStart) : unit,
        requireIdleWorkers: unit => unit.mayCrashWorker ? avoid(unit, types.Company.Stable) : undefined,
        recordStart: workerIds => workerIds.forEach(id => begun.add(id)),
    };
}

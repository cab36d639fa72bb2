/**
 * Keeps a task that may take its worker down apart from other work.
 *
 * What it takes with it is lost, and what has begun beside it would be as suspect as the task itself. So it goes to a
 * worker without other tasks if it can, else to one on which all have settled in, and nothing joins it in that pass.
 */
import * as types from "./types";

export interface Isolation {
    /** The unit as it may be placed; a suspect one avoids workers on which something has just begun. */
    withApart(unit: types.WaitingUnit): types.WaitingUnit;
    /** The unit as it is best placed, on workers without tasks; `undefined` where that makes no difference. */
    withIdle(unit: types.WaitingUnit): types.WaitingUnit | undefined;
    /** The unit starts there. */
    note(workerIds: readonly string[]): void;
}

export function createIsolation(workers: readonly types.PlaceableWorker[]): Isolation {
    /** Workers on which this pass has started something. */
    const begun = new Set<string>();
    const listAvoided = (unit: types.WaitingUnit, company: types.Company) => [
        ...unit.avoided,
        ...begun,
        ...workers.filter(worker => worker.company >= company).map(worker => worker.id),
    ];
    const avoid = (unit: types.WaitingUnit, company: types.Company) => ({
        ...unit,
        avoided: new Set(listAvoided(unit, company)),
    });
    return {
        withApart: unit => unit.suspect ? avoid(unit, types.Company.Unsettled) : unit,
        withIdle: unit => unit.suspect ? avoid(unit, types.Company.Settled) : undefined,
        note: workerIds => workerIds.forEach(id => begun.add(id)),
    };
}

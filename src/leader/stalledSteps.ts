/** Logs why steps wait of occurrences that have no placed task, so that an operator sees which resource is missing. */
import * as decisions from "../decisions/index";
import type * as evacuation from "../evacuation/index";
import type * as observe from "../observe/index";
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";
import type * as units from "./units";

export interface StalledStepsOptions {
    readonly now: number;
    readonly log: observe.Log;
    readonly waiting: readonly units.UnitOfTasks[];
    readonly workers: readonly entries.WorkerEntry[];
    isPlaceable(worker: entries.WorkerEntry): boolean;
    readonly evacuations: Pick<evacuation.Evacuations, "isEvacuated">;
}

/** Shorter waits are normal on a fully used site. */
const REPORT_AFTER_MS = 3_000;
/** Maximum steps per report; those that have waited longest are chosen. */
const MAX_REPORTED = 4;

/** Logs the steps that have waited longest, with the workers that remain after each condition. */
export function logStalledSteps(options: StalledStepsOptions): void {
    const idle = new Map<entries.OccurrenceEntry, boolean>();
    const isIdle = (occurrence: entries.OccurrenceEntry) => {
        const known = idle.get(occurrence) ?? !entries.hasPlacedTask(occurrence);
        idle.set(occurrence, known);
        return known;
    };
    const stalled = options.waiting
        .filter(({ unit, tasks }) => unit.waitedMs >= REPORT_AFTER_MS && isIdle(tasks[0]!.step.occurrence))
        .sort((a, b) => b.unit.waitedMs - a.unit.waitedMs);
    const byStep = new Map(stalled.map(item => [item.unit.step, item]));
    for (const { unit, tasks } of [...byStep.values()].slice(0, MAX_REPORTED)) {
        options.log.info("stepWaits", {
            step: unit.step,
            tasks: tasks.length,
            waitedMs: Math.round(unit.waitedMs),
            crashBudgetUsed: crashHistory.getCounts(tasks[0]!.crashes).crashBudgetUsed,
            ...countWorkers(unit, options),
        });
    }
}

/** Counts the workers of the unit's service that remain after each condition. */
function countWorkers(unit: decisions.WaitingUnit, { workers, isPlaceable, evacuations }: StalledStepsOptions) {
    const ofService = workers.filter(worker => worker.info.service === unit.service);
    const placeable = ofService.filter(isPlaceable);
    const allowed = placeable.filter(({ id, info }) =>
        !unit.excludedWorkerIds.has(id) && (unit.allowedWorkerIds?.has(id) ?? true)
        && (unit.requiredLabel === undefined || info.labels.includes(unit.requiredLabel))
    );
    const withRoom = allowed.filter(worker => {
        const free = decisions.copyResources(worker.info.capacity);
        decisions.subtractResources(free, worker.used);
        return decisions.countFits(free, unit.needs) > 0;
    });
    return {
        workers: ofService.length,
        evacuated: ofService.filter(({ info }) => evacuations.isEvacuated(info.zone)).length,
        placeable: placeable.length,
        allowed: allowed.length,
        withRoom: withRoom.length,
    };
}

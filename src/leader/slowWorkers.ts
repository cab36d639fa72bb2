/**
 * Detects from the progress of its tasks that a worker has become slow, and stops tasks that finish sooner elsewhere.
 */
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";
import type * as jobRegistry from "./jobRegistry";
import * as units from "./units";

/** Quarantine of a slow worker, counted from the last time it was found slow. */
const SLOW_QUARANTINE_MS = 2_000;

/** What the detection needs; `now` is monotonic time in milliseconds. */
export interface SlowWorkerOptions {
    readonly now: number;
    readonly jobRegistry: jobRegistry.JobRegistry;
    readonly log: observe.Log;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    getUrgency(step: entries.StepEntry): decisions.Urgency;
}

/** Quarantines the worker if it is slow, and requests stops of its tasks that are better moved. */
export function handleSlowWorker(worker: entries.WorkerEntry, options: SlowWorkerOptions): void {
    const running = [...worker.tasks].filter(task => task.phase === "running" && !task.step.spec.lasting);
    const slowdowns = running.flatMap(task => decisions.getSlowdown(task.speed) ?? []);
    if (!decisions.isWorkerSlow(slowdowns)) {
        return;
    }
    if (worker.quarantinedUntil <= options.now) {
        options.log.warn("workerSlow", {
            worker: worker.id,
            slowdowns: slowdowns.map(slowdown => Math.round(slowdown * 10) / 10),
        });
    }
    if (!options.disabledMechanisms.has("slowWorkers")) {
        worker.quarantinedUntil = Math.max(worker.quarantinedUntil, options.now + SLOW_QUARANTINE_MS);
    }
    if (options.disabledMechanisms.has("slowMoves")) {
        return;
    }
    for (const task of running) {
        const times = decisions.getMoveTimes({
            ...task.speed,
            percent: task.percent,
            checkpoints: task.step.spec.checkpoints,
        });
        if (times && paysToMove(task, times, options)) {
            options.jobRegistry.requestStop(task, "workerSlow");
        }
    }
}

/** Whether moving the task is worthwhile; a gang is moved as a whole and takes its checkpoints as a whole. */
function paysToMove(task: entries.TaskEntry, times: decisions.MoveTimes, options: SlowWorkerOptions): boolean {
    const { step } = task;
    if (step.spec.checkpoints) {
        return true;
    }
    const { lossCoreSeconds } = units.estimateStopLoss(step.spec.gang ? step.tasks : [task], options.now);
    return decisions.isMoveWorthwhile(options.getUrgency(step), times, lossCoreSeconds);
}

/** After a look: finds out whether the worker has turned slow, and moves what is better off elsewhere. */
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";
import type * as book from "./jobRegistry";
import * as units from "./units";

/** A slow worker gets no new task until it has not been seen slow for this long. */
const SLOW_ASIDE_MS = 2_000;

export interface SlowWorkerOptions {
    readonly now: number;
    readonly jobRegistry: book.JobRegistry;
    readonly log: observe.Log;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    getUrgency(step: entries.StepEntry): decisions.Urgency;
}

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
        worker.quarantinedUntil = Math.max(worker.quarantinedUntil, options.now + SLOW_ASIDE_MS);
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

/** A gang moves as a whole, and saves as a whole. */
function paysToMove(task: entries.TaskEntry, times: decisions.MoveTimes, options: SlowWorkerOptions): boolean {
    const { step } = task;
    if (step.spec.checkpoints) {
        return true;
    }
    const { lossCoreSeconds } = units.estimateStopLoss(step.spec.gang ? step.tasks : [task], options.now);
    return decisions.isMoveWorthwhile(options.getUrgency(step), times, lossCoreSeconds);
}

/** What becomes of the runs that are lost with their worker: they begin anew, or their task is given up. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as crashes from "./crashes";
import * as entries from "./entries";

export interface LossesOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    getWorkers(): Iterable<entries.WorkerEntry>;
    countThrownAway(task: entries.TaskEntry, cause: string): void;
    toWaiting(task: entries.TaskEntry): void;
    breakGang(task: entries.TaskEntry, reason: string): void;
    /** Its occurrence ends as failed. */
    giveUp(task: entries.TaskEntry): void;
    occurrenceChanged(occurrence: entries.OccurrenceEntry): void;
}

/** Why the worker counts as lost: another life has answered, or its leases ran out in silence. */
export type LossReason = "otherLife" | "lapsed";

export interface Losses {
    loseTasksOf(worker: entries.WorkerEntry, reason: LossReason): void;
    /** Gives the task up if too many workers have crashed under it. */
    judge(task: entries.TaskEntry): void;
    readonly crashJudge: crashes.CrashJudge;
}

export function createLosses(options: LossesOptions): Losses {
    const { clock: time, log, meter } = options;

    const judge = (task: entries.TaskEntry) => {
        const { occurrence } = task.step;
        if (task.crashWeight < crashes.CRASH_LIMIT || task.phase === "done" || occurrence.over) {
            return;
        }
        log.warn("taskGivenUp", {
            task: task.name,
            runs: task.run,
            crashWeight: task.crashWeight,
            reason: "its workers crash",
        });
        options.giveUp(task);
    };
    const crashJudge = crashes.createCrashJudge({
        clock: time,
        getWorkers: options.getWorkers,
        onChange: (task, change) => {
            task.crashWeight += change;
            log.info("lossReviewed", { task: task.name, change, crashWeight: task.crashWeight });
            options.occurrenceChanged(task.step.occurrence);
            judge(task);
        },
    });
    const tell = (task: entries.TaskEntry, worker: entries.WorkerEntry, reason: LossReason, weight: number) => {
        meter.increment("runs_lost_total", { queue: task.step.occurrence.job.queue.name, reason });
        log.info("runLost", {
            task: task.name,
            run: task.run,
            worker: worker.id,
            reason,
            phase: task.phase,
            inherited: task.inherited,
            seenMs: Math.round(entries.getSeenMs(task)),
            crashWeight: task.crashWeight + weight,
        });
    };
    const lose = (task: entries.TaskEntry, worker: entries.WorkerEntry, reason: LossReason, weight: number) => {
        entries.unassign(task);
        if (task.phase === "done") {
            return;
        }
        if (task.phase !== "recording") {
            options.countThrownAway(task, reason);
            tell(task, worker, reason, weight);
        }
        task.crashWeight += weight;
        options.toWaiting(task);
    };
    return {
        crashJudge,
        judge,
        loseTasksOf: (worker, reason) => {
            const lost = [...worker.tasks];
            if (lost.length > 0) {
                log.warn("tasksLost", { worker: worker.id, reason, tasks: lost.length });
            }
            const weights = crashJudge.weigh(worker, reason === "otherLife");
            lost.forEach(task => lose(task, worker, reason, weights.get(task) ?? 0));
            lost.forEach(task => options.breakGang(task, "gang member lost"));
            lost.forEach(judge);
        },
    };
}

/** What becomes of the runs that are lost with their worker: they begin anew, or their task is given up. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as crashes from "./crashAttribution";
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";
import type * as workerSession from "./workerSession";

export interface WorkerLossesOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Of the term. */
    readonly signal: AbortSignal;
    getWorkers(): Iterable<entries.WorkerEntry>;
    /** How long a run of the step's tasks is expected to take. */
    estimateRunMs(step: entries.StepEntry): number;
    countThrownAway(task: entries.TaskEntry, cause: string): void;
    requeue(task: entries.TaskEntry): void;
    stopOtherMembers(task: entries.TaskEntry, reason: string): void;
    /** The task is now `stopping`: its run must be stopped and settled. */
    onStopRequested(task: entries.TaskEntry): void;
    /** Its occurrence ends as failed. */
    failOccurrence(task: entries.TaskEntry): void;
    onOccurrenceChanged(occurrence: entries.OccurrenceEntry): void;
}

/** Why the worker counts as lost: another life has answered, or its leases ran out in silence. */
export type LossReason = "otherLife" | "lapsed";

/** The life that has followed under the worker's name, and may have got starts that were meant for the one before. */
export interface NextIncarnation {
    readonly worker: entries.WorkerEntry;
    /** What it has told, if it has answered. */
    readonly pollResult: workerSession.PollResult | undefined;
}

export interface WorkerLosses {
    loseTasksOf(worker: entries.WorkerEntry, reason: LossReason, next?: NextIncarnation): void;
    /** Gives the task up, unless it runs, if too many workers have crashed under it. */
    enforceCrashLimit(task: entries.TaskEntry): void;
    readonly crashAttribution: crashes.CrashAttribution;
}

export function createWorkerLosses(options: WorkerLossesOptions): WorkerLosses {
    const { clock: time, log, meter } = options;

    const judge = (task: entries.TaskEntry) => {
        if (
            !crashHistory.isCrashLimitReached(task.crashes) || task.worker || task.phase === "done"
            || task.step.occurrence.isEnded
        ) {
            return;
        }
        log.warn("taskGivenUp", {
            task: task.name,
            runs: task.run,
            ...crashHistory.getCounts(task.crashes),
            reason: "its workers crash",
        });
        options.failOccurrence(task);
    };
    const crashJudge = crashes.createCrashAttribution({
        clock: time,
        getWorkers: options.getWorkers,
        estimateRunMs: options.estimateRunMs,
        onReviewed: (task, hasChanged) => {
            if (options.signal.aborted || task.step.occurrence.isEnded) {
                return;
            }
            if (hasChanged) {
                log.info("lossReviewed", { task: task.name, ...crashHistory.getCounts(task.crashes) });
                options.onOccurrenceChanged(task.step.occurrence);
            }
            judge(task);
        },
    });
    const tell = (task: entries.TaskEntry, worker: entries.WorkerEntry, reason: LossReason) => {
        meter.increment("runs_lost_total", { queue: task.step.occurrence.job.queue.name, reason });
        log.info("runLost", {
            task: task.name,
            run: task.run,
            worker: worker.id,
            reason,
            phase: task.phase,
            inherited: task.inherited,
            seenMs: Math.round(entries.getObservedMs(task)),
            unknownMs: Math.round(time.now() - Math.max(task.runningSince, task.lastReportAt)),
            ...crashHistory.getCounts(task.crashes),
        });
    };
    const moveTo = (next: entries.WorkerEntry, task: entries.TaskEntry) => {
        entries.unassign(task);
        entries.assign(task, next);
        options.onOccurrenceChanged(task.step.occurrence);
        if (task.phase === "stopping") {
            task.stopAcceptedAt = undefined;
            options.onStopRequested(task);
        }
    };
    /** After a stop the next life refuses the run, however late its start comes; only then is the task free again. */
    const settleOn = (next: entries.WorkerEntry, task: entries.TaskEntry) => {
        task.phase = "stopping";
        task.stopReason = entries.MISSING_RUN_REASON;
        moveTo(next, task);
    };
    /**
     * `loss` is undefined for a run that cannot have taken the worker down; `next` is the life that its start may still
     * reach.
     */
    const lose = (
        task: entries.TaskEntry,
        worker: entries.WorkerEntry,
        reason: LossReason,
        loss: crashHistory.RunLoss | undefined,
        next: entries.WorkerEntry | undefined,
    ) => {
        entries.unassign(task);
        if (task.phase === "done") {
            return;
        }
        if (loss) {
            crashHistory.recordLoss(task.crashes, loss);
        }
        else {
            crashHistory.refundStart(task.crashes);
        }
        if (task.phase !== "recording" && !entries.isClosing(task)) {
            options.countThrownAway(task, reason);
            tell(task, worker, reason);
        }
        if (next) {
            settleOn(next, task);
            return;
        }
        options.requeue(task);
    };
    return {
        crashAttribution: crashJudge,
        enforceCrashLimit: judge,
        loseTasksOf: (worker, reason, next) => {
            if (next?.pollResult) {
                listTold(worker, next.pollResult).forEach(task => moveTo(next.worker, task));
            }
            const lost = [...worker.tasks];
            if (lost.length > 0) {
                log.warn("tasksLost", { worker: worker.id, reason, tasks: lost.length });
            }
            const counted = crashJudge.attributeLoss(worker, {
                restarted: reason === "otherLife",
                hasNextIncarnation: next !== undefined,
            });
            for (const task of lost) {
                const later = next && mayReachNextLife(task, next.pollResult) ? next.worker : undefined;
                lose(task, worker, reason, counted.get(task), later);
            }
            lost.forEach(task => options.stopOtherMembers(task, "gang member lost"));
            // The others are judged when their loss is reviewed.
            lost.filter(task => !counted.has(task)).forEach(judge);
        },
    };
}

/** Tasks of the worker of which a look's answer tells, as running or as ended. */
function listTold(
    worker: entries.WorkerEntry,
    { running, ended }: workerSession.PollResult,
): readonly entries.TaskEntry[] {
    const runs = new Map([...running, ...ended].map(({ task, run }) => [task, run]));
    return [...worker.tasks].filter(task => runs.get(task.name) === task.run);
}

/**
 * Whether the next life may still get the start of a run that it has not told of: the life before never told of it
 * either, nor was the start answered before the next life was asked.
 */
function mayReachNextLife(task: entries.TaskEntry, lists: workerSession.PollResult | undefined): boolean {
    switch (task.phase) {
        case "waiting":
        case "recording":
        case "done":
            return false;
        case "ordered":
            return true;
        case "running":
        case "stopping": {
            const isTold = task.lastReportAt >= entries.getStartedAt(task);
            const isAnswered = !task.inherited && task.runningSince >= task.orderedAt;
            return !isTold && !(isAnswered && lists !== undefined && task.runningSince < lists.sentAt);
        }
    }
}

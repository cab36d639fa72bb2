/** Handles the loss of a worker: its tasks are requeued, moved to the next incarnation, or given up. */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import * as crashHistory from "../crashHistory";
import * as entries from "../entries";
import type * as sessions from "../sessions/index";
import * as thrownAways from "../thrownAway";
import * as crashes from "./crashAttribution";

/** What the handling of losses needs from the job registry. */
export interface WorkerLossesOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Aborted when the term ends. */
    readonly signal: AbortSignal;
    getWorkers(): Iterable<entries.WorkerEntry>;
    readonly unansweredStarts: Pick<sessions.UnansweredStarts, "has">;
    /** Expected duration of a run of the step's tasks, in milliseconds. */
    estimateRunMs(step: entries.StepEntry): number;
    /** Adds the unsaved work of the run to the thrown-away work; it ended at `endedAt` at the latest. */
    countThrownAway(task: entries.TaskEntry, cause: string, endedAt: number): void;
    /** Returns the task to the waiting ones. */
    requeue(task: entries.TaskEntry): void;
    /** Stops the other members of the task's gang, if it has one. */
    stopOtherMembers(task: entries.TaskEntry, reason: string): void;
    /** The task is now `stopping`: its run must be stopped and its end confirmed. */
    onStopRequested(task: entries.TaskEntry): void;
    /** Ends the task's occurrence as failed. */
    failOccurrence(task: entries.TaskEntry): void;
    onOccurrenceChanged(occurrence: entries.OccurrenceEntry): void;
}

/** Why the worker counts as lost: another incarnation has answered, or its leases expired while it was unreachable. */
export type LossReason = "otherLife" | "lapsed";

/** The next incarnation of a worker, which may have received start orders that were meant for the one before. */
export interface NextIncarnation {
    readonly worker: entries.WorkerEntry;
    /** Its first answer to a poll; `undefined` if it has not answered. */
    readonly pollResult: sessions.PollResult | undefined;
}

/** Handles lost workers and the crash limit of tasks. */
export interface WorkerLosses {
    /** Handles all tasks of a lost worker. */
    handleWorkerLoss(worker: entries.WorkerEntry, reason: LossReason, next?: NextIncarnation): void;
    /** Gives the task up if it is not running and has reached its crash limit. */
    enforceCrashLimit(task: entries.TaskEntry): void;
    readonly crashAttribution: crashes.CrashAttribution;
}

/** Longest time for which a task at its crash limit waits for others; each of their runs takes about 3 s. */
const MAX_DEFERRAL_MS = 15_000;
const DEFERRED_CHECK_MS = 500;

/** Creates the handling of lost workers for one term. */
export function createWorkerLosses(options: WorkerLossesOptions): WorkerLosses {
    const { clock: time, log, meter } = options;

    /** When each task that waits for the end of other jobs began to wait. */
    const deferredSince = new Map<entries.TaskEntry, number>();
    const isDeferred = (task: entries.TaskEntry) =>
        crashHistory.mayBelongToOthers(task.crashes)
        && time.now() - (deferredSince.get(task) ?? time.now()) < MAX_DEFERRAL_MS;
    /** Waits for the end of other jobs, which may turn out to have crashed the task's workers. */
    const defer = async (task: entries.TaskEntry) => {
        if (deferredSince.has(task)) {
            return;
        }
        deferredSince.set(task, time.now());
        log.info("giveUpDeferred", { task: task.name, ...crashHistory.getCounts(task.crashes) });
        while (!options.signal.aborted && isDeferred(task)) {
            await time.sleep(DEFERRED_CHECK_MS, options.signal);
        }
        if (!options.signal.aborted) {
            enforceCrashLimit(task);
            deferredSince.delete(task);
            options.onOccurrenceChanged(task.step.occurrence);
        }
    };
    const enforceCrashLimit = (task: entries.TaskEntry) => {
        if (
            !crashHistory.isCrashLimitReached(task.crashes) || task.worker || task.phase === "done"
            || task.step.occurrence.isEnded
        ) {
            return;
        }
        if (isDeferred(task)) {
            void defer(task);
            return;
        }
        task.step.crashesWorkers = crashHistory.hasCrashedWorker(task.crashes);
        log.warn("taskGivenUp", {
            task: task.name,
            runs: task.run,
            ...crashHistory.getCounts(task.crashes),
            reason: "its workers crash",
        });
        options.failOccurrence(task);
    };
    const crashAttribution = crashes.createCrashAttribution({
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
            enforceCrashLimit(task);
        },
    });
    const logLostRun = (task: entries.TaskEntry, worker: entries.WorkerEntry, reason: LossReason) => {
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
    const moveToIncarnation = (next: entries.WorkerEntry, task: entries.TaskEntry) => {
        entries.unassign(task);
        entries.assign(task, next);
        options.onOccurrenceChanged(task.step.occurrence);
        if (task.phase === "stopping") {
            task.stopAcceptedAt = undefined;
            options.onStopRequested(task);
        }
    };
    /**
     * Stops the run on the next incarnation, which then refuses a start order that arrives late. The task is not
     * requeued before that.
     */
    const stopOnIncarnation = (next: entries.WorkerEntry, task: entries.TaskEntry) => {
        task.phase = "stopping";
        task.stopReason = entries.MISSING_RUN_REASON;
        moveToIncarnation(next, task);
    };
    /**
     * Handles the loss of one run. `loss` is `undefined` if the run cannot have crashed the worker; `next` is the
     * incarnation that its start order may still reach.
     */
    const handleLostRun = (
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
            options.countThrownAway(task, reason, thrownAways.getLostAt(worker, reason === "otherLife", time.now()));
            logLostRun(task, worker, reason);
        }
        if (next) {
            stopOnIncarnation(next, task);
            return;
        }
        options.requeue(task);
    };
    const mayReachNextIncarnation = (task: entries.TaskEntry, worker: entries.WorkerEntry, next: NextIncarnation) =>
        isStartUndecided(task, next.pollResult)
        || (task.phase !== "done"
            && options.unansweredStarts.has(worker.incarnation.name, { task: task.name, run: task.run }));
    return {
        crashAttribution,
        enforceCrashLimit,
        handleWorkerLoss: (worker, reason, next) => {
            if (next?.pollResult) {
                listReportedTasks(worker, next.pollResult).forEach(task => moveToIncarnation(next.worker, task));
            }
            const lost = [...worker.tasks];
            if (lost.length > 0) {
                log.warn("tasksLost", { worker: worker.id, reason, tasks: lost.length });
            }
            const attributed = crashAttribution.attributeLoss(worker, {
                restarted: reason === "otherLife",
                hasNextIncarnation: next !== undefined,
            });
            for (const task of lost) {
                const successor = next && mayReachNextIncarnation(task, worker, next) ? next.worker : undefined;
                handleLostRun(task, worker, reason, attributed.get(task), successor);
            }
            lost.forEach(task => options.stopOtherMembers(task, "gang member lost"));
            // The other tasks are checked when their loss is reviewed.
            lost.filter(task => !attributed.has(task)).forEach(enforceCrashLimit);
        },
    };
}

/** Lists the worker's tasks whose current run the poll result contains as running or ended. */
function listReportedTasks(
    worker: entries.WorkerEntry,
    { running, ended }: sessions.PollResult,
): readonly entries.TaskEntry[] {
    const runs = new Map([...running, ...ended].map(({ task, run }) => [task, run]));
    return [...worker.tasks].filter(task => runs.get(task.name) === task.run);
}

/**
 * Whether the previous incarnation never reported the run, and its start order was not answered before the next one was
 * polled. An earlier leader may have sent the order.
 */
function isStartUndecided(task: entries.TaskEntry, pollResult: sessions.PollResult | undefined): boolean {
    switch (task.phase) {
        case "waiting":
        case "recording":
        case "done":
            return false;
        case "ordered":
            return true;
        case "running":
        case "stopping": {
            const isReported = task.lastReportAt >= entries.getStartedAt(task);
            const isAnswered = !task.inherited && task.runningSince >= task.orderedAt;
            return !isReported && !(isAnswered && pollResult !== undefined && task.runningSince < pollResult.sentAt);
        }
    }
}

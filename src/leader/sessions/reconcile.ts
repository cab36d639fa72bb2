/** Reconciles the runs and ends that a worker lists with the job registry. */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import * as entries from "../entries";
import type * as jobRegistry from "../jobRegistry";
import type * as port from "./workerPort";
import type * as workerSession from "./workerSession";

/** What the reconciliation needs from the term. */
export interface ReconcileOptions {
    readonly jobRegistry: jobRegistry.JobRegistry;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    /** Stops a run that the worker lists and the job registry does not hold. */
    stopUnknownRun(worker: entries.WorkerEntry, task: port.RunningTask): void;
}

/** Applies the poll result to the job registry and stops unknown runs. */
export function reconcile(
    options: ReconcileOptions,
    worker: entries.WorkerEntry,
    pollResult: workerSession.PollResult,
): void {
    const { jobRegistry: jobs } = options;
    const listed = new Set<entries.TaskEntry>();
    let unknownRunCount = 0;
    for (const reported of pollResult.running) {
        const task = jobs.getTask(reported.task);
        if (task?.worker === worker && task.run === reported.run) {
            listed.add(task);
            jobs.recordProgress(task, reported);
            continue;
        }
        unknownRunCount++;
        options.log.warn("strangerFound", { worker: worker.id, task: reported.task, run: reported.run });
        options.stopUnknownRun(worker, reported);
    }
    worker.unknownRunCount = unknownRunCount;
    for (const end of pollResult.ended) {
        jobs.recordRunEnd(worker, end);
    }
    if (pollResult.isEndListComplete) {
        handleMissingRuns(options, worker, pollResult.sentAt, listed);
    }
}

/**
 * Handles tasks that the worker lists neither as running nor as ended, so that their run does not exist there. This is
 * certain only if the poll was sent after the worker confirmed the start, or after it accepted a stop: from then on it
 * refuses a delayed start of the run.
 */
function handleMissingRuns(
    options: ReconcileOptions,
    worker: entries.WorkerEntry,
    sentAt: number,
    listed: ReadonlySet<entries.TaskEntry>,
): void {
    for (const task of [...worker.tasks]) {
        if (listed.has(task)) {
            continue;
        }
        switch (task.phase) {
            case "running":
            case "done":
                if (task.runningSince < sentAt) {
                    handleMissingRun(options, worker, task);
                }
                break;
            case "stopping":
                if (task.stopAcceptedAt !== undefined && task.stopAcceptedAt < sentAt) {
                    options.log.info("orderSettled", { task: task.name, run: task.run, worker: worker.id });
                    options.jobRegistry.revertPlacement(task);
                }
                else if (entries.isStartExpired(task, sentAt)) {
                    options.jobRegistry.requestStop(task, entries.MISSING_RUN_REASON);
                }
                break;
            case "ordered":
                if (task.startTimedOutAt !== undefined && task.startTimedOutAt < sentAt) {
                    const isExpired = entries.isStartExpired(task, sentAt);
                    options.jobRegistry.requestStop(
                        task,
                        isExpired ? entries.MISSING_RUN_REASON : "startUnanswered",
                    );
                }
                break;
            case "waiting":
            case "recording":
                break;
        }
    }
}

function handleMissingRun(options: ReconcileOptions, worker: entries.WorkerEntry, task: entries.TaskEntry): void {
    if (task.phase === "done") {
        // Another member's end has completed the gang.
        options.jobRegistry.revertPlacement(task);
        return;
    }
    options.log.warn("taskMissing", { task: task.name, run: task.run, worker: worker.id });
    options.jobRegistry.requestStop(task, entries.MISSING_RUN_REASON);
}

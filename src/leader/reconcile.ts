/** Compares what a worker lists with what the book holds for it. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as entries from "./entries";
import type * as book from "./jobRegistry";
import type * as port from "./workerPort";
import type * as workerSession from "./workerSession";

export interface ReconcileOptions {
    readonly jobRegistry: book.JobRegistry;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    /** Something runs there that the book does not hold: it must be stopped. */
    stopUnknownRun(worker: entries.WorkerEntry, task: port.RunningTask): void;
}

export function reconcile(
    options: ReconcileOptions,
    worker: entries.WorkerEntry,
    lists: workerSession.PollResult,
): void {
    const { jobRegistry: taskBook } = options;
    const present = new Set<entries.TaskEntry>();
    let strangers = 0;
    for (const told of lists.running) {
        const task = taskBook.getTask(told.task);
        if (task?.worker === worker && task.run === told.run) {
            present.add(task);
            taskBook.recordProgress(task, told);
            continue;
        }
        strangers++;
        options.log.warn("strangerFound", { worker: worker.id, task: told.task, run: told.run });
        options.stopUnknownRun(worker, told);
    }
    worker.unknownRunCount = strangers;
    for (const end of lists.ended) {
        taskBook.recordRunEnd(worker, end);
    }
    if (lists.isEndListComplete) {
        settleMissing(options, worker, lists.sentAt, present);
    }
}

/**
 * A task that the worker neither runs nor lists as ended has not begun there. That is certain only of a look sent
 * after the worker confirmed the order, or accepted a stop, after which it refuses the run if the order comes late.
 */
function settleMissing(
    options: ReconcileOptions,
    worker: entries.WorkerEntry,
    sentAt: number,
    present: ReadonlySet<entries.TaskEntry>,
): void {
    for (const task of [...worker.tasks]) {
        if (present.has(task)) {
            continue;
        }
        switch (task.phase) {
            case "running":
            case "done":
                if (task.runningSince < sentAt) {
                    settleOne(options, worker, task);
                }
                break;
            case "stopping":
                if (task.stopAcceptedAt !== undefined && task.stopAcceptedAt < sentAt) {
                    options.log.info("orderSettled", { task: task.name, run: task.run, worker: worker.id });
                    options.jobRegistry.revertPlacement(task);
                }
                break;
            case "ordered":
                if (task.startTimedOutAt !== undefined && task.startTimedOutAt < sentAt) {
                    options.jobRegistry.requestStop(task, "startUnanswered");
                }
                break;
            case "waiting":
            case "recording":
                break;
        }
    }
}

function settleOne(options: ReconcileOptions, worker: entries.WorkerEntry, task: entries.TaskEntry): void {
    if (task.phase === "done") {
        // A gang's other member has ended for it.
        options.jobRegistry.revertPlacement(task);
        return;
    }
    options.log.warn("taskMissing", { task: task.name, run: task.run, worker: worker.id });
    options.jobRegistry.requestStop(task, entries.MISSING_RUN_REASON);
}

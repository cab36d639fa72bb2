/** How tasks are started that may take their workers down. */
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";

/** A worker that is to start a task whose earlier runs were lost has answered no longer ago than this. */
export const MAX_SUSPECT_START_SILENCE_MS = 100;
/** A run that its worker has told of for this long has settled in. */
export const SETTLED_MS = 1_000;

/** Whether the task's run has been ordered and has not settled in yet. */
export function isUnsettled(task: entries.TaskEntry): boolean {
    return isUnderWay(task) && entries.getObservedMs(task) < SETTLED_MS;
}

/** Whether something has just begun there that may take the worker down. */
export function hasUnsettledSuspect(worker: entries.WorkerEntry): boolean {
    for (const task of worker.tasks) {
        if (isUnsettled(task) && crashHistory.isSuspect(task.crashes)) {
            return true;
        }
    }
    return false;
}

function isUnderWay({ phase }: entries.TaskEntry): boolean {
    return phase === "recording" || phase === "ordered" || phase === "running";
}

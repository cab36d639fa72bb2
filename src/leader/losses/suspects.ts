/** Rules for starting tasks that may crash their worker. */
import * as crashHistory from "../crashHistory";
import * as entries from "../entries";

/** Maximum age of a worker's last answer when a task that may have crashed earlier workers is started on it. */
export const MAX_SUSPECT_START_SILENCE_MS = 100;
/** A run that its worker has reported for this long counts as settled. */
export const SETTLED_MS = 1_000;

/** Whether the task has a run that is placed or running and not yet settled. */
export function isUnsettled(task: entries.TaskEntry): boolean {
    return isActive(task) && entries.getObservedMs(task) < SETTLED_MS;
}

/** Whether a task that may crash the worker has just begun there. */
export function hasUnsettledSuspect(worker: entries.WorkerEntry): boolean {
    for (const task of worker.tasks) {
        if (isUnsettled(task) && crashHistory.isSuspect(task.crashes)) {
            return true;
        }
    }
    return false;
}

function isActive({ phase }: entries.TaskEntry): boolean {
    return phase === "recording" || phase === "ordered" || phase === "running";
}

/**
 * Availability of the tasks of lasting steps, and how many of them may be stopped.
 *
 * What is uncertain speaks against a stop. A task whose worker is silent, or whose start is not confirmed, counts as
 * missing when another task of its step is to be stopped, and is protected like an available one itself.
 */
import type * as decisions from "../decisions/index";
import type * as entries from "./entries";

/** Percentage that a worker reports of a lasting task whose start-up has completed. */
const AVAILABLE_PERCENT = 100;
/**
 * Maximum age of the report by which a task counts as available. Answers to polls come within 2.6 s; a task that has
 * been away for over 4 s must count as missing when the order to stop another one reaches its worker.
 */
const MAX_REPORT_AGE_MS = 3_000;

/** Whether the task is certainly available: its worker answers, and has just reported it as such. */
export function isAvailable(task: entries.TaskEntry, now: number): boolean {
    return task.phase === "running" && task.percent >= AVAILABLE_PERCENT
        && task.worker !== undefined && task.worker.reachable
        && now - task.lastReportAt <= MAX_REPORT_AGE_MS;
}

/** Whether the task may be available: an order to start it has been sent, and no order to stop it. */
function mayBeAvailable({ phase }: entries.TaskEntry): boolean {
    switch (phase) {
        case "ordered":
        case "running":
            return true;
        case "waiting":
        case "recording":
        case "stopping":
        case "done":
            return false;
    }
}

/** What may be stopped of one step, as of one moment. */
export interface StepAvailability {
    /**
     * The budget that a stop of these tasks is charged to; `undefined` if they may be stopped regardless of the others.
     */
    getDisruptionBudget(tasks: readonly entries.TaskEntry[]): decisions.DisruptionBudget | undefined;
}

/** Determines which tasks of the step, called `name`, are available; reads each of them once. */
export function createStepAvailability(step: entries.StepEntry, name: string, now: number): StepAvailability {
    const { lasting, mayMiss } = step.spec;
    if (!lasting || mayMiss === 0) {
        return { getDisruptionBudget: () => undefined };
    }
    const unavailable = new Set(step.tasks.filter(task => !isAvailable(task, now)));
    return {
        getDisruptionBudget: tasks => {
            if (!tasks.some(mayBeAvailable)) {
                return undefined;
            }
            const othersUnavailable = unavailable.size - tasks.filter(task => unavailable.has(task)).length;
            return { step: name, allowedDisruptions: mayMiss - othersUnavailable };
        },
    };
}

/** Whether the task may be stopped now in view of the other tasks of its step. */
export function mayStop(task: entries.TaskEntry, now: number): boolean {
    const budget = createStepAvailability(task.step, "", now).getDisruptionBudget([task]);
    return budget === undefined || budget.allowedDisruptions > 0;
}

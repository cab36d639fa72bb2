/**
 * Jobs that the scheduler cannot hold, told before they are accepted.
 *
 * What goes wrong without it: one job of a million tasks takes all memory of the leader, and of each successor that
 * reads its row; or its progress does not fit into a row, and since rows are written in turn nothing of any job is
 * stored from then on. One notices instances that end one after the other, or `progressNotWritten` without an end.
 */
import type * as spec from "./spec";

/** Of one job, over all its occurrences: as many as a whole site runs at the size to design for. */
const MOST_TASKS = 96_000;
/** Those that are over are listed in the job's row, with four digits and a comma each. */
const MOST_OCCURRENCES = 10_000;
/**
 * A task in its occurrence's row: run, failures, what it saved, its worker's number, the weight and the number of lost
 * runs and, at worst, its worker's name.
 */
const TASK_BYTES = 56;

/** What is too much about the job, in words; `undefined`: nothing. `rowBytes`: the longest value of a row. */
export function findExceededLimit(job: spec.JobSpec, rowBytes: number): string | undefined {
    const tasks = job.steps.reduce((sum, step) => sum + step.count, 0);
    const mostTasks = Math.floor(rowBytes / TASK_BYTES);
    if (tasks > mostTasks) {
        return `${tasks} tasks, more than the ${mostTasks} whose progress can be stored`;
    }
    if (job.repeats > MOST_OCCURRENCES) {
        return `${job.repeats} occurrences, more than ${MOST_OCCURRENCES}`;
    }
    const all = tasks * Math.max(1, job.repeats);
    return all > MOST_TASKS ? `${all} tasks over all occurrences, more than ${MOST_TASKS}` : undefined;
}

/**
 * Size limits that a job has to meet to be accepted.
 *
 * A job with a million tasks exhausts the memory of the leader and of each successor that reads its row, so that the
 * instances crash one after another. If the progress of a job does not fit into a row, no progress of any job is stored
 * from then on, since rows are written in sequence; `progressNotWritten` is then logged without end.
 */
import type * as spec from "./spec";

/** Maximum number of tasks of a job over all its occurrences: as many as a site of the intended size runs at once. */
const MAX_TASKS = 96_000;
/** The row of a job lists the occurrences that have ended, with four digits and a comma each. */
const MAX_OCCURRENCES = 10_000;
/**
 * Maximum encoded size of a task in the row of its occurrence: run, failures, checkpoint, worker index, crash budget
 * used, known crashes and, at worst, the id of its worker.
 */
const MAX_TASK_BYTES = 56;

/** Describes the limit that the job exceeds, or returns `undefined`. `rowBytes` is the maximum size of a row's value. */
export function findExceededLimit(job: spec.JobSpec, rowBytes: number): string | undefined {
    const tasks = job.steps.reduce((sum, step) => sum + step.count, 0);
    const maxStoredTasks = Math.floor(rowBytes / MAX_TASK_BYTES);
    if (tasks > maxStoredTasks) {
        return `${tasks} tasks, more than the ${maxStoredTasks} whose progress can be stored`;
    }
    if (job.repeats > MAX_OCCURRENCES) {
        return `${job.repeats} occurrences, more than ${MAX_OCCURRENCES}`;
    }
    const totalTasks = tasks * Math.max(1, job.repeats);
    return totalTasks > MAX_TASKS ? `${totalTasks} tasks over all occurrences, more than ${MAX_TASKS}` : undefined;
}

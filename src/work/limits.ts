/**
 * Size limits that a job has to meet to be accepted.
 *
 * A job with a million tasks exhausts the memory of the leader and of each successor that reads its row, so that the
 * instances crash one after another. If the progress of a job does not fit into a row, no progress of any job is stored
 * from then on, since rows are written in sequence; `progressNotWritten` is then logged without end.
 */
import * as spec from "./spec";

/** Maximum number of tasks of a job over all its occurrences: as many as a site of the intended size runs at once. */
const MAX_TASKS = 96_000;
/** The row of a job lists the occurrences that have ended, with four digits and a comma each. */
const MAX_OCCURRENCES = 10_000;
/**
 * Maximum encoded size of a task in the row of its occurrence: run, failures, checkpoint, worker index, crash budget
 * used, known crashes and, at worst, the id of its worker.
 */
const MAX_TASK_BYTES = 56;

/** Limits of a job. The names are labels of a metric. */
export type JobLimit = "storedTasks" | "occurrences" | "allTasks" | "rowBytes";

/** A limit that a job exceeds. */
export interface ExceededLimit {
    readonly limit: JobLimit;
    /** For the caller. */
    readonly reason: string;
}

/**
 * Returns a limit that the job exceeds, if any. `jobBytes` is the size of the job's row, `rowBytes` the maximum size of
 * a row's value.
 */
export function findExceededLimit(job: spec.JobSpec, jobBytes: number, rowBytes: number): ExceededLimit | undefined {
    const tasks = spec.countTasks(job);
    const allTasks = tasks * spec.getOccurrenceCount(job);
    const maxStoredTasks = Math.floor(rowBytes / MAX_TASK_BYTES);
    if (tasks > maxStoredTasks) {
        const reason = `${tasks} tasks, more than the ${maxStoredTasks} whose progress can be stored`;
        return { limit: "storedTasks", reason };
    }
    if (job.repeats > MAX_OCCURRENCES) {
        return { limit: "occurrences", reason: `${job.repeats} occurrences, more than ${MAX_OCCURRENCES}` };
    }
    if (allTasks > MAX_TASKS) {
        return { limit: "allTasks", reason: `${allTasks} tasks over all occurrences, more than ${MAX_TASKS}` };
    }
    if (jobBytes > rowBytes) {
        return { limit: "rowBytes", reason: `${jobBytes} bytes, more than the ${rowBytes} of a row` };
    }
    return undefined;
}

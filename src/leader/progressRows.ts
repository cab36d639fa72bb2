/** Encodes entries of jobs and occurrences as stored rows of progress. */
import * as work from "../work/index";
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";

/** Encodes the progress of a job. */
export function encodeJob(job: entries.JobEntry): string {
    const progress: work.JobProgress = {
        state: job.state,
        ended: [...job.endedOccurrences],
        failed: job.failed,
        endedAt: job.endedAt,
        service: job.queue.service === job.submission.queue.service ? undefined : job.queue.service,
    };
    return JSON.stringify(progress);
}

/** Decodes the progress of a job. */
export function decodeJob(text: string): work.JobProgress {
    return JSON.parse(text) as work.JobProgress;
}

/** Encodes the progress of an occurrence's tasks. */
export function encodeOccurrence(occurrence: entries.OccurrenceEntry): string {
    return work.encodeOccurrence(occurrence.steps.map(step => step.tasks.map(toProgress)));
}

function toProgress(task: entries.TaskEntry): work.TaskProgress {
    const { run, failures, saved } = task;
    if (task.phase === "done") {
        return { kind: "done", run };
    }
    const attempts = { run, failures, saved, ...crashHistory.getCounts(task.crashes) };
    if (!task.worker) {
        return { kind: "waiting", ...attempts };
    }
    return { kind: entries.isClosing(task) ? "closing" : "placed", ...attempts, workerId: task.worker.id };
}

import type * as catalogs from "../../catalog/index";
import type * as observe from "../../observe/index";
import * as work from "../../work/index";
import * as entries from "../entries";

export const QUEUE: catalogs.Queue = {
    name: "plan",
    host: "example",
    pathPrefix: "/plan/",
    service: "booking",
    priority: 1,
    maxAttempts: 2,
    stretch: 3,
    objectiveMs: 1_000,
    needsKey: true,
};

export const LOG: observe.Log = { info: () => undefined, warn: () => undefined, error: () => undefined };

/** A job of one task; `step` goes to its step. */
export function createSubmission(jobId: string, step: Partial<work.StepSpec> = {}): work.Submission {
    const spec = { ...work.PLAIN_STEP, count: 1, needs: work.EMPTY_ROOM, estimateMs: 1_000, ...step };
    return {
        jobId,
        queue: QUEUE,
        account: "a",
        acceptedAt: 0,
        spec: { payload: "", steps: [spec], repeats: 0, firstDueAt: 0, periodMs: 0 },
    };
}

/** The task of such a job. */
export function createTask(jobId: string, step: Partial<work.StepSpec> = {}): entries.TaskEntry {
    const job = entries.createJobEntry(createSubmission(jobId, step), QUEUE, 0);
    return entries.createOccurrenceEntry(job, 0, 0).steps[0]!.tasks[0]!;
}

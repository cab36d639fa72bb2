/**
 * Stored progress: one row for each job and one for each of its occurrences that has started.
 *
 * A task's run and worker are stored in the row of its occurrence before the start request is sent. So a new leader
 * knows every request that may be in flight, which it cannot learn from the workers or its predecessor.
 */

/** State of a job as reported to callers. */
export type JobState = "queued" | "running" | "completed" | "failed" | "cancelled";

/** The row of a job. */
export interface JobProgress {
    readonly state: JobState;
    /** Numbers of the occurrences that have ended, with any outcome. */
    readonly ended: readonly number[];
    /** Whether an occurrence has failed. */
    readonly failed: boolean;
    /** Wall-clock time of the end in milliseconds; 0 until then. */
    readonly endedAt: number;
    /** Service of the job's queue as last configured, if it is not the one that the submission names. */
    readonly service?: string;
}

/** State of a task that is kept from one run to the next. */
interface Attempts {
    /** Number of the current or latest run. */
    readonly run: number;
    /** Number of runs that failed. */
    readonly failures: number;
    /** Number of workers that may have crashed because of the task, plus starts that count as such crashes. */
    readonly crashBudgetUsed: number;
    /** Known crashes of workers while they ran the task, in halves. */
    readonly knownCrashes: number;
    /** Opaque checkpoint from which the next run resumes; empty if there is none. */
    readonly saved: string;
}

/** Stored state of a task. */
export type TaskProgress =
    | { readonly kind: "waiting"; } & Attempts
    /** Requested or running on that worker under that run. */
    | { readonly kind: "placed"; readonly workerId: string; } & Attempts
    /** Counted as lost or never started; a late start request may still reach the worker, which must reject it first. */
    | { readonly kind: "closing"; readonly workerId: string; } & Attempts
    | { readonly kind: "done"; readonly run: number; };

/** Progress of an occurrence: the tasks of each step. */
export type OccurrenceProgress = ReadonlyArray<readonly TaskProgress[]>;

type EncodedTask =
    | readonly [run: number]
    | readonly [
        run: number,
        failures: number,
        saved: string,
        worker: number,
        crashBudgetUsed?: number,
        knownCrashes?: number,
        closing?: 1,
    ];

interface EncodedOccurrence {
    readonly workers: readonly string[];
    readonly steps: ReadonlyArray<readonly EncodedTask[]>;
}

/** Worker index of a task that is on no worker. */
const NO_WORKER_INDEX = -1;

/** Encodes the row of an occurrence compactly, as each start or end of a task rewrites it; a done task is only its run. */
export function encodeOccurrence(progress: OccurrenceProgress): string {
    const workers = new Map<string, number>();
    const getIndex = (workerId: string) => {
        const index = workers.get(workerId) ?? workers.size;
        workers.set(workerId, index);
        return index;
    };
    const encodeTask = (task: TaskProgress): EncodedTask => {
        switch (task.kind) {
            case "done":
                return [task.run];
            case "waiting":
                return encodeAttempts(task, NO_WORKER_INDEX);
            case "placed":
                return encodeAttempts(task, getIndex(task.workerId));
            case "closing": {
                const { run, failures, saved, crashBudgetUsed, knownCrashes } = task;
                return [run, failures, saved, getIndex(task.workerId), crashBudgetUsed, knownCrashes, 1];
            }
        }
    };
    const steps = progress.map(tasks => tasks.map(encodeTask));
    const encoded: EncodedOccurrence = { workers: [...workers.keys()], steps };
    return JSON.stringify(encoded);
}

function encodeAttempts(
    { run, failures, saved, crashBudgetUsed, knownCrashes }: Attempts,
    worker: number,
): EncodedTask {
    return crashBudgetUsed > 0 || knownCrashes > 0
        ? [run, failures, saved, worker, crashBudgetUsed, knownCrashes]
        : [run, failures, saved, worker];
}

/** Inverse of `encodeOccurrence`; also reads rows without the optional trailing numbers. */
export function decodeOccurrence(text: string): OccurrenceProgress {
    const encoded = JSON.parse(text) as EncodedOccurrence;
    const decodeTask = (task: EncodedTask): TaskProgress => {
        if (task.length === 1) {
            return { kind: "done", run: task[0] };
        }
        const [run, failures, saved, worker, crashBudgetUsed = 0, knownCrashes = 0, closing] = task;
        const attempts = { run, failures, crashBudgetUsed, knownCrashes, saved };
        const workerId = encoded.workers[worker];
        return workerId === undefined
            ? { kind: "waiting", ...attempts }
            : { kind: closing ? "closing" : "placed", ...attempts, workerId };
    };
    return encoded.steps.map(tasks => tasks.map(decodeTask));
}

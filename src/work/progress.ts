/**
 * How far a job has come, as it is stored: one row for the job and one for each occurrence that has begun.
 *
 * The occurrence's row names a task's run and worker before the order goes out. An instance that takes over thereby
 * knows every order that may be under way, which neither the workers nor its predecessor could tell it.
 */

/** What callers see of a job. */
export type JobState = "queued" | "running" | "completed" | "failed" | "cancelled";

export interface JobProgress {
    readonly state: JobState;
    /** Numbers of the occurrences that are over, whatever their outcome. */
    readonly ended: readonly number[];
    /** Whether an occurrence has failed. */
    readonly failed: boolean;
    /** Wall-clock time of the end; 0 while the job goes on. */
    readonly endedAt: number;
}

export type TaskProgress =
    | { readonly kind: "waiting"; readonly run: number; readonly failures: number; readonly saved: string; }
    /** Ordered or running on that worker under that run. */
    | {
        readonly kind: "placed";
        readonly run: number;
        readonly failures: number;
        readonly saved: string;
        readonly workerId: string;
    }
    | { readonly kind: "done"; readonly run: number; };

/** The tasks of each step. */
export type OccurrenceProgress = ReadonlyArray<readonly TaskProgress[]>;

type EncodedTask = readonly [run: number] | readonly [run: number, failures: number, saved: string, worker: number];

interface EncodedOccurrence {
    readonly workers: readonly string[];
    readonly steps: ReadonlyArray<readonly EncodedTask[]>;
}

/** Stands for a worker's index where the task is on none. */
const NO_WORKER = -1;

/** Short, since wide steps are written again with each start and end; a done task takes its run number alone. */
export function encodeOccurrence(progress: OccurrenceProgress): string {
    const workers = new Map<string, number>();
    const encodeTask = (task: TaskProgress): EncodedTask => {
        switch (task.kind) {
            case "done":
                return [task.run];
            case "waiting":
                return [task.run, task.failures, task.saved, NO_WORKER];
            case "placed": {
                const index = workers.get(task.workerId) ?? workers.size;
                workers.set(task.workerId, index);
                return [task.run, task.failures, task.saved, index];
            }
        }
    };
    const steps = progress.map(tasks => tasks.map(encodeTask));
    const encoded: EncodedOccurrence = { workers: [...workers.keys()], steps };
    return JSON.stringify(encoded);
}

export function decodeOccurrence(text: string): OccurrenceProgress {
    const encoded = JSON.parse(text) as EncodedOccurrence;
    const decodeTask = (task: EncodedTask): TaskProgress => {
        if (task.length === 1) {
            return { kind: "done", run: task[0] };
        }
        const [run, failures, saved, worker] = task;
        const workerId = encoded.workers[worker];
        return workerId === undefined
            ? { kind: "waiting", run, failures, saved }
            : { kind: "placed", run, failures, saved, workerId };
    };
    return encoded.steps.map(tasks => tasks.map(decodeTask));
}

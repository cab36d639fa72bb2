/**
 * The port to one worker: leases with fencing tokens, tasks and their answers.
 *
 * Every command carries a token. The worker refuses a command whose token is older than the newest it granted, or
 * whose lease lapsed, so that two instances that both believe to own the worker cannot both act on it.
 */

/** What a task takes of one worker. Memory in mebibytes. */
export interface TaskNeeds {
    readonly accelerators: number;
    readonly slots: number;
    readonly cpus: number;
    readonly memoryMb: number;
}

export const TaskState = {
    /** Holds its resources and waits for the start command. */
    Prepared: "prepared",
    Running: "running",
    Finished: "finished",
    Failed: "failed",
    /** Stopped by command, or because its lease lapsed, after it had started. */
    Stopped: "stopped",
    /** Never started at this worker, and never will. */
    Tombstoned: "tombstoned",
} as const;
export type TaskState = typeof TaskState[keyof typeof TaskState];

export interface TaskStatus {
    readonly taskId: string;
    readonly state: TaskState;
    readonly needs: TaskNeeds;
    /** The zone whose queue owner must hear of the task's end; empty for interactive requests. */
    readonly queueZone: string;
    /** Free text that whoever created the task or tombstone left with it. */
    readonly note: string;
    /** Milliseconds the task has run or ran. */
    readonly ranMs: number;
    /** Milliseconds of work, over all attempts, that a checkpoint saved; 0 without one. */
    readonly savedMs: number;
    /** Why the task failed; empty otherwise. */
    readonly message: string;
}

export interface WorkerLease {
    readonly token: number;
    readonly ttlMs: number;
}

/** An answer and what is needed to check that it is whole and belongs to its request. */
export interface TaskAnswer {
    readonly taskId: string;
    readonly body: Uint8Array;
    /** SHA-256 of the body, in hexadecimal, as computed by the worker. */
    readonly digest: string;
}

export interface TaskOrder {
    readonly taskId: string;
    readonly account: string;
    readonly needs: TaskNeeds;
    readonly queueZone: string;
    readonly note: string;
    readonly payload: string;
    /** Milliseconds after which the worker stops the task unless its lease is renewed. */
    readonly leaseMs: number;
    /** Milliseconds of work that an earlier attempt saved by a checkpoint; the task continues from there. */
    readonly resumeMs: number;
    /** False only prepares the task: it holds its resources until it is started. */
    readonly start: boolean;
}

export interface SyncOrder {
    readonly token: number;
    readonly ttlMs: number;
    /** Tasks whose leases are renewed for `leaseMs`. */
    readonly renew: readonly string[];
    readonly leaseMs: number;
    /** Ended tasks whose outcome is recorded; the worker may forget them. */
    readonly acknowledged: readonly string[];
    /** The worker answers at once if its state changed since `sequence`, otherwise after this many milliseconds. */
    readonly waitMs: number;
    readonly sequence: number;
}

export interface SyncReport {
    /** Rises with every change of state of a task. */
    readonly sequence: number;
    /** Rises when the worker restarts and forgets its tasks. */
    readonly incarnation: number;
    /** Milliseconds since the worker started. */
    readonly uptimeMs: number;
    /** All tasks that hold resources and all that ended and are not acknowledged. */
    readonly tasks: readonly TaskStatus[];
}

/** A refusal by the worker, or the lack of an answer. */
export type WorkerFault =
    /** Another holder's lease is valid for `retryAfterMs` more. */
    | { readonly kind: "held"; readonly retryAfterMs: number; }
    | { readonly kind: "staleToken"; }
    | { readonly kind: "noRoom"; }
    | { readonly kind: "tombstoned"; readonly status: TaskStatus; }
    | { readonly kind: "unknownTask"; }
    | { readonly kind: "notEnded"; }
    /** The command was not sent. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** The command was sent and no whole answer came: it may have taken effect. */
    | { readonly kind: "lost"; readonly message: string; };

export type WorkerResult<T> =
    | { readonly kind: "ok"; readonly value: T; }
    | { readonly kind: "fault"; readonly fault: WorkerFault; };

export type RunOutcome =
    | { readonly kind: "finished"; readonly answer: TaskAnswer; }
    | { readonly kind: "failed"; readonly message: string; }
    | { readonly kind: "stopped"; };

export const StopMode = {
    /** Ends the task now; a task that never started is barred from ever starting. */
    Tombstone: "tombstone",
    /** Saves the task's progress, then ends it. */
    Checkpoint: "checkpoint",
} as const;
export type StopMode = typeof StopMode[keyof typeof StopMode];

export interface Worker {
    readonly id: string;
    acquireLease(holder: string, ttlMs: number): Promise<WorkerResult<WorkerLease>>;
    releaseLease(token: number): Promise<void>;
    sync(order: SyncOrder): Promise<WorkerResult<SyncReport>>;
    /** Runs a task to its end and returns its answer; a task id that exists already is attached to, not run again. */
    run(token: number, order: TaskOrder, timeoutMs: number): Promise<WorkerResult<RunOutcome>>;
    /** Creates a task; idempotent by task id. */
    create(token: number, order: TaskOrder): Promise<WorkerResult<TaskStatus>>;
    start(token: number, taskId: string): Promise<WorkerResult<TaskStatus>>;
    /** Ends a task, or bars one that is unknown. The status tells which; `note` is kept only with a new tombstone. */
    stop(token: number, taskId: string, mode: StopMode, note: string): Promise<WorkerResult<TaskStatus>>;
    /** The outcome of a task that ended; `notEnded` while it holds resources, `unknownTask` when it never started here. */
    getOutcome(taskId: string): Promise<WorkerResult<RunOutcome>>;
    close(): Promise<void>;
}

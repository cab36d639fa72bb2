/**
 * Interface of one worker: leases with fencing tokens, tasks and their answers.
 *
 * Every command carries a token. The worker refuses a command if it has granted a newer token or the lease expired, so
 * that of two instances that both consider themselves the owner only one can act on the worker.
 */

/** Resources that a task requires of one worker; memory in mebibytes. */
export interface TaskResources {
    readonly accelerators: number;
    readonly slots: number;
    readonly cpus: number;
    readonly memoryMb: number;
}

/** States of a task at a worker. */
export const TaskState = {
    /** The task holds its resources and waits for the start command. */
    Prepared: "prepared",
    Running: "running",
    Finished: "finished",
    Failed: "failed",
    /** Stopped after its start, by command or because its lease expired. */
    Stopped: "stopped",
    /** Never started on this worker and can no longer start. */
    Tombstoned: "tombstoned",
} as const;
export type TaskState = typeof TaskState[keyof typeof TaskState];

/** A task as its worker reports it. */
export interface TaskStatus {
    readonly taskId: string;
    readonly state: TaskState;
    readonly needs: TaskResources;
    /** Zone whose queue owner must learn of the task's end; empty for interactive requests. */
    readonly queueZone: string;
    /** Free text set by the creator of the task or tombstone. */
    readonly note: string;
    /** Run time so far, or in total once the task has ended, in milliseconds. */
    readonly ranMs: number;
    /** Work of all attempts saved by the last checkpoint, in milliseconds; 0 without one. */
    readonly savedMs: number;
    /** Reason for a failure; otherwise empty. */
    readonly message: string;
}

/** A control lease on a worker. */
export interface WorkerLease {
    /** Fencing token; higher than all tokens granted earlier. */
    readonly token: number;
    readonly ttlMs: number;
}

/** An answer with the fields that verify that it is complete and belongs to its request. */
export interface TaskAnswer {
    readonly taskId: string;
    readonly body: Uint8Array;
    /** SHA-256 of the body, in hexadecimal, as computed by the worker. */
    readonly digest: string;
}

/** Arguments of the creation of a task. */
export interface TaskOrder {
    readonly taskId: string;
    readonly account: string;
    readonly needs: TaskResources;
    readonly queueZone: string;
    readonly note: string;
    readonly payload: string;
    /** Duration of the task lease in milliseconds; the worker stops the task when it expires. */
    readonly leaseMs: number;
    /** Work saved by a checkpoint of an earlier attempt, in milliseconds; the task resumes from there. */
    readonly resumeMs: number;
    /** Whether the task starts immediately; otherwise it only holds its resources until the start command. */
    readonly start: boolean;
}

/** Arguments of `sync`: lease renewals and a long poll for state changes. */
export interface SyncOrder {
    readonly token: number;
    readonly ttlMs: number;
    /** Ids of the tasks whose leases are renewed to last `leaseMs` from now. */
    readonly renew: readonly string[];
    readonly leaseMs: number;
    /** Ids of ended tasks whose outcome is recorded; the worker may discard them. */
    readonly acknowledged: readonly string[];
    /** Maximum time in milliseconds that the worker waits for a change after `sequence` before it answers. */
    readonly waitMs: number;
    readonly sequence: number;
}

/** State of a worker. */
export interface SyncReport {
    /** Increases with every change of a task's state. */
    readonly sequence: number;
    /** Increases when the worker restarts, which loses its tasks. */
    readonly incarnation: number;
    /** Milliseconds since the worker started. */
    readonly uptimeMs: number;
    /** All tasks that hold resources and all ended tasks that are not acknowledged. */
    readonly tasks: readonly TaskStatus[];
}

/** A refusal by the worker, or a missing answer. */
export type WorkerFault =
    /** Another holder's lease is valid for another `retryAfterMs`. */
    | { readonly kind: "held"; readonly retryAfterMs: number; }
    | { readonly kind: "staleToken"; }
    | { readonly kind: "noRoom"; }
    | { readonly kind: "tombstoned"; readonly status: TaskStatus; }
    | { readonly kind: "unknownTask"; }
    | { readonly kind: "notEnded"; }
    /** The command was not sent. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** The command was sent but no complete answer arrived; it may have taken effect. */
    | { readonly kind: "lost"; readonly message: string; };

/** Result of a call to a worker. */
export type WorkerResult<T> =
    | { readonly kind: "ok"; readonly value: T; }
    | { readonly kind: "fault"; readonly fault: WorkerFault; };

/** How a task ended. */
export type RunOutcome =
    | { readonly kind: "finished"; readonly answer: TaskAnswer; }
    | { readonly kind: "failed"; readonly message: string; }
    | { readonly kind: "stopped"; };

/** How a task is stopped. */
export const StopMode = {
    /** Stops the task immediately; a task that has not started can no longer start. */
    Tombstone: "tombstone",
    /** Saves a checkpoint, then stops the task. */
    Checkpoint: "checkpoint",
} as const;
export type StopMode = typeof StopMode[keyof typeof StopMode];

/** Client of one worker. */
export interface Worker {
    readonly id: string;
    /** Acquires the control lease with a new token; refused with `held` while another holder's lease is valid. */
    acquireLease(holder: string, ttlMs: number): Promise<WorkerResult<WorkerLease>>;
    releaseLease(token: number): Promise<void>;
    /** Extends the control lease and task leases, and resolves to the worker's tasks. */
    sync(order: SyncOrder): Promise<WorkerResult<SyncReport>>;
    /** Runs a task and resolves to its outcome; if the task id exists already, waits for that task instead. */
    run(token: number, order: TaskOrder, timeoutMs: number): Promise<WorkerResult<RunOutcome>>;
    /** Creates a task; idempotent by task id. */
    create(token: number, order: TaskOrder): Promise<WorkerResult<TaskStatus>>;
    /** Starts a prepared task. */
    start(token: number, taskId: string): Promise<WorkerResult<TaskStatus>>;
    /** Stops a task or prevents an unknown one from starting, as its status shows. Only new tombstones keep `note`. */
    stop(token: number, taskId: string, mode: StopMode, note: string): Promise<WorkerResult<TaskStatus>>;
    /** Outcome of an ended task; `notEnded` while it holds resources, `unknownTask` if it never started here. */
    getOutcome(taskId: string): Promise<WorkerResult<RunOutcome>>;
    /** Closes the connections; calls in progress fail. */
    close(): Promise<void>;
}

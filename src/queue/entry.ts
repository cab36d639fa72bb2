/** The in-memory entry of an unfinished job of the zone, with the state that its attempt waits for. */
import * as async from "../async/index";
import type * as jobs from "../jobs/index";
import type * as peer from "../peer/index";
import type * as placement from "../placement/index";
import type * as queuedJob from "./queuedJob";

/** One unfinished job of the zone. */
export interface QueueEntry {
    readonly job: queuedJob.QueuedJob;
    /** The row as last written or read. */
    stored: jobs.VersionedRow;
    /** What the queue's owner requests of a running attempt: to go on, or to stop for an eviction or a cancellation. */
    requestedAction: "run" | "evict" | "cancel";
    /** The latest reports of the current attempt's tasks, by member index. */
    readonly reports: Map<number, TaskView>;
    /** Resolved and replaced whenever a report or `requestedAction` changes. */
    changed: async.Deferred<void>;
    /** Monotonic time at which this owner loaded the job. */
    readonly admittedAt: number;
    /** Whether an attempt, a move or the recording of the outcome is under way; only that changes the entry's row. */
    active: boolean;
}

/** A task as reported by the owner of its rack; `missing` when the owner lists the worker's tasks without it. */
export type TaskView =
    | { readonly kind: "reported"; readonly report: peer.TaskReport; }
    | { readonly kind: "missing"; };

/** Wakes the attempt that waits on `changed`. */
export function notifyEntryChanged(entry: QueueEntry): void {
    const { changed } = entry;
    entry.changed = async.createDeferred();
    changed.resolve();
}

/** Creates the entry of a row; `toMonotonic` converts the row's wall clock times to the monotonic clock. */
export function createEntry(
    stored: jobs.VersionedRow,
    toMonotonic: (wallTime: number) => number,
    now: number,
): QueueEntry {
    const { row } = stored;
    return {
        job: {
            jobId: row.jobId,
            account: row.account,
            jobClass: row.spec.jobClass,
            accelerators: row.spec.accelerators,
            adjacency: row.spec.adjacency,
            cpusPerAccelerator: row.spec.cpusPerAccelerator,
            memoryMbPerAccelerator: row.spec.memoryMbPerAccelerator,
            repeatable: row.spec.repeatable,
            declaredMs: row.spec.declaredMs,
            queuedAt: toMonotonic(row.acceptedAt),
            startBy: row.startBy === undefined ? undefined : toMonotonic(row.startBy),
            savedMs: row.savedMs,
            attempt: row.attempt,
            failedWorkers: new Set(row.failedWorkers),
            failures: row.failedWorkers.length,
            failedAt: row.failedWorkers.length > 0 ? now : undefined,
        },
        stored,
        requestedAction: "run",
        reports: new Map(),
        changed: async.createDeferred(),
        active: false,
        admittedAt: now,
    };
}

/** The tasks of a job, by member index. */
export type Members = readonly placement.Member[];

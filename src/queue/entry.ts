/** A job that this queue owner holds, and what its attempt waits for. */
import * as async from "../async/index";
import type * as jobs from "../jobs/index";
import type * as peer from "../peer/index";
import type * as placement from "../placement/index";
import type * as queuedJob from "./queuedJob";

export interface QueueEntry {
    readonly job: queuedJob.QueuedJob;
    /** The row as last written or read. */
    stored: jobs.VersionedRow;
    /** What the owner wants of a running attempt. */
    wish: "run" | "evict" | "cancel";
    /** The newest reports of the current attempt's tasks, by index. */
    readonly reports: Map<number, TaskView>;
    /** Resolved, and replaced, whenever a report or the wish changes. */
    changed: async.Deferred<void>;
    /** Monotonic time at which this owner took the job in. */
    readonly admittedAt: number;
    /** An attempt is under way; it alone changes the entry's row. */
    active: boolean;
}

/** A task as its rack reports it; `missing` when the rack knows the worker's tasks and this is not among them. */
export type TaskView =
    | { readonly kind: "reported"; readonly report: peer.TaskReport; }
    | { readonly kind: "missing"; };

export function wakeEntry(entry: QueueEntry): void {
    const { changed } = entry;
    entry.changed = async.createDeferred();
    changed.resolve();
}

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
        wish: "run",
        reports: new Map(),
        changed: async.createDeferred(),
        active: false,
        admittedAt: now,
    };
}

export type Members = readonly placement.Member[];

/** What a pass sees and keeps: books, queue, running jobs, and the places kept for waiting jobs. */
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import type * as jobQueue from "./jobQueue";
import type * as predictor from "./predictor";
import type * as queuedJob from "./queuedJob";
import type * as scheduler from "./scheduler";

export interface DecisionState {
    readonly books: placement.Fleet;
    readonly queue: jobQueue.JobQueue;
    readonly running: ReadonlyMap<string, scheduler.RunningJob>;
    readonly predictor: predictor.Predictor;
    terms: scheduler.SchedulerTerms;
    accountsByName: ReadonlyMap<string, configuration.Account>;
    /** Places kept for jobs that wait for them, by job. */
    readonly held: Map<string, Hold>;
    /** Monotonic time of the last consolidation. */
    consolidatedAt: number;
}

/** A place kept for a waiting job. */
export interface Hold {
    readonly kind: "reclaim" | "urgent" | "forced" | "reserved" | "move";
    readonly workers: readonly placement.WorkerBook[];
    /** Monotonic time at which the place is expected to be free. */
    readonly startAt: number;
    /** Monotonic time at which it was decided to keep the place. */
    readonly madeAt: number;
    /** Known exactly when work is stopped for it; otherwise found again when the workers are free. */
    readonly members: readonly placement.Member[] | undefined;
}

export interface DecisionActions {
    start(job: queuedJob.QueuedJob, members: readonly placement.Member[]): void;
    evict(jobId: string, cause: scheduler.EvictionCause): void;
}

/** Predicted run times below this are taken for it, so that the shortest jobs do not outrun all ageing. */
const MIN_PREDICTED_MS = 1000;

/** Expected rest of a job that overran its prediction, as a share of what it ran. */
const OVERRUN_SHARE = 0.25;
/** What the job is expected to run from now, in milliseconds. */
export function getRemainingMs(state: Pick<DecisionState, "predictor">, job: queuedJob.QueuedJob): number {
    const predicted = state.predictor.predict(job.account, job.jobClass, job.declaredMs);
    // A job that has run for longer than predicted is expected to go on for a part of that time.
    return Math.max(MIN_PREDICTED_MS, predicted - job.savedMs, job.savedMs * OVERRUN_SHARE);
}

export function createRequest(state: DecisionState, job: queuedJob.QueuedJob, now: number): placement.PlaceRequest {
    return {
        jobId: job.jobId,
        account: job.account,
        accelerators: job.accelerators,
        adjacency: job.adjacency,
        cpusPerAccelerator: job.cpusPerAccelerator,
        memoryMbPerAccelerator: job.memoryMbPerAccelerator,
        evictable: job.repeatable,
        predictedEndAt: now + getRemainingMs(state, job),
        excludedWorkers: isExclusionOver(job, now) ? NO_WORKERS : job.failedWorkers,
    };
}

const NO_WORKERS: ReadonlySet<string> = new Set();
/** How long a job keeps away from workers it failed on. */
const EXCLUSION_MS = 2 * 60_000;

/**
 * A job that keeps away for good from a worker it failed on may fit nowhere else, and would wait for ever although the
 * worker has been well for long: a gang as large as its rack, for instance.
 */
function isExclusionOver(job: queuedJob.QueuedJob, now: number): boolean {
    return job.failedAt === undefined || now - job.failedAt > EXCLUSION_MS;
}

export function keepPlace(
    state: DecisionState,
    job: queuedJob.QueuedJob,
    kind: "reclaim" | "urgent" | "forced",
    eviction: placement.Eviction,
    now: number,
): void {
    const workers = eviction.members.map(member => state.books.workers.get(member.workerId)!);
    for (const worker of workers) {
        worker.reservation = { jobId: job.jobId, startAt: now, firm: true };
    }
    state.held.set(job.jobId, { kind, workers, startAt: now, madeAt: now, members: eviction.members });
}

export function dropHold(state: DecisionState, jobId: string): void {
    const hold = state.held.get(jobId);
    if (hold) {
        placement.clearReservation(hold.workers, jobId);
        state.held.delete(jobId);
    }
}

export function countHolds(state: DecisionState, kind: Hold["kind"]): number {
    let count = 0;
    for (const item of state.held.values()) {
        count += item.kind === kind ? 1 : 0;
    }
    return count;
}

export function isWithinLimit(state: DecisionState, job: queuedJob.QueuedJob): boolean {
    const account = state.accountsByName.get(job.account);
    return !account || state.books.getUse(job.account) + job.accelerators <= account.maxAccelerators;
}

export function getFirstUnheld(state: DecisionState, bucket: jobQueue.Bucket): queuedJob.QueuedJob | undefined {
    for (const job of bucket.jobs.values()) {
        if (!state.held.has(job.jobId)) {
            return job;
        }
    }
    return undefined;
}

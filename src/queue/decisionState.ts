/** The state that a scheduling pass reads and updates: fleet, queue, running jobs, and places held for waiting jobs. */
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import type * as jobQueue from "./jobQueue";
import type * as predictor from "./predictor";
import type * as queuedJob from "./queuedJob";
import type * as scheduler from "./scheduler";

/** The scheduler's state, shared by the steps of a pass. */
export interface DecisionState {
    readonly fleet: placement.Fleet;
    readonly queue: jobQueue.JobQueue;
    readonly running: ReadonlyMap<string, scheduler.RunningJob>;
    readonly predictor: predictor.Predictor;
    config: scheduler.SchedulerConfig;
    accountsByName: ReadonlyMap<string, configuration.Account>;
    /** Places held for waiting jobs, by job id. */
    readonly held: Map<string, Hold>;
    /** Monotonic time of the last consolidation. */
    consolidatedAt: number;
}

/** A place held for a job until its workers are free. */
export interface Hold {
    readonly kind: "reclaim" | "urgent" | "forced" | "reserved" | "move";
    readonly workers: readonly placement.FleetWorker[];
    /** Monotonic time at which the place is expected to be free. */
    readonly startAt: number;
    /** Monotonic time at which the hold was created. */
    readonly createdAt: number;
    /** The exact placement when work is stopped for the job; `undefined` for a reservation, until the job starts. */
    readonly members: readonly placement.Member[] | undefined;
}

/** What a pass may decide; both take effect in the state at once. */
export interface DecisionActions {
    start(job: queuedJob.QueuedJob, members: readonly placement.Member[]): void;
    evict(jobId: string, cause: scheduler.EvictionCause): void;
}

/** Lower bound of predicted run times, so that the response ratio of very short jobs does not outgrow ageing. */
const MIN_PREDICTED_MS = 1000;

/** Expected remaining time of a job that overran its prediction, as a share of the time that it has run. */
const OVERRUN_REMAINING_SHARE = 0.25;

/** The remaining run time that is expected of the job, in milliseconds. */
export function getRemainingMs(state: Pick<DecisionState, "predictor">, job: queuedJob.QueuedJob): number {
    const predicted = state.predictor.predict(job.account, job.jobClass, job.declaredMs);
    return Math.max(MIN_PREDICTED_MS, predicted - job.savedMs, job.savedMs * OVERRUN_REMAINING_SHARE);
}

/** The placement request of a job that would start now. */
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
/** How long a job is not placed on the workers on which it failed. */
const EXCLUSION_MS = 2 * 60_000;

/**
 * Whether the job may return to the workers on which it failed. A permanent exclusion could keep a job that fits
 * nowhere else waiting forever although the worker has recovered, for example a gang that needs its whole rack.
 */
function isExclusionOver(job: queuedJob.QueuedJob, now: number): boolean {
    return job.failedAt === undefined || now - job.failedAt > EXCLUSION_MS;
}

/** Holds the place of an eviction for the job; while the hold lasts, nothing else may be placed on its workers. */
export function holdPlace(
    state: DecisionState,
    job: queuedJob.QueuedJob,
    kind: "reclaim" | "urgent" | "forced",
    eviction: placement.Eviction,
    now: number,
): void {
    const workers = eviction.members.map(member => state.fleet.workers.get(member.workerId)!);
    for (const worker of workers) {
        worker.reservation = { jobId: job.jobId, startAt: now, exclusive: true };
    }
    state.held.set(job.jobId, { kind, workers, startAt: now, createdAt: now, members: eviction.members });
}

/** Removes the job's hold, if any, and the reservations of its workers. */
export function dropHold(state: DecisionState, jobId: string): void {
    const hold = state.held.get(jobId);
    if (hold) {
        placement.clearReservation(hold.workers, jobId);
        state.held.delete(jobId);
    }
}

/** The number of holds of a kind. */
export function countHolds(state: DecisionState, kind: Hold["kind"]): number {
    let count = 0;
    for (const item of state.held.values()) {
        count += item.kind === kind ? 1 : 0;
    }
    return count;
}

/** Whether the job would leave its account within its limit of accelerators. */
export function isWithinLimit(state: DecisionState, job: queuedJob.QueuedJob): boolean {
    const account = state.accountsByName.get(job.account);
    return !account || state.fleet.getUse(job.account) + job.accelerators <= account.maxAccelerators;
}

/** The oldest job of the bucket for which no place is held. */
export function getFirstUnheld(state: DecisionState, bucket: jobQueue.Bucket): queuedJob.QueuedJob | undefined {
    for (const job of bucket.jobs.values()) {
        if (!state.held.has(job.jobId)) {
            return job;
        }
    }
    return undefined;
}

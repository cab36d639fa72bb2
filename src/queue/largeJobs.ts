/** Reservations for jobs that need a whole worker or more, so that small jobs cannot starve them. */
import * as placement from "../placement/index";
import * as bucketHeap from "./bucketHeap";
import * as decisionState from "./decisionState";
import * as jobQueue from "./jobQueue";
import type * as queuedJob from "./queuedJob";

/** Jobs that need at least this share of the largest worker's accelerators count as large. */
const MIN_LARGE_SHARE = 1;
/** Maximum number of large jobs of a zone that have a reservation at a time. */
const MAX_RESERVED_JOBS = 4;
/** A large job that has waited this long preempts borrowed work, which bounds its wait whatever small jobs arrive. */
export const PREEMPT_FOR_LARGE_AFTER_MS = 15 * 60_000;

/** Reserves workers for the large jobs that have waited longest, and preempts for one that has waited too long. */
export function reserveForLarge(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
): void {
    preemptForLarge(state, actions, now);
    let reserved = decisionState.countHolds(state, "reserved");
    for (const job of getWaitingLarge(state, MAX_RESERVED_JOBS - reserved)) {
        reserved += reserve(state, job, now) ? 1 : 0;
    }
}

/** Reserves the workers expected to be free first; returns false when no reservable group is large enough. */
export function reserve(state: decisionState.DecisionState, job: queuedJob.QueuedJob, now: number): boolean {
    const place = placement.findReservation(state.fleet, decisionState.createRequest(state, job, now), now);
    if (!place) {
        return false;
    }
    placement.setReservation(place, job.jobId);
    const { workers, startAt } = place;
    state.held.set(job.jobId, { kind: "reserved", workers, startAt, createdAt: now, members: undefined });
    return true;
}

/**
 * Bounds the wait of a large job: when it has waited too long, borrowed batch work is stopped for it. Otherwise tasks
 * that outrun their predicted run times could delay its start again and again, which shows as a growing age of the
 * oldest job.
 */
function preemptForLarge(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
): void {
    if (decisionState.countHolds(state, "forced") > 0) {
        return;
    }
    for (const [jobId, hold] of state.held) {
        const job = hold.kind === "reserved" ? state.queue.get(jobId) : undefined;
        if (!job || now - job.queuedAt < PREEMPT_FOR_LARGE_AFTER_MS) {
            continue;
        }
        const preemption = placement.findPreemption(state.fleet, decisionState.createRequest(state, job, now), now);
        if (preemption) {
            decisionState.dropHold(state, jobId);
            decisionState.holdPlace(state, job, "forced", preemption, now);
            for (const victim of preemption.victims) {
                actions.evict(victim, "patience");
            }
            return;
        }
    }
}

/** Large jobs without a hold, the longest waiting first. */
function getWaitingLarge(state: decisionState.DecisionState, limit: number): queuedJob.QueuedJob[] {
    const found: queuedJob.QueuedJob[] = [];
    if (limit <= 0) {
        return found;
    }
    const large = [...state.queue.getBuckets()].filter(bucket =>
        (jobQueue.getHead(bucket)?.accelerators ?? 0) >= state.fleet.largestWorker * MIN_LARGE_SHARE
    );
    const ordered = bucketHeap.createBucketHeap(state, job => -job.queuedAt, large);
    for (let bucket = ordered.pop(); bucket && found.length < limit; bucket = ordered.pop()) {
        const job = decisionState.getFirstUnheld(state, bucket);
        if (job) {
            found.push(job);
        }
    }
    return found;
}

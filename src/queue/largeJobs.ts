/** Places kept for jobs as large as a worker and larger, so that small ones never put them off for good. */
import * as placement from "../placement/index";
import * as decisionState from "./decisionState";
import * as heads from "./heads";
import * as jobQueue from "./jobQueue";
import type * as queuedJob from "./queuedJob";

/** Jobs of at least this share of the largest worker's accelerators count as large. */
const LARGE_SHARE = 1;
/** Places kept at a time for large jobs, in a zone. */
const MAX_RESERVED_JOBS = 4;
/** A large job that waited this long stops borrowed work in its way; bounds its wait whatever small jobs arrive. */
export const LARGE_PATIENCE_MS = 15 * 60_000;

/** Keeps places for the large jobs that have waited longest. */
export function reserveForLarge(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
): void {
    forceForLarge(state, actions, now);
    let reserved = decisionState.countHolds(state, "reserved");
    for (const job of getWaitingLarge(state, MAX_RESERVED_JOBS - reserved)) {
        reserved += reserve(state, job, now) ? 1 : 0;
    }
}

/** Keeps the place that is expected to be free first; false when no place could ever hold the job now. */
export function reserve(state: decisionState.DecisionState, job: queuedJob.QueuedJob, now: number): boolean {
    const place = placement.findReservation(state.books, decisionState.createRequest(state, job, now), now);
    if (!place) {
        return false;
    }
    placement.setReservation(place, job.jobId);
    const { workers, startAt } = place;
    state.held.set(job.jobId, { kind: "reserved", workers, startAt, madeAt: now, members: undefined });
    return true;
}

/**
 * Bounds the wait of a large job: when it has waited too long, borrowed batch work is stopped for it. Without this, work
 * whose run time is predicted badly could put its start off again and again; one would see the oldest job age.
 */
function forceForLarge(state: decisionState.DecisionState, actions: decisionState.DecisionActions, now: number): void {
    if (decisionState.countHolds(state, "forced") > 0) {
        return;
    }
    for (const [jobId, kept] of state.held) {
        const job = kept.kind === "reserved" ? state.queue.get(jobId) : undefined;
        if (!job || now - job.queuedAt < LARGE_PATIENCE_MS) {
            continue;
        }
        const preemption = placement.findPreemption(state.books, decisionState.createRequest(state, job, now), now);
        if (preemption) {
            decisionState.dropHold(state, jobId);
            decisionState.keepPlace(state, job, "forced", preemption, now);
            for (const victim of preemption.victims) {
                actions.evict(victim, "patience");
            }
            return;
        }
    }
}

/** Large jobs without a kept place, the longest waiting first. */
function getWaitingLarge(state: decisionState.DecisionState, limit: number): queuedJob.QueuedJob[] {
    const found: queuedJob.QueuedJob[] = [];
    if (limit <= 0) {
        return found;
    }
    const large = [...state.queue.getBuckets()].filter(bucket =>
        (jobQueue.getHead(bucket)?.accelerators ?? 0) >= state.books.largestWorker * LARGE_SHARE
    );
    const ordered = heads.createHeads(state, job => -job.queuedAt, large);
    for (let bucket = ordered.pop(); bucket && found.length < limit; bucket = ordered.pop()) {
        const job = decisionState.getFirstUnheld(state, bucket);
        if (job) {
            found.push(job);
        }
    }
    return found;
}

/** One scheduling pass under the configured policy. */
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as bucketHeap from "./bucketHeap";
import * as consolidation from "./consolidate";
import * as decisionState from "./decisionState";
import * as jobQueue from "./jobQueue";
import * as largeJobs from "./largeJobs";
import type * as queuedJob from "./queuedJob";

/** A reservation whose start time is overdue by more than this is replaced by a new one. */
const REPLAN_AFTER_MS = 60_000;

/** Runs one pass: calls `actions` for each job to start and each running job to evict. */
export function runPass(state: decisionState.DecisionState, actions: decisionState.DecisionActions, now: number): void {
    evictFromDrainedWorkers(state, actions);
    const { policy } = state.config;
    switch (policy.kind) {
        case "fifoFirstFit":
            runInOrder(state, actions, now, policy, true);
            return;
        case "bestFit":
            runInOrder(state, actions, now, policy, false);
            return;
        case "guaranteed":
            runGuaranteed(state, actions, now, policy);
            return;
    }
}

/** Maintenance: evicts evictable tasks from drained workers; other tasks run to completion. */
function evictFromDrainedWorkers(state: decisionState.DecisionState, actions: decisionState.DecisionActions): void {
    for (const workerId of state.config.drained) {
        const worker = state.fleet.workers.get(workerId);
        for (const task of worker?.tasks.values() ?? []) {
            if (task.evictable) {
                actions.evict(task.jobId, "maintenance");
            }
        }
    }
}

/** Places jobs of all accounts in order of arrival; with `blocking`, the first job that does not fit ends the pass. */
function runInOrder(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: configuration.Policy,
    blocking: boolean,
): void {
    const failed = bucketHeap.createFailureMemo();
    const ordered = bucketHeap.createBucketHeap(state, job => -job.queuedAt, state.queue.getBuckets());
    for (let bucket = ordered.pop(); bucket; bucket = ordered.pop()) {
        const job = jobQueue.getHead(bucket)!;
        const req = decisionState.createRequest(state, job, now);
        const members = !failed.isKnownToFail(req) && decisionState.isWithinLimit(state, job)
            ? placement.findPlace(state.fleet, req, policy, now)
            : undefined;
        if (members) {
            actions.start(job, members);
            ordered.push(bucket);
        }
        else if (blocking) {
            return;
        }
        else {
            failed.add(req);
        }
    }
}

function runGuaranteed(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: Extract<configuration.Policy, { kind: "guaranteed"; }>,
): void {
    startHeld(state, actions, now);
    runWithinGuarantees(state, actions, now, policy);
    runFairShares(state, actions, now, policy);
    largeJobs.reserveForLarge(state, actions, now);
    consolidation.consolidate(state, actions, now, policy);
}

/** Starts jobs whose held place is free now, and evicts tasks that overran their prediction there. */
function startHeld(state: decisionState.DecisionState, actions: decisionState.DecisionActions, now: number): void {
    for (const [jobId, hold] of [...state.held]) {
        const job = state.queue.get(jobId);
        if (!job) {
            // A job that is being moved still runs on its old worker.
            if (!state.running.get(jobId)?.evicting || hold.kind !== "move") {
                decisionState.dropHold(state, jobId);
            }
            continue;
        }
        const req = decisionState.createRequest(state, job, now);
        const members = hold.members ?? getReservedMembers(hold, req, state.fleet.largestWorker);
        const isFree = members.every(member => {
            const worker = state.fleet.workers.get(member.workerId);
            return worker && placement.isAllowed(worker, req, member.needs.accelerators);
        });
        if (isFree) {
            actions.start(job, members);
            continue;
        }
        const isUsable = hold.workers.every(worker => worker.usable && !req.excludedWorkers.has(worker.id));
        if (!isUsable || (hold.kind === "move" && now > hold.createdAt + consolidation.MOVE_COST_MS)) {
            decisionState.dropHold(state, jobId);
            continue;
        }
        if (hold.kind === "reserved" && now > hold.startAt + REPLAN_AFTER_MS) {
            // Reserves again before other jobs are placed: they would take the workers that are already free.
            decisionState.dropHold(state, jobId);
            largeJobs.reserve(state, job, now);
            continue;
        }
        if (hold.kind === "reserved") {
            evictOverrunTasks(actions, hold, now);
        }
    }
}

function getReservedMembers(hold: decisionState.Hold, req: placement.PlaceRequest, size: number): placement.Member[] {
    let left = req.accelerators;
    return hold.workers.map(worker => {
        const accelerators = Math.min(left, size);
        left -= accelerators;
        return placement.createMember(req, worker, accelerators);
    });
}

/** Evicts backfilled tasks that were expected to end before the reservation starts and have not. */
function evictOverrunTasks(actions: decisionState.DecisionActions, hold: decisionState.Hold, now: number): void {
    if (now < hold.startAt) {
        return;
    }
    for (const worker of hold.workers) {
        for (const task of worker.tasks.values()) {
            if (task.evictable && task.placedAt >= hold.createdAt && task.predictedEndAt <= now) {
                actions.evict(task.jobId, "overrun");
            }
        }
    }
}

/** Places jobs that fit within their account's unused guarantee, if necessary by evicting borrowed work. */
function runWithinGuarantees(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: configuration.Policy,
): void {
    for (const account of state.config.accounts) {
        if (state.fleet.getHomeWorkers(account.name).length === 0) {
            continue;
        }
        const buckets = [...state.queue.getAccountBuckets(account.name)];
        if (buckets.length === 0 || !mayUseGuarantee(state, account.name, buckets)) {
            continue;
        }
        const failed = bucketHeap.createFailureMemo();
        const ordered = bucketHeap.createBucketHeap(
            state,
            job => getUrgencyScore(job) + getResponseRatio(state, job, now),
            buckets,
        );
        for (let bucket = ordered.pop(); bucket; bucket = ordered.pop()) {
            const job = decisionState.getFirstUnheld(state, bucket);
            if (!job) {
                continue;
            }
            const req = decisionState.createRequest(state, job, now);
            if (failed.isKnownToFail(req) || !decisionState.isWithinLimit(state, job)) {
                continue;
            }
            const isSmall = job.accelerators < state.fleet.largestWorker;
            if (isSmall && state.fleet.getFreeGuaranteed(account.name) < job.accelerators) {
                failed.add(req);
                continue;
            }
            const reclaim = placement.findReclaim(state.fleet, req, now);
            const place = reclaim && (placement.findPlace(state.fleet, req, policy, now) ?? reclaim.members);
            if (!place || !reclaim) {
                failed.add(req);
                continue;
            }
            if (place !== reclaim.members || reclaim.victims.size === 0) {
                actions.start(job, place);
                ordered.push(bucket);
                continue;
            }
            decisionState.holdPlace(state, job, "reclaim", reclaim, now);
            for (const victim of reclaim.victims) {
                actions.evict(victim, "reclaim");
            }
            ordered.push(bucket);
        }
    }
}

/**
 * Whether a waiting job could use the account's homes: free ones or, for large jobs, those used by its own small tasks.
 */
function mayUseGuarantee(
    state: decisionState.DecisionState,
    account: string,
    buckets: readonly jobQueue.Bucket[],
): boolean {
    const free = state.fleet.getFreeGuaranteed(account);
    return buckets.some(bucket => {
        const accelerators = jobQueue.getHead(bucket)?.accelerators ?? 0;
        return accelerators <= free || accelerators >= state.fleet.largestWorker;
    });
}

/**
 * Places jobs beyond the guarantees: urgent jobs first, then by response ratio divided by the share of the zone that
 * the account uses beyond its guarantee.
 */
function runFairShares(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: configuration.Policy,
): void {
    if (state.fleet.getFreeAccelerators() === 0 && !hasUrgent(state)) {
        return;
    }
    const failed = bucketHeap.createFailureMemo();
    const total = state.fleet.workers.size * Math.max(1, state.fleet.largestWorker);
    const guaranteed = new Map(state.config.accounts.map(item => [item.name, getGuaranteed(state, item.name)]));
    const getScore = (job: queuedJob.QueuedJob) => {
        // Computed for each head that is pushed, so that accelerators assigned in this pass already count.
        const overGuarantee = Math.max(0, state.fleet.getUse(job.account) - (guaranteed.get(job.account) ?? 0));
        const share = overGuarantee / total / (state.accountsByName.get(job.account)?.weight ?? 1);
        return getUrgencyScore(job) + getResponseRatio(state, job, now) / (MIN_SHARE + share);
    };
    const ordered = bucketHeap.createBucketHeap(state, getScore, state.queue.getBuckets());
    for (let bucket = ordered.pop(); bucket; bucket = ordered.pop()) {
        const job = decisionState.getFirstUnheld(state, bucket);
        if (!job) {
            continue;
        }
        const req = decisionState.createRequest(state, job, now);
        const isFull = state.fleet.getFreeAccelerators() < req.accelerators && job.jobClass !== "urgent";
        if (isFull || failed.isKnownToFail(req) || !decisionState.isWithinLimit(state, job)) {
            continue;
        }
        const members = placement.findPlace(state.fleet, req, policy, now);
        if (members) {
            actions.start(job, members);
            ordered.push(bucket);
            continue;
        }
        const preemption = job.jobClass === "urgent" ? placement.findPreemption(state.fleet, req, now) : undefined;
        if (!preemption) {
            failed.add(req);
            continue;
        }
        decisionState.holdPlace(state, job, "urgent", preemption, now);
        for (const victim of preemption.victims) {
            actions.evict(victim, "urgent");
        }
        ordered.push(bucket);
    }
}

/** Added to each account's share, so that the first accelerator does not dominate the score. */
const MIN_SHARE = 0.1;
/** Exceeds any realistic score of another class, so that urgent jobs come first. */
const URGENT_SCORE = 1e9;

function getUrgencyScore(job: queuedJob.QueuedJob): number {
    return job.jobClass === "urgent" ? URGENT_SCORE : 0;
}

/**
 * Highest response ratio next (HRRN): short jobs come first, and the ratio grows with the wait, so that no job starves.
 */
function getResponseRatio(state: decisionState.DecisionState, job: queuedJob.QueuedJob, now: number): number {
    const remaining = decisionState.getRemainingMs(state, job);
    return (now - job.queuedAt + remaining) / remaining;
}

function getGuaranteed(state: decisionState.DecisionState, account: string): number {
    let total = 0;
    for (const worker of state.fleet.getHomeWorkers(account)) {
        total += worker.homes.get(account) ?? 0;
    }
    return total;
}

function hasUrgent(state: decisionState.DecisionState): boolean {
    for (const bucket of state.queue.getBuckets()) {
        if (jobQueue.getHead(bucket)?.jobClass === "urgent") {
            return true;
        }
    }
    return false;
}

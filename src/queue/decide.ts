/** One scheduling pass, by policy. */
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as consolidation from "./consolidate";
import * as decisionState from "./decisionState";
import * as heads from "./heads";
import * as jobQueue from "./jobQueue";
import * as largeJobs from "./largeJobs";
import type * as queuedJob from "./queuedJob";

/** A reservation whose time passed by more than this is planned anew. */
const REPLAN_AFTER_MS = 60_000;
export function runPass(state: decisionState.DecisionState, actions: decisionState.DecisionActions, now: number): void {
    moveOffDrained(state, actions);
    const { policy } = state.terms;
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

/** Maintenance: repeatable work on drained workers is moved; other work runs to its end. */
function moveOffDrained(state: decisionState.DecisionState, actions: decisionState.DecisionActions): void {
    for (const workerId of state.terms.drained) {
        const worker = state.books.workers.get(workerId);
        for (const task of worker?.tasks.values() ?? []) {
            if (task.evictable) {
                actions.evict(task.jobId, "maintenance");
            }
        }
    }
}

/** Order of arrival over all accounts; with `blocking`, a job that does not fit holds up all behind it. */
function runInOrder(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: configuration.Policy,
    blocking: boolean,
): void {
    const failed = heads.createFailureMemo();
    const ordered = heads.createHeads(state, job => -job.queuedAt, state.queue.getBuckets());
    for (let bucket = ordered.pop(); bucket; bucket = ordered.pop()) {
        const job = jobQueue.getHead(bucket)!;
        const req = decisionState.createRequest(state, job, now);
        const members = !failed.isHopeless(req) && decisionState.isWithinLimit(state, job)
            ? placement.findPlace(state.books, req, policy, now)
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

/** Starts jobs whose kept place is free now, and stops what overran its prediction there. */
function startHeld(state: decisionState.DecisionState, actions: decisionState.DecisionActions, now: number): void {
    for (const [jobId, hold] of [...state.held]) {
        const job = state.queue.get(jobId);
        if (!job) {
            // A job that is being moved is still running where it was.
            if (!state.running.get(jobId)?.evicting || hold.kind !== "move") {
                decisionState.dropHold(state, jobId);
            }
            continue;
        }
        const req = decisionState.createRequest(state, job, now);
        const members = hold.members ?? getReservedMembers(hold, req, state.books.largestWorker);
        const isFree = members.every(member => {
            const worker = state.books.workers.get(member.workerId);
            return worker && placement.isAllowed(worker, req, member.needs.accelerators);
        });
        if (isFree) {
            actions.start(job, members);
            continue;
        }
        const isUsable = hold.workers.every(worker => worker.usable && !req.excludedWorkers.has(worker.id));
        if (!isUsable || (hold.kind === "move" && now > hold.madeAt + consolidation.MOVE_COST_MS)) {
            decisionState.dropHold(state, jobId);
            continue;
        }
        if (hold.kind === "reserved" && now > hold.startAt + REPLAN_AFTER_MS) {
            // Planned anew before other jobs have their turn: they would take the workers that are free already.
            decisionState.dropHold(state, jobId);
            largeJobs.reserve(state, job, now);
            continue;
        }
        if (hold.kind === "reserved") {
            stopOverrun(actions, hold, now);
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

/** Work that was let onto a kept place because it was expected to end in time gives way when it does not. */
function stopOverrun(actions: decisionState.DecisionActions, hold: decisionState.Hold, now: number): void {
    if (now < hold.startAt) {
        return;
    }
    for (const worker of hold.workers) {
        for (const task of worker.tasks.values()) {
            if (task.evictable && task.placedAt >= hold.madeAt && task.predictedEndAt <= now) {
                actions.evict(task.jobId, "overrun");
            }
        }
    }
}

/** Jobs that fit what their account is guaranteed and does not use: they get it, if need be from borrowers. */
function runWithinGuarantees(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: configuration.Policy,
): void {
    for (const account of state.terms.accounts) {
        if (state.books.getHomeWorkers(account.name).length === 0) {
            continue;
        }
        const buckets = [...state.queue.getAccountBuckets(account.name)];
        if (buckets.length === 0 || !mayUseGuarantee(state, account.name, buckets)) {
            continue;
        }
        const failed = heads.createFailureMemo();
        const ordered = heads.createHeads(state, job => getUrgency(job) + getResponseRatio(state, job, now), buckets);
        for (let bucket = ordered.pop(); bucket; bucket = ordered.pop()) {
            const job = decisionState.getFirstUnheld(state, bucket);
            if (!job) {
                continue;
            }
            const req = decisionState.createRequest(state, job, now);
            if (failed.isHopeless(req) || !decisionState.isWithinLimit(state, job)) {
                continue;
            }
            const isSmall = job.accelerators < state.books.largestWorker;
            if (isSmall && state.books.getFreeGuaranteed(account.name) < job.accelerators) {
                failed.add(req);
                continue;
            }
            const reclaim = placement.findReclaim(state.books, req, now);
            const place = reclaim && (placement.findPlace(state.books, req, policy, now) ?? reclaim.members);
            if (!place || !reclaim) {
                failed.add(req);
                continue;
            }
            if (place !== reclaim.members || reclaim.victims.size === 0) {
                actions.start(job, place);
                ordered.push(bucket);
                continue;
            }
            decisionState.keepPlace(state, job, "reclaim", reclaim, now);
            for (const victim of reclaim.victims) {
                actions.evict(victim, "reclaim");
            }
            ordered.push(bucket);
        }
    }
}

/** Whether any waiting job could use the account's homes: free ones, or, for large jobs, those its own small tasks use. */
function mayUseGuarantee(
    state: decisionState.DecisionState,
    account: string,
    buckets: readonly jobQueue.Bucket[],
): boolean {
    const free = state.books.getFreeGuaranteed(account);
    return buckets.some(bucket => {
        const accelerators = jobQueue.getHead(bucket)?.accelerators ?? 0;
        return accelerators <= free || accelerators >= state.books.largestWorker;
    });
}

/** What is beyond guarantees: urgent jobs first, then by response ratio, divided by what the account has already. */
function runFairShares(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: configuration.Policy,
): void {
    if (state.books.getFreeAccelerators() === 0 && !hasUrgent(state)) {
        return;
    }
    const failed = heads.createFailureMemo();
    const total = state.books.workers.size * Math.max(1, state.books.largestWorker);
    const guaranteed = new Map(state.terms.accounts.map(item => [item.name, getGuaranteed(state, item.name)]));
    const getScore = (job: queuedJob.QueuedJob) => {
        // Read anew for each head that is pushed: what the account got in this pass counts already.
        const beyond = Math.max(0, state.books.getUse(job.account) - (guaranteed.get(job.account) ?? 0));
        const share = beyond / total / (state.accountsByName.get(job.account)?.weight ?? 1);
        return getUrgency(job) + getResponseRatio(state, job, now) / (MIN_SHARE + share);
    };
    const ordered = heads.createHeads(state, getScore, state.queue.getBuckets());
    for (let bucket = ordered.pop(); bucket; bucket = ordered.pop()) {
        const job = decisionState.getFirstUnheld(state, bucket);
        if (!job) {
            continue;
        }
        const req = decisionState.createRequest(state, job, now);
        const isFull = state.books.getFreeAccelerators() < req.accelerators && job.jobClass !== "urgent";
        if (isFull || failed.isHopeless(req) || !decisionState.isWithinLimit(state, job)) {
            continue;
        }
        const members = placement.findPlace(state.books, req, policy, now);
        if (members) {
            actions.start(job, members);
            ordered.push(bucket);
            continue;
        }
        const preemption = job.jobClass === "urgent" ? placement.findPreemption(state.books, req, now) : undefined;
        if (!preemption) {
            failed.add(req);
            continue;
        }
        decisionState.keepPlace(state, job, "urgent", preemption, now);
        for (const victim of preemption.victims) {
            actions.evict(victim, "urgent");
        }
        ordered.push(bucket);
    }
}

/** Share every account is taken to have, so that the first accelerator does not outweigh all else. */
const MIN_SHARE = 0.1;
const URGENT_SCORE = 1e9;

function getUrgency(job: queuedJob.QueuedJob): number {
    return job.jobClass === "urgent" ? URGENT_SCORE : 0;
}

/** Highest response ratio next: short jobs go first, and waiting raises every job's turn, so that none starves. */
function getResponseRatio(state: decisionState.DecisionState, job: queuedJob.QueuedJob, now: number): number {
    const remaining = decisionState.getRemainingMs(state, job);
    return (now - job.queuedAt + remaining) / remaining;
}

function getGuaranteed(state: decisionState.DecisionState, account: string): number {
    let total = 0;
    for (const worker of state.books.getHomeWorkers(account)) {
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

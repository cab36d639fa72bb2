/** One scheduling pass, by policy. */
import * as heapJs from "heap-js";
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as jobQueue from "./jobQueue";
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

/** Jobs of at least this share of the largest worker's accelerators count as large. */
const LARGE_SHARE = 1;
/** Places kept at a time for large jobs, in a zone. */
const MAX_RESERVED_JOBS = 4;
/** A large job that waited this long stops borrowed work in its way; bounds its wait whatever small jobs arrive. */
export const LARGE_PATIENCE_MS = 15 * 60_000;
/** A reservation whose time passed by more than this is planned anew. */
const REPLAN_AFTER_MS = 60_000;
/** Predicted run times below this are taken for it, so that the shortest jobs do not outrun all ageing. */
const MIN_PREDICTED_MS = 1000;

/** Expected rest of a job that overran its prediction, as a share of what it ran. */
const OVERRUN_SHARE = 0.25;
/** Between two consolidations; each moves the tasks of one worker. */
const CONSOLIDATE_EVERY_MS = 15_000;
/** A task is moved only if it is expected to run for this many times the cost of a move. */
const MOVE_WORTH = 6;
/** What stopping with a checkpoint and restoring it takes, roughly. */
const MOVE_COST_MS = 20_000;

export function runPass(state: DecisionState, actions: DecisionActions, now: number): void {
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

/** What the job is expected to run from now, in milliseconds. */
export function getRemainingMs(state: Pick<DecisionState, "predictor">, job: queuedJob.QueuedJob): number {
    const predicted = state.predictor.predict(job.account, job.jobClass, job.declaredMs);
    // A job that has run for longer than predicted is expected to go on for a part of that time.
    return Math.max(MIN_PREDICTED_MS, predicted - job.savedMs, job.savedMs * OVERRUN_SHARE);
}

export function dropHold(state: DecisionState, jobId: string): void {
    const hold = state.held.get(jobId);
    if (hold) {
        placement.clearReservation(hold.workers, jobId);
        state.held.delete(jobId);
    }
}

function createRequest(state: DecisionState, job: queuedJob.QueuedJob, now: number): placement.PlaceRequest {
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

/** Maintenance: repeatable work on drained workers is moved; other work runs to its end. */
function moveOffDrained(state: DecisionState, actions: DecisionActions): void {
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
    state: DecisionState,
    actions: DecisionActions,
    now: number,
    policy: configuration.Policy,
    blocking: boolean,
): void {
    const failed = createFailureMemo();
    const heads = createHeads(state, job => -job.queuedAt, state.queue.getBuckets());
    for (let bucket = heads.pop(); bucket; bucket = heads.pop()) {
        const job = jobQueue.getHead(bucket)!;
        const req = createRequest(state, job, now);
        const members = !failed.isHopeless(req) && isWithinLimit(state, job)
            ? placement.findPlace(state.books, req, policy, now)
            : undefined;
        if (members) {
            actions.start(job, members);
            heads.push(bucket);
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
    state: DecisionState,
    actions: DecisionActions,
    now: number,
    policy: Extract<configuration.Policy, { kind: "guaranteed"; }>,
): void {
    startHeld(state, actions, now);
    runWithinGuarantees(state, actions, now, policy);
    runFairShares(state, actions, now, policy);
    reserveForLarge(state, actions, now);
    consolidate(state, actions, now, policy);
}

/** Starts jobs whose kept place is free now, and stops what overran its prediction there. */
function startHeld(state: DecisionState, actions: DecisionActions, now: number): void {
    for (const [jobId, hold] of [...state.held]) {
        const job = state.queue.get(jobId);
        if (!job) {
            // A job that is being moved is still running where it was.
            if (!state.running.get(jobId)?.evicting || hold.kind !== "move") {
                dropHold(state, jobId);
            }
            continue;
        }
        const req = createRequest(state, job, now);
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
        if (!isUsable || (hold.kind === "move" && now > hold.madeAt + MOVE_COST_MS)) {
            dropHold(state, jobId);
            continue;
        }
        if (hold.kind === "reserved" && now > hold.startAt + REPLAN_AFTER_MS) {
            // Planned anew before other jobs have their turn: they would take the workers that are free already.
            dropHold(state, jobId);
            reserve(state, job, now);
            continue;
        }
        if (hold.kind === "reserved") {
            stopOverrun(actions, hold, now);
        }
    }
}

function getReservedMembers(hold: Hold, req: placement.PlaceRequest, size: number): placement.Member[] {
    let left = req.accelerators;
    return hold.workers.map(worker => {
        const accelerators = Math.min(left, size);
        left -= accelerators;
        return placement.createMember(req, worker, accelerators);
    });
}

/** Work that was let onto a kept place because it was expected to end in time gives way when it does not. */
function stopOverrun(actions: DecisionActions, hold: Hold, now: number): void {
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
    state: DecisionState,
    actions: DecisionActions,
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
        const failed = createFailureMemo();
        const heads = createHeads(state, job => getUrgency(job) + getResponseRatio(state, job, now), buckets);
        for (let bucket = heads.pop(); bucket; bucket = heads.pop()) {
            const job = getFirstUnheld(state, bucket);
            if (!job) {
                continue;
            }
            const req = createRequest(state, job, now);
            if (failed.isHopeless(req) || !isWithinLimit(state, job)) {
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
                heads.push(bucket);
                continue;
            }
            hold(state, job, "reclaim", reclaim, now);
            for (const victim of reclaim.victims) {
                actions.evict(victim, "reclaim");
            }
            heads.push(bucket);
        }
    }
}

/** Whether any waiting job could use the account's homes: free ones, or, for large jobs, those its own small tasks use. */
function mayUseGuarantee(state: DecisionState, account: string, buckets: readonly jobQueue.Bucket[]): boolean {
    const free = state.books.getFreeGuaranteed(account);
    return buckets.some(bucket => {
        const accelerators = jobQueue.getHead(bucket)?.accelerators ?? 0;
        return accelerators <= free || accelerators >= state.books.largestWorker;
    });
}

/** What is beyond guarantees: urgent jobs first, then by response ratio, divided by what the account has already. */
function runFairShares(
    state: DecisionState,
    actions: DecisionActions,
    now: number,
    policy: configuration.Policy,
): void {
    if (state.books.getFreeAccelerators() === 0 && !hasUrgent(state)) {
        return;
    }
    const failed = createFailureMemo();
    const total = state.books.workers.size * Math.max(1, state.books.largestWorker);
    const guaranteed = new Map(state.terms.accounts.map(item => [item.name, getGuaranteed(state, item.name)]));
    const getScore = (job: queuedJob.QueuedJob) => {
        // Read anew for each head that is pushed: what the account got in this pass counts already.
        const beyond = Math.max(0, state.books.getUse(job.account) - (guaranteed.get(job.account) ?? 0));
        const share = beyond / total / (state.accountsByName.get(job.account)?.weight ?? 1);
        return getUrgency(job) + getResponseRatio(state, job, now) / (MIN_SHARE + share);
    };
    const heads = createHeads(state, getScore, state.queue.getBuckets());
    for (let bucket = heads.pop(); bucket; bucket = heads.pop()) {
        const job = getFirstUnheld(state, bucket);
        if (!job) {
            continue;
        }
        const req = createRequest(state, job, now);
        const isFull = state.books.getFreeAccelerators() < req.accelerators && job.jobClass !== "urgent";
        if (isFull || failed.isHopeless(req) || !isWithinLimit(state, job)) {
            continue;
        }
        const members = placement.findPlace(state.books, req, policy, now);
        if (members) {
            actions.start(job, members);
            heads.push(bucket);
            continue;
        }
        const preemption = job.jobClass === "urgent" ? placement.findPreemption(state.books, req, now) : undefined;
        if (!preemption) {
            failed.add(req);
            continue;
        }
        hold(state, job, "urgent", preemption, now);
        for (const victim of preemption.victims) {
            actions.evict(victim, "urgent");
        }
        heads.push(bucket);
    }
}

/** Keeps places for the large jobs that have waited longest. */
function reserveForLarge(state: DecisionState, actions: DecisionActions, now: number): void {
    forceForLarge(state, actions, now);
    let reserved = countHolds(state, "reserved");
    for (const job of getWaitingLarge(state, MAX_RESERVED_JOBS - reserved)) {
        reserved += reserve(state, job, now) ? 1 : 0;
    }
}

/** Keeps the place that is expected to be free first; false when no place could ever hold the job now. */
function reserve(state: DecisionState, job: queuedJob.QueuedJob, now: number): boolean {
    const place = placement.findReservation(state.books, createRequest(state, job, now), now);
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
function forceForLarge(state: DecisionState, actions: DecisionActions, now: number): void {
    if (countHolds(state, "forced") > 0) {
        return;
    }
    for (const [jobId, kept] of state.held) {
        const job = kept.kind === "reserved" ? state.queue.get(jobId) : undefined;
        if (!job || now - job.queuedAt < LARGE_PATIENCE_MS) {
            continue;
        }
        const preemption = placement.findPreemption(state.books, createRequest(state, job, now), now);
        if (preemption) {
            dropHold(state, jobId);
            hold(state, job, "forced", preemption, now);
            for (const victim of preemption.victims) {
                actions.evict(victim, "patience");
            }
            return;
        }
    }
}

function countHolds(state: DecisionState, kind: Hold["kind"]): number {
    let count = 0;
    for (const item of state.held.values()) {
        count += item.kind === kind ? 1 : 0;
    }
    return count;
}

/** Large jobs without a kept place, the longest waiting first. */
function getWaitingLarge(state: DecisionState, limit: number): queuedJob.QueuedJob[] {
    const found: queuedJob.QueuedJob[] = [];
    if (limit <= 0) {
        return found;
    }
    const large = [...state.queue.getBuckets()].filter(bucket =>
        (jobQueue.getHead(bucket)?.accelerators ?? 0) >= state.books.largestWorker * LARGE_SHARE
    );
    const heads = createHeads(state, job => -job.queuedAt, large);
    for (let bucket = heads.pop(); bucket && found.length < limit; bucket = heads.pop()) {
        const job = getFirstUnheld(state, bucket);
        if (job) {
            found.push(job);
        }
    }
    return found;
}

function hold(
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

/** Moves the tasks of one nearly empty worker onto others, so that it becomes whole for the large. */
function consolidate(
    state: DecisionState,
    actions: DecisionActions,
    now: number,
    policy: Extract<configuration.Policy, { kind: "guaranteed"; }>,
): void {
    if (now - state.consolidatedAt < CONSOLIDATE_EVERY_MS || policy.fragmentationWeight === 0) {
        return;
    }
    state.consolidatedAt = now;
    const worth = MOVE_WORTH * policy.completionWeight / policy.fragmentationWeight;
    const moves = placement.findConsolidation(state.books, {
        minRemainingMs: worth * MOVE_COST_MS,
        isMovable: task => {
            const entry = state.running.get(task.jobId);
            const isSettled = now - task.placedAt > worth * MOVE_COST_MS / 2;
            return !!entry && entry.members.length === 1 && !entry.evicting && isSettled && !state.held.has(task.jobId);
        },
        createRequest: task => createRequest(state, state.running.get(task.jobId)!.job, now),
    }, now);
    for (const { task, to } of moves ?? []) {
        const { job } = state.running.get(task.jobId)!;
        const members = [placement.createMember(createRequest(state, job, now), to, task.needs.accelerators)];
        to.reservation = { jobId: task.jobId, startAt: now, firm: true };
        state.held.set(task.jobId, { kind: "move", workers: [to], startAt: now, madeAt: now, members });
        actions.evict(task.jobId, "consolidate");
    }
}

/** Share every account is taken to have, so that the first accelerator does not outweigh all else. */
const MIN_SHARE = 0.1;
const URGENT_SCORE = 1e9;

function getUrgency(job: queuedJob.QueuedJob): number {
    return job.jobClass === "urgent" ? URGENT_SCORE : 0;
}

/** Highest response ratio next: short jobs go first, and waiting raises every job's turn, so that none starves. */
function getResponseRatio(state: DecisionState, job: queuedJob.QueuedJob, now: number): number {
    const remaining = getRemainingMs(state, job);
    return (now - job.queuedAt + remaining) / remaining;
}

function getGuaranteed(state: DecisionState, account: string): number {
    let total = 0;
    for (const worker of state.books.getHomeWorkers(account)) {
        total += worker.homes.get(account) ?? 0;
    }
    return total;
}

function isWithinLimit(state: DecisionState, job: queuedJob.QueuedJob): boolean {
    const account = state.accountsByName.get(job.account);
    return !account || state.books.getUse(job.account) + job.accelerators <= account.maxAccelerators;
}

function hasUrgent(state: DecisionState): boolean {
    for (const bucket of state.queue.getBuckets()) {
        if (jobQueue.getHead(bucket)?.jobClass === "urgent") {
            return true;
        }
    }
    return false;
}

function getFirstUnheld(state: DecisionState, bucket: jobQueue.Bucket): queuedJob.QueuedJob | undefined {
    for (const job of bucket.jobs.values()) {
        if (!state.held.has(job.jobId)) {
            return job;
        }
    }
    return undefined;
}

interface Heads {
    /** The bucket with the highest score. */
    pop(): jobQueue.Bucket | undefined;
    /** Puts a bucket back, with the score of its new head. */
    push(bucket: jobQueue.Bucket): void;
}

/** The buckets in the order of their heads' scores. */
function createHeads(
    state: DecisionState,
    getScore: (job: queuedJob.QueuedJob) => number,
    buckets: Iterable<jobQueue.Bucket>,
): Heads {
    const heap = new heapJs.Heap<{ bucket: jobQueue.Bucket; score: number; }>((a, b) => b.score - a.score);
    const createItem = (bucket: jobQueue.Bucket) => {
        const head = getFirstUnheld(state, bucket);
        return head && { bucket, score: getScore(head) };
    };
    heap.init([...buckets].flatMap(bucket => createItem(bucket) ?? []));
    return {
        pop: () => heap.pop()?.bucket,
        push: bucket => {
            const item = createItem(bucket);
            if (item) {
                heap.push(item);
            }
        },
    };
}

interface FailureMemo {
    add(req: placement.PlaceRequest): void;
    /** Whether a smaller or equal request already failed in this pass. */
    isHopeless(req: placement.PlaceRequest): boolean;
}

/** Remembers for one pass what did not fit, so that ten thousand alike jobs cost one search. */
function createFailureMemo(): FailureMemo {
    const smallestFailed = new Map<string, number>();
    const getKey = (req: placement.PlaceRequest) =>
        [req.account, req.adjacency, req.evictable, req.cpusPerAccelerator, req.memoryMbPerAccelerator].join("|");
    return {
        add: req => {
            if (req.excludedWorkers.size === 0) {
                const key = getKey(req);
                smallestFailed.set(key, Math.min(smallestFailed.get(key) ?? Infinity, req.accelerators));
            }
        },
        isHopeless: req => req.accelerators >= (smallestFailed.get(getKey(req)) ?? Infinity),
    };
}

/**
 * Decides which waiting job starts where, and which borrowed work is evicted. It is synchronous and does no I/O: the
 * zone queue passes events to it and carries out its decisions, and scenarios and benchmarks run the same code.
 */
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as decide from "./decide";
import * as decisionState from "./decisionState";
import * as jobQueue from "./jobQueue";
import * as predictor from "./predictor";
import type * as queuedJob from "./queuedJob";

/** An action that the owner of the queue carries out. */
export type Decision =
    | { readonly kind: "start"; readonly job: queuedJob.QueuedJob; readonly members: readonly placement.Member[]; }
    /** Stop the job's tasks with a checkpoint and queue it again. */
    | { readonly kind: "evict"; readonly jobId: string; readonly cause: EvictionCause; };

/** Why a running job is evicted. */
export type EvictionCause = "reclaim" | "urgent" | "overrun" | "patience" | "maintenance" | "consolidate";

/** A job that holds resources, and where its tasks are placed. */
export interface RunningJob {
    readonly job: queuedJob.QueuedJob;
    readonly members: readonly placement.Member[];
    /** Monotonic time at which it was placed. */
    readonly startedAt: number;
    /** Whether an eviction has been decided and has not finished. */
    evicting: boolean;
}

/** The scheduling state of one zone. */
export interface Scheduler {
    readonly fleet: placement.Fleet;
    readonly queue: jobQueue.JobQueue;
    readonly running: ReadonlyMap<string, RunningJob>;
    readonly predictor: predictor.Predictor;
    /** Replaces what the scheduler uses of the current configuration. */
    setConfig(terms: SchedulerConfig): void;
    /** Queues a job. */
    add(job: queuedJob.QueuedJob): void;
    /** Removes a waiting job and its hold; returns `undefined` when the job is not waiting. */
    remove(jobId: string): queuedJob.QueuedJob | undefined;
    /** Registers a job that already runs, for example one started by a previous owner of the queue. */
    adopt(job: queuedJob.QueuedJob, members: readonly placement.Member[], ranMs: number): void;
    /** Frees the resources of one member of a running job that has ended. */
    endMember(jobId: string, index: number): void;
    /**
     * Removes a running job whose members have all ended. The predictor learns from `ranMs`, in milliseconds, unless it
     * is `undefined`.
     */
    end(jobId: string, ranMs: number | undefined): RunningJob | undefined;
    /** Jobs for which a place is held, and the kind of the hold. */
    getHolds(): ReadonlyArray<{ readonly jobId: string; readonly kind: decisionState.Hold["kind"]; }>;
    /** Whether work is being stopped to make room for the job; the job must not be moved to another queue then. */
    isPlaceHeld(jobId: string): boolean;
    /** Runs one pass. Jobs to start are already removed from the queue and registered as running. */
    decide(): Decision[];
}

/** What the scheduler uses of the configuration. */
export interface SchedulerConfig {
    readonly policy: configuration.Policy;
    readonly accounts: readonly configuration.Account[];
    readonly homes: readonly placement.HomePart[];
    /** Workers that take no new work and from which evictable tasks are removed. */
    readonly drained: ReadonlySet<string>;
}

/** Creates a scheduler without jobs or homes; it places jobs first in, first out until `setConfig` is called. */
export function createScheduler(time: clock.Clock, shapes: readonly placement.WorkerShape[]): Scheduler {
    const fleet = placement.createFleet(shapes);
    const runTimePredictor = predictor.createPredictor();
    const queue = jobQueue.createJobQueue(job => runTimePredictor.predict(job.account, job.jobClass, job.declaredMs));
    const running = new Map<string, RunningJob>();
    const state: decisionState.DecisionState = {
        fleet,
        queue,
        running,
        predictor: runTimePredictor,
        config: { policy: { kind: "fifoFirstFit" }, accounts: [], homes: [], drained: new Set() },
        accountsByName: new Map(),
        held: new Map(),
        consolidatedAt: 0,
    };

    const addRunning = (job: queuedJob.QueuedJob, members: readonly placement.Member[], startedAt: number) => {
        const predictedEndAt = startedAt + decisionState.getRemainingMs(state, job);
        for (const [index, member] of members.entries()) {
            fleet.addTask(member.workerId, {
                taskId: getTaskId(job.jobId, job.attempt, index),
                jobId: job.jobId,
                account: job.account,
                needs: member.needs,
                evictable: job.repeatable,
                urgent: job.jobClass === "urgent",
                placedAt: startedAt,
                predictedEndAt,
            });
        }
        running.set(job.jobId, { job, members, startedAt, evicting: false });
    };

    const endMember = (jobId: string, index: number) => {
        const entry = running.get(jobId);
        const member = entry?.members[index];
        if (entry && member) {
            fleet.removeTask(member.workerId, getTaskId(jobId, entry.job.attempt, index));
        }
    };

    return {
        fleet,
        queue,
        running,
        predictor: runTimePredictor,
        setConfig: terms => {
            state.config = terms;
            state.accountsByName = new Map(terms.accounts.map(account => [account.name, account]));
            fleet.setHomes(terms.homes);
        },
        add: job => queue.add(job),
        remove: jobId => {
            decisionState.dropHold(state, jobId);
            return queue.remove(jobId);
        },
        adopt: (job, members, ranMs) => {
            queue.remove(job.jobId);
            addRunning(job, members, time.now() - ranMs);
        },
        getHolds: () => [...state.held].map(([jobId, hold]) => ({ jobId, kind: hold.kind })),
        isPlaceHeld: jobId => {
            const held = state.held.get(jobId);
            return held !== undefined && held.kind !== "reserved";
        },
        endMember,
        end: (jobId, ranMs) => {
            const entry = running.get(jobId);
            if (!entry) {
                return undefined;
            }
            for (const index of entry.members.keys()) {
                endMember(jobId, index);
            }
            running.delete(jobId);
            if (ranMs !== undefined) {
                const { account, jobClass, declaredMs, savedMs } = entry.job;
                runTimePredictor.learn(account, jobClass, declaredMs, savedMs + ranMs);
            }
            return entry;
        },
        decide: () => {
            const decisions: Decision[] = [];
            const start = (job: queuedJob.QueuedJob, members: readonly placement.Member[]) => {
                queue.remove(job.jobId);
                decisionState.dropHold(state, job.jobId);
                job.attempt++;
                addRunning(job, members, time.now());
                decisions.push({ kind: "start", job, members });
            };
            const evict = (jobId: string, cause: EvictionCause) => {
                const entry = running.get(jobId);
                if (entry && !entry.evicting) {
                    entry.evicting = true;
                    decisions.push({ kind: "evict", jobId, cause });
                }
            };
            decide.runPass(state, { start, evict }, time.now());
            return decisions;
        },
    };
}

/** The id of one task of an attempt. A worker refuses an id that it knows, so an attempt never runs twice on it. */
export function getTaskId(jobId: string, attempt: number, index: number): string {
    return `${jobId}.${attempt}.${index}`;
}

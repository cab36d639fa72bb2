/**
 * Decides which waiting job starts where, and which borrowed work gives way. It is synchronous and keeps no connection:
 * the zone's queue feeds it events and carries out its decisions, and scenarios and benchmarks drive the same code.
 */
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as decide from "./decide";
import * as decisionState from "./decisionState";
import * as jobQueue from "./jobQueue";
import * as predictor from "./predictor";
import type * as queuedJob from "./queuedJob";

export type Decision =
    | { readonly kind: "start"; readonly job: queuedJob.QueuedJob; readonly members: readonly placement.Member[]; }
    /** Stop the job's tasks with a checkpoint and queue it again. */
    | { readonly kind: "evict"; readonly jobId: string; readonly cause: EvictionCause; };

/** Why borrowed work is stopped. */
export type EvictionCause = "reclaim" | "urgent" | "overrun" | "patience" | "maintenance" | "consolidate";

export interface RunningJob {
    readonly job: queuedJob.QueuedJob;
    readonly members: readonly placement.Member[];
    /** Monotonic time at which it was placed. */
    readonly startedAt: number;
    /** An eviction was decided and is under way. */
    evicting: boolean;
}

export interface Scheduler {
    readonly books: placement.Fleet;
    readonly queue: jobQueue.JobQueue;
    readonly running: ReadonlyMap<string, RunningJob>;
    readonly predictor: predictor.Predictor;
    /** Terms of the configuration in force. */
    setTerms(terms: SchedulerTerms): void;
    add(job: queuedJob.QueuedJob): void;
    /** Takes a waiting job out; `undefined` when it does not wait. */
    remove(jobId: string): queuedJob.QueuedJob | undefined;
    /** Books a job that runs already, for instance one started by an earlier owner of the queue. */
    adopt(job: queuedJob.QueuedJob, members: readonly placement.Member[], ranMs: number): void;
    /** One member of a running job has ended and its resources are free. */
    endMember(jobId: string, index: number): void;
    /** All members have ended: the job leaves the running ones. `ranMs` teaches the predictor when given. */
    end(jobId: string, ranMs: number | undefined): RunningJob | undefined;
    /** Jobs that wait for a place that is kept for them, and why. */
    getHeld(): ReadonlyArray<{ readonly jobId: string; readonly kind: decisionState.Hold["kind"]; }>;
    /** Whether work is being stopped to make a place for the job: it must not be moved to another queue then. */
    isPlaceKept(jobId: string): boolean;
    /** The decisions that are due now; jobs to start are booked and taken from the queue. */
    decide(): Decision[];
}

export interface SchedulerTerms {
    readonly policy: configuration.Policy;
    readonly accounts: readonly configuration.Account[];
    readonly homes: readonly placement.HomePart[];
    /** Workers that take no new work and lose what can be moved. */
    readonly drained: ReadonlySet<string>;
}

export function createScheduler(time: clock.Clock, shapes: readonly placement.WorkerShape[]): Scheduler {
    const books = placement.createFleet(shapes);
    const learned = predictor.createPredictor();
    const queue = jobQueue.createJobQueue(job => learned.predict(job.account, job.jobClass, job.declaredMs));
    const running = new Map<string, RunningJob>();
    const state: decisionState.DecisionState = {
        books,
        queue,
        running,
        predictor: learned,
        terms: { policy: { kind: "fifoFirstFit" }, accounts: [], homes: [], drained: new Set() },
        accountsByName: new Map(),
        held: new Map(),
        consolidatedAt: 0,
    };

    const book = (job: queuedJob.QueuedJob, members: readonly placement.Member[], startedAt: number) => {
        const predictedEndAt = startedAt + decisionState.getRemainingMs(state, job);
        for (const [index, member] of members.entries()) {
            books.addTask(member.workerId, {
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
            books.removeTask(member.workerId, getTaskId(jobId, entry.job.attempt, index));
        }
    };

    return {
        books,
        queue,
        running,
        predictor: learned,
        setTerms: terms => {
            state.terms = terms;
            state.accountsByName = new Map(terms.accounts.map(account => [account.name, account]));
            books.setHomes(terms.homes);
        },
        add: job => queue.add(job),
        remove: jobId => {
            decisionState.dropHold(state, jobId);
            return queue.remove(jobId);
        },
        adopt: (job, members, ranMs) => {
            queue.remove(job.jobId);
            book(job, members, time.now() - ranMs);
        },
        getHeld: () => [...state.held].map(([jobId, hold]) => ({ jobId, kind: hold.kind })),
        isPlaceKept: jobId => {
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
                learned.learn(account, jobClass, declaredMs, savedMs + ranMs);
            }
            return entry;
        },
        decide: () => {
            const decisions: Decision[] = [];
            const start = (job: queuedJob.QueuedJob, members: readonly placement.Member[]) => {
                queue.remove(job.jobId);
                decisionState.dropHold(state, job.jobId);
                job.attempt++;
                book(job, members, time.now());
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

/** The id of one task of an attempt; the worker refuses an id that it knows, so an attempt never runs twice there. */
export function getTaskId(jobId: string, attempt: number, index: number): string {
    return `${jobId}.${attempt}.${index}`;
}

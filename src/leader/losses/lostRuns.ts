/** Lists the runs that are lost with a worker, and decides how certainly each has crashed it. */
import * as crashHistory from "../crashHistory";
import * as entries from "../entries";
import * as suspects from "./suspects";

/** Estimates are rough: a run may have ended after this share of its expected duration. */
const MIN_DURATION_SHARE = 0.9;
/** A lasting task that was observed running for this long is not suspected of crashing its worker. */
const MIN_PROVEN_MS = 60_000;
const DONE_PERCENT = 100;

/** A run that was lost with its worker. */
export interface LostRun {
    readonly task: entries.TaskEntry;
    /** Whether it was ordered by this leader and had just begun. */
    readonly isRecent: boolean;
    /** Whether its worker has confirmed it to this leader. */
    readonly isConfirmed: boolean;
    /** Whether it cannot have ended before its worker's incarnation ended. */
    readonly wasRunning: boolean;
    /** Maximum age of the run when its worker's incarnation ended, in milliseconds; `Infinity` if unknown. */
    readonly maxAgeMs: number;
    readonly isSuspect: boolean;
    /** Whether it is a lasting task that ran for so long that it is not suspected. */
    readonly isProven: boolean;
}

/** What is known of the loss whose runs are listed. */
export interface ListLostRunsOptions {
    /** When another incarnation of the worker was first known; `undefined` if there is none. */
    readonly successorSeenAt?: number;
    /** Whether the worker has restarted under its name, so that it may have received a start without an answer. */
    readonly hasNextIncarnation?: boolean;
    /** Expected duration of a run of the step's tasks, in milliseconds. */
    estimateRunMs(step: entries.StepEntry): number;
}

/** Lists the runs that may have been on the worker when it was lost. */
export function listLostRuns(worker: entries.WorkerEntry, options: ListLostRunsOptions): LostRun[] {
    const {
        successorSeenAt = Infinity,
        hasNextIncarnation = false,
        estimateRunMs,
    } = options;
    return [...worker.tasks].filter(task => mayHaveRun(task, hasNextIncarnation)).map(task => {
        const endedBy = getEndedBy(task, worker, successorSeenAt);
        return {
            task,
            isRecent: !task.inherited && entries.getObservedMs(task) < suspects.SETTLED_MS,
            isConfirmed: isConfirmed(task),
            wasRunning: endedBy - getLastKnownAt(task) < getMinRemainingMs(task, estimateRunMs(task.step)),
            maxAgeMs: task.inherited ? Infinity : endedBy - task.orderedAt,
            isSuspect: crashHistory.isSuspect(task.crashes),
            isProven: task.step.spec.lasting && entries.getObservedMs(task) >= MIN_PROVEN_MS,
        };
    });
}

/**
 * Returns the latest time at which the worker's incarnation can have ended. A broken connection gives that time unless
 * the run was reported later.
 */
function getEndedBy(
    task: entries.TaskEntry,
    { disconnectedAt }: entries.WorkerEntry,
    successorSeenAt: number,
): number {
    const isDisconnected = disconnectedAt !== undefined && disconnectedAt >= getLastKnownAt(task);
    return isDisconnected && successorSeenAt !== Infinity ? disconnectedAt : successorSeenAt;
}

function isConfirmed(task: entries.TaskEntry): boolean {
    return task.phase !== "ordered" && task.runningSince >= task.orderedAt && !task.inherited;
}

/** Returns when the run was last known to exist on its worker. */
function getLastKnownAt(task: entries.TaskEntry): number {
    return Math.max(task.runningSince, task.lastReportAt);
}

function getMinRemainingMs({ percent, step }: entries.TaskEntry, expectedMs: number): number {
    return step.spec.lasting ? Infinity : expectedMs * (MIN_DURATION_SHARE - percent / DONE_PERCENT);
}

/**
 * Whether the run may have been on the worker. Excluded are runs that the worker no longer listed, and starts in flight
 * when another worker answers at the address: that one received the order and refused it.
 */
function mayHaveRun(task: entries.TaskEntry, hasNextIncarnation: boolean): boolean {
    switch (task.phase) {
        case "running":
            return true;
        case "stopping":
            return !entries.isClosing(task);
        case "ordered":
            return hasNextIncarnation || task.startTimedOutAt !== undefined;
        case "waiting":
        case "recording":
        case "done":
            return false;
    }
}

/** Returns the jobs whose runs had just begun. */
export function getRecentJobs(runs: readonly LostRun[]): ReadonlySet<entries.JobEntry> {
    return new Set(runs.filter(run => run.isRecent).map(run => run.task.step.occurrence.job));
}

/** Circumstances of the loss of a worker. */
export interface LossCircumstances {
    readonly recentJobs: ReadonlySet<entries.JobEntry>;
    /** Whether the worker was draining or reserved for maintenance. */
    readonly wasLeaving: boolean;
    /** Whether another incarnation has answered. */
    readonly restarted: boolean;
    /** Whether other workers, without a recent run of the same jobs, became unreachable at the same time. */
    readonly wereOthersUnreachable: boolean;
    readonly didRackRestart: boolean;
}

/**
 * Decides for each lost run how certain it is that it has crashed the worker. Suspect runs that had just begun are held
 * responsible first, otherwise all runs that had just begun.
 */
export function attributeCrashes(
    runs: readonly LostRun[],
    {
        recentJobs,
        wasLeaving,
        restarted,
        wereOthersUnreachable,
        didRackRestart,
    }: LossCircumstances,
): ReadonlyMap<LostRun, crashHistory.Certainty> {
    const { Certainty } = crashHistory;
    const recent = runs.filter(run => run.isRecent);
    const suspected = recent.filter(run => run.isSuspect);
    const candidates = suspected.length > 0 ? suspected : recent;
    const candidateJobs = suspected.length > 0 ? getRecentJobs(suspected) : recentJobs;
    const hasCrashed = restarted && !wasLeaving && !didRackRestart;
    const isUnambiguous = hasCrashed && !wereOthersUnreachable && candidateJobs.size === 1;
    const getCertainty = (run: LostRun): crashHistory.Certainty => {
        if (!hasCrashed || !run.isConfirmed) {
            return Certainty.None;
        }
        return isUnambiguous && run.wasRunning && candidates.includes(run) ? Certainty.Certain : Certainty.Likely;
    };
    return new Map(runs.map(run => [run, getCertainty(run)]));
}

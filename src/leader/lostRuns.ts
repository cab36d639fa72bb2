/** The runs that are lost with a worker, and what is known of how they came to their end. */
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";
import * as suspects from "./suspects";

/** Estimates are rough: a run may be over after this share of its expected time. */
const LEAST_DURATION_SHARE = 0.9;
/** A lasting task that was at work for this long has proved itself. */
const PROVEN_MS = 60_000;
const DONE_PERCENT = 100;

export interface LostRun {
    readonly task: entries.TaskEntry;
    /** Ordered by this leader, and had just begun. */
    readonly isFresh: boolean;
    /** Its worker has told this leader of it. */
    readonly isConfirmed: boolean;
    /** It cannot have ended before its worker's life was over. */
    readonly wasThere: boolean;
    /** How old it was at most when its worker's life was over; `Infinity` where that is not known. */
    readonly mostAgeMs: number;
    readonly isSuspect: boolean;
    /** Lasting, and was at work for so long that a crash says nothing of it. */
    readonly isProven: boolean;
}

export interface ListOptions {
    /** When another life of the worker was known to be there; `undefined`: none is. */
    readonly successorSeenAt?: number;
    /** The worker has started again under its name, so it may have taken a start that is still without an answer. */
    readonly hasNextIncarnation?: boolean;
    /** How long a run of the step's tasks is expected to take. */
    estimateRunMs(step: entries.StepEntry): number;
}

/** Those that may have been on the worker when it was lost. */
export function listLostRuns(worker: entries.WorkerEntry, options: ListOptions): LostRun[] {
    const {
        successorSeenAt: succeededAt = Infinity,
        hasNextIncarnation: hasNextLife = false,
        estimateRunMs: expectRun,
    } = options;
    return [...worker.tasks].filter(task => mayHaveRun(task, hasNextLife)).map(task => {
        const overBy = getOverBy(task, worker, succeededAt);
        return {
            task,
            isFresh: !task.inherited && entries.getObservedMs(task) < suspects.SETTLED_MS,
            isConfirmed: isConfirmed(task),
            wasThere: overBy - getKnownAt(task) < getLeastRemainingMs(task, expectRun(task.step)),
            mostAgeMs: task.inherited ? Infinity : overBy - task.orderedAt,
            isSuspect: crashHistory.isSuspect(task.crashes),
            isProven: task.step.spec.lasting && entries.getObservedMs(task) >= PROVEN_MS,
        };
    });
}

/** When the worker's life was over at the latest. A connection that broke says so unless the run was heard of later. */
function getOverBy(
    task: entries.TaskEntry,
    { disconnectedAt: brokenOffAt }: entries.WorkerEntry,
    succeededAt: number,
): number {
    const isBrokenOff = brokenOffAt !== undefined && brokenOffAt >= getKnownAt(task);
    return isBrokenOff && succeededAt !== Infinity ? brokenOffAt : succeededAt;
}

function isConfirmed(task: entries.TaskEntry): boolean {
    return task.phase !== "ordered" && task.runningSince >= task.orderedAt && !task.inherited;
}

/** When the run was last known to be there. */
function getKnownAt(task: entries.TaskEntry): number {
    return Math.max(task.runningSince, task.lastReportAt);
}

function getLeastRemainingMs({ percent, step }: entries.TaskEntry, expectedMs: number): number {
    return step.spec.lasting ? Infinity : expectedMs * (LEAST_DURATION_SHARE - percent / DONE_PERCENT);
}

/**
 * Not a run that its worker no longer listed, nor a start that is without an answer when another worker answers at the
 * address: it was sent to that one, which did not take it.
 */
function mayHaveRun(task: entries.TaskEntry, hasNextLife: boolean): boolean {
    switch (task.phase) {
        case "running":
            return true;
        case "stopping":
            return !entries.isClosing(task);
        case "ordered":
            return hasNextLife || task.startTimedOutAt !== undefined;
        case "waiting":
        case "recording":
        case "done":
            return false;
    }
}

export function getRecentJobs(runs: readonly LostRun[]): ReadonlySet<entries.JobEntry> {
    return new Set(runs.filter(run => run.isFresh).map(run => run.task.step.occurrence.job));
}

/** What is known of the worker that was lost with the runs. */
export interface LossCircumstances {
    readonly recentJobs: ReadonlySet<entries.JobEntry>;
    /** It was about to be taken away. */
    readonly wasLeaving: boolean;
    /** Another life of it has answered. */
    readonly restarted: boolean;
    /** Workers were lost at the same time, and not to the same job. */
    readonly wereOthersUnreachable: boolean;
    readonly didRackRestart: boolean;
}

export function attributeCrashes(
    runs: readonly LostRun[],
    {
        recentJobs: freshJobs,
        wasLeaving: leaves,
        restarted,
        wereOthersUnreachable: areOthersSilent,
        didRackRestart: isRackBack,
    }: LossCircumstances,
): ReadonlyMap<LostRun, crashHistory.Certainty> {
    const { Certainty } = crashHistory;
    const fresh = runs.filter(run => run.isFresh);
    const suspected = fresh.filter(run => run.isSuspect);
    const blamed = suspected.length > 0 ? suspected : fresh;
    const blamedJobs = suspected.length > 0 ? getRecentJobs(suspected) : freshJobs;
    const hasCrashed = restarted && !leaves && !isRackBack;
    const isClear = hasCrashed && !areOthersSilent && blamedJobs.size === 1;
    const judge = (run: LostRun): crashHistory.Certainty => {
        if (!hasCrashed || !run.isConfirmed) {
            return Certainty.None;
        }
        return isClear && run.wasThere && blamed.includes(run) ? Certainty.Certain : Certainty.Likely;
    };
    return new Map(runs.map(run => [run, judge(run)]));
}

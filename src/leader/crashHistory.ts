/**
 * Counts the worker crashes that a task may have caused.
 *
 * How often a task has crashed its worker is known only within bounds: a run may have ended before its worker crashed,
 * or may never have begun. So two counts are kept. The lower bound decides when the job is reported as failed, the
 * upper bound when a further start would exceed the limit.
 */

/** Crash counts as stored in the task's row. */
export interface CrashCounts {
    /** Lower bound of the crashes that the task caused: the sum of the `Certainty` of its losses. */
    readonly knownCrashes: number;
    /** Upper bound: possible crashes and, once there are `CRASHES_BEFORE_CHARGE` of them, each further start. */
    readonly crashBudgetUsed: number;
}

/** How certain it is that a run has crashed its worker, as a share of one crash. */
export const Certainty = {
    /** The run may not have begun, or its worker may not have crashed, or the whole rack failed. */
    None: 0,
    /**
     * The worker confirmed the run and has crashed since; the run may have ended before, or other runs may be the
     * cause.
     */
    Likely: 0.5,
    /** The run was running, had just begun, and no other cause is known. */
    Certain: 1,
} as const;
export type Certainty = typeof Certainty[keyof typeof Certainty];

/** Whether a run of another job that was lost with the worker has crashed it. */
export const OtherCause = {
    None: "none",
    /** The other run is the likelier cause, but its job has not ended. */
    Possible: "possible",
    /** The other run's step was given up because it crashes workers. */
    Known: "known",
} as const;
export type OtherCause = typeof OtherCause[keyof typeof OtherCause];

/** A run that was lost with its worker. */
export interface RunLoss {
    /** Maximum age of the run when its worker's incarnation ended, in milliseconds; `Infinity` if unknown. */
    readonly maxAgeMs: number;
    certainty: Certainty;
    /** Whether the worker turned out to have been merely unreachable. */
    isDisproved: boolean;
    /** What is known now of the other runs that were lost with the worker. */
    findOtherCause(): OtherCause;
}

/** The losses and charged starts of a task. */
export interface CrashHistory {
    /** Counts that were stored by earlier leaders. */
    readonly stored: CrashCounts;
    readonly losses: RunLoss[];
    /** Starts that count against the budget whether or not they end in a loss. */
    chargedStarts: number;
    /** Whether the current run's start is one of the charged starts. */
    isStartCharged: boolean;
    /** Longest time for which a run of the task was observed to make progress, in milliseconds. */
    longestRunMs: number;
}

/** Number of known crashes after which a task is given up. */
const KNOWN_CRASH_LIMIT = 2;
/** After this many possible crashes every start is charged, so that only `STARTS_AFTER` more starts are allowed. */
const CRASHES_BEFORE_CHARGE = 3;
const MAX_CHARGED_STARTS = 2;
const CRASH_BUDGET = CRASHES_BEFORE_CHARGE + MAX_CHARGED_STARTS;
/** Number of possible crashes from which a task is isolated from other runs that have just begun. */
const MIN_SUSPECT_CRASHES = 3;
/**
 * A crashing task crashes its workers at about the same age. If a run has survived a loss's maximum age by this much,
 * the task did not cause that crash.
 */
const CRASH_AGE_TOLERANCE_MS = 2_500;

const NONE: CrashCounts = { knownCrashes: 0, crashBudgetUsed: 0 };

/** Creates a history from the stored counts. */
export function createCrashHistory(stored = NONE): CrashHistory {
    return { stored, losses: [], chargedStarts: 0, isStartCharged: false, longestRunMs: 0 };
}

/**
 * Restores the history of a stored task; `isPlaced` if it has a run whose start may be charged in the stored counts.
 */
export function restoreCrashHistory(stored: CrashCounts, isPlaced: boolean): CrashHistory {
    const crashBudgetUsed = stored.crashBudgetUsed - 1;
    if (!isPlaced || crashBudgetUsed < CRASHES_BEFORE_CHARGE) {
        return createCrashHistory(stored);
    }
    return {
        ...createCrashHistory({ ...stored, crashBudgetUsed }),
        chargedStarts: 1,
        isStartCharged: true,
    };
}

/** Returns the current counts, without disproved losses, those that a later run has outlived, and those of others. */
export function getCounts(history: CrashHistory): CrashCounts {
    const { stored, losses, chargedStarts } = history;
    const own = losses.filter(loss => isUpheld(history, loss) && loss.findOtherCause() !== OtherCause.Known);
    const crashes = stored.crashBudgetUsed + own.length;
    return {
        knownCrashes: countKnownCrashes(history),
        crashBudgetUsed: crashes > 0 ? crashes + chargedStarts : 0,
    };
}

/** Whether the loss is neither disproved nor outlived by a later run of the task. */
export function isUpheld({ longestRunMs }: CrashHistory, loss: RunLoss): boolean {
    return !loss.isDisproved && loss.maxAgeMs + CRASH_AGE_TOLERANCE_MS >= longestRunMs;
}

/** Returns the lower bound alone, which does not depend on the losses of other tasks. */
function countKnownCrashes(history: CrashHistory): number {
    const upheld = history.losses.filter(loss => isUpheld(history, loss));
    return upheld.reduce((sum, loss) => sum + loss.certainty, history.stored.knownCrashes);
}

/** Records a start of the task, and charges it if too many workers may have crashed. */
export function recordStart(history: CrashHistory): void {
    history.isStartCharged = getCounts(history).crashBudgetUsed >= CRASHES_BEFORE_CHARGE;
    history.chargedStarts += Number(history.isStartCharged);
}

/** Refunds the charge of the current run's start: the run has not begun, or is counted as a loss instead. */
export function refundStart(history: CrashHistory): void {
    history.chargedStarts -= Number(history.isStartCharged);
    history.isStartCharged = false;
}

/** Records that the current run was lost with its worker. */
export function recordLoss(history: CrashHistory, loss: RunLoss): void {
    refundStart(history);
    history.losses.push(loss);
}

/** Records for how long a run of the task was observed, in milliseconds. */
export function recordRunTime(history: CrashHistory, longestRunMs: number): void {
    history.longestRunMs = Math.max(history.longestRunMs, longestRunMs);
}

/** Whether a run of the task may have crashed its worker. */
export function mayHaveCrashedWorker(history: CrashHistory): boolean {
    return getCounts(history).crashBudgetUsed > 0;
}

/** Whether the task must not be started again: it is given up, or the review of its latest loss is pending. */
export function isCrashLimitReached(history: CrashHistory): boolean {
    const { knownCrashes, crashBudgetUsed } = getCounts(history);
    return knownCrashes >= KNOWN_CRASH_LIMIT || crashBudgetUsed >= CRASH_BUDGET;
}

/** Whether the crash limit is reached by possible crashes of which another task may turn out to be the cause. */
export function mayBelongToOthers(history: CrashHistory): boolean {
    return countKnownCrashes(history) < KNOWN_CRASH_LIMIT
        && history.losses.some(loss => isUpheld(history, loss) && loss.findOtherCause() === OtherCause.Possible);
}

/** Whether at least one crash of a worker is certainly the task's. */
export function hasCrashedWorker(history: CrashHistory): boolean {
    return countKnownCrashes(history) >= Certainty.Certain;
}

/** Whether the task is isolated from other runs that have just begun. */
export function isSuspect(history: CrashHistory): boolean {
    const { knownCrashes, crashBudgetUsed } = getCounts(history);
    return knownCrashes >= Certainty.Certain || crashBudgetUsed >= MIN_SUSPECT_CRASHES;
}

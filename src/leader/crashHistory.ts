/**
 * What the losses of its workers say of a task.
 *
 * A task may take down each worker that starts it. How often that has happened is known only within bounds: a run may
 * have ended before its worker crashed, or never have begun. So two counts are kept. The lower one says when the job may
 * be shown as failed; the upper one, when a further start could be one too many.
 */

/** As stored with the task. */
export interface CrashCounts {
    /** Workers that crashed under it, as far as is known: the sum of `Certainty`. */
    readonly knownCrashes: number;
    /** Workers that may have crashed under it; after `CRASHES_BEFORE_CHARGE` of them also each further start. */
    readonly crashBudgetUsed: number;
}

/** Whether a worker has crashed under a run, in crashes. */
export const Certainty = {
    /** The run may not have begun, or its worker may not have crashed, or its rack went down with it. */
    None: 0,
    /** The worker told of the run, and has crashed since; the run may have ended before, and others may be to blame. */
    Likely: 0.5,
    /** The run was there, had just begun, and no other cause is in sight. */
    Certain: 1,
} as const;
export type Certainty = typeof Certainty[keyof typeof Certainty];

/** A run that was lost with its worker. */
export interface RunLoss {
    /** How old the run was at most when its worker's life was over; `Infinity` where that is not known. */
    readonly mostAgeMs: number;
    certainty: Certainty;
    /** Its worker was only out of reach. */
    isDisproved: boolean;
}

export interface CrashHistory {
    /** Counted by earlier leaders. */
    readonly stored: CrashCounts;
    readonly losses: RunLoss[];
    /** Starts that count whether or not they ended in a loss. */
    chargedStarts: number;
    /** The current run's start is one of them. */
    isStartCharged: boolean;
    /** The longest time for which a run of the task is known to have worked. */
    longestRunMs: number;
}

/** So many known crashes are enough to give a task up. */
const ENOUGH_CRASHES = 2;
/** A task that takes its workers down may be started `STARTS_AFTER` times more after so many crashes. */
const CRASHES_BEFORE_CHARGE = 3;
const STARTS_AFTER = 2;
const CRASH_BUDGET = CRASHES_BEFORE_CHARGE + STARTS_AFTER;
/** A task under which so many workers may have crashed is started apart from others that have just begun. */
const SUSPECT_CRASHES = 3;
/** A task takes its workers down at much the same age: one that has worked for so much longer did not do it. */
const OUTLIVED_BY_MS = 2_500;

const NONE: CrashCounts = { knownCrashes: 0, crashBudgetUsed: 0 };

export function createCrashHistory(stored = NONE): CrashHistory {
    return { stored, losses: [], chargedStarts: 0, isStartCharged: false, longestRunMs: 0 };
}

/** `isPlaced`: a run is under way, whose start may have been counted when it was placed. */
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

export function getCounts({ stored, losses, chargedStarts, longestRunMs: workedMs }: CrashHistory): CrashCounts {
    const standing = losses.filter(loss => !loss.isDisproved && loss.mostAgeMs + OUTLIVED_BY_MS >= workedMs);
    const crashes = stored.crashBudgetUsed + standing.length;
    return {
        knownCrashes: standing.reduce((sum, loss) => sum + loss.certainty, stored.knownCrashes),
        crashBudgetUsed: crashes > 0 ? crashes + chargedStarts : 0,
    };
}

/** The task is about to be started again. */
export function recordStart(history: CrashHistory): void {
    history.isStartCharged = getCounts(history).crashBudgetUsed >= CRASHES_BEFORE_CHARGE;
    history.chargedStarts += Number(history.isStartCharged);
}

/** The current run has not begun, or is counted as lost in place of its start. */
export function refundStart(history: CrashHistory): void {
    history.chargedStarts -= Number(history.isStartCharged);
    history.isStartCharged = false;
}

export function recordLoss(history: CrashHistory, loss: RunLoss): void {
    refundStart(history);
    history.losses.push(loss);
}

export function recordRunTime(history: CrashHistory, workedMs: number): void {
    history.longestRunMs = Math.max(history.longestRunMs, workedMs);
}

/** Whether a worker may have crashed under the task. */
export function mayHaveCrashedWorker(history: CrashHistory): boolean {
    return getCounts(history).crashBudgetUsed > 0;
}

/** Whether the task is not started again: it is given up, or its latest loss is yet to be reviewed. */
export function isCrashLimitReached(history: CrashHistory): boolean {
    const { knownCrashes, crashBudgetUsed } = getCounts(history);
    return knownCrashes >= ENOUGH_CRASHES || crashBudgetUsed >= CRASH_BUDGET;
}

/** Whether the task is started apart from others that have just begun. */
export function isSuspect(history: CrashHistory): boolean {
    const { knownCrashes, crashBudgetUsed } = getCounts(history);
    return knownCrashes >= Certainty.Certain || crashBudgetUsed >= SUSPECT_CRASHES;
}

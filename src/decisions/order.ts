/**
 * The order in which waiting units are served.
 *
 * A job earns full credit, proportional to its work, until its objective, and partial credit until three times the
 * objective. So work that can meet its objective goes before work that can only be late, and work that can earn no
 * credit goes last, though it still runs if resources are free.
 *
 * Among work that is equal so far, that of the account that has used less of its fair share goes first. Otherwise an
 * account that submits many times its share delays all others by the length of its own queue.
 */

import * as types from "./types";

/** A late job earns partial credit until this multiple of its objective. */
const PARTIAL_CREDIT_MULTIPLE = 3;

/** The sort key of waiting work. */
export interface Urgency {
    readonly tier: types.PreemptionTier;
    /** Priority of the queue; 0 is the highest. */
    readonly priority: number;
    /** Time since the job was submitted, or since the occurrence was due. */
    readonly ageMs: number;
    /** Age at which the job should end at the latest. */
    readonly objectiveMs: number;
    /** Expected time from the unit's start to the job's end. */
    readonly remainingMs: number;
    /** What the account has used of the service, relative to its fair share; absent if usage does not count. */
    readonly usage?: number;
}

/** Whether the work can still earn full, partial or no credit; lower goes first. */
export const LatenessClass = { InTime: 0, Late: 1, TooLate: 2 } as const;
export type LatenessClass = typeof LatenessClass[keyof typeof LatenessClass];

/** The lateness class of work that starts now. */
export function getLatenessClass(urgency: Urgency): LatenessClass {
    const endsAfterMs = urgency.ageMs + urgency.remainingMs;
    if (endsAfterMs <= urgency.objectiveMs) {
        return LatenessClass.InTime;
    }
    return endsAfterMs <= PARTIAL_CREDIT_MULTIPLE * urgency.objectiveMs ? LatenessClass.Late : LatenessClass.TooLate;
}

/** Longest wait that does not worsen the lateness class; `Infinity` for work that can earn no credit. */
export function getSlackMs(urgency: Urgency): number {
    const endsAfterMs = urgency.ageMs + urgency.remainingMs;
    switch (getLatenessClass(urgency)) {
        case LatenessClass.InTime:
            return urgency.objectiveMs - endsAfterMs;
        case LatenessClass.Late:
            return PARTIAL_CREDIT_MULTIPLE * urgency.objectiveMs - endsAfterMs;
        case LatenessClass.TooLate:
            return Infinity;
    }
}

/**
 * Number of steps by which the account exceeds its fair share; 0 up to its share. Always 0 for guaranteed work, since a
 * guarantee may not be delayed. Steps, because smaller differences of usage matter less than slack.
 */
export function getUsageStep({ tier, usage = 0 }: Urgency): number {
    return tier === types.PreemptionTier.Guaranteed
        ? 0
        : Math.max(0, Math.ceil((usage - FAIR_USAGE) * USAGE_STEPS_PER_SHARE));
}

const USAGE_STEPS_PER_SHARE = 4;
/**
 * Usage up to which an account is within its share. A larger tolerance would leave accounts of little weight behind an
 * account that holds the whole service: with 80% of the weight its usage is only 1.25.
 */
const FAIR_USAGE = 1.05;

/** Sorts by preemption tier, lateness class, priority, usage and slack. */
export function compareUrgency(a: Urgency, b: Urgency): number {
    return b.tier - a.tier
        || getLatenessClass(a) - getLatenessClass(b)
        || a.priority - b.priority
        || getUsageStep(a) - getUsageStep(b)
        || compareNumbers(getSlackMs(a), getSlackMs(b));
}

/** Sorts by preemption tier, priority, usage and slack. */
export function compareWithoutLateness(a: Urgency, b: Urgency): number {
    return b.tier - a.tier
        || a.priority - b.priority
        || getUsageStep(a) - getUsageStep(b)
        || compareNumbers(getSlackMs(a), getSlackMs(b));
}

/** Compares numbers that may be infinite, whose difference would be `NaN`. */
export function compareNumbers(a: number, b: number): number {
    return a === b ? 0 : a < b ? -1 : 1;
}

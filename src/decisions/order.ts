/**
 * The order in which waiting units are served.
 *
 * A job earns its full worth up to its objective and a part of it up to three times the objective; its worth grows
 * with its work. So under load what counts is not who came first but what can still be earned: work that can meet
 * its objective goes before work that can only be late, and work that is past all credit goes last, though it still
 * runs when there is room.
 */

import type * as types from "./types";

/** A late job still earns up to this multiple of its objective. */
const LATE_MULTIPLE = 3;

export interface Urgency {
    readonly tier: types.Claim;
    readonly priority: number;
    /** Time since the job was handed in, or was due. */
    readonly ageMs: number;
    /** Time within which the job should end. */
    readonly objectiveMs: number;
    /** Expected time from the unit's start to the job's end. */
    readonly remainingMs: number;
}

/** What can still be earned; lower goes first. */
export const Prospect = { InTime: 0, Late: 1, TooLate: 2 } as const;
export type Prospect = typeof Prospect[keyof typeof Prospect];

export function getLatenessClass(urgency: Urgency): Prospect {
    const endsAfterMs = urgency.ageMs + urgency.remainingMs;
    if (endsAfterMs <= urgency.objectiveMs) {
        return Prospect.InTime;
    }
    return endsAfterMs <= LATE_MULTIPLE * urgency.objectiveMs ? Prospect.Late : Prospect.TooLate;
}

/** Time that the unit may still wait without its prospect getting worse; `Infinity` when nothing is left to lose. */
export function getSlackMs(urgency: Urgency): number {
    const endsAfterMs = urgency.ageMs + urgency.remainingMs;
    switch (getLatenessClass(urgency)) {
        case Prospect.InTime:
            return urgency.objectiveMs - endsAfterMs;
        case Prospect.Late:
            return LATE_MULTIPLE * urgency.objectiveMs - endsAfterMs;
        case Prospect.TooLate:
            return Infinity;
    }
}

/** Sorts by claim, prospect, priority and slack. */
export function compareUrgency(a: Urgency, b: Urgency): number {
    return b.tier - a.tier
        || getLatenessClass(a) - getLatenessClass(b)
        || a.priority - b.priority
        || compareNumbers(getSlackMs(a), getSlackMs(b));
}

/** Sorts by claim, priority and slack. */
export function compareWithoutLateness(a: Urgency, b: Urgency): number {
    return b.tier - a.tier || a.priority - b.priority || compareNumbers(getSlackMs(a), getSlackMs(b));
}

/** Also of infinite numbers, whose difference is none. */
export function compareNumbers(a: number, b: number): number {
    return a === b ? 0 : a < b ? -1 : 1;
}

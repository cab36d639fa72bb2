/** Decides what happens to a task, or to a whole gang, of which a part runs on a worker that leaves. */

/** What the decision depends on. Times are monotonic, in milliseconds. */
export interface LeavingUnit {
    readonly now: number;
    /** When the first of its workers that leave is expected to be gone. */
    readonly leavesAt: number;
    /** When the last of its members is expected to end. */
    readonly endsAt: number;
    /** Whether a stop saves its state. Of a gang, the newest checkpoint of any member is valid for all. */
    readonly savesState: boolean;
    /** Whether `leavesAt` is only an upper bound, because the notice may be older than the leader knows. */
    readonly isNoticeOld: boolean;
    /** Whether it was left to end at the previous decision. */
    readonly wasLeftToEnd: boolean;
}

/** What happens to the unit. */
export type Decision =
    /** All members are expected to end before the worker leaves. */
    | { readonly kind: "leftToEnd"; }
    /** It runs until the last moment at which a stop still saves its state. */
    | { readonly kind: "saveLater"; readonly at: number; }
    /** The last moment for saving its state has come. */
    | { readonly kind: "saveNow"; }
    /** It can neither end nor save its state, so it restarts the sooner the earlier it is stopped. */
    | { readonly kind: "giveUp"; };
/** Kind of a decision, as log lines and metrics have it. */
export type DecisionKind = Decision["kind"];

/** Stop time (0.2 s as a rule), the time to record the end, and the delay of an order on a loaded leader. */
const SAVE_MARGIN_MS = 700;
/**
 * An end that the leader has not read when the worker leaves is lost, and the task waits until the worker's lease has
 * expired. A unit that was already left to end needs no margin any more: nine of ten workers stay longer than expected,
 * and a stop shortly before the end would lose the whole run.
 */
const END_MARGIN_MS = 400;

/** Decides on the unit; called again as long as it runs. */
export function decide(unit: LeavingUnit): Decision {
    const endMarginMs = unit.wasLeftToEnd ? 0 : END_MARGIN_MS;
    if (Math.max(unit.endsAt, unit.now) + endMarginMs <= unit.leavesAt) {
        return { kind: "leftToEnd" };
    }
    if (!unit.savesState) {
        return { kind: "giveUp" };
    }
    const saveAt = unit.isNoticeOld ? unit.now : unit.leavesAt - SAVE_MARGIN_MS;
    return saveAt <= unit.now ? { kind: "saveNow" } : { kind: "saveLater", at: saveAt };
}

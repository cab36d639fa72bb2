/**
 * What it costs to stop running work for urgent work, in core-seconds of work thrown away.
 *
 * What goes wrong when only the thrown away work counts: the work that has just begun is the cheapest, so a job that was
 * stopped is the first to be stopped again as soon as it runs; and work is stopped that ends late for it, beside work
 * that has time. One notices large jobs that never end.
 */
import * as order from "./order";
import type * as speed from "./speed";

export interface StopCostInput {
    /** Work that a stop throws away. */
    readonly lossCoreSeconds: number;
    /** Urgency of the work as if it had not begun. */
    readonly urgency: order.Urgency;
    readonly elapsedMs: number;
    /** The part of `elapsedMs` that has to be done again. */
    readonly unsavedMs: number;
    /** How often it was stopped for urgent work before. */
    readonly preemptions: number;
    /** Whether it does not count that the job ends late for the stop. */
    readonly ignoresLateness?: boolean;
}

/** Work that was stopped for urgent work rests for what urgent jobs take on average: the next one takes its room. */
export const PREEMPTION_BACKOFF_MS = 2_000;
/** Of a job that ends late for the stop, by priority, in core-seconds of thrown away work. */
const LATENESS_CORE_SECONDS: readonly number[] = [1_500, 1_000, 330];
/** Of each earlier stop, beside counting all else once more. */
const PREEMPTION_CORE_SECONDS = 100;

export function getStopCost(input: StopCostInput): number {
    const once = input.lossCoreSeconds + (input.ignoresLateness ? 0 : getLatenessCost(input));
    return once * (1 + input.preemptions) + PREEMPTION_CORE_SECONDS * input.preemptions;
}

function getLatenessCost({ urgency, elapsedMs, unsavedMs }: StopCostInput): number {
    const remainingMs = urgency.remainingMs - elapsedMs;
    const kept = order.getLatenessClass({ ...urgency, remainingMs });
    const stopped = order.getLatenessClass({
        ...urgency,
        remainingMs: remainingMs + unsavedMs + PREEMPTION_BACKOFF_MS,
    });
    return stopped > kept ? getLateness(urgency.priority) : 0;
}

/**
 * Whether a move saves more than the work that it throws away: the job is then in time, or at least not past all worth.
 *
 * Without this condition every urgent task that would end sooner elsewhere is moved, which serves nobody better and throws
 * away more work.
 */
export function isMoveWorthwhile(urgency: order.Urgency, times: speed.MoveTimes, lossCoreSeconds: number): boolean {
    const stays = order.getLatenessClass({ ...urgency, remainingMs: times.stayMs });
    const moves = order.getLatenessClass({ ...urgency, remainingMs: times.moveMs });
    return moves < stays && lossCoreSeconds < getLateness(urgency.priority);
}

function getLateness(priority: number): number {
    return LATENESS_CORE_SECONDS[Math.min(priority, LATENESS_CORE_SECONDS.length - 1)]!;
}

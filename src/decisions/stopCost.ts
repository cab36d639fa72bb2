/**
 * The cost of preempting running work, in core-seconds of thrown-away work.
 *
 * Thrown-away work alone does not suffice: work that has just started would be the cheapest victim, so a preempted job
 * would be preempted again as soon as it restarts and large jobs would never end. Also, jobs would be made late although
 * others have slack.
 */
import * as order from "./order";
import type * as speed from "./speed";

/** State of running work that may be stopped. */
export interface StopCostInput {
    /** Work that a stop throws away. */
    readonly lossCoreSeconds: number;
    /** Urgency of the work as if it had not started. */
    readonly urgency: order.Urgency;
    /** Time since it started. */
    readonly elapsedMs: number;
    /** The part of `elapsedMs` that a restart has to repeat. */
    readonly unsavedMs: number;
    /** How often it was preempted before. */
    readonly preemptions: number;
    /** Whether to omit the cost of making the job late. */
    readonly ignoresLateness?: boolean;
}

/** Backoff before preempted work restarts: the average duration of urgent jobs, as the next one takes its resources. */
export const PREEMPTION_BACKOFF_MS = 2_000;
/** Cost of making a job late, by priority. */
const LATENESS_CORE_SECONDS: readonly number[] = [1_500, 1_000, 330];
/** Fixed cost for each earlier preemption, which also adds the other costs once more. */
const PREEMPTION_CORE_SECONDS = 100;

/** Two victims have similar costs if the dearer one costs at most this much more, as a share of the cheaper one. */
const SIMILAR_COST_SHARE = 0.25;
/** Number of usage steps from which the whole of `SIMILAR_COST_SHARE` counts: about twice the fair share. */
const FULL_USAGE_STEPS = 4;

/** Cost of stopping the work, in core-seconds. Among similar costs, that of the account with more usage is the lowest. */
export function getStopCost(input: StopCostInput): number {
    const singleCost = input.lossCoreSeconds + (input.ignoresLateness ? 0 : getLatenessCost(input));
    const cost = singleCost * (1 + input.preemptions) + PREEMPTION_CORE_SECONDS * input.preemptions;
    const usageShare = Math.min(1, order.getUsageStep(input.urgency) / FULL_USAGE_STEPS);
    return cost / (1 + SIMILAR_COST_SHARE * usageShare);
}

function getLatenessCost({ urgency, elapsedMs, unsavedMs }: StopCostInput): number {
    const remainingMs = urgency.remainingMs - elapsedMs;
    const kept = order.getLatenessClass({ ...urgency, remainingMs });
    const stopped = order.getLatenessClass({
        ...urgency,
        remainingMs: remainingMs + unsavedMs + PREEMPTION_BACKOFF_MS,
    });
    return stopped > kept ? getLatenessPenalty(urgency.priority) : 0;
}

/**
 * Whether moving a task improves the lateness class of its job by more than the work that the move throws away.
 *
 * Otherwise every urgent task that would end sooner on another worker is moved, which throws work away without a benefit.
 */
export function isMoveWorthwhile(urgency: order.Urgency, times: speed.MoveTimes, lossCoreSeconds: number): boolean {
    const stays = order.getLatenessClass({ ...urgency, remainingMs: times.stayMs });
    const moves = order.getLatenessClass({ ...urgency, remainingMs: times.moveMs });
    return moves < stays && lossCoreSeconds < getLatenessPenalty(urgency.priority);
}

/** Cost of making a job of this priority late, in core-seconds. */
export function getLatenessPenalty(priority: number): number {
    return LATENESS_CORE_SECONDS[Math.min(priority, LATENESS_CORE_SECONDS.length - 1)]!;
}

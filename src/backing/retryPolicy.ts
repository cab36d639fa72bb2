import * as random from "../random/index";

/** Delays between attempts: exponential with an upper bound and full jitter. */
export interface RetryPolicy {
    /** Milliseconds to wait before the next attempt. `attempt` counts the failed attempts, from 1. */
    getDelay(attempt: number): number;
}

/**
 * Creates a policy with full jitter: each delay is drawn from the whole interval. Without jitter, instances that failed
 * at the same moment retry at the same moment and overload the store again when it returns; the rate of writes then
 * spikes at fixed intervals.
 */
export function createRetryPolicy(baseMs: number, maxMs: number, rng: random.Random): RetryPolicy {
    return {
        getDelay: attempt => {
            const maxDelayMs = Math.min(maxMs, baseMs * 2 ** Math.min(attempt, 20));
            return Math.max(1, Math.round(rng.nextFloat() * maxDelayMs));
        },
    };
}

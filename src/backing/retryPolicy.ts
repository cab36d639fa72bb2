import * as random from "../random/index";

/** Delays between attempts: exponential, capped, with full jitter. */
export interface RetryPolicy {
    /** Milliseconds to wait before the next attempt; the first failure is attempt 1. */
    getDelay(attempt: number): number;
}

/**
 * Full jitter: when the store comes back after an outage, instances that all failed at the same moment would retry
 * at the same moment too and bring it down again. One would notice it by writes a second that spike at fixed
 * intervals. Drawing each delay from the whole interval spreads them.
 */
export function createRetryPolicy(baseMs: number, maxMs: number, rng: random.Random): RetryPolicy {
    return {
        getDelay: attempt => {
            const ceiling = Math.min(maxMs, baseMs * 2 ** Math.min(attempt, 20));
            return Math.max(1, Math.round(rng.nextFloat() * ceiling));
        },
    };
}

/** Token buckets that limit the rate of each account's submissions at this instance. */
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";

/** Rate limits of all accounts. */
export interface RateLimit {
    /**
     * Returns 0 if the submission is admitted, and otherwise the milliseconds until the next one may be. `share` is the
     * fraction of the account's rate that this instance admits: one divided by the number of instances.
     */
    take(account: configuration.Account, share: number): number;
}

interface Bucket {
    tokens: number;
    refilledAt: number;
}

/** Creates the rate limits; each account starts with a full bucket. */
export function createRateLimit(time: clock.Clock): RateLimit {
    const buckets = new Map<string, Bucket>();
    return {
        take: (account, share) => {
            const now = time.now();
            const capacity = Math.max(1, account.burst * share);
            const tokensPerMs = account.ratePerSecond * share / 1000;
            const bucket = buckets.get(account.name) ?? { tokens: capacity, refilledAt: now };
            buckets.set(account.name, bucket);
            bucket.tokens = Math.min(capacity, bucket.tokens + (now - bucket.refilledAt) * tokensPerMs);
            bucket.refilledAt = now;
            if (bucket.tokens < 1) {
                return Math.ceil((1 - bucket.tokens) / tokensPerMs);
            }
            bucket.tokens--;
            return 0;
        },
    };
}

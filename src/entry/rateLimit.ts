/** Limits on the rate of one account's submissions at this instance. */
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";

export interface RateLimit {
    /** Milliseconds until the account may submit again; 0 when this submission is let through. */
    take(account: configuration.Account, share: number): number;
}

interface Bucket {
    tokens: number;
    refilledAt: number;
}

/** `share` is the part of the account's rate that this instance lets through: one over the number of instances. */
export function createRateLimit(time: clock.Clock): RateLimit {
    const buckets = new Map<string, Bucket>();
    return {
        take: (account, share) => {
            const now = time.now();
            const capacity = Math.max(1, account.burst * share);
            const perMs = account.ratePerSecond * share / 1000;
            const bucket = buckets.get(account.name) ?? { tokens: capacity, refilledAt: now };
            buckets.set(account.name, bucket);
            bucket.tokens = Math.min(capacity, bucket.tokens + (now - bucket.refilledAt) * perMs);
            bucket.refilledAt = now;
            if (bucket.tokens < 1) {
                return Math.ceil((1 - bucket.tokens) / perMs);
            }
            bucket.tokens--;
            return 0;
        },
    };
}

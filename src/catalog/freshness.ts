/**
 * Whether the configuration in force here may still be used.
 *
 * What goes wrong without it: an instance whose reads of the configuration fail, or take too long, goes on under the
 * one that it read last. Keys and queues that were taken away go on working there, and new ones are denied, for as long
 * as that lasts. One notices callers that are answered differently from instance to instance.
 *
 * A read that has come whole holds all that was confirmed before it was asked for. So an instance knows the moment as
 * of which it is up to date; once that is longer ago than a change may take to be in force everywhere, a change may be
 * due that is not in force here, whatever the reason, and the instance stops deciding by what it has.
 */
import type * as observe from "../observe/index";

export interface FreshnessOptions {
    readonly log: observe.Log;
    /** Version in force here; `undefined`: none yet. */
    getVersion(): number | undefined;
    /** Milliseconds since the moment as of which the configuration is known for certain. */
    getAgeMs(): number;
    /** How long after its confirmation a change may take to be in force everywhere. */
    getMaxAgeMs(): number;
}

export interface Freshness {
    isFresh(): boolean;
}

export function createFreshness(options: FreshnessOptions): Freshness {
    let wasFresh = true;
    return {
        isFresh: () => {
            const version = options.getVersion();
            const ageMs = options.getAgeMs();
            const mostMs = options.getMaxAgeMs();
            const isFresh = ageMs <= mostMs;
            if (version !== undefined && isFresh !== wasFresh) {
                wasFresh = isFresh;
                const fields = { version, ageMs: Math.round(ageMs), mostMs };
                if (isFresh) {
                    options.log.info("configurationFresh", fields);
                }
                else {
                    options.log.warn("configurationStale", fields);
                }
            }
            return isFresh;
        },
    };
}

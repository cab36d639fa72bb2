/**
 * Decides whether the configuration in force here may still be used.
 *
 * An instance whose reads of the configuration fail or take too long would otherwise keep using the last one: removed
 * keys and queues would go on working there and new ones be denied, and callers would be answered differently by
 * different instances.
 *
 * A complete read contains all changes that were confirmed before it was requested, so an instance knows when it was
 * last up to date. Once that is longer ago than a change may take to be in force everywhere, it may have missed a
 * change for whatever reason, and it stops serving requests under its configuration.
 */
import type * as observe from "../observe/index";

/** Inputs of the freshness check. */
export interface FreshnessOptions {
    readonly log: observe.Log;
    /** Version in force here; `undefined` before the first. */
    getVersion(): number | undefined;
    /** Milliseconds since the configuration was certainly current. */
    getAgeMs(): number;
    /** Maximum time from the confirmation of a change until it is in force everywhere. */
    getMaxAgeMs(): number;
}

/** Whether the configuration may be used. */
export interface Freshness {
    isFresh(): boolean;
}

/** Creates the check; it logs each change between fresh and stale once a configuration is in force. */
export function createFreshness(options: FreshnessOptions): Freshness {
    let wasFresh = true;
    return {
        isFresh: () => {
            const version = options.getVersion();
            const ageMs = options.getAgeMs();
            const maxAgeMs = options.getMaxAgeMs();
            const isFresh = ageMs <= maxAgeMs;
            if (version !== undefined && isFresh !== wasFresh) {
                wasFresh = isFresh;
                const fields = { version, ageMs: Math.round(ageMs), mostMs: maxAgeMs };
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

/**
 * Tracks whether the store is reachable from this instance, from the outcomes of all calls.
 *
 * Otherwise every request would wait for its own timeouts while the store is silent, and could not be refused, since
 * its write may have been carried out. Once a call has gone unanswered, later requests are refused before anything is
 * sent: the refusal is certain and immediate. Probes detect when the store is reachable again.
 */
import type * as clock from "../clock/index";
import type * as rows from "./rowStore";

/** Reachability and latency of the store. */
export interface StoreHealth {
    /** The store; each call through it updates the health. */
    readonly store: rows.RowStore;
    /**
     * Milliseconds for which the store has been unreachable: from the first call without an answer, or the third
     * failure in a row, to the next answer. `undefined` while it is reachable.
     */
    getUnreachableMs(): number | undefined;
    /** Milliseconds since the last successful answer; `Infinity` before the first one. */
    getTimeSinceAnswerMs(): number;
    /** Milliseconds that the latest answered call took, long polls excepted; 0 before the first one. */
    getLatencyMs(): number;
}

/** The store, how to probe it, and whom to notify. */
export interface StoreHealthOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly signal: AbortSignal;
    /** Range that probes read one row of; should be a small table. */
    readonly probe: rows.RowRange;
    onUnreachable(why: string): void;
    onReachable(unreachableMs: number): void;
}

/** A single refusal may come from the store's rate limit and does not mean an outage. */
const MAX_REFUSALS = 3;
const PROBE_INTERVAL_MS = 200;
/** A rate limit clears within moments; a store that is unreachable still fails after this pause. */
const CHECK_DELAY_MS = 100;
/** An answer takes 5 ms, or 300 ms if the store is 60 times slower. */
const PROBE_TIMEOUT_MS = 500;
/** Added to twice the latency: a write without an answer for longer was sent while the store was silent. */
const WRITE_SLACK_MS = 100;

/** Creates the health of a store that counts as reachable at first. */
export function createStoreHealth(options: StoreHealthOptions): StoreHealth {
    const { store, clock: time } = options;
    let failures = 0;
    let unreachableSince: number | undefined;
    let checking = false;
    /** Pending writes: the function that abandons each, and when it was sent. */
    const pendingWrites = new Map<() => void, number>();

    const recordSuccess = () => {
        failures = 0;
        if (unreachableSince !== undefined) {
            const unreachableMs = time.now() - unreachableSince;
            unreachableSince = undefined;
            options.onReachable(unreachableMs);
            abandonSilentWrites();
        }
    };
    const recordFailure = (weight: number, why: string, sentAt: number) => {
        if (unreachableSince !== undefined || lastAnsweredAt > sentAt) {
            return;
        }
        failures += weight;
        if (failures < MAX_REFUSALS) {
            void check();
            return;
        }
        unreachableSince = time.now();
        options.onUnreachable(why);
        void probe();
    };
    let lastAnsweredAt = -Infinity;
    let latencyMs = 0;
    const recordLatency = (kind: "answered" | "refused" | "silent", sentAt: number) => {
        if (kind === "answered") {
            latencyMs = time.now() - sentAt;
        }
    };
    /**
     * A write that was sent while the store was silent is usually never answered, and waiting for it would delay its
     * sender's next write by most of a second. A write to a slow store is given time.
     */
    const abandonSilentWrites = () => {
        const sentBefore = time.now() - WRITE_SLACK_MS - 2 * latencyMs;
        for (const [abandon, sentAt] of [...pendingWrites]) {
            if (sentAt < sentBefore) {
                abandon();
            }
        }
    };
    const recordOutcome = (kind: "answered" | "refused" | "silent", why: string, sentAt: number) => {
        switch (kind) {
            case "answered":
                lastAnsweredAt = time.now();
                recordSuccess();
                break;
            case "refused":
                recordFailure(1, why, sentAt);
                break;
            case "silent":
                recordFailure(MAX_REFUSALS, why, sentAt);
                break;
        }
    };
    /**
     * Sends a separate call after a failure: one failed poll may only mean a silent connection or a rate limit. Without
     * it an instance that only polls would need three polls, about 5 s, to notice that it is cut off, and the load
     * balancer would send it callers meanwhile.
     */
    const check = async () => {
        if (checking) {
            return;
        }
        checking = true;
        await time.sleep(CHECK_DELAY_MS, options.signal);
        const sentAt = time.now();
        const outcome = await store.read({ ...options.probe, limit: 1 }, PROBE_TIMEOUT_MS);
        checking = false;
        if (outcome.kind === "read") {
            recordOutcome("answered", "", sentAt);
            return;
        }
        const silent = time.now() - sentAt >= PROBE_TIMEOUT_MS;
        recordOutcome(silent ? "silent" : "refused", outcome.message, sentAt);
    };
    const probe = async () => {
        while (unreachableSince !== undefined && !options.signal.aborted) {
            const pause = time.sleep(PROBE_INTERVAL_MS, options.signal);
            void health.store.read({ ...options.probe, limit: 1 }, PROBE_TIMEOUT_MS);
            await pause;
        }
    };

    /** Resolves with `undefined` if the write is abandoned first. */
    const awaitWrite = <T>(write: Promise<T>, sentAt: number): Promise<T | undefined> =>
        new Promise(resolve => {
            const finish = (outcome?: T) => {
                pendingWrites.delete(finish);
                resolve(outcome);
            };
            pendingWrites.set(finish, sentAt);
            void write.then(finish);
        });

    const health: StoreHealth = {
        getUnreachableMs: () => unreachableSince === undefined ? undefined : time.now() - unreachableSince,
        getTimeSinceAnswerMs: () => time.now() - lastAnsweredAt,
        getLatencyMs: () => latencyMs,
        store: {
            transact: async (tx, timeoutMs) => {
                const sentAt = time.now();
                const outcome = await awaitWrite(store.transact(tx, timeoutMs), sentAt);
                if (!outcome) {
                    return { kind: "unknown", message: "no answer before the store came back" };
                }
                const why = outcome.kind === "refused" || outcome.kind === "unknown" ? outcome.message : "";
                const kind = outcome.kind === "refused"
                    ? "refused"
                    : outcome.kind === "unknown"
                    ? "silent"
                    : "answered";
                recordLatency(kind, sentAt);
                recordOutcome(kind, why, sentAt);
                return outcome;
            },
            read: async (...call) => {
                const sentAt = time.now();
                const outcome = await store.read(...call);
                const failed = outcome.kind === "unavailable";
                recordLatency(failed ? "refused" : "answered", sentAt);
                recordOutcome(failed ? "refused" : "answered", failed ? outcome.message : "", sentAt);
                return outcome;
            },
            feed: async (...call) => {
                const sentAt = time.now();
                const outcome = await store.feed(...call);
                const failed = outcome.kind === "unavailable";
                const [, , waitMs] = call;
                if (waitMs === 0) {
                    recordLatency(failed ? "refused" : "answered", sentAt);
                }
                // A poll may fail because only its connection went silent, so it counts as one refusal.
                recordOutcome(failed ? "refused" : "answered", failed ? outcome.message : "", sentAt);
                return outcome;
            },
        },
    };
    return health;
}

/**
 * Whether the store can be reached from here, learned from all calls.
 *
 * What goes wrong without it: while the store is silent, every request waits for its own timeouts, and since its
 * write may have been carried out it cannot even be refused. One notices requests that are held until their deadline.
 * Once a call has gone unanswered, later ones are refused before anything is sent, which is true and immediate; a
 * probe finds the store's return.
 */
import type * as clock from "../clock/index";
import type * as rows from "./index";

export interface StoreHealth {
    /** The store, with each call's outcome taken note of. */
    readonly store: rows.RowStore;
    /** How long the store has been away, in milliseconds: from the first call without an answer, or some refusals in
     * a row, until the next answer. `undefined` while it can be reached. */
    getAwayMs(): number | undefined;
    /** Milliseconds since the store last answered; `Infinity` before its first answer. */
    getSilenceMs(): number;
    /** How long the latest call that was answered took, but for polls that wait for a change. */
    getAnswerMs(): number;
}

export interface StoreHealthOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly signal: AbortSignal;
    /** What a probe reads: a small table. */
    readonly probe: rows.RowRange;
    onUnreachable(why: string): void;
    onReachable(awayMs: number): void;
}

/** A single refusal is the store's limit on calls, not its absence. */
const REFUSALS_IN_ROW = 3;
const PROBE_EVERY_MS = 200;
/** A limit on calls holds for moments; a store that turns us away does so still. */
const CHECK_PAUSE_MS = 100;
/** An answer takes 5 ms, of a store that is 60 times slower 300 ms. */
const PROBE_TIMEOUT_MS = 500;
/** Beside twice what the store takes to answer: a write without an answer for longer went out in silence. */
const WRITE_SLACK_MS = 100;

export function createStoreHealth(options: StoreHealthOptions): StoreHealth {
    const { store, clock: time } = options;
    let failures = 0;
    let awaySince: number | undefined;
    let checking = false;
    /** Writes without an answer yet: when each was sent, and what gives it up. */
    const openWrites = new Map<() => void, number>();

    const succeed = () => {
        failures = 0;
        if (awaySince !== undefined) {
            const awayMs = time.now() - awaySince;
            awaySince = undefined;
            options.onReachable(awayMs);
            giveUpSilentWrites();
        }
    };
    const fail = (weight: number, why: string, sentAt: number) => {
        if (awaySince !== undefined || lastSuccessAt > sentAt) {
            return;
        }
        failures += weight;
        if (failures < REFUSALS_IN_ROW) {
            void check();
            return;
        }
        awaySince = time.now();
        options.onUnreachable(why);
        void probe();
    };
    let lastSuccessAt = -Infinity;
    let answerMs = 0;
    const takeAnswerTime = (kind: "answered" | "refused" | "silent", sentAt: number) => {
        if (kind === "answered") {
            answerMs = time.now() - sentAt;
        }
    };
    /**
     * A write that went out while the store was silent is not answered any more, as a rule; waiting for it holds up what
     * its caller has to write next by most of a second. One at a store that is slow is given its time.
     */
    const giveUpSilentWrites = () => {
        const sentBefore = time.now() - WRITE_SLACK_MS - 2 * answerMs;
        for (const [giveUp, sentAt] of [...openWrites]) {
            if (sentAt < sentBefore) {
                giveUp();
            }
        }
    };
    const takeNote = (kind: "answered" | "refused" | "silent", why: string, sentAt: number) => {
        switch (kind) {
            case "answered":
                lastSuccessAt = time.now();
                succeed();
                break;
            case "refused":
                fail(1, why, sentAt);
                break;
            case "silent":
                fail(REFUSALS_IN_ROW, why, sentAt);
                break;
        }
    };
    /**
     * One failed poll may be a connection that fell silent by itself, or a limit on calls; a call of its own decides.
     * Without it an instance that asks for nothing else needs three polls, some 5 s, to notice that it is cut off,
     * and the balancer sent it callers all the while.
     */
    const check = async () => {
        if (checking) {
            return;
        }
        checking = true;
        await time.sleep(CHECK_PAUSE_MS, options.signal);
        const sentAt = time.now();
        const outcome = await store.read({ ...options.probe, limit: 1 }, PROBE_TIMEOUT_MS);
        checking = false;
        if (outcome.kind === "read") {
            takeNote("answered", "", sentAt);
            return;
        }
        const silent = time.now() - sentAt >= PROBE_TIMEOUT_MS;
        takeNote(silent ? "silent" : "refused", outcome.message, sentAt);
    };
    const probe = async () => {
        while (awaySince !== undefined && !options.signal.aborted) {
            const pause = time.sleep(PROBE_EVERY_MS, options.signal);
            void health.store.read({ ...options.probe, limit: 1 }, PROBE_TIMEOUT_MS);
            await pause;
        }
    };

    /** Resolves with nothing when the write is given up first. */
    const awaitWrite = <T>(write: Promise<T>, sentAt: number): Promise<T | undefined> =>
        new Promise(resolve => {
            const finish = (outcome?: T) => {
                openWrites.delete(finish);
                resolve(outcome);
            };
            openWrites.set(finish, sentAt);
            void write.then(finish);
        });

    const health: StoreHealth = {
        getAwayMs: () => awaySince === undefined ? undefined : time.now() - awaySince,
        getSilenceMs: () => time.now() - lastSuccessAt,
        getAnswerMs: () => answerMs,
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
                takeAnswerTime(kind, sentAt);
                takeNote(kind, why, sentAt);
                return outcome;
            },
            read: async (...call) => {
                const sentAt = time.now();
                const outcome = await store.read(...call);
                const failed = outcome.kind === "unavailable";
                takeAnswerTime(failed ? "refused" : "answered", sentAt);
                takeNote(failed ? "refused" : "answered", failed ? outcome.message : "", sentAt);
                return outcome;
            },
            feed: async (...call) => {
                const sentAt = time.now();
                const outcome = await store.feed(...call);
                const failed = outcome.kind === "unavailable";
                const [, , waitMs] = call;
                if (waitMs === 0) {
                    takeAnswerTime(failed ? "refused" : "answered", sentAt);
                }
                // A poll may have waited on a connection that fell silent by itself, so it weighs as one refusal.
                takeNote(failed ? "refused" : "answered", failed ? outcome.message : "", sentAt);
                return outcome;
            },
        },
    };
    return health;
}

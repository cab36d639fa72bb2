/**
 * Renews the lease of a term: together with any write of the leader when a renewal is due, or in a transaction of its
 * own.
 *
 * The store serializes the transactions on the leader's part. If it is 98 times slower, each occupies the part for half
 * a second and is answered after a second. Renewals that wait for the previous one and for writes of progress then time
 * out, and a healthy leader loses its lease; this shows as "leaseNotRenewed" and takeovers while the store answers. So
 * a renewal is conditional only on the row of the token, which allows several in flight; it is combined with other
 * writes, which saves transactions; and it requests a longer lease when the store is slow.
 */
import * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import type * as rows from "../../rows/index";

/** Duration of the lease at a store that answers in normal time: unchanged for this long, it may be taken over. */
export const LEASE_MS = 1_600;
/** The holder stops this much earlier, to allow for a clock drift of 2% and the delivery of its last order. */
const LEASE_MARGIN_MS = 250;
/** Longest normal answer time. For slower answers the lease is extended by `ANSWERS_IN_LEASE` answer times. */
const USUAL_ANSWER_MS = 50;
const ANSWERS_IN_LEASE = 2;
/** Maximum lease duration: how long a failover may wait when a leader is lost while the store is slow. */
const MAX_LEASE_MS = 4_000;
/** Interval of renewals: three fit into a lease. A renewal takes 10 ms. */
const RENEWAL_INTERVAL_MS = 500;
const RETRY_PAUSE_MS = 100;
/** A renewal without an answer for this long is overdue; it usually takes about a tenth of this. */
const OVERDUE_AFTER_MS = 150;
const CALL_TIMEOUT_MS = 700;
/** Maximum entries of a transaction, of which a renewal takes one. */
const MAX_TRANSACTION_ENTRIES = 100;

export interface RenewalsOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    /** Row of the term's fencing token: no write of the term succeeds once another leader has changed the row. */
    readonly guard: rows.RowCondition;
    /** When the write that acquired the lease was sent. */
    readonly sentAt: clock.Timestamp;
    /** Creates the row of a lease of this duration. */
    createRow(leaseMs: number): rows.RowPut;
    /** The row has been written. */
    onRenewed(row: rows.RowPut, version: number): void;
    /** The store holds another leader's token. */
    onSuperseded(reason: string): void;
    /** A renewal has been unanswered for too long: the store may be unreachable. */
    onOverdue(): void;
}

/** Writes and renewals of one term. */
export interface Renewals {
    /** Performs a write under the term's guard, combined with a renewal of the lease if one is due. */
    transact(
        store: rows.RowStore,
        tx: Partial<rows.RowTransaction>,
        timeoutMs: number,
    ): Promise<rows.TransactResult>;
    /** Renews the lease in a transaction of its own, without waiting for the answer. */
    send(store: rows.RowStore): void;
    /** Milliseconds until a renewal is due; 0 or less if it is due now. */
    getMsUntilDue(): number;
    /** How much longer the term may issue orders, in milliseconds. */
    getRemainingMs(): number;
    isOverdue(): boolean;
}

interface SentRenewal {
    readonly sentAt: clock.Timestamp;
    readonly leaseMs: number;
}

export function createRenewals(options: RenewalsOptions): Renewals {
    const { clock: time, log } = options;
    const first: SentRenewal = { sentAt: options.sentAt, leaseMs: LEASE_MS };
    /** The last renewal that was applied. */
    let lastApplied = first;
    /** The last renewal that was sent. */
    let lastSent = first;
    /** Renewals without an answer. */
    const inFlight = new Set<SentRenewal>();
    let nextAt = first.sentAt.monotonicMs + RENEWAL_INTERVAL_MS;
    /** Send time and answer time of the latest call that was answered. */
    let answeredSentAt = first.sentAt.monotonicMs;
    let answerMs = 0;

    const recordAnswer = (sentAt: number, outcome: rows.TransactResult) => {
        if ((outcome.kind === "committed" || outcome.kind === "conflict") && sentAt >= answeredSentAt) {
            answeredSentAt = sentAt;
            answerMs = time.now() - sentAt;
        }
    };
    /**
     * Estimates the present answer time. An unanswered renewal counts with the time it has been in flight, unless a
     * later call was answered: then its answer is lost and the store is not slow.
     */
    const getAnswerMs = () => {
        const openSince = [...inFlight].map(sent => sent.sentAt.monotonicMs).filter(sentAt => sentAt > answeredSentAt);
        return Math.max(answerMs, ...openSince.map(sentAt => time.now() - sentAt));
    };
    /**
     * A lease never ends before the previous one: the holder relies on the latest renewal that it knows to be applied,
     * a successor on the latest that was applied.
     */
    const getLeaseMs = (now: number) => {
        const slowMs = getAnswerMs();
        const wantedMs = slowMs > USUAL_ANSWER_MS ? LEASE_MS + ANSWERS_IN_LEASE * slowMs : LEASE_MS;
        const leftOfLastMs = lastSent.sentAt.monotonicMs + lastSent.leaseMs - now;
        return Math.round(Math.max(Math.min(wantedMs, MAX_LEASE_MS), leftOfLastMs));
    };
    const startRenewal = () => {
        const sentAt = clock.getTimestamp(time);
        const sent: SentRenewal = { sentAt, leaseMs: getLeaseMs(sentAt.monotonicMs) };
        inFlight.add(sent);
        lastSent = sent;
        nextAt = sentAt.monotonicMs + RENEWAL_INTERVAL_MS;
        const cancelLate = time.setTimer(OVERDUE_AFTER_MS, options.onOverdue);
        const row = options.createRow(sent.leaseMs);
        return {
            row,
            settle: (outcome: rows.TransactResult) => {
                cancelLate();
                inFlight.delete(sent);
                recordAnswer(sent.sentAt.monotonicMs, outcome);
                settle(sent, row, outcome);
            },
        };
    };
    const settle = (sent: SentRenewal, row: rows.RowPut, outcome: rows.TransactResult) => {
        switch (outcome.kind) {
            case "committed":
                if (sent.sentAt.monotonicMs >= lastApplied.sentAt.monotonicMs) {
                    lastApplied = sent;
                }
                options.onRenewed(row, outcome.version);
                break;
            case "conflict": {
                const { guard } = options;
                const token = outcome.rows.find(found => found.table === guard.table && found.key === guard.key);
                if (token?.version !== guard.version) {
                    options.onSuperseded("the store holds another leader's fencing token");
                }
                break;
            }
            case "refused":
            case "unknown":
                log.warn("leaseNotRenewed", { why: outcome.message, leftMs: Math.round(renewals.getRemainingMs()) });
                nextAt = Math.min(nextAt, time.now() + RETRY_PAUSE_MS);
                break;
        }
    };
    const renewals: Renewals = {
        transact: async (store, { conditions = [], puts = [], removals = [] }, timeoutMs) => {
            const guarded = [options.guard, ...conditions];
            const mayRenew = guarded.length + puts.length + removals.length < MAX_TRANSACTION_ENTRIES;
            const renewal = mayRenew && renewals.getMsUntilDue() <= 0 ? startRenewal() : undefined;
            const sentAt = time.now();
            const outcome = await store.transact({
                conditions: guarded,
                puts: renewal ? [...puts, renewal.row] : puts,
                removals,
            }, timeoutMs + ANSWERS_IN_LEASE * answerMs);
            recordAnswer(sentAt, outcome);
            renewal?.settle(outcome);
            return outcome;
        },
        send: store => {
            const { row, settle: settleOne } = startRenewal();
            const timeoutMs = CALL_TIMEOUT_MS + ANSWERS_IN_LEASE * getAnswerMs();
            void store.transact({ conditions: [options.guard], puts: [row], removals: [] }, timeoutMs).then(settleOne);
        },
        getMsUntilDue: () => nextAt - time.now(),
        getRemainingMs: () => lastApplied.leaseMs - LEASE_MARGIN_MS - clock.getElapsedMs(time, lastApplied.sentAt),
        isOverdue: () => time.now() - lastApplied.sentAt.monotonicMs >= RENEWAL_INTERVAL_MS + OVERDUE_AFTER_MS,
    };
    return renewals;
}

/**
 * How a term's lease is renewed: with whatever the leader writes when a renewal is due, or by itself.
 *
 * What goes wrong otherwise: the store takes the transactions of the leader's part one after another, and at a store
 * that is 98 times slower each holds it for half a second and is answered after a second. Renewals that wait for the one
 * before, and behind writes of progress, are given up too soon, and the lease lapses under a leader that is well. One
 * notices "leaseNotRenewed" beside a store that answers, and takeovers. So a renewal depends on the row of the token
 * alone, which lets it go out while another is under way; it rides on other writes, which leaves the part room; and the
 * lease that it asks for lasts longer where the store answers late.
 */
import * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";

/** Unchanged for this long, the lease is another's to take, at a store that answers as usual. */
export const LEASE_MS = 1_600;
/** The holder stops this much earlier: clocks that differ by 2%, and the way of a last order. */
const LEASE_MARGIN_MS = 250;
/** Answers that take no longer are usual; of longer ones so many fit into what a lease lasts longer. */
const USUAL_ANSWER_MS = 50;
const ANSWERS_IN_LEASE = 2;
/** The longest lease: a leader that is lost while the store is slow is waited for so long. */
const MOST_LEASE_MS = 4_000;
/** A renewal takes 10 ms; three of them fit into a lease. */
const RENEW_EVERY_MS = 500;
const RETRY_PAUSE_MS = 100;
/** Without an answer for this long a renewal is late: ten times what it takes as a rule. */
const LATE_MS = 150;
const CALL_TIMEOUT_MS = 700;
/** Of the entries of a transaction a renewal takes one. */
const MOST_ENTRIES = 100;

export interface RenewalsOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    /** Row of the term's fencing token: no write of the term succeeds once another leader has changed it. */
    readonly guard: rows.RowCondition;
    /** When the write that won the lease was sent. */
    readonly sentAt: clock.Timestamp;
    /** The lease's row, for a lease of this length. */
    createRow(leaseMs: number): rows.RowPut;
    /** The row was written. */
    onRenewed(row: rows.RowPut, version: number): void;
    /** Another leader's token stands in the store. */
    onSuperseded(reason: string): void;
    /** A renewal has had no answer for a while: the store may be out of reach. */
    onOverdue(): void;
}

export interface Renewals {
    /** Carries out a write of the term under its guard, and renews the lease with it if that is due. */
    transact(
        store: rows.RowStore,
        tx: Partial<rows.RowTransaction>,
        timeoutMs: number,
    ): Promise<rows.TransactResult>;
    /** Renews the lease by itself; does not wait for the answer. */
    send(store: rows.RowStore): void;
    /** Milliseconds until a renewal is due; at most 0: now. */
    getMsUntilDue(): number;
    /** How much longer the term may give orders. */
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
    /** The latest one that was carried out, the latest one that was sent, and all that have no answer yet. */
    let renewed = first;
    let lastSent = first;
    const open = new Set<SentRenewal>();
    let nextAt = first.sentAt.monotonicMs + RENEW_EVERY_MS;
    /** Of the latest call that was answered: when it was sent, and how long it took. */
    let answeredSentAt = first.sentAt.monotonicMs;
    let answerMs = 0;

    const takeAnswer = (sentAt: number, outcome: rows.TransactResult) => {
        if ((outcome.kind === "committed" || outcome.kind === "conflict") && sentAt >= answeredSentAt) {
            answeredSentAt = sentAt;
            answerMs = time.now() - sentAt;
        }
    };
    /**
     * What an answer takes now, as far as is known: a renewal without one counts for as long as it has been open, unless a
     * later call was answered; then its answer is lost, and the store is not slow.
     */
    const getAnswerMs = () => {
        const openSince = [...open].map(sent => sent.sentAt.monotonicMs).filter(sentAt => sentAt > answeredSentAt);
        return Math.max(answerMs, ...openSince.map(sentAt => time.now() - sentAt));
    };
    /**
     * Ends no sooner than the one before: the holder counts on the latest that it knows of, a successor on the latest that
     * was carried out.
     */
    const getLeaseMs = (now: number) => {
        const slowMs = getAnswerMs();
        const wantedMs = slowMs > USUAL_ANSWER_MS ? LEASE_MS + ANSWERS_IN_LEASE * slowMs : LEASE_MS;
        const leftOfLastMs = lastSent.sentAt.monotonicMs + lastSent.leaseMs - now;
        return Math.round(Math.max(Math.min(wantedMs, MOST_LEASE_MS), leftOfLastMs));
    };
    const begin = () => {
        const sentAt = clock.getTimestamp(time);
        const sent: SentRenewal = { sentAt, leaseMs: getLeaseMs(sentAt.monotonicMs) };
        open.add(sent);
        lastSent = sent;
        nextAt = sentAt.monotonicMs + RENEW_EVERY_MS;
        const cancelLate = time.setTimer(LATE_MS, options.onOverdue);
        const row = options.createRow(sent.leaseMs);
        return {
            row,
            settle: (outcome: rows.TransactResult) => {
                cancelLate();
                open.delete(sent);
                takeAnswer(sent.sentAt.monotonicMs, outcome);
                settle(sent, row, outcome);
            },
        };
    };
    const settle = (sent: SentRenewal, row: rows.RowPut, outcome: rows.TransactResult) => {
        switch (outcome.kind) {
            case "committed":
                if (sent.sentAt.monotonicMs >= renewed.sentAt.monotonicMs) {
                    renewed = sent;
                }
                options.onRenewed(row, outcome.version);
                break;
            case "conflict": {
                const { guard } = options;
                const token = outcome.rows.find(found => found.table === guard.table && found.key === guard.key);
                if (token?.version !== guard.version) {
                    options.onSuperseded("another leader's token stands in the store");
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
            const mayRenew = guarded.length + puts.length + removals.length < MOST_ENTRIES;
            const renewal = mayRenew && renewals.getMsUntilDue() <= 0 ? begin() : undefined;
            const sentAt = time.now();
            const outcome = await store.transact({
                conditions: guarded,
                puts: renewal ? [...puts, renewal.row] : puts,
                removals,
            }, timeoutMs + ANSWERS_IN_LEASE * answerMs);
            takeAnswer(sentAt, outcome);
            renewal?.settle(outcome);
            return outcome;
        },
        send: store => {
            const { row, settle: settleOne } = begin();
            const timeoutMs = CALL_TIMEOUT_MS + ANSWERS_IN_LEASE * getAnswerMs();
            void store.transact({ conditions: [options.guard], puts: [row], removals: [] }, timeoutMs).then(settleOne);
        },
        getMsUntilDue: () => nextAt - time.now(),
        getRemainingMs: () => renewed.leaseMs - LEASE_MARGIN_MS - clock.getElapsedMs(time, renewed.sentAt),
        isOverdue: () => time.now() - renewed.sentAt.monotonicMs >= RENEW_EVERY_MS + LATE_MS,
    };
    return renewals;
}

/**
 * Which instance leads: a row with holder, fencing token and counts, won and renewed by compare-and-swap.
 *
 * The token, which workers check, is what protects; the lease only keeps instances from taking over from each other
 * without need. The holder trusts its lease from the moment it *sent* the renewal, by the clock that lost most time:
 * a machine that was suspended wakes up with a monotonic clock that did not count the pause, and would give orders
 * that its successor has already given.
 */
import * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";
import * as heldLease from "./heldLease";
import * as holderWatch from "./holderMonitor";
import * as leaseRecord from "./leaseRecord";
import * as renewals from "./renewals";
import * as waitingCounts from "./waitingCounts";

export interface LeaseObservation {
    readonly record: leaseRecord.LeaseRecord;
    readonly version: number;
    /** Monotonic time at which this version was first seen. */
    readonly seenAt: number;
}

export interface LeaseOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly instance: string;
    /** Unique to this life of the process. */
    readonly life: string;
    /** Where other instances watch this process; empty: nowhere. */
    readonly watchAddress: string;
    /** Where this instance takes requests that others pass on; empty: nowhere. */
    readonly peerAddress: string;
    /** Watches the holder's process; `onGone`: it is gone for certain. */
    watchHolder(address: string, onGone: () => void): holderWatch.ProcessWatch;
    /** Processor time that this instance gets, in cores. */
    readonly power: number;
    readonly signal: AbortSignal;
    getWaitingCounts(): Readonly<Record<string, number>> | undefined;
    /** A renewal has had no answer for a while: the store may be out of reach. */
    onRenewalOverdue(): void;
    onElected(leadership: heldLease.Leadership): void;
}

export interface Lease {
    getObservation(): LeaseObservation | undefined;
    isLeading(): boolean;
    /** Ends the term when another leader's token was met. */
    endTerm(reason: string): void;
    /** The term that this instance could give up; `undefined`: it does not lead. */
    getOffer(): { readonly holder: string; readonly token: number; } | undefined;
    /** Whether this instance leads and could not renew its lease when it was due. */
    isRenewalLate(): boolean;
    /** Ends the term for a successor that is told so without the store. */
    cede(): void;
    /** Takes the lease over from a term whose holder has said that it is over. */
    takeFrom(token: number): void;
    /** Gives the lease back, so that a successor need not wait for it to lapse. */
    release(): Promise<void>;
}

/** Of a holder whose heartbeats have ended as well: one renewal is missing. */
const SILENT_LEASE_MS = 900;
/** After a loss of the store a follower leaves the holder this long to renew first: a takeover costs a look at all. */
const RETURN_MS = 1_200;
/** A machine with this many times the holder's processor time takes the lead over. */
const MUCH_STRONGER = 2;
/** Only an instance that has seen the store for this long does: not right after a start or an outage. */
const STEADY_MS = 3_000;
/** A machine with a whole core leads without waiting; one with a third of it leaves others 0.3 s. */
const STRONG_CORES = 1;
const MOST_YIELD_MS = 450;
const CALL_TIMEOUT_MS = 700;
const TICK_MS = 100;

/** Follows the lease's row, takes the lease when it is free, and renews it while this instance leads. */
export function createLease(options: LeaseOptions): Lease {
    const { clock: time, log } = options;
    let observed: LeaseObservation | undefined;
    let knowsTable = false;
    let contactSince: number | undefined;
    let term: heldLease.HeldLease | undefined;
    let released = false;
    /** Token of a term whose holder has said that it is over; the same process may lead again under another. */
    let cededToken: number | undefined;
    let wake: (() => void) | undefined;
    const holder = holderWatch.createHolderMonitor({
        clock: time,
        log,
        life: options.life,
        watchHolder: options.watchHolder,
        onExit: () => wake?.(),
    });

    const observe = (row: rows.Row) => {
        if (row.key !== leaseRecord.LEASE_KEY.key || row.version <= (observed?.version ?? 0)) {
            return;
        }
        observed = { record: leaseRecord.decodeRecord(row.value), version: row.version, seenAt: time.now() };
        holder.follow(observed.record);
        if (observed.record.holder === "") {
            wake?.();
        }
        if (term && observed.record.token > term.leadership.token) {
            endTerm(`instance ${observed.record.instance} holds token ${observed.record.token}`);
        }
    };
    const endTerm = (reason: string) => {
        if (term) {
            log.warn("leadershipLost", { token: term.leadership.token, reason });
            term.controller.abort();
            term = undefined;
        }
    };
    rows.followTable({
        store: options.store,
        clock: time,
        log,
        meter: options.meter,
        table: work.Table.LeaderLease,
        part: work.LEADER_PART,
        signal: options.signal,
        onSnapshot: all => {
            knowsTable = true;
            all.forEach(observe);
        },
        onChanges: changes => changes.filter(row => !row.removed).forEach(observe),
        onReadSucceeded: () => {
            contactSince ??= time.now();
        },
        onReadFailed: () => {
            contactSince = undefined;
        },
    });

    /** Since when the lease could be had; a weak instance leaves it to stronger ones for a moment. */
    let freeSince: number | undefined;
    const mayTake = (): boolean => {
        if (contactSince === undefined || (!isFree() && !isMuchStronger())) {
            freeSince = undefined;
            return false;
        }
        freeSince ??= time.now();
        return time.now() - freeSince >= getYieldMs(options.power);
    };
    /**
     * A leader on a weak machine is succeeded by a strong one: it falls behind under load, takes its own backlog for
     * unanswered orders and stops sound work, which costs more than a takeover.
     */
    const isMuchStronger = (): boolean =>
        observed !== undefined && contactSince !== undefined
        && observed.record.holder !== ""
        && options.power >= MUCH_STRONGER * observed.record.power
        && time.now() - contactSince >= STEADY_MS
        && time.now() - observed.seenAt < observed.record.leaseMs;
    /** Whether the last holder is certain to be over: it gave the lease back or up, or was an earlier life of this one. */
    const isHolderOver = ({ record }: LeaseObservation) =>
        record.holder === "" || record.instance === options.instance || record.token === cededToken;
    /**
     * A machine that loses power, or a cut, ends both the renewals and the heartbeats; a slow store delays the renewals
     * only. The fencing token makes a takeover safe at any time, so that both together are enough to be sooner.
     */
    const getShortenedMs = () => holder.hasMissedHeartbeats() ? renewals.LEASE_MS - SILENT_LEASE_MS : 0;
    const isFree = (): boolean => {
        if (!observed) {
            return true;
        }
        if (isHolderOver(observed) || holder.hasExited(observed.record)) {
            return true;
        }
        const now = time.now();
        const { leaseMs } = observed.record;
        return now - observed.seenAt >= leaseMs - getShortenedMs() && contactSince !== undefined
            && now - contactSince >= RETURN_MS;
    };
    const createRecord = (
        token: number,
        othersSilentAt: number,
        leaseMs = renewals.LEASE_MS,
        waiting?: Readonly<Record<string, number>>,
    ): leaseRecord.LeaseRecord => {
        const fitted = waiting && waitingCounts.truncateCounts(waiting);
        return {
            holder: options.life,
            instance: options.instance,
            token,
            watchAddress: options.watchAddress,
            peerAddress: options.peerAddress,
            power: options.power,
            leaseMs,
            othersProlongMs: Math.ceil(Math.max(0, othersSilentAt - time.now())) || undefined,
            waiting: fitted?.counts,
            othersWait: fitted?.complete === false || undefined,
        };
    };
    /**
     * Monotonic time from which on no earlier leader prolongs any work. Holders before the last one count as well: one
     * that was cut off goes on while a successor comes, ends in good order and is succeeded in turn.
     */
    const getOthersSilentAt = (now: number): number => {
        if (!observed) {
            return now;
        }
        const inheritedUntil = observed.seenAt + (observed.record.othersProlongMs ?? 0);
        // A holder that is still there may have renewed a moment before its lease was taken.
        return isHolderOver(observed)
            ? Math.max(now, inheritedUntil)
            : now + observed.record.leaseMs + heldLease.EXTENSION_GRACE_MS;
    };
    /**
     * Whether the lease has not been renewed since, by a read: at a store that is slow, what is followed comes late. Without
     * it all instances write at once, and these writes delay the holder's renewals by seconds.
     */
    const isStillUnchanged = async () => {
        const before = observed?.version;
        const outcome = await options.store.read(leaseRecord.LEASE_RANGE, CALL_TIMEOUT_MS);
        if (outcome.kind === "read") {
            outcome.rows.forEach(observe);
        }
        return outcome.kind === "read" && observed?.version === before;
    };
    const takeOver = async () => {
        if (observed && !isHolderOver(observed) && !await isStillUnchanged()) {
            return;
        }
        const sentAt = clock.getTimestamp(time);
        const token = (observed?.record.token ?? 0) + 1;
        const othersSilentAt = getOthersSilentAt(sentAt.monotonicMs);
        const record = createRecord(token, othersSilentAt);
        const wasReleased = observed?.record.holder === "";
        const outcome = await options.store.transact({
            conditions: [{ ...leaseRecord.LEASE_KEY, version: observed?.version ?? 0 }],
            puts: [leaseRecord.encodeRecord(record), { ...leaseRecord.TOKEN_KEY, value: String(token) }],
            removals: [],
        }, CALL_TIMEOUT_MS);
        if (outcome.kind !== "committed") {
            if (outcome.kind === "conflict") {
                outcome.rows.forEach(observe);
            }
            return;
        }
        observed = { record, version: outcome.version, seenAt: time.now() };
        term = openTerm(token, outcome.version, sentAt, othersSilentAt);
        log.info("leadershipTaken", { token, released: wasReleased });
        options.onElected(term.leadership);
    };
    const openTerm = (token: number, version: number, sentAt: clock.Timestamp, othersSilentAt: number) => {
        const held: heldLease.HeldLease = heldLease.createHeldLease(time, {
            log,
            token,
            guard: { ...leaseRecord.TOKEN_KEY, version },
            sentAt,
            predecessorsInactiveAt: othersSilentAt,
            createRow: leaseMs => {
                return leaseRecord.encodeRecord(
                    createRecord(token, othersSilentAt, leaseMs, options.getWaitingCounts()),
                );
            },
            onRenewed: (row, renewedVersion) => {
                if (term === held && renewedVersion > (observed?.version ?? 0)) {
                    observed = {
                        record: leaseRecord.decodeRecord(row.value),
                        version: renewedVersion,
                        seenAt: time.now(),
                    };
                }
            },
            onSuperseded: reason => {
                if (term === held) {
                    endTerm(reason);
                }
            },
            onOverdue: options.onRenewalOverdue,
        });
        return held;
    };
    /** Ends early when something is known to have changed. */
    const pause = (ms: number) =>
        new Promise<void>(resolve => {
            const finish = () => {
                cancel();
                wake = undefined;
                resolve();
            };
            const cancel = time.setTimer(ms, finish);
            wake = finish;
        });
    const run = async () => {
        while (!options.signal.aborted && !released) {
            if (term) {
                if (term.renewals.getMsUntilDue() <= 0) {
                    term.renewals.send(options.store);
                }
                await time.sleep(Math.max(1, Math.min(TICK_MS, term.renewals.getMsUntilDue())), options.signal);
                continue;
            }
            if (knowsTable && mayTake()) {
                await takeOver();
            }
            await pause(TICK_MS);
        }
    };
    void run();
    // Whatever ends the instance ends its term: nothing may be ordered by a process that is about to be gone.
    options.signal.addEventListener("abort", () => {
        holder.end();
        endTerm("this instance ends");
    });

    return {
        getObservation: () => observed,
        isLeading: () => term !== undefined,
        endTerm: endTerm,
        getOffer: () => term && { holder: options.life, token: term.leadership.token },
        isRenewalLate: () => term?.renewals.isOverdue() ?? false,
        cede: () => endTerm("another instance reaches the store"),
        takeFrom: token => {
            cededToken = token;
            wake?.();
        },
        release: async () => {
            released = true;
            const current = term;
            if (!current) {
                return;
            }
            const waiting = options.getWaitingCounts();
            endTerm("this instance stops");
            const { token, predecessorsInactiveAt: othersSilentAt } = current.leadership;
            const record = {
                ...createRecord(token, othersSilentAt, undefined, waiting),
                holder: "",
                watchAddress: "",
                peerAddress: "",
            };
            const outcome = await options.store.transact({
                conditions: [current.leadership.guard],
                // The token's row changes as well: a renewal that is still under way must not take the lease back.
                puts: [leaseRecord.encodeRecord(record), { ...leaseRecord.TOKEN_KEY, value: String(token) }],
                removals: [],
            }, CALL_TIMEOUT_MS);
            log.info("leaseGivenBack", { outcome: outcome.kind });
        },
    };
}

function getYieldMs(power: number): number {
    return Math.max(0, 1 - power / STRONG_CORES) * MOST_YIELD_MS;
}

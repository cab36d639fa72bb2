/**
 * Leader election: a row with holder, fencing token and counts, acquired and renewed by compare-and-swap.
 *
 * Safety rests on the fencing token, which workers check; the lease only avoids needless takeovers. The holder counts
 * its lease from the moment when it *sent* the renewal, by whichever clock has advanced most: the monotonic clock of a
 * suspended machine does not count the pause, and the holder would repeat orders that its successor has already issued.
 */
import type * as admission from "../../admission/index";
import * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import * as rows from "../../rows/index";
import * as work from "../../work/index";
import * as heldLease from "./heldLease";
import * as holderMonitor from "./holderMonitor";
import * as leaseRecord from "./leaseRecord";
import * as renewals from "./renewals";
import * as waitingCounts from "./waitingCounts";

/** The latest known version of the lease. */
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
    /** Unique to this incarnation of the process. */
    readonly incarnationId: string;
    /** Address of this process's liveness server; empty if it has none. */
    readonly watchAddress: string;
    /** Address at which this instance accepts forwarded requests; empty if it accepts none. */
    readonly peerAddress: string;
    /** Watches the holder's process; `onExit` is called when it is certain to have exited. */
    watchHolder(address: string, onExit: () => void): holderMonitor.ProcessWatch;
    /** Processor time available to this instance, in cores. */
    readonly power: number;
    readonly signal: AbortSignal;
    getWaitingCounts(): Readonly<Record<string, number>> | undefined;
    /** Summary of the load to publish with the lease, by default none. */
    getLoad?(): admission.EncodedSummary | undefined;
    /** A renewal has been unanswered for too long: the store may be unreachable. */
    onRenewalOverdue(): void;
    onElected(leadership: heldLease.Leadership): void;
}

/** The lease of leadership as this instance sees it. */
export interface Lease {
    getObservation(): LeaseObservation | undefined;
    isLeading(): boolean;
    /** Ends the term because another leader's token was seen. */
    endTerm(reason: string): void;
    /** The term that this instance could hand over; `undefined` if it does not lead. */
    getHandoverOffer(): { readonly holder: string; readonly token: number; } | undefined;
    /** Whether this instance leads and the renewal of its lease is overdue. */
    isRenewalOverdue(): boolean;
    /** Ends the term in favour of a successor that is notified directly. */
    endTermForHandover(): void;
    /** Takes the lease over from a term that its holder has ended. */
    takeOverFrom(token: number): void;
    /** Releases the lease, so that a successor need not wait for its expiry. */
    release(): Promise<void>;
}

/** Lease expiry for a holder that sends no heartbeats either: one renewal is missing. */
const NO_HEARTBEAT_LEASE_MS = 900;
/** After an outage of the store the holder gets this long to renew first: a takeover polls every worker. */
const RENEWAL_GRACE_MS = 1_200;
/** An instance with this many times the holder's processor time takes over. */
const TAKEOVER_POWER_RATIO = 2;
/** Such an instance must have reached the store for this long: none takes over right after a start or an outage. */
const MIN_STABLE_MS = 3_000;
/** An instance with a whole core takes the lease at once; one with a third of a core waits 0.3 s for others. */
const STRONG_CORES = 1;
const MAX_YIELD_MS = 450;
const CALL_TIMEOUT_MS = 700;
const TICK_MS = 100;

/** Follows the row of the lease, acquires the lease when it is free, and renews it while this instance leads. */
export function createLease(options: LeaseOptions): Lease {
    const { clock: time, log } = options;
    let observed: LeaseObservation | undefined;
    let hasSnapshot = false;
    let reachableSince: number | undefined;
    let term: heldLease.HeldLease | undefined;
    let released = false;
    /** Token of a term that its holder has ended; the same process may lead again under another token. */
    let handedOverToken: number | undefined;
    let wake: (() => void) | undefined;
    const holder = holderMonitor.createHolderMonitor({
        clock: time,
        log,
        incarnationId: options.incarnationId,
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
            endTerm(`instance ${observed.record.instance} holds the lease with fencing token ${observed.record.token}`);
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
            hasSnapshot = true;
            all.forEach(observe);
        },
        onChanges: changes => changes.filter(row => !row.removed).forEach(observe),
        onReadSucceeded: () => {
            reachableSince ??= time.now();
        },
        onReadFailed: () => {
            reachableSince = undefined;
        },
    });

    /** Time since which the lease has been available; a weak instance waits a moment for stronger ones. */
    let freeSince: number | undefined;
    const canAcquire = (): boolean => {
        if (reachableSince === undefined || (!isFree() && !isMuchStronger())) {
            freeSince = undefined;
            return false;
        }
        freeSince ??= time.now();
        return time.now() - freeSince >= getYieldMs(options.power);
    };
    /**
     * A leader on a weak machine is replaced by a strong one: under load it falls behind, mistakes its own backlog for
     * unanswered orders and stops healthy tasks, which costs more than a takeover.
     */
    const isMuchStronger = (): boolean =>
        observed !== undefined && reachableSince !== undefined
        && observed.record.holder !== ""
        && options.power >= TAKEOVER_POWER_RATIO * observed.record.power
        && time.now() - reachableSince >= MIN_STABLE_MS
        && time.now() - observed.seenAt < observed.record.leaseMs;
    /**
     * Whether the last holder's term has certainly ended: released, handed over, or of an earlier incarnation of this
     * instance.
     */
    const isHolderTermOver = ({ record }: LeaseObservation) =>
        record.holder === "" || record.instance === options.instance || record.token === handedOverToken;
    /**
     * A power failure or a network partition ends both renewals and heartbeats, while a slow store delays only
     * renewals. So the expiry may be shortened when both are missing; the fencing token makes a takeover safe at any
     * time.
     */
    const getExpiryReductionMs = () => holder.hasMissedHeartbeats() ? renewals.LEASE_MS - NO_HEARTBEAT_LEASE_MS : 0;
    const isFree = (): boolean => {
        if (!observed) {
            return true;
        }
        if (isHolderTermOver(observed) || holder.hasExited(observed.record)) {
            return true;
        }
        const now = time.now();
        const { leaseMs } = observed.record;
        return now - observed.seenAt >= leaseMs - getExpiryReductionMs() && reachableSince !== undefined
            && now - reachableSince >= RENEWAL_GRACE_MS;
    };
    const createRecord = (
        token: number,
        predecessorsInactiveAt: number,
        leaseMs = renewals.LEASE_MS,
        waiting?: Readonly<Record<string, number>>,
        load?: admission.EncodedSummary,
    ): leaseRecord.LeaseRecord => {
        const loadBytes = load ? Buffer.byteLength(JSON.stringify(load)) : 0;
        const truncated = waiting
            && waitingCounts.truncateCounts(waiting, waitingCounts.MAX_COUNTS_BYTES - loadBytes);
        return {
            holder: options.incarnationId,
            instance: options.instance,
            token,
            watchAddress: options.watchAddress,
            peerAddress: options.peerAddress,
            power: options.power,
            leaseMs,
            othersProlongMs: Math.ceil(Math.max(0, predecessorsInactiveAt - time.now())) || undefined,
            waiting: truncated?.counts,
            othersWait: truncated?.complete === false || undefined,
            load,
        };
    };
    /**
     * Monotonic time after which no earlier leader extends the lease of any task. Holders before the last one count
     * too: one that is partitioned may go on while its successor's whole term passes.
     */
    const getPredecessorsInactiveAt = (now: number): number => {
        if (!observed) {
            return now;
        }
        const inheritedUntil = observed.seenAt + (observed.record.othersProlongMs ?? 0);
        // The holder may still be alive, and may have renewed just before its lease was taken.
        return isHolderTermOver(observed)
            ? Math.max(now, inheritedUntil)
            : now + observed.record.leaseMs + heldLease.EXTENSION_GRACE_MS;
    };
    /**
     * Reads the lease to verify that it has not been renewed, since a slow store delivers changes late. Without this
     * check all instances would write at once, and those writes would delay the holder's renewals by seconds.
     */
    const isLeaseUnchanged = async () => {
        const before = observed?.version;
        const outcome = await options.store.read(leaseRecord.LEASE_RANGE, CALL_TIMEOUT_MS);
        if (outcome.kind === "read") {
            outcome.rows.forEach(observe);
        }
        return outcome.kind === "read" && observed?.version === before;
    };
    const acquire = async () => {
        if (observed && !isHolderTermOver(observed) && !await isLeaseUnchanged()) {
            return;
        }
        const sentAt = clock.getTimestamp(time);
        const token = (observed?.record.token ?? 0) + 1;
        const predecessorsInactiveAt = getPredecessorsInactiveAt(sentAt.monotonicMs);
        const record = createRecord(token, predecessorsInactiveAt);
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
        term = startTerm(token, outcome.version, sentAt, predecessorsInactiveAt);
        log.info("leadershipTaken", { token, released: wasReleased });
        options.onElected(term.leadership);
    };
    const startTerm = (token: number, version: number, sentAt: clock.Timestamp, predecessorsInactiveAt: number) => {
        const held: heldLease.HeldLease = heldLease.createHeldLease(time, {
            log,
            token,
            guard: { ...leaseRecord.TOKEN_KEY, version },
            sentAt,
            predecessorsInactiveAt,
            createRow: leaseMs => {
                return leaseRecord.encodeRecord(
                    createRecord(
                        token,
                        predecessorsInactiveAt,
                        leaseMs,
                        options.getWaitingCounts(),
                        options.getLoad?.(),
                    ),
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
    /** Sleeps, and returns early when a change is known. */
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
    const runElection = async () => {
        while (!options.signal.aborted && !released) {
            if (term) {
                if (term.renewals.getMsUntilDue() <= 0) {
                    term.renewals.send(options.store);
                }
                await time.sleep(Math.max(1, Math.min(TICK_MS, term.renewals.getMsUntilDue())), options.signal);
                continue;
            }
            if (hasSnapshot && canAcquire()) {
                await acquire();
            }
            await pause(TICK_MS);
        }
    };
    void runElection();
    // Whatever stops the instance ends its term: a process that is about to exit must issue no orders.
    options.signal.addEventListener("abort", () => {
        holder.end();
        endTerm("this instance is shutting down");
    });

    return {
        getObservation: () => observed,
        isLeading: () => term !== undefined,
        endTerm,
        getHandoverOffer: () => term && { holder: options.incarnationId, token: term.leadership.token },
        isRenewalOverdue: () => term?.renewals.isOverdue() ?? false,
        endTermForHandover: () => endTerm("handed over to an instance that reaches the store"),
        takeOverFrom: token => {
            handedOverToken = token;
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
            const { token, predecessorsInactiveAt } = current.leadership;
            const record = {
                ...createRecord(token, predecessorsInactiveAt, undefined, waiting),
                holder: "",
                watchAddress: "",
                peerAddress: "",
            };
            const outcome = await options.store.transact({
                conditions: [current.leadership.guard],
                // Also writes the token's row: a renewal that is still in flight must not reacquire the lease.
                puts: [leaseRecord.encodeRecord(record), { ...leaseRecord.TOKEN_KEY, value: String(token) }],
                removals: [],
            }, CALL_TIMEOUT_MS);
            log.info("leaseGivenBack", { outcome: outcome.kind });
        },
    };
}

function getYieldMs(power: number): number {
    return Math.max(0, 1 - power / STRONG_CORES) * MAX_YIELD_MS;
}

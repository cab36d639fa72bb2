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
import * as renewals from "./renewals";
import * as waitingCounts from "./waitingCounts";

export interface LeaseRecord {
    /** Id of the holder's life; empty: given back. */
    readonly holder: string;
    /** The holder's name, the same in each of its lives. */
    readonly instance: string;
    readonly token: number;
    /** Where other instances watch the holder's process; empty where it offers no watch. */
    readonly watchAddress: string;
    /** Where the holder takes requests that other instances pass on; empty where it takes none. */
    readonly peerAddress: string;
    /** How strong the holder's machine is: the processor time that it gets, in cores. */
    readonly power: number;
    /** How long the lease lasts from when this version is first seen, in milliseconds. */
    readonly leaseMs: number;
    /**
     * For how many milliseconds more, counted from the write, a leader before the holder may prolong work on workers that
     * have not heard of the holder; absent: none does.
     */
    readonly othersProlongMs?: number;
    /** Jobs of each queue of which no task has started; absent while the holder does not know yet. */
    readonly waiting?: Readonly<Record<string, number>>;
    /** True where other queues have waiting jobs as well, whose counts had no room. */
    readonly othersWait?: boolean;
}

export interface LeaseObservation {
    readonly record: LeaseRecord;
    readonly version: number;
    /** Monotonic time at which this version was first seen. */
    readonly seenAt: number;
}

/** What is known of the holder's process without the store. */
export interface HolderWatch {
    /** Milliseconds since its latest heartbeat; `undefined`: it sends none, or has not yet. */
    getSilentMs(): number | undefined;
    end(): void;
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
    watchHolder(address: string, onGone: () => void): HolderWatch;
    /** Processor time that this instance gets, in cores. */
    readonly power: number;
    readonly signal: AbortSignal;
    getWaiting(): Readonly<Record<string, number>> | undefined;
    /** A renewal has had no answer for a while: the store may be out of reach. */
    onRenewalLate(): void;
    onElected(leadership: heldLease.Leadership): void;
}

export interface Lease {
    getObservation(): LeaseObservation | undefined;
    isLeading(): boolean;
    /** Ends the term when another leader's token was met. */
    depose(reason: string): void;
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
/** Three heartbeats are missing, and a packet that is lost is sent again sooner. */
const SILENCE_MS = 600;
/** The last renewal of a process that has gone may be seen this much later than its end. */
const LAST_RENEWAL_MS = 200;
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

const LEASE_RANGE: rows.RowRange = { table: work.Table.Lead, part: work.LEADER_PART, from: "lease", before: "lease!" };
const LEASE_KEY: rows.RowKey = { table: work.Table.Lead, part: work.LEADER_PART, key: "lease" };
const TOKEN_KEY: rows.RowKey = { table: work.Table.Lead, part: work.LEADER_PART, key: "token" };

/** Follows the lease's row, takes the lease when it is free, and renews it while this instance leads. */
export function createLease(options: LeaseOptions): Lease {
    const { clock: time, log } = options;
    let observed: LeaseObservation | undefined;
    let knowsTable = false;
    let contactSince: number | undefined;
    let term: heldLease.HeldLease | undefined;
    let released = false;
    let watchedHolder = "";
    /** A holder whose process was told to be gone, and when. */
    let gone: { readonly holder: string; readonly toldAt: number; } | undefined;
    /** Token of a term whose holder has said that it is over; the same process may lead again under another. */
    let cededToken: number | undefined;
    let watch: HolderWatch | undefined;
    let wake: (() => void) | undefined;

    const observe = (row: rows.Row) => {
        if (row.key !== LEASE_KEY.key || row.version <= (observed?.version ?? 0)) {
            return;
        }
        observed = { record: decodeRecord(row.value), version: row.version, seenAt: time.now() };
        forgetGone(observed.record);
        watchHolder(observed.record);
        if (observed.record.holder === "") {
            wake?.();
        }
        if (term && observed.record.token > term.leadership.token) {
            endTerm(`instance ${observed.record.instance} holds token ${observed.record.token}`);
        }
    };
    /**
     * A cut that resets connections and refuses new ones looks from behind it as if the holder's process were gone. The
     * holder goes on renewing; without this its lease is taken as soon as the cut ends, and work is stopped for nothing.
     */
    const forgetGone = (record: LeaseRecord) => {
        if (gone?.holder === record.holder && time.now() - gone.toldAt > LAST_RENEWAL_MS) {
            log.info("holderBack", { instance: record.instance, token: record.token });
            gone = undefined;
            watchedHolder = "";
        }
    };
    /** A holder whose process is gone is not waited for: that costs 1.6 s in which nothing starts. */
    const watchHolder = (record: LeaseRecord) => {
        if (record.holder === watchedHolder) {
            return;
        }
        watch?.end();
        watch = undefined;
        watchedHolder = record.holder;
        if (record.watchAddress === "" || record.holder === options.life) {
            return;
        }
        watch = options.watchHolder(record.watchAddress, () => {
            log.warn("holderGone", { instance: record.instance, token: record.token });
            gone = { holder: record.holder, toldAt: time.now() };
            wake?.();
        });
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
        table: work.Table.Lead,
        part: work.LEADER_PART,
        signal: options.signal,
        onSnapshot: all => {
            knowsTable = true;
            all.forEach(observe);
        },
        onChanges: changes => changes.filter(row => !row.removed).forEach(observe),
        onContact: () => {
            contactSince ??= time.now();
        },
        onLoss: () => {
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
    const isHolderSilent = () => (watch?.getSilentMs() ?? 0) >= SILENCE_MS;
    const isFree = (): boolean => {
        if (!observed) {
            return true;
        }
        if (isHolderOver(observed) || observed.record.holder === gone?.holder) {
            return true;
        }
        const now = time.now();
        const { leaseMs } = observed.record;
        // Longer at a store that answers late, which delays what is seen of a holder's renewals.
        const shortenedMs = isHolderSilent() ? renewals.LEASE_MS - SILENT_LEASE_MS : 0;
        return now - observed.seenAt >= leaseMs - shortenedMs && contactSince !== undefined
            && now - contactSince >= RETURN_MS;
    };
    const createRecord = (
        token: number,
        othersSilentAt: number,
        leaseMs = renewals.LEASE_MS,
        waiting?: Readonly<Record<string, number>>,
    ): LeaseRecord => {
        const fitted = waiting && waitingCounts.fitCounts(waiting);
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
            : now + observed.record.leaseMs + heldLease.PROLONG_MS;
    };
    /**
     * Whether the lease has not been renewed since, by a read: at a store that is slow, what is followed comes late. Without
     * it all instances write at once, and these writes delay the holder's renewals by seconds.
     */
    const isStillUnchanged = async () => {
        const before = observed?.version;
        const outcome = await options.store.read({ ...LEASE_RANGE, limit: 1 }, CALL_TIMEOUT_MS);
        if (outcome.kind === "read") {
            outcome.rows.forEach(observe);
        }
        return outcome.kind === "read" && observed?.version === before;
    };
    const takeOver = async () => {
        if (observed && !isHolderOver(observed) && !await isStillUnchanged()) {
            return;
        }
        const sentAt = clock.readMoment(time);
        const token = (observed?.record.token ?? 0) + 1;
        const othersSilentAt = getOthersSilentAt(sentAt.monotonic);
        const record = createRecord(token, othersSilentAt);
        const wasReleased = observed?.record.holder === "";
        const outcome = await options.store.transact({
            conditions: [{ ...LEASE_KEY, version: observed?.version ?? 0 }],
            puts: [{ ...LEASE_KEY, value: JSON.stringify(record) }, { ...TOKEN_KEY, value: String(token) }],
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
    const openTerm = (token: number, version: number, sentAt: clock.Moment, othersSilentAt: number) => {
        const held: heldLease.HeldLease = heldLease.createHeldLease(time, {
            log,
            token,
            guard: { ...TOKEN_KEY, version },
            sentAt,
            othersSilentAt,
            createRow: leaseMs => {
                const record = createRecord(token, othersSilentAt, leaseMs, options.getWaiting());
                return { ...LEASE_KEY, value: JSON.stringify(record) };
            },
            onRenewed: (row, renewedVersion) => {
                if (term === held && renewedVersion > (observed?.version ?? 0)) {
                    observed = { record: decodeRecord(row.value), version: renewedVersion, seenAt: time.now() };
                }
            },
            onDeposed: reason => {
                if (term === held) {
                    endTerm(reason);
                }
            },
            onLate: options.onRenewalLate,
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
                if (term.renewals.getDueMs() <= 0) {
                    term.renewals.send(options.store);
                }
                await time.sleep(Math.max(1, Math.min(TICK_MS, term.renewals.getDueMs())), options.signal);
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
        watch?.end();
        endTerm("this instance ends");
    });

    return {
        getObservation: () => observed,
        isLeading: () => term !== undefined,
        depose: endTerm,
        getOffer: () => term && { holder: options.life, token: term.leadership.token },
        isRenewalLate: () => term?.renewals.isLate() ?? false,
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
            const waiting = options.getWaiting();
            endTerm("this instance stops");
            const { token, othersSilentAt } = current.leadership;
            const record = {
                ...createRecord(token, othersSilentAt, undefined, waiting),
                holder: "",
                watchAddress: "",
                peerAddress: "",
            };
            const outcome = await options.store.transact({
                conditions: [current.leadership.guard],
                // The token's row changes as well: a renewal that is still under way must not take the lease back.
                puts: [{ ...LEASE_KEY, value: JSON.stringify(record) }, { ...TOKEN_KEY, value: String(token) }],
                removals: [],
            }, CALL_TIMEOUT_MS);
            log.info("leaseGivenBack", { outcome: outcome.kind });
        },
    };
}

/** An instance of an earlier version says nothing of the lease's length. */
function decodeRecord(value: string): LeaseRecord {
    const record = JSON.parse(value) as Omit<LeaseRecord, "leaseMs"> & Partial<LeaseRecord>;
    return { ...record, leaseMs: record.leaseMs ?? renewals.LEASE_MS };
}

function getYieldMs(power: number): number {
    return Math.max(0, 1 - power / STRONG_CORES) * MOST_YIELD_MS;
}

/**
 * Follows one table: reads it whole, then polls for its changes, and reads it whole again after a gap in the history.
 *
 * Polls are short. A connection to the store can go silent without a reset, and a poll of half a minute would miss all
 * changes for that long, so that revoked keys go on working. A poll without changes ends within a second, and a silent
 * connection is abandoned soon after.
 *
 * An answer that has begun is abandoned only on silence. With a bound on the whole answer a large table would never
 * arrive over a weak link: each poll would be abandoned in the middle of its answer, and some instances would never see
 * a new configuration.
 */
import * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as readAll from "./readAll";
import * as rows from "./rowStore";
import * as tableFreshness from "./tableFreshness";

/** Which table to follow, and the callbacks that receive its rows. */
export interface TableFollowerOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly table: string;
    readonly part: string;
    readonly signal: AbortSignal;
    /**
     * Polls at this interval without waiting for a change: for a table that changes all the time, where each change
     * would cost a call. If absent, a long poll waits for a change.
     */
    readonly pollIntervalMs?: number;
    /** Called with all rows of the table after the first read and after each gap. */
    onSnapshot(all: readonly rows.Row[]): void;
    onChanges(changes: readonly rows.RowChange[]): void;
    /** Called after each answer, also without changes, except for those that are full pages and leave changes out. */
    onReadSucceeded?(): void;
    /** Called when a call got no answer or was refused. */
    onReadFailed?(message: string): void;
}

/** A running follower of a table. */
export interface TableFollower {
    /** Milliseconds since the table was certainly current; `Infinity` before the first answer. */
    getAgeMs(): number;
    /** Resolves when the follower has stopped after the signal. */
    readonly done: Promise<void>;
}

/** Wait of one long poll for a change; a silent connection is noticed after this and the slack. */
const POLL_WAIT_MS = 700;
/** Time beyond the wait: an answer normally begins after 5 ms, or after 300 ms if the store is 60 times slower. */
const POLL_SLACK_MS = 500;
/** Idle timeout of a read of the whole table. */
const READ_IDLE_TIMEOUT_MS = 1_200;
/** Pause after a failed call: long enough not to overload a store that recovers, short compared with a second. */
const RETRY_PAUSE_MS = 150;
/** Time after a failed call in which an interval poll uses the shorter pause after failures. */
const RECOVERY_POLL_MS = 3_000;

/** Starts to follow a table until the signal is aborted. */
export function followTable(options: TableFollowerOptions): TableFollower {
    const freshness = tableFreshness.createTableFreshness(options);
    return { done: follow(options, freshness), getAgeMs: freshness.getAgeMs };
}

/** Calls no callback after the signal, even if an answer is pending: the receiver may already be closed. */
async function follow(options: TableFollowerOptions, freshness: tableFreshness.TableFreshness): Promise<void> {
    const { store, clock: time, table, signal, pollIntervalMs = 0 } = options;
    const longPollMs = pollIntervalMs > 0 ? 0 : POLL_WAIT_MS;
    let waitMs = longPollMs;
    /**
     * The latest answer was a full page, so there are more changes. If the next poll waited for its interval, a table
     * that changes by more than a page in an interval would be known later and later: with more than a thousand
     * workers, tasks would start on workers that have been draining for seconds.
     */
    let isBehind = false;
    let failedAt = -Infinity;
    /** After an outage other processes write what they could not write before, so the changes are read sooner. */
    const getPauseMs = () =>
        time.now() - failedAt < RECOVERY_POLL_MS ? Math.min(pollIntervalMs, RETRY_PAUSE_MS) : pollIntervalMs;
    const noteSuccess = (askedAt: clock.Timestamp, asOf = askedAt) => {
        freshness.recordSuccess(askedAt, asOf);
        // An answer is current as of its call. After a slow one the next poll does not wait, so the age soon drops.
        waitMs = freshness.getAgeMs() > POLL_WAIT_MS + POLL_SLACK_MS ? 0 : longPollMs;
        options.onReadSucceeded?.();
    };
    const noteFailure = async (message: string) => {
        // The next poll does not wait for a change, so that the table counts as current again as soon as possible.
        waitMs = 0;
        failedAt = time.now();
        freshness.recordFailure(message);
        options.onReadFailed?.(message);
        await time.sleep(RETRY_PAUSE_MS, signal);
    };
    /** Like `poll`, returns the version up to which the table is known, or `undefined` if it has to be read whole. */
    const readWhole = async (): Promise<number | undefined> => {
        const askedAt = clock.getTimestamp(time);
        const range = { table, part: options.part };
        const all = await readAll.readAll(store, range, READ_IDLE_TIMEOUT_MS, rows.MAX_ANSWER_MS);
        if (signal.aborted) {
            return undefined;
        }
        if (all.kind !== "read") {
            await noteFailure(all.message);
            return undefined;
        }
        noteSuccess(askedAt);
        options.onSnapshot(all.rows);
        return all.version;
    };
    const poll = async (after: number): Promise<number | undefined> => {
        const askedAt = clock.getTimestamp(time);
        const pollWaitMs = waitMs;
        const changes = await store.feed(table, after, pollWaitMs, pollWaitMs + POLL_SLACK_MS, rows.MAX_ANSWER_MS);
        if (signal.aborted) {
            return undefined;
        }
        switch (changes.kind) {
            case "changes":
                isBehind = changes.rows.length >= rows.MAX_PAGE_ROWS;
                if (changes.rows.length > 0) {
                    if (!isBehind) {
                        noteSuccess(askedAt);
                    }
                    options.onChanges(changes.rows);
                }
                else {
                    noteSuccess(askedAt, getEndOfWait(time, askedAt, pollWaitMs));
                }
                return Math.max(after, changes.version);
            case "gap":
                options.log.info("historyGap", { table, after });
                return undefined;
            case "unavailable":
                await noteFailure(changes.message);
                return after;
        }
    };
    let after: number | undefined;
    while (!signal.aborted) {
        if (after === undefined) {
            after = await readWhole();
            continue;
        }
        if (pollIntervalMs > 0 && !isBehind) {
            await time.sleep(getPauseMs(), signal);
        }
        isBehind = false;
        after = await poll(after);
    }
}

/** The store holds a poll without changes for its whole wait, so its answer covers all changes up to the end of it. */
function getEndOfWait(time: clock.Clock, askedAt: clock.Timestamp, waitMs: number): clock.Timestamp {
    const waitedFully = time.now() - askedAt.monotonicMs >= waitMs;
    return waitedFully ? clock.addMs(askedAt, waitMs) : askedAt;
}

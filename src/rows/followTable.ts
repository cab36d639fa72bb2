/**
 * Follows one table: reads it whole, then its changes, and reads it anew after a gap in the history.
 *
 * What goes wrong without the short wait: a connection to the store can fall silent without a reset, and a poll of
 * half a minute on it hears of no change for that long; callers' keys that were taken away go on working. Each poll
 * that finds nothing ends within a second, so that a silent connection is given up a moment later.
 *
 * What goes wrong where a poll that finds something is given up as soon: a table that has grown never arrives over a
 * weak link: each poll is given up while the answer is coming, and the next one begins anew. One notices a configuration
 * that some instances never hear of. Here only silence ends an answer that has begun.
 */
import * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as rows from "./index";
import * as readAll from "./readAll";
import * as tableContact from "./tableFreshness";

export interface TableFollowerOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly table: string;
    readonly part: string;
    readonly signal: AbortSignal;
    /**
     * Asks for changes so often, and waits for none: for a table of which some row changes all the time, where each
     * change would cost a call. Without it a poll waits for a change.
     */
    readonly pollIntervalMs?: number;
    /** All rows of the table, after the first read and after each gap. */
    onSnapshot(all: readonly rows.Row[]): void;
    onChanges(changes: readonly rows.RowChange[]): void;
    /** Called after each answer of the store, also when nothing changed, but for those that leave changes out. */
    onReadSucceeded?(): void;
    /** Called when a call got no answer or was turned away. */
    onReadFailed?(message: string): void;
}

export interface TableFollower {
    /** Milliseconds since the moment as of which the table is known for certain; `Infinity` before the first answer. */
    getAgeMs(): number;
    /** Resolves when the follower has stopped. */
    readonly done: Promise<void>;
}

/** How long one poll waits for a change: the time until a silent connection is noticed is this and the slack. */
const POLL_WAIT_MS = 700;
/** Beyond the wait: an answer normally begins after 5 ms; of a store that is 60 times slower after 300 ms. */
const POLL_SLACK_MS = 500;
/** Without a byte of an answer. */
const READ_SILENCE_MS = 1_200;
/** Pause after a failed call: long enough not to overrun a store that returns, short beside a second. */
const RETRY_PAUSE_MS = 150;
/** After a failed call a table that is asked for its changes is asked as often as after a failure, for this long. */
const CATCH_UP_MS = 3_000;

export function followTable(options: TableFollowerOptions): TableFollower {
    const contact = tableContact.createTableFreshness(options);
    return { done: follow(options, contact), getAgeMs: contact.getAgeMs };
}

/** Ends without a word after the signal, also when an answer is on its way: its taker may be gone. */
async function follow(options: TableFollowerOptions, contact: tableContact.TableFreshness): Promise<void> {
    const { store, clock: time, table, signal, pollIntervalMs: everyMs = 0 } = options;
    const fullWaitMs = everyMs > 0 ? 0 : POLL_WAIT_MS;
    let waitMs = fullWaitMs;
    /**
     * The latest answer was a full page, so that more has changed already. What goes wrong where the next one waits for its
     * time: a table that changes by more than a page in that time is known later and later. One notices tasks that start
     * on workers that have drained for seconds, on sites of more than a thousand.
     */
    let isBehind = false;
    let lostAt = -Infinity;
    /** What others could not write while the store was away they write when it is back, and it is waited for. */
    const getPauseMs = () => time.now() - lostAt < CATCH_UP_MS ? Math.min(everyMs, RETRY_PAUSE_MS) : everyMs;
    const keep = (askedAt: clock.Timestamp, asOf = askedAt) => {
        contact.recordSuccess(askedAt, asOf);
        // An answer that took long counts from its call; the next one, at once, tells whether more has changed since.
        waitMs = contact.getAgeMs() > POLL_WAIT_MS + POLL_SLACK_MS ? 0 : fullWaitMs;
        options.onReadSucceeded?.();
    };
    const lose = async (message: string) => {
        // The next answer comes at once, so that what is known is not taken for old for longer than need be.
        waitMs = 0;
        lostAt = time.now();
        contact.recordFailure(message);
        options.onReadFailed?.(message);
        await time.sleep(RETRY_PAUSE_MS, signal);
    };
    /** Both return the version up to which the table is known then; `undefined`: it has to be read whole. */
    const readWhole = async (): Promise<number | undefined> => {
        const askedAt = clock.getTimestamp(time);
        const range = { table, part: options.part };
        const all = await readAll.readAll(store, range, READ_SILENCE_MS, rows.MAX_ANSWER_MS);
        if (signal.aborted) {
            return undefined;
        }
        if (all.kind !== "read") {
            await lose(all.message);
            return undefined;
        }
        keep(askedAt);
        options.onSnapshot(all.rows);
        return all.version;
    };
    const poll = async (after: number): Promise<number | undefined> => {
        const askedAt = clock.getTimestamp(time);
        const heldMs = waitMs;
        const changes = await store.feed(table, after, heldMs, heldMs + POLL_SLACK_MS, rows.MAX_ANSWER_MS);
        if (signal.aborted) {
            return undefined;
        }
        switch (changes.kind) {
            case "changes":
                isBehind = changes.rows.length >= rows.MAX_PAGE_ROWS;
                if (changes.rows.length > 0) {
                    if (!isBehind) {
                        keep(askedAt);
                    }
                    options.onChanges(changes.rows);
                }
                else {
                    keep(askedAt, getEndOfWait(time, askedAt, heldMs));
                }
                return Math.max(after, changes.version);
            case "gap":
                options.log.info("historyGap", { table, after });
                return undefined;
            case "unavailable":
                await lose(changes.message);
                return after;
        }
    };
    let after: number | undefined;
    while (!signal.aborted) {
        if (after === undefined) {
            after = await readWhole();
            continue;
        }
        if (everyMs > 0 && !isBehind) {
            await time.sleep(getPauseMs(), signal);
        }
        isBehind = false;
        after = await poll(after);
    }
}

/** A poll that finds nothing is held by the store for its wait, and so tells of changes up to the end of it. */
function getEndOfWait(time: clock.Clock, askedAt: clock.Timestamp, heldMs: number): clock.Timestamp {
    const wasHeld = time.now() - askedAt.monotonicMs >= heldMs;
    return wasHeld ? clock.addMs(askedAt, heldMs) : askedAt;
}

/**
 * Writes progress rows in batches, each conditional on the row of the fencing token and on the version of every row.
 *
 * A write whose answer was lost may be applied seconds later. Checked against the token alone it would undo a newer
 * write of the same leader; checked against the versions alone, a former leader could still write a row that its
 * successor has not changed yet. Either would start a task twice.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";
import * as work from "../work/index";
import type * as entries from "./entries";
import type * as leases from "./lease/index";
import * as progressRows from "./progressRows";

export interface ProgressWriterOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly leadership: Pick<leases.Leadership, "guard" | "transact" | "signal">;
    /** Another leader has taken over. */
    onSuperseded(): void;
}

/** Stores the progress of marked entries. */
export interface ProgressWriter {
    markOccurrence(occurrence: entries.OccurrenceEntry): void;
    markJob(job: entries.JobEntry): void;
    /** Resolves when all entries marked so far are stored; never resolves if the term ends first. */
    flush(): Promise<void>;
}

/** A transaction has at most 100 entries: one guard, one possible lease renewal, and two for each row. */
const MAX_ROWS = 45;
/** A call holds at most 1 MB, and base64 adds a third to the size of the values. */
const MAX_BYTES = 500_000;
/** A transaction usually takes 10 ms. `Renewals.transact` extends the timeout at a slow store. */
const WRITE_TIMEOUT_MS = 900;
const RETRY_PAUSE_MS = 60;

interface EncodedRow {
    readonly row: PendingRow;
    readonly value: string;
}

interface PendingRow {
    readonly key: string;
    getVersion(): number;
    setVersion(version: number): void;
    encode(): string;
}

export function createProgressWriter(options: ProgressWriterOptions): ProgressWriter {
    const dirty = new Map<string, PendingRow>();
    let waiters: Array<() => void> = [];
    let writing = false;

    /** Takes the rows that fit into one transaction, in the order in which they were marked. */
    const takeBatch = (): EncodedRow[] => {
        const batch: EncodedRow[] = [];
        let bytes = 0;
        for (const row of dirty.values()) {
            // Encoded once: a retry must write the same value, or readers could see two different first writes.
            const value = row.encode();
            bytes += value.length;
            if (batch.length === MAX_ROWS || (batch.length > 0 && bytes > MAX_BYTES)) {
                break;
            }
            batch.push({ row, value });
        }
        batch.forEach(({ row }) => dirty.delete(row.key));
        return batch;
    };

    const write = async () => {
        if (writing) {
            return;
        }
        writing = true;
        // Batches all changes of this turn of the event loop into one transaction.
        await Promise.resolve();
        while ((dirty.size > 0 || waiters.length > 0) && !options.leadership.signal.aborted) {
            const batch = takeBatch();
            const coversAll = dirty.size === 0;
            const covered = coversAll ? waiters : [];
            if (coversAll) {
                // A flush that is requested while this batch is in flight waits for the next batch.
                waiters = [];
            }
            if (batch.length > 0 && !await writeBatch(options, batch)) {
                break;
            }
            for (const resolve of covered) {
                resolve();
            }
        }
        writing = false;
    };

    const mark = (row: PendingRow) => {
        dirty.set(row.key, row);
        void write();
    };

    return {
        markOccurrence: occurrence =>
            mark({
                key: work.getOccurrenceKey(occurrence.job.submission.jobId, occurrence.number),
                getVersion: () => occurrence.rowVersion,
                setVersion: version => {
                    occurrence.rowVersion = version;
                },
                encode: () => progressRows.encodeOccurrence(occurrence),
            }),
        markJob: job =>
            mark({
                key: job.submission.jobId,
                getVersion: () => job.rowVersion,
                setVersion: version => {
                    job.rowVersion = version;
                },
                encode: () => progressRows.encodeJob(job),
            }),
        flush: () =>
            new Promise(resolve => {
                waiters.push(resolve);
                void write();
            }),
    };
}

/** Returns false if the term has ended. */
async function writeBatch(options: ProgressWriterOptions, batch: readonly EncodedRow[]): Promise<boolean> {
    const toKey = (key: string): rows.RowKey => ({ table: work.Table.Progress, part: work.LEADER_PART, key });
    const puts = batch.map(({ row, value }) => ({ ...toKey(row.key), value }));
    while (!options.leadership.signal.aborted) {
        const { store, leadership } = options;
        const conditions = batch.map(({ row }) => ({ ...toKey(row.key), version: row.getVersion() }));
        const outcome = await leadership.transact(store, { conditions, puts }, WRITE_TIMEOUT_MS);
        options.meter.increment("progress_writes_total", { outcome: outcome.kind });
        switch (outcome.kind) {
            case "committed":
                for (const { row } of batch) {
                    row.setVersion(outcome.version);
                }
                return true;
            case "conflict":
                if (!adoptVersions(options, batch, outcome.rows)) {
                    options.onSuperseded();
                    return false;
                }
                break;
            case "refused":
            case "unknown":
                options.log.warn("progressNotWritten", { rows: batch.length, why: outcome.message });
                await options.clock.sleep(RETRY_PAUSE_MS, options.leadership.signal);
                break;
        }
    }
    return false;
}

/** A conflict while the token is unchanged means that an earlier attempt was applied: continues from its versions. */
function adoptVersions(
    options: ProgressWriterOptions,
    batch: readonly EncodedRow[],
    present: readonly rows.Row[],
): boolean {
    const { guard } = options.leadership;
    const token = present.find(row => row.table === guard.table && row.key === guard.key);
    if (token?.version !== guard.version) {
        return false;
    }
    const versions = new Map(
        present.filter(row => row.table === work.Table.Progress).map(row => [row.key, row.version]),
    );
    for (const { row } of batch) {
        row.setVersion(versions.get(row.key) ?? 0);
    }
    return true;
}

/**
 * Loads a zone's jobs from the store: all of them at startup, later single jobs by id and those whose notice was lost.
 */
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import type * as queueEntry from "./entry";

/** What the reader uses and calls. */
export interface RowReaderOptions {
    readonly zone: string;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly store: jobs.JobStore;
    readonly retry: platform.RetryPolicy;
    readonly signal: AbortSignal;
    readonly entries: ReadonlyMap<string, queueEntry.QueueEntry>;
    /** Adds an unfinished job of the zone to the queue. */
    admit(stored: jobs.VersionedRow): void;
    /** Called when the job has ended, does not exist or belongs to another zone. */
    markClosed(jobId: string): void;
    /** Called when the row says that the job has ended. */
    announceEnd(jobId: string): void;
}

/** Loads the jobs of one zone. */
export interface RowReader {
    /** Retries until all jobs of the zone are loaded. Resolves then, or when the signal is aborted. */
    load(): Promise<void>;
    /** Whether `load` has read all jobs of the zone. */
    isLoaded(): boolean;
    /** Reads one job's row and admits the job if it is an unfinished one of this zone. */
    readNew(jobId: string): Promise<void>;
    /** Reads all jobs of the zone's queue that have no entry. */
    rescan(): Promise<void>;
}

export function createRowReader(options: RowReaderOptions): RowReader {
    const { zone, clock: time, log, store, entries, admit, signal } = options;
    let loaded = false;

    const load = async (): Promise<void> => {
        for (let failures = 1; !signal.aborted; failures++) {
            const rows = await store.readQueue(zone);
            if (rows) {
                for (const stored of rows) {
                    if (!entries.has(stored.row.jobId) && stored.row.state !== "ended" && stored.row.zone === zone) {
                        admit(stored);
                    }
                }
                loaded = true;
                log.info("queue loaded", { zone, jobs: rows.length });
                return;
            }
            await time.sleep(options.retry.getDelay(failures), signal);
        }
    };

    const reading = new Set<string>();

    /** Loads a job that was submitted, moved here, or is only known from a report of its tasks. */
    const readNew = async (jobId: string): Promise<void> => {
        if (reading.has(jobId)) {
            return;
        }
        reading.add(jobId);
        const found = await store.read(jobId);
        reading.delete(jobId);
        if (found.kind !== "read" || entries.has(jobId)) {
            return;
        }
        const { value } = found;
        if (value && value.row.zone === zone && value.row.state !== "ended") {
            admit(value);
            return;
        }
        options.markClosed(jobId);
        if (value?.row.state === "ended") {
            options.announceEnd(jobId);
        }
    };

    /** Finds accepted jobs whose notice was lost; no other instance would start them. */
    const rescan = async (): Promise<void> => {
        const ids = await store.readQueueIds(zone);
        for (const jobId of ids ?? []) {
            if (!entries.has(jobId)) {
                await readNew(jobId);
            }
        }
    };

    return { load, isLoaded: () => loaded, readNew, rescan };
}

/** Takes jobs of a zone in from the store: all of them at first, later those that are named or were overlooked. */
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import type * as queueEntry from "./entry";

export interface RowReaderOptions {
    readonly zone: string;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly store: jobs.JobStore;
    readonly retry: platform.RetryPolicy;
    readonly signal: AbortSignal;
    readonly entries: ReadonlyMap<string, queueEntry.QueueEntry>;
    admit(stored: jobs.VersionedRow): void;
    /** The job is not, or no longer, this zone's. */
    settle(jobId: string): void;
    announceEnd(jobId: string): void;
}

export interface RowReader {
    /** Resolves when all jobs of the zone are taken in, or the signal is aborted. */
    load(): Promise<void>;
    isLoaded(): boolean;
    readNew(jobId: string): Promise<void>;
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

    /** Takes in a job that was submitted, moved here, or is only known from a report of its tasks. */
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
        options.settle(jobId);
        if (value?.row.state === "ended") {
            options.announceEnd(jobId);
        }
    };

    /** Finds jobs whose notice was lost: they are recorded as accepted, and nobody else will start them. */
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

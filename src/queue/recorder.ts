/** Writes outcomes and progress of jobs to their rows; outcomes are retried until the table service is available. */
import * as platform from "../backing/index";
import type * as clock from "../clock/index";
import * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import type * as queueEntry from "./entry";

/** Writes the rows of jobs. */
export interface Recorder {
    /**
     * Records the outcome. Resolves with the ended row, which holds another outcome if that was recorded first, or with
     * `undefined` when another owner has changed the job meanwhile or the signal was aborted.
     */
    recordEnd(entry: queueEntry.QueueEntry, outcome: jobs.JobOutcome): Promise<jobs.JobRow | undefined>;
    /** Writes progress once, without retries: a failed write loses only the progress. */
    recordProgress(entry: queueEntry.QueueEntry, change: Partial<jobs.JobRow>): Promise<void>;
}

interface RecorderOptions {
    readonly store: jobs.JobStore;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly retry: platform.RetryPolicy;
    readonly signal: AbortSignal;
}

export function createRecorder(options: RecorderOptions): Recorder {
    const { store, clock: time, counters, signal } = options;

    const reread = async (entry: queueEntry.QueueEntry): Promise<jobs.VersionedRow | undefined> => {
        const found = await store.read(entry.job.jobId);
        return found.kind === "read" ? found.value : undefined;
    };

    const recordEnd = async (
        entry: queueEntry.QueueEntry,
        outcome: jobs.JobOutcome,
    ): Promise<jobs.JobRow | undefined> => {
        const attempt = entry.stored.row.attempt;
        for (let failures = 0; !signal.aborted;) {
            const row: jobs.JobRow = {
                ...entry.stored.row,
                state: "ended",
                outcome,
                endedAt: time.wallTime(),
                failedWorkers: [...entry.job.failedWorkers],
            };
            const written = await store.update(entry.stored, row, platform.Priority.Outcome);
            switch (written.kind) {
                case "written":
                    return written.stored.row;
                case "conflict": {
                    const found = written.found;
                    if (!found || found.row.attempt !== attempt || found.row.zone !== entry.stored.row.zone) {
                        return undefined;
                    }
                    if (found.row.state === "ended") {
                        return found.row;
                    }
                    entry.stored = found;
                    break;
                }
                case "unavailable":
                case "unknown": {
                    counters.increment("jobs.recordDelayed");
                    failures++;
                    await time.sleep(options.retry.getDelay(failures), signal);
                    const found = written.kind === "unknown" ? await reread(entry) : undefined;
                    entry.stored = found ?? entry.stored;
                    if (found?.row.state === "ended") {
                        return found.row;
                    }
                    break;
                }
            }
        }
        return undefined;
    };

    return {
        recordEnd,
        recordProgress: async (entry, change) => {
            const row = { ...entry.stored.row, ...change };
            const written = await store.update(entry.stored, row, platform.Priority.Progress);
            if (written.kind === "written") {
                entry.stored = written.stored;
            }
        },
    };
}

/** Loads the stored state before a new leader issues any order. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";
import type * as entries from "./entries";
import type * as jobRegistries from "./jobRegistry";

export interface TakeoverOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly signal: AbortSignal;
    readonly jobRegistry: jobRegistries.JobRegistry;
    getWorker(id: string): entries.WorkerEntry;
    /** Called with the keys of progress whose submission has been removed. */
    onOrphans(keys: readonly string[]): void;
}

/**
 * Timeout without a byte of a page. A page usually begins after 10 ms, at a store that is 60 times slower after 300 ms.
 */
const READ_SILENCE_MS = 1_500;
const RETRY_PAUSE_MS = 100;

/** Fills the registry. Returns the version from which to follow submissions, or `undefined` if the term has ended. */
export async function loadStoredState(options: TakeoverOptions): Promise<number | undefined> {
    const startedAt = options.clock.now();
    const [submissions, progress] = await Promise.all([
        readWithRetry(options, work.Table.Jobs, work.INTAKE_PARTS),
        readWithRetry(options, work.Table.Progress, [work.LEADER_PART]),
    ]);
    if (!submissions || !progress) {
        return undefined;
    }
    for (const row of submissions.rows) {
        if (work.getCancelledJobId(row.key) === undefined) {
            options.jobRegistry.addJob(JSON.parse(row.value) as work.Submission);
        }
    }
    restore(options, progress.rows);
    applyIntakeRows(options.jobRegistry, submissions.rows);
    options.log.info("jobsRead", {
        submissions: submissions.rows.length,
        progressRows: progress.rows.length,
        version: submissions.version,
        tookMs: Math.round(options.clock.now() - startedAt),
    });
    return submissions.version;
}

/** Applies rows of the intake, new jobs and cancellations, which may come in any order. */
export function applyIntakeRows(jobRegistry: jobRegistries.JobRegistry, intake: readonly rows.Row[]): void {
    const cancelled: string[] = [];
    for (const row of intake) {
        const jobId = work.getCancelledJobId(row.key);
        if (jobId === undefined) {
            jobRegistry.addJob(JSON.parse(row.value) as work.Submission);
        }
        else {
            cancelled.push(jobId);
        }
    }
    cancelled.forEach(jobId => jobRegistry.cancelJob(jobId));
}

function restore(options: TakeoverOptions, progressRows: readonly rows.Row[]): void {
    const orphans: string[] = [];
    const occurrences: Array<{ job: entries.JobEntry; number: number; row: rows.Row; }> = [];
    for (const row of progressRows) {
        const parsed = work.parseOccurrenceKey(row.key);
        const job = options.jobRegistry.jobs.get(parsed?.jobId ?? row.key);
        if (!job) {
            orphans.push(row.key);
            continue;
        }
        if (parsed) {
            occurrences.push({ job, number: parsed.occurrence, row });
            continue;
        }
        options.jobRegistry.restoreJob(job, JSON.parse(row.value) as work.JobProgress, row.version);
    }
    if (orphans.length > 0) {
        options.onOrphans(orphans);
    }
    for (const { job, number, row } of occurrences) {
        const progress = work.decodeOccurrence(row.value);
        options.jobRegistry.restoreOccurrence(job, number, progress, row.version, options.getWorker);
    }
}

async function readWithRetry(
    options: TakeoverOptions,
    table: string,
    parts: readonly string[],
): Promise<Extract<rows.ReadResult, { kind: "read"; }> | undefined> {
    while (!options.signal.aborted) {
        const all = await rows.readParts(options.store, table, parts, READ_SILENCE_MS, rows.MAX_ANSWER_MS);
        if (all.kind === "read") {
            return all;
        }
        options.log.warn("takeoverReadFailed", { table, why: all.message });
        await options.clock.sleep(RETRY_PAUSE_MS, options.signal);
    }
    return undefined;
}

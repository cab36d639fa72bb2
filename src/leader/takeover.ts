/** What a new leader reads before it gives an order. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";
import type * as entries from "./entries";
import type * as book from "./jobRegistry";

export interface TakeoverOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly signal: AbortSignal;
    readonly jobRegistry: book.JobRegistry;
    getWorker(id: string): entries.WorkerEntry;
    /** Progress was found whose submission has been removed. */
    onOrphans(keys: readonly string[]): void;
}

/** Without a byte of a page; it begins after 10 ms as a rule, with a slow store (60 times) after 300 ms. */
const READ_SILENCE_MS = 1_500;
const RETRY_PAUSE_MS = 100;

/** Fills the book; returns the version from which to follow submissions, or `undefined` when the term is over. */
export async function loadStoredState(options: TakeoverOptions): Promise<number | undefined> {
    const startedAt = options.clock.now();
    const [submissions, progress] = await Promise.all([
        readUntilDone(options, work.Table.Jobs, work.INTAKE_PARTS),
        readUntilDone(options, work.Table.Progress, [work.LEADER_PART]),
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

/** Rows of the intake: new jobs and cancellations, in any order. */
export function applyIntakeRows(taskBook: book.JobRegistry, intake: readonly rows.Row[]): void {
    const cancelled: string[] = [];
    for (const row of intake) {
        const jobId = work.getCancelledJobId(row.key);
        if (jobId === undefined) {
            taskBook.addJob(JSON.parse(row.value) as work.Submission);
        }
        else {
            cancelled.push(jobId);
        }
    }
    cancelled.forEach(jobId => taskBook.cancelJob(jobId));
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

async function readUntilDone(
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

/**
 * Removes the rows of jobs after their retention period, so that a takeover does not read all jobs ever submitted.
 *
 * The submission is removed first: progress without a submission is removed later as an orphan, while a submission
 * without progress would run again.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";
import * as work from "../work/index";
import * as entries from "./entries";
import type * as jobRegistries from "./jobRegistry";
import type * as leases from "./lease/index";

export interface RetentionOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly leadership: leases.Leadership;
    readonly jobRegistry: jobRegistries.JobRegistry;
    /** How long the state of an ended job stays available, in milliseconds. */
    readonly retentionMs: number;
}

const CHECK_INTERVAL_MS = 10_000;
/** Maximum jobs removed per check. 3,500 jobs a day are one in 25 s, so any backlog is caught up with. */
const MAX_JOBS_PER_CHECK = 20;
const CALL_TIMEOUT_MS = 2_000;

/** Removes the rows of old jobs and early cancellations periodically until the term ends. */
export async function runRetention(options: RetentionOptions): Promise<void> {
    const { signal } = options.leadership;
    while (!signal.aborted) {
        await options.clock.sleep(CHECK_INTERVAL_MS, signal);
        if (signal.aborted || !options.leadership.mayIssueOrders()) {
            continue;
        }
        const before = options.clock.wallTime() - options.retentionMs;
        const expiredJobs = [...options.jobRegistry.jobs.values()]
            .filter(job => job.endedAt > 0 && job.endedAt < before && !hasPlacedTask(job))
            .slice(0, MAX_JOBS_PER_CHECK);
        let removed = 0;
        for (const job of expiredJobs) {
            if (await removeRows(options, job)) {
                options.jobRegistry.forgetJob(job);
                removed++;
            }
        }
        if (removed > 0) {
            options.log.info("jobsForgotten", { removed, left: options.jobRegistry.jobs.size });
        }
        await removeEarlyCancellations(options);
    }
}

/** Removes cancellations of jobs whose submission has not arrived in the time for which an ended job is kept. */
async function removeEarlyCancellations(options: RetentionOptions): Promise<void> {
    const { jobRegistry } = options;
    const before = options.clock.now() - options.retentionMs;
    const byPart = new Map<string, string[]>();
    for (const [jobId, learnedAt] of jobRegistry.earlyCancellations) {
        if (learnedAt < before) {
            const part = work.getIntakePart(jobId);
            byPart.set(part, [...byPart.get(part) ?? [], jobId].slice(0, MAX_REMOVALS));
        }
    }
    for (const [part, jobIds] of byPart) {
        const outcome = await options.store.transact({
            conditions: [],
            puts: [],
            removals: jobIds.map(jobId => ({ table: work.Table.Jobs, part, key: work.getCancelKey(jobId) })),
        }, CALL_TIMEOUT_MS);
        if (outcome.kind === "committed") {
            jobIds.forEach(jobRegistry.forgetEarlyCancellation);
            options.log.info("cancellationsForgotten", { removed: jobIds.length, part });
        }
    }
}

/** A task that is being stopped needs its entry until its worker confirms the end. */
function hasPlacedTask(job: entries.JobEntry): boolean {
    return [...job.occurrences.values()].some(entries.hasPlacedTask);
}

async function removeRows(options: RetentionOptions, job: entries.JobEntry): Promise<boolean> {
    const { jobId } = job.submission;
    const intake = await options.store.transact({
        conditions: [],
        puts: [],
        removals: [jobId, work.getCancelKey(jobId)].map(key => ({
            table: work.Table.Jobs,
            part: work.getIntakePart(jobId),
            key,
        })),
    }, CALL_TIMEOUT_MS);
    if (intake.kind !== "committed") {
        return false;
    }
    const numbers = new Set([...job.endedOccurrences, ...job.occurrences.keys()]);
    const keys = [jobId, ...[...numbers].map(number => work.getOccurrenceKey(jobId, number))];
    const progress = await options.leadership.transact(options.store, {
        removals: keys.map(key => ({ table: work.Table.Progress, part: work.LEADER_PART, key })),
    }, CALL_TIMEOUT_MS);
    return progress.kind === "committed";
}

/** Removes progress whose submission was removed by a leader that failed between the two removals. */
export async function removeOrphans(
    options: Pick<RetentionOptions, "store" | "log" | "leadership">,
    keys: readonly string[],
): Promise<void> {
    const outcome = await options.leadership.transact(options.store, {
        removals: keys.slice(0, MAX_REMOVALS).map(key => ({
            table: work.Table.Progress,
            part: work.LEADER_PART,
            key,
        })),
    }, CALL_TIMEOUT_MS);
    options.log.info("orphansRemoved", { rows: keys.length, outcome: outcome.kind });
}

/** A transaction holds 100 entries; the rest is removed later. */
const MAX_REMOVALS = 90;

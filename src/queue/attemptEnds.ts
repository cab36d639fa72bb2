/** Handles the end of an attempt: the job ends, is queued again, or is taken over as another owner has written it. */
import type * as clock from "../clock/index";
import type * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import * as result from "../result/index";
import type * as workers from "../workers/index";
import type * as attemptModule from "./attempt";
import type * as queueEntry from "./entry";
import * as outcomes from "./outcomes";
import type * as recorderModule from "./recorder";
import type * as schedulerModule from "./scheduler";

/** What the handling of ended attempts uses and calls. */
export interface AttemptEndsOptions {
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly signal: AbortSignal;
    readonly scheduler: schedulerModule.Scheduler;
    readonly health: workers.WorkerHealth;
    readonly recorder: recorderModule.Recorder;
    getMaxFailures(): number;
    /** Records the job's outcome. */
    finish(entry: queueEntry.QueueEntry, outcome: jobs.JobOutcome): Promise<void>;
    /** Queues the job for its next attempt. */
    requeue(entry: queueEntry.QueueEntry): void;
    /** Replaces the entry by the row that another owner has written. */
    replace(entry: queueEntry.QueueEntry, found: jobs.VersionedRow | undefined): void;
    /** Called after a failure, which may have made a worker unusable. */
    onWorkersChanged(): void;
    /** Requests a scheduling pass, since resources have become free. */
    requestPass(): void;
}

/** Handles the ends of attempts. */
export interface AttemptEnds {
    handleEnd(entry: queueEntry.QueueEntry, end: attemptModule.AttemptEnd): Promise<void>;
}

/** Delay after an attempt that did not start, since the cause often lasts for a moment. */
const RETRY_DELAY_MS = 300;

export function createAttemptEnds(options: AttemptEndsOptions): AttemptEnds {
    const { clock: time, counters, scheduler, health, recorder } = options;

    const handleEnd = async (entry: queueEntry.QueueEntry, end: attemptModule.AttemptEnd): Promise<void> => {
        const { job } = entry;
        scheduler.end(job.jobId, end.kind === "finished" ? end.ranMs : undefined);
        options.requestPass();
        switch (end.kind) {
            case "finished":
                for (const member of entry.stored.row.members) {
                    health.recordSuccess(member.workerId);
                }
                return options.finish(entry, { kind: "done", digest: end.digest, length: end.length });
            case "failed":
                return handleFailure(entry, end.workerId, end.message);
            case "stopped":
                return handleStopped(entry, end.started, end.savedMs);
            case "lost":
                counters.increment("jobs.workerLost");
                if (job.repeatable) {
                    options.requeue(entry);
                    return;
                }
                return options.finish(
                    entry,
                    outcomes.failed(
                        result.ResultCode.WorkerLost,
                        `worker ${end.workerId} was lost while it ran the job`,
                    ),
                );
            case "notClaimed":
                if (end.found?.version === entry.stored.version) {
                    // The table service is unavailable: the job stays accepted and is queued again.
                    await time.sleep(RETRY_DELAY_MS, options.signal);
                    options.requeue(entry);
                    return;
                }
                options.replace(entry, end.found);
                return;
        }
    };

    const handleFailure = async (entry: queueEntry.QueueEntry, workerId: string, message: string): Promise<void> => {
        const { job } = entry;
        health.recordFailure(workerId, job.jobId);
        job.failedWorkers.add(workerId);
        job.failures++;
        job.failedAt = time.now();
        const maxFailures = options.getMaxFailures();
        if (job.failures >= maxFailures) {
            // The job failed on workers that run other jobs without failures, so the job is the cause and its failures
            // no longer count against the workers.
            health.clearFailuresOf(job.jobId);
        }
        options.onWorkersChanged();
        if (job.repeatable && job.failures < maxFailures) {
            counters.increment("jobs.retried");
            options.requeue(entry);
            return;
        }
        return options.finish(entry, outcomes.failed(result.ResultCode.TaskFailed, message));
    };

    const handleStopped = async (entry: queueEntry.QueueEntry, started: boolean, savedMs: number): Promise<void> => {
        if (entry.requestedAction === "cancel") {
            const outcome = started
                ? outcomes.failed(result.ResultCode.Cancelled, "cancelled while it ran")
                : outcomes.cancelled();
            return options.finish(entry, outcome);
        }
        if (started && !entry.job.repeatable) {
            return options.finish(
                entry,
                outcomes.failed(
                    result.ResultCode.WorkerLost,
                    "the work was stopped while it ran and may not be repeated",
                ),
            );
        }
        if (started && savedMs > entry.job.savedMs) {
            entry.job.savedMs = savedMs;
            await recorder.recordProgress(entry, { state: "queued", savedMs });
        }
        if (!started) {
            counters.increment("attempts.notStarted");
            await time.sleep(RETRY_DELAY_MS, options.signal);
        }
        options.requeue(entry);
    };

    return { handleEnd };
}

/** Ends steps, occurrences and jobs: by the completion of their tasks, or by too many failures. */
import type * as clock from "../clock/index";
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import * as work from "../work/index";
import * as entries from "./entries";
import * as workerLosses from "./losses/index";

/** Expected times of one occurrence, in milliseconds. */
export interface ExpectedTimes {
    /** Objective for the time from its submission or due time to its end. */
    readonly objectiveMs: number;
    /** Expected duration of its longest chain of dependent steps. */
    readonly criticalPathMs: number;
}

/** What the outcomes need from the job registry. */
export interface OutcomesOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly listener: {
        onOccurrenceChanged(occurrence: entries.OccurrenceEntry): void;
        onJobChanged(job: entries.JobEntry): void;
    };
    getExpected(job: entries.JobEntry): ExpectedTimes;
    /** Expected duration of a run of the step's tasks, in milliseconds. */
    estimateRunMs(step: entries.StepEntry): number;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    onJobEnded(job: entries.JobEntry): void;
    onOccurrenceEnded(occurrence: entries.OccurrenceEntry): void;
    /** Stops the remaining runs of an occurrence that has ended. */
    stopOccurrence(occurrence: entries.OccurrenceEntry, reason: string): void;
}

/** Changes of tasks, steps, occurrences and jobs on the way to their end. */
export interface Outcomes {
    /** Ends the job in the given state. */
    endJob(job: entries.JobEntry, state: work.JobState): void;
    /** Marks the task as done after a successful run; for a gang, all its members. */
    markDone(task: entries.TaskEntry): void;
    /** Handles the completion of a step: makes later steps ready, or ends the occurrence. */
    markStepDone(step: entries.StepEntry): void;
    /** Counts a failed run, and ends the occurrence as failed once the attempts are used up. */
    countFailure(task: entries.TaskEntry, run: number, worker: entries.WorkerEntry): void;
    /** Ends the occurrence as failed, because one of its tasks is not retried any more. */
    failOccurrence(occurrence: entries.OccurrenceEntry): void;
}

/** Creates the handling of outcomes for one term. */
export function createOutcomes(options: OutcomesOptions): Outcomes {
    const { clock: time, log, meter } = options;

    const endJob = (job: entries.JobEntry, state: work.JobState) => {
        job.state = state;
        job.endedAt = time.wallTime();
        options.onJobEnded(job);
        options.listener.onJobChanged(job);
        const { account } = job.submission;
        const queue = job.queue.name;
        const ageMs = Math.round(job.endedAt - job.submission.acceptedAt);
        const expected = options.getExpected(job);
        log.info("jobEnded", {
            job: job.submission.jobId,
            account,
            queue,
            state,
            ageMs,
            objectiveMs: Math.round(expected.objectiveMs),
            expectedMs: Math.round(expected.criticalPathMs),
            coreSeconds: Math.round(getCoreSeconds(job)),
        });
        meter.increment("jobs_ended_total", { account, queue, state });
        meter.record("job_duration_ms", { account, queue }, ageMs);
    };

    const endOccurrence = (occurrence: entries.OccurrenceEntry, failed: boolean) => {
        const { job } = occurrence;
        occurrence.isEnded = true;
        options.onOccurrenceEnded(occurrence);
        job.endedOccurrences.add(occurrence.number);
        job.failed ||= failed;
        options.listener.onOccurrenceChanged(occurrence);
        if (failed) {
            options.stopOccurrence(occurrence, "jobFailed");
        }
        if (job.endedOccurrences.size >= work.getOccurrenceCount(job.submission.spec)) {
            endJob(job, job.failed ? "failed" : "completed");
            return;
        }
        options.listener.onJobChanged(job);
    };

    const markStepDone = (step: entries.StepEntry) => {
        const { occurrence } = step;
        if (step.hasReleasedSuccessors) {
            return;
        }
        step.hasReleasedSuccessors = true;
        for (const number of entries.getStepGraph(occurrence.job).successors[step.number]!) {
            const next = occurrence.steps[number]!;
            next.unfinishedPredecessors--;
            if (next.unfinishedPredecessors === 0) {
                next.readySince = time.now();
            }
        }
        occurrence.unfinishedSteps--;
        if (occurrence.unfinishedSteps === 0 && !occurrence.isEnded) {
            endOccurrence(occurrence, false);
        }
    };

    const markDone = (task: entries.TaskEntry) => {
        const { step } = task;
        const members = step.spec.gang ? step.tasks : [task];
        for (const member of members) {
            if (member.phase !== "done") {
                member.phase = "done";
                step.doneCount++;
            }
        }
        options.listener.onOccurrenceChanged(step.occurrence);
        if (entries.isStepDone(step)) {
            markStepDone(step);
        }
    };

    const countFailure = (task: entries.TaskEntry, run: number, worker: entries.WorkerEntry) => {
        const { step } = task;
        if (!step.spec.lasting) {
            workerLosses.recordFailedRun(worker, task, options.estimateRunMs(step), {
                now: time.now(),
                disabledMechanisms: options.disabledMechanisms,
            });
        }
        if (step.spec.gang && step.lastFailedRun === run) {
            return;
        }
        step.lastFailedRun = run;
        const members = step.spec.gang ? step.tasks : [task];
        const failures = task.failures + 1;
        for (const member of members) {
            member.failures = failures;
        }
        const { job } = step.occurrence;
        if (step.spec.lasting) {
            // Lasting tasks may fail at any time on any worker, and are restarted without a limit.
            log.info("lastingTaskFailed", { task: task.name, run, worker: worker.id });
            return;
        }
        task.failedOn.add(worker.id);
        log.info("runFailed", {
            task: task.name,
            run,
            worker: worker.id,
            failures,
            of: job.queue.maxAttempts,
            ranMs: Math.round(time.now() - task.runningSince),
        });
        if (failures >= job.queue.maxAttempts) {
            failOccurrence(step.occurrence);
        }
    };

    const failOccurrence = (occurrence: entries.OccurrenceEntry) => {
        if (!occurrence.isEnded) {
            endOccurrence(occurrence, true);
        }
    };

    return { endJob, markDone, markStepDone, countFailure, failOccurrence };
}

/** Returns the estimated work of one occurrence, from the estimates of the submission. */
function getCoreSeconds(job: entries.JobEntry): number {
    return job.submission.spec.steps.reduce(
        (sum, step) => sum + step.count * decisions.getCoreEquivalents(step.needs) * step.estimateMs / 1_000,
        0,
    );
}

/** Restores jobs and tasks from the progress that an earlier leader stored. */
import type * as clock from "../clock/index";
import type * as work from "../work/index";
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";

export interface RestorerOptions {
    readonly clock: clock.Clock;
    /** Jobs that have not ended. */
    readonly active: Set<entries.JobEntry>;
    isQueueConfigured(name: string): boolean;
    openOccurrence(job: entries.JobEntry, number: number): entries.OccurrenceEntry;
    onOccurrenceEnded(occurrence: entries.OccurrenceEntry): void;
    markStepDone(step: entries.StepEntry): void;
    failOccurrence(occurrence: entries.OccurrenceEntry): void;
    requestStop(task: entries.TaskEntry, reason: string): void;
    stopOccurrence(occurrence: entries.OccurrenceEntry, reason: string): void;
    /** Gives the task up if it has exceeded its limit of crashed workers. */
    enforceCrashLimit(task: entries.TaskEntry): void;
}

/** Restores stored progress. */
export interface Restorer {
    /** Restores the state of a job from its stored progress. */
    restoreJob(job: entries.JobEntry, progress: work.JobProgress, version: number): void;
    restoreOccurrence(
        job: entries.JobEntry,
        number: number,
        progress: work.OccurrenceProgress,
        version: number,
        getWorker: (id: string) => entries.WorkerEntry,
    ): void;
    /** Fails the task's occurrence if the task is not running and has reached a limit of its queue. */
    enforceLimits(task: entries.TaskEntry): void;
}

export function createRestorer(options: RestorerOptions): Restorer {
    const { active } = options;

    const restoreTask = (
        task: entries.TaskEntry,
        stored: work.TaskProgress,
        getWorker: (id: string) => entries.WorkerEntry,
    ) => {
        task.run = stored.run;
        if (stored.kind === "done") {
            task.phase = "done";
            task.step.doneCount++;
            return;
        }
        task.failures = stored.failures;
        task.crashes = crashHistory.restoreCrashHistory(stored, stored.kind === "placed");
        task.saved = stored.saved;
        switch (stored.kind) {
            case "waiting":
                break;
            case "placed":
                assumeRunning(task, getWorker(stored.workerId), options.clock.now());
                break;
            case "closing":
                assumeRunning(task, getWorker(stored.workerId), options.clock.now());
                options.requestStop(task, entries.MISSING_RUN_REASON);
                break;
        }
    };
    const enforceLimits = (task: entries.TaskEntry) => {
        options.enforceCrashLimit(task);
        const { step } = task;
        const { maxAttempts } = step.occurrence.job.queue;
        const isWaiting = !task.worker && task.phase !== "done" && !step.occurrence.isEnded;
        if (!step.spec.lasting && isWaiting && task.failures >= maxAttempts) {
            options.failOccurrence(step.occurrence);
        }
    };
    /**
     * Stops the rest of a gang of which some members have ended, as the earlier leader was doing. Otherwise the
     * remaining members would wait forever for the others.
     */
    const stopIncompleteGang = (step: entries.StepEntry) => {
        if (step.spec.gang && step.tasks.some(member => member.phase === "waiting")) {
            step.tasks.forEach(member => options.requestStop(member, "gangIncomplete"));
        }
    };
    return {
        enforceLimits,
        restoreJob: (job, progress, version) => {
            job.state = progress.state;
            job.failed = progress.failed;
            job.endedAt = progress.endedAt;
            job.rowVersion = version;
            for (const number of progress.ended) {
                job.endedOccurrences.add(number);
            }
            job.cancelled = progress.state === "cancelled";
            if (progress.service !== undefined && !options.isQueueConfigured(job.queue.name)) {
                job.queue = { ...job.queue, service: progress.service };
            }
            if (progress.endedAt > 0) {
                active.delete(job);
            }
        },
        restoreOccurrence: (job, number, progress, version, getWorker) => {
            const isEnded = job.endedOccurrences.has(number) || !active.has(job);
            if (isEnded && !progress.some(tasks => tasks.some(isPlaced))) {
                job.endedOccurrences.add(number);
                return;
            }
            const occurrence = options.openOccurrence(job, number);
            occurrence.rowVersion = version;
            occurrence.isEnded = isEnded;
            for (const step of occurrence.steps) {
                for (const task of step.tasks) {
                    const stored = progress[step.number]?.[task.index];
                    if (stored) {
                        restoreTask(task, stored, getWorker);
                    }
                }
            }
            for (const step of occurrence.steps) {
                if (entries.isStepDone(step)) {
                    options.markStepDone(step);
                }
                stopIncompleteGang(step);
            }
            // The earlier leader may have failed after it counted the last attempt and before it stored the end.
            occurrence.steps.forEach(step => step.tasks.forEach(enforceLimits));
            if (occurrence.isEnded) {
                options.stopOccurrence(occurrence, "jobOver");
                options.onOccurrenceEnded(occurrence);
            }
        },
    };
}

/** Whether a worker may hold a run of the task. */
function isPlaced(task: work.TaskProgress): boolean {
    switch (task.kind) {
        case "placed":
        case "closing":
            return true;
        case "waiting":
        case "done":
            return false;
    }
}

/** Assumes that the task runs, until its worker reports otherwise. */
function assumeRunning(task: entries.TaskEntry, worker: entries.WorkerEntry, now: number): void {
    entries.assign(task, worker);
    task.phase = "running";
    task.pacePercent = undefined;
    task.orderedAt = now;
    task.runningSince = now;
    task.lastProgressAt = now;
    task.inherited = true;
}

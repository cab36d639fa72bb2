/**
 * The leader's in-memory state of jobs and tasks, and all transitions of it. The registry sends no orders to workers:
 * it notifies its listener of the tasks to stop and the rows to write.
 */
import type * as catalog from "../catalog/index";
import type * as clock from "../clock/index";
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import * as work from "../work/index";
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";
import * as workerLosses from "./losses/index";
import * as openOccurrences from "./occurrences";
import * as outcomes from "./outcomes";
import * as restore from "./restore";
import type * as sessions from "./sessions/index";
import * as thrownAways from "./thrownAway";

/** Callbacks for changes that need an order, a stored row or a pass. */
export interface JobRegistryListener {
    onOccurrenceChanged(occurrence: entries.OccurrenceEntry): void;
    onJobChanged(job: entries.JobEntry): void;
    /** The task is now `stopping`: its run must be stopped, and its end must be confirmed. */
    onStopRequested(task: entries.TaskEntry): void;
    /**
     * The task is done and its current run is not needed any more. The run holds its capacity until its end is seen.
     */
    onRunObsolete(task: entries.TaskEntry): void;
    /** A task may have become startable. */
    onChanged(): void;
}

export interface JobRegistryOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly listener: JobRegistryListener;
    /** Aborted when the term ends. */
    readonly signal: AbortSignal;
    getQueue(name: string): catalog.Queue | undefined;
    getExpectedTimes(job: entries.JobEntry): outcomes.ExpectedTimes;
    /** Estimated run time of one of the step's tasks, in milliseconds. */
    estimateRunMs(step: entries.StepEntry): number;
    /** All workers that the leader knows. */
    getWorkers(): Iterable<entries.WorkerEntry>;
    readonly unansweredStarts: Pick<sessions.UnansweredStarts, "has">;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    readonly thrownAway: thrownAways.ThrownAwayWork;
}

/** Jobs, occurrences and tasks of a term, and their transitions. */
export interface JobRegistry extends Pick<restore.Restorer, "restoreJob" | "restoreOccurrence"> {
    readonly jobs: ReadonlyMap<string, entries.JobEntry>;
    /** Jobs that have not ended. */
    readonly active: ReadonlySet<entries.JobEntry>;
    addJob(submission: work.Submission): entries.JobEntry;
    /** Applies the configuration in force to the queues of the jobs that have not ended. */
    updateQueues(): void;
    /** Whether the queue of a job that has not ended sends its tasks to workers of that service. */
    isServiceNeeded(service: string): boolean;
    /** Cancels a job. Remembers the cancellation of a job that is unknown, whose submission may still arrive. */
    cancelJob(jobId: string): void;
    /** When this leader learned of each cancellation of an unknown job, as monotonic time in milliseconds. */
    readonly earlyCancellations: ReadonlyMap<string, number>;
    /** Forgets a cancellation whose row was removed. */
    forgetEarlyCancellation(jobId: string): void;
    getTask(name: string): entries.TaskEntry | undefined;
    /**
     * Opens the occurrences that are due, as many as may be open at once, and drops those that have ended. Returns the
     * Unix time at which the next one is due, in milliseconds.
     */
    releaseDueOccurrences(): number | undefined;
    /** Number of occurrences that are due and not open yet. */
    countHeldBackOccurrences(): number;
    /** Assigns a worker to each task. The rows must be stored before any order is sent. */
    place(tasks: readonly entries.TaskEntry[], workers: readonly entries.WorkerEntry[]): void;
    confirmRunning(task: entries.TaskEntry): void;
    /** Returns the task to waiting: its current run has not started and never will. */
    revertPlacement(task: entries.TaskEntry): void;
    requestStop(task: entries.TaskEntry, reason: string): void;
    recordRunEnd(worker: entries.WorkerEntry, end: sessions.TaskEnd): void;
    /** Records the progress that the task's worker reported. */
    recordProgress(task: entries.TaskEntry, progress: sessions.RunningTask): void;
    /** Handles the loss of a worker: its incarnation has ended, or the leases of all its tasks have expired. */
    handleWorkerLoss(
        worker: entries.WorkerEntry,
        reason: workerLosses.LossReason,
        next?: workerLosses.NextIncarnation,
    ): void;
    /** Determines whether lost workers have crashed. */
    readonly crashAttribution: workerLosses.CrashAttribution;
    /** Removes a job that has ended and of which no task is placed. */
    forgetJob(job: entries.JobEntry): void;
}

export function createJobRegistry(options: JobRegistryOptions): JobRegistry {
    const { clock: time, log, meter, listener } = options;
    const jobs = new Map<string, entries.JobEntry>();
    const active = new Set<entries.JobEntry>();
    const earlyCancellations = new Map<string, number>();
    const occurrences = openOccurrences.createOccurrences({ clock: time, log, active });

    const stopOccurrence = (occurrence: entries.OccurrenceEntry, reason: string) => {
        for (const step of occurrence.steps) {
            for (const task of step.tasks) {
                registry.requestStop(task, reason);
            }
        }
    };

    const { endJob, markDone, markStepDone, countFailure, failOccurrence } = outcomes.createOutcomes({
        clock: time,
        log,
        meter,
        listener,
        getExpected: options.getExpectedTimes,
        estimateRunMs: options.estimateRunMs,
        disabledMechanisms: options.disabledMechanisms,
        onJobEnded: job => active.delete(job),
        onOccurrenceEnded: occurrences.markEnded,
        stopOccurrence,
    });

    /** Returns whether the service of the job's queue has changed. */
    const updateQueue = (job: entries.JobEntry): boolean => {
        const { queue: previous, submission } = job;
        const configured = options.getQueue(previous.name);
        if (!configured) {
            if (previous.service !== submission.queue.service) {
                // Later leaders can learn the service of a removed queue from the job's row alone.
                listener.onJobChanged(job);
            }
            return false;
        }
        job.queue = configured;
        if (configured.maxAttempts < previous.maxAttempts) {
            for (const occurrence of job.occurrences.values()) {
                occurrence.steps.forEach(step => step.tasks.forEach(restorer.enforceLimits));
            }
        }
        return configured.service !== previous.service;
    };
    const updateQueues = () => {
        const moved = new Map<catalog.Queue, number>();
        for (const job of [...active]) {
            if (updateQueue(job)) {
                moved.set(job.queue, (moved.get(job.queue) ?? 0) + 1);
            }
        }
        for (const [{ name, service }, count] of moved) {
            log.info("queueMoved", { queue: name, service, jobs: count });
        }
    };
    const isServiceNeeded = (service: string) => {
        for (const job of active) {
            if (job.queue.service === service) {
                return true;
            }
        }
        return false;
    };

    const requeue = (task: entries.TaskEntry) => {
        task.phase = "waiting";
        task.waitingSince = time.now();
        task.stopAcceptedAt = undefined;
        listener.onOccurrenceChanged(task.step.occurrence);
        listener.onChanged();
    };

    /** A gang cannot continue without one of its members: the others are stopped, and all restart together. */
    const stopOtherMembers = (task: entries.TaskEntry, reason: string) => {
        if (!task.step.spec.gang) {
            return;
        }
        for (const member of task.step.tasks) {
            if (member !== task) {
                registry.requestStop(member, reason);
            }
        }
    };

    const recordCheckpoint = (task: entries.TaskEntry, saved: string) => {
        if (saved === "" || saved === task.saved) {
            return;
        }
        // All members of a gang resume from the same checkpoint, whichever member saved it.
        for (const member of task.step.spec.gang ? task.step.tasks : [task]) {
            member.saved = saved;
            member.savedAt = time.now();
        }
    };

    const countThrownAway = (task: entries.TaskEntry, cause: string, endedAt: number) => {
        const queue = task.step.occurrence.job.queue.name;
        const coreSeconds = options.thrownAway.addRun(task, cause, endedAt);
        meter.increment("thrown_away_core_seconds_total", { queue, cause }, coreSeconds);
    };
    const countGangWait = (step: entries.StepEntry) => {
        const queue = step.occurrence.job.queue.name;
        const coreSeconds = options.thrownAway.addGangWait(step);
        meter.increment("thrown_away_core_seconds_total", { queue, cause: thrownAways.GANG_WAIT_CAUSE }, coreSeconds);
    };

    /**
     * Handles an earlier run that succeeded on an unreachable worker after the task was restarted because the run's
     * lease was considered expired. The work is done, so the next step need not wait for the later run.
     */
    const handleEarlierRunEnd = (worker: entries.WorkerEntry, task: entries.TaskEntry, end: sessions.TaskEnd) => {
        if (end.how !== "done" || task.step.spec.lasting || task.phase === "done") {
            return;
        }
        log.info("earlierRunDone", { task: task.name, run: end.run, worker: worker.id, currentRun: task.run });
        const members = task.step.spec.gang ? task.step.tasks : [task];
        members.forEach(discardRun);
        markDone(task);
        members.filter(member => member.worker).forEach(listener.onRunObsolete);
        listener.onChanged();
    };
    /** Discards the task's current run, which may be running. */
    const discardRun = (task: entries.TaskEntry) => {
        switch (task.phase) {
            case "recording":
                entries.unassign(task);
                break;
            case "ordered":
            case "running":
            case "stopping":
                countThrownAway(task, "earlierRunDone", time.now());
                // Counts as missing only from a poll that was sent after the worker accepted the stop.
                task.runningSince = Infinity;
                break;
            case "waiting":
            case "done":
                break;
        }
    };

    const losses = workerLosses.createWorkerLosses({
        clock: time,
        log,
        meter,
        signal: options.signal,
        getWorkers: options.getWorkers,
        unansweredStarts: options.unansweredStarts,
        estimateRunMs: options.estimateRunMs,
        countThrownAway,
        requeue,
        stopOtherMembers,
        onStopRequested: listener.onStopRequested,
        failOccurrence: task => failOccurrence(task.step.occurrence),
        onOccurrenceChanged: listener.onOccurrenceChanged,
    });

    const restorer = restore.createRestorer({
        clock: time,
        active,
        isQueueConfigured: name => options.getQueue(name) !== undefined,
        openOccurrence: occurrences.open,
        onOccurrenceEnded: occurrences.markEnded,
        markStepDone,
        failOccurrence,
        requestStop: (task, reason) => registry.requestStop(task, reason),
        stopOccurrence,
        enforceCrashLimit: losses.enforceCrashLimit,
    });

    const registry: JobRegistry = {
        jobs,
        active,
        earlyCancellations,
        forgetEarlyCancellation: jobId => void earlyCancellations.delete(jobId),
        addJob: submission => {
            const present = jobs.get(submission.jobId);
            if (present) {
                return present;
            }
            const queue = options.getQueue(submission.queue.name) ?? submission.queue;
            const job = entries.createJobEntry(submission, queue, time.now());
            jobs.set(submission.jobId, job);
            active.add(job);
            if (earlyCancellations.delete(submission.jobId)) {
                registry.cancelJob(submission.jobId);
            }
            listener.onChanged();
            return job;
        },
        updateQueues,
        isServiceNeeded,
        restoreJob: restorer.restoreJob,
        restoreOccurrence: restorer.restoreOccurrence,
        cancelJob: jobId => {
            const job = jobs.get(jobId);
            if (!job) {
                earlyCancellations.set(jobId, earlyCancellations.get(jobId) ?? time.now());
                return;
            }
            if (job.cancelled || !active.has(job)) {
                return;
            }
            job.cancelled = true;
            endJob(job, "cancelled");
            for (const occurrence of job.occurrences.values()) {
                occurrence.isEnded = true;
                occurrences.markEnded(occurrence);
                stopOccurrence(occurrence, "jobCancelled");
            }
        },
        getTask: occurrences.getTask,
        releaseDueOccurrences: occurrences.update,
        countHeldBackOccurrences: occurrences.countHeldBack,
        place: (members, workers) => {
            const run = Math.max(...members.map(member => member.run)) + 1;
            members.forEach((task, index) => {
                task.run = run;
                crashHistory.recordStart(task.crashes);
                task.phase = "recording";
                task.stopAcceptedAt = undefined;
                task.stopSentAt = undefined;
                task.percent = 0;
                task.inherited = false;
                task.speed = decisions.createSpeedHistory();
                task.pacePercent = 100;
                entries.assign(task, workers[index]!);
            });
            listener.onOccurrenceChanged(members[0]!.step.occurrence);
        },
        confirmRunning: task => {
            if (task.phase !== "ordered") {
                return;
            }
            task.phase = "running";
            task.runningSince = time.now();
            task.lastProgressAt = time.now();
            const { job } = task.step.occurrence;
            if (job.state === "queued") {
                job.state = "running";
                listener.onJobChanged(job);
            }
        },
        revertPlacement: task => {
            entries.unassign(task);
            if (task.phase === "done") {
                return;
            }
            crashHistory.refundStart(task.crashes);
            requeue(task);
            stopOtherMembers(task, "gangIncomplete");
            losses.enforceCrashLimit(task);
        },
        requestStop: (task, reason) => {
            switch (task.phase) {
                case "recording":
                    entries.unassign(task);
                    crashHistory.refundStart(task.crashes);
                    requeue(task);
                    losses.enforceCrashLimit(task);
                    break;
                case "ordered":
                case "running":
                    task.phase = "stopping";
                    task.stopReason = reason;
                    task.stopAcceptedAt = undefined;
                    listener.onStopRequested(task);
                    // Only this member is missing; the others may still run on their workers.
                    stopOtherMembers(task, reason === entries.MISSING_RUN_REASON ? "gangIncomplete" : reason);
                    break;
                case "stopping":
                    if (reason === entries.MISSING_RUN_REASON && !entries.isClosing(task)) {
                        task.stopReason = reason;
                        listener.onOccurrenceChanged(task.step.occurrence);
                    }
                    break;
                case "waiting":
                case "done":
                    break;
            }
        },
        recordRunEnd: (worker, end) => {
            const task = occurrences.getTask(end.task);
            if (!task || task.run !== end.run) {
                if (task && end.run < task.run) {
                    handleEarlierRunEnd(worker, task, end);
                }
                return;
            }
            const isCurrent = task.worker === worker;
            if (!isCurrent && !(end.how === "done" && task.phase === "waiting")) {
                return;
            }
            meter.increment("runs_ended_total", { queue: task.step.occurrence.job.queue.name, how: end.how });
            recordCheckpoint(task, end.saved);
            if (isCurrent) {
                entries.unassign(task);
            }
            listener.onChanged();
            if (task.phase === "done") {
                return;
            }
            if (end.how === "done" && !task.step.spec.lasting) {
                worker.consecutiveFailures = 0;
                if (task.step.spec.gang) {
                    countGangWait(task.step);
                }
                markDone(task);
                return;
            }
            const wasStopping = task.phase === "stopping";
            if (isCurrent && end.how !== "failed") {
                countThrownAway(
                    task,
                    wasStopping ? thrownAways.getCause(task.stopReason) : end.how,
                    wasStopping ? thrownAways.getStoppedAt(task, time.now()) : time.now(),
                );
            }
            if (wasStopping && task.stopReason.startsWith("preempted")) {
                task.backoffUntil = options.disabledMechanisms.has("rests")
                    ? 0
                    : time.now() + decisions.PREEMPTION_BACKOFF_MS;
                task.preemptions++;
            }
            requeue(task);
            if (end.how === "failed") {
                countFailure(task, end.run, worker);
            }
            else {
                log.info("runEnded", {
                    task: task.name,
                    run: end.run,
                    worker: worker.id,
                    how: end.how,
                    reason: wasStopping ? task.stopReason : undefined,
                    ranMs: Math.round(time.now() - task.runningSince),
                    saved: end.saved !== "",
                });
            }
            stopOtherMembers(task, `gang member ended: ${end.how}`);
            losses.enforceCrashLimit(task);
        },
        recordProgress: (task, progress) => {
            recordCheckpoint(task, progress.saved);
            task.recentFigure = progress.recentFigure;
            task.lastReportAt = time.now();
            if (progress.percent > 0) {
                crashHistory.recordRunTime(task.crashes, entries.getObservedMs(task));
            }
            decisions.recordProgress(task.speed, progress.percent, time.now());
            if (task.phase === "ordered") {
                registry.confirmRunning(task);
            }
            if (progress.percent > task.percent) {
                task.percent = progress.percent;
                task.lastProgressAt = time.now();
            }
        },
        handleWorkerLoss: losses.handleWorkerLoss,
        crashAttribution: losses.crashAttribution,
        forgetJob: job => {
            jobs.delete(job.submission.jobId);
            occurrences.forget(job);
        },
    };
    return registry;
}

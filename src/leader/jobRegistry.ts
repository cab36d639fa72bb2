/**
 * What the leader believes of jobs and tasks, and each change to it. The book gives no orders: it says through its
 * listener which tasks must be stopped and which rows have changed.
 */
import type * as catalog from "../catalog/index";
import type * as clock from "../clock/index";
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import * as work from "../work/index";
import type * as crashes from "./crashAttribution";
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";
import * as outcomes from "./outcomes";
import * as restore from "./restore";
import * as thrownAways from "./thrownAway";
import * as lossesOfWorkers from "./workerLosses";
import type * as port from "./workerPort";

export interface JobRegistryListener {
    onOccurrenceChanged(occurrence: entries.OccurrenceEntry): void;
    onJobChanged(job: entries.JobEntry): void;
    /** The task is now `stopping`: its run must be stopped and settled. */
    onStopRequested(task: entries.TaskEntry): void;
    /** The task is done; its current run is not needed any more, and its room counts until its end is seen. */
    onRunObsolete(task: entries.TaskEntry): void;
    /** Something may now be startable. */
    onChanged(): void;
}

export interface JobRegistryOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly listener: JobRegistryListener;
    /** Of the term. */
    readonly signal: AbortSignal;
    getQueue(name: string): catalog.Queue | undefined;
    getExpectedTimes(job: entries.JobEntry): outcomes.ExpectedTimes;
    /** How long a run of the step's tasks is expected to take. */
    estimateRunMs(step: entries.StepEntry): number;
    /** All that the leader knows. */
    getWorkers(): Iterable<entries.WorkerEntry>;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    readonly thrownAway: thrownAways.ThrownAwayWork;
}

export interface JobRegistry extends restore.Restorer {
    readonly jobs: ReadonlyMap<string, entries.JobEntry>;
    /** Jobs that are not over. */
    readonly active: ReadonlySet<entries.JobEntry>;
    addJob(submission: work.Submission): entries.JobEntry;
    cancelJob(jobId: string): void;
    getTask(name: string): entries.TaskEntry | undefined;
    /** Creates the occurrences that are due; returns the wall-clock time at which the next one is. */
    releaseDueOccurrences(): number | undefined;
    /** Chooses a worker for each member; the rows must be stored before any order goes out. */
    place(tasks: readonly entries.TaskEntry[], workers: readonly entries.WorkerEntry[]): void;
    confirmRunning(task: entries.TaskEntry): void;
    /** The current run has not begun and never will. */
    revertPlacement(task: entries.TaskEntry): void;
    requestStop(task: entries.TaskEntry, reason: string): void;
    recordRunEnd(worker: entries.WorkerEntry, end: port.TaskEnd): void;
    /** Takes note of a task's progress, as its worker tells it. */
    recordProgress(task: entries.TaskEntry, told: port.RunningTask): void;
    /** The worker's life is over, or all that ran there has lapsed. */
    loseTasksOf(
        worker: entries.WorkerEntry,
        reason: lossesOfWorkers.LossReason,
        next?: lossesOfWorkers.NextIncarnation,
    ): void;
    /** Learns whether workers that were lost have crashed. */
    readonly crashAttribution: crashes.CrashAttribution;
    /** Drops a job that is over and that nothing runs for. */
    forgetJob(job: entries.JobEntry): void;
}

export function createJobRegistry(options: JobRegistryOptions): JobRegistry {
    const { clock: time, log, meter, listener } = options;
    const jobs = new Map<string, entries.JobEntry>();
    const active = new Set<entries.JobEntry>();
    const tasks = new Map<string, entries.TaskEntry>();

    const openOccurrence = (job: entries.JobEntry, number: number) => {
        const occurrence = entries.createOccurrenceEntry(job, number, time.now());
        job.occurrences.set(number, occurrence);
        for (const step of occurrence.steps) {
            for (const task of step.tasks) {
                tasks.set(task.name, task);
            }
        }
        return occurrence;
    };

    const stopAll = (occurrence: entries.OccurrenceEntry, reason: string) => {
        for (const step of occurrence.steps) {
            for (const task of step.tasks) {
                book.requestStop(task, reason);
            }
        }
    };

    const { endJob, markDone, markStepDone, countFailure, failOccurrence: endFailed } = outcomes.createOutcomes({
        clock: time,
        log,
        meter,
        listener,
        getExpected: options.getExpectedTimes,
        estimateRunMs: options.estimateRunMs,
        disabledMechanisms: options.disabledMechanisms,
        onJobEnded: job => active.delete(job),
        stopOccurrence: stopAll,
    });

    const toWaiting = (task: entries.TaskEntry) => {
        task.phase = "waiting";
        task.waitingSince = time.now();
        task.stopAcceptedAt = undefined;
        listener.onOccurrenceChanged(task.step.occurrence);
        listener.onChanged();
    };

    /** A gang whose member is no longer at work cannot go on: the others are stopped, to begin again together. */
    const breakGang = (task: entries.TaskEntry, reason: string) => {
        if (!task.step.spec.gang) {
            return;
        }
        for (const member of task.step.tasks) {
            if (member !== task) {
                book.requestStop(member, reason);
            }
        }
    };

    const keepSaved = (task: entries.TaskEntry, saved: string) => {
        if (saved === "" || saved === task.saved) {
            return;
        }
        // What any member of a gang saved holds for the whole gang, and all must go on from the same.
        for (const member of task.step.spec.gang ? task.step.tasks : [task]) {
            member.saved = saved;
            member.savedAt = time.now();
        }
    };

    const countThrownAway = (task: entries.TaskEntry, cause: string) => {
        const queue = task.step.occurrence.job.queue.name;
        const coreSeconds = options.thrownAway.addRun(task, cause, time.now());
        meter.increment("thrown_away_core_seconds_total", { queue, cause }, coreSeconds);
    };
    const countGangWait = (step: entries.StepEntry) => {
        const queue = step.occurrence.job.queue.name;
        const coreSeconds = options.thrownAway.addGangWait(step);
        meter.increment("thrown_away_core_seconds_total", { queue, cause: thrownAways.GANG_WAIT_CAUSE }, coreSeconds);
    };

    /**
     * A run that ended well on a worker that was out of reach, after its lease was taken to be over and the task had been
     * started again. The work is done, and the next step need not wait for the later run.
     */
    const takeEarlierEnd = (worker: entries.WorkerEntry, task: entries.TaskEntry, end: port.TaskEnd) => {
        if (end.how !== "done" || task.step.spec.lasting || task.phase === "done") {
            return;
        }
        log.info("earlierRunDone", { task: task.name, run: end.run, worker: worker.id, currentRun: task.run });
        const members = task.step.spec.gang ? task.step.tasks : [task];
        members.forEach(dropRun);
        markDone(task);
        members.filter(member => member.worker).forEach(listener.onRunObsolete);
        listener.onChanged();
    };
    /** The task's current run, which may be under way, is not needed any more. */
    const dropRun = (task: entries.TaskEntry) => {
        switch (task.phase) {
            case "recording":
                entries.unassign(task);
                break;
            case "ordered":
            case "running":
            case "stopping":
                countThrownAway(task, "earlierRunDone");
                // It counts as missing only from a look that was sent after the worker has accepted its stop.
                task.runningSince = Infinity;
                break;
            case "waiting":
            case "done":
                break;
        }
    };

    const losses = lossesOfWorkers.createWorkerLosses({
        clock: time,
        log,
        meter,
        signal: options.signal,
        getWorkers: options.getWorkers,
        estimateRunMs: options.estimateRunMs,
        countThrownAway,
        requeue: toWaiting,
        stopOtherMembers: breakGang,
        onStopRequested: listener.onStopRequested,
        failOccurrence: task => endFailed(task.step.occurrence),
        onOccurrenceChanged: listener.onOccurrenceChanged,
    });

    const restoring = restore.createRestorer({
        clock: time,
        active,
        openOccurrence,
        markStepDone,
        endFailed,
        requestStop: (task, reason) => book.requestStop(task, reason),
        stopAll,
        enforceCrashLimit: losses.enforceCrashLimit,
    });

    const book: JobRegistry = {
        jobs,
        active,
        addJob: submission => {
            const present = jobs.get(submission.jobId);
            if (present) {
                return present;
            }
            const queue = options.getQueue(submission.queue.name) ?? submission.queue;
            const job = entries.createJobEntry(submission, queue, time.now());
            jobs.set(submission.jobId, job);
            active.add(job);
            listener.onChanged();
            return job;
        },
        ...restoring,
        cancelJob: jobId => {
            const job = jobs.get(jobId);
            if (!job || job.cancelled || !active.has(job)) {
                return;
            }
            job.cancelled = true;
            endJob(job, "cancelled");
            for (const occurrence of job.occurrences.values()) {
                occurrence.isEnded = true;
                stopAll(occurrence, "jobCancelled");
            }
        },
        getTask: name => tasks.get(name),
        releaseDueOccurrences: () => {
            const now = time.wallTime();
            let next: number | undefined;
            for (const job of active) {
                const count = work.getOccurrenceCount(job.submission.spec);
                for (let number = 0; number < count; number++) {
                    if (job.endedOccurrences.has(number) || job.occurrences.has(number)) {
                        continue;
                    }
                    const dueAt = work.getDueAt(job.submission.spec, number);
                    if (dueAt === undefined || dueAt <= now) {
                        openOccurrence(job, number);
                        continue;
                    }
                    next = Math.min(next ?? Infinity, dueAt);
                    break;
                }
            }
            return next;
        },
        place: (members, workers) => {
            const run = Math.max(...members.map(member => member.run)) + 1;
            members.forEach((task, index) => {
                task.run = run;
                crashHistory.recordStart(task.crashes);
                task.phase = "recording";
                task.stopAcceptedAt = undefined;
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
            toWaiting(task);
            breakGang(task, "gangIncomplete");
            losses.enforceCrashLimit(task);
        },
        requestStop: (task, reason) => {
            switch (task.phase) {
                case "recording":
                    entries.unassign(task);
                    crashHistory.refundStart(task.crashes);
                    toWaiting(task);
                    losses.enforceCrashLimit(task);
                    break;
                case "ordered":
                case "running":
                    task.phase = "stopping";
                    task.stopReason = reason;
                    task.stopAcceptedAt = undefined;
                    listener.onStopRequested(task);
                    // The other members may well be where they were started.
                    breakGang(task, reason === entries.MISSING_RUN_REASON ? "gangIncomplete" : reason);
                    break;
                case "waiting":
                case "stopping":
                case "done":
                    break;
            }
        },
        recordRunEnd: (worker, end) => {
            const task = tasks.get(end.task);
            if (!task || task.run !== end.run) {
                if (task && end.run < task.run) {
                    takeEarlierEnd(worker, task, end);
                }
                return;
            }
            const isCurrent = task.worker === worker;
            if (!isCurrent && !(end.how === "done" && task.phase === "waiting")) {
                return;
            }
            meter.increment("runs_ended_total", { queue: task.step.occurrence.job.queue.name, how: end.how });
            keepSaved(task, end.saved);
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
                countThrownAway(task, wasStopping ? thrownAways.getCause(task.stopReason) : end.how);
            }
            if (wasStopping && task.stopReason.startsWith("preempted")) {
                task.backoffUntil = options.disabledMechanisms.has("rests")
                    ? 0
                    : time.now() + decisions.PREEMPTION_BACKOFF_MS;
                task.preemptions++;
            }
            toWaiting(task);
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
            breakGang(task, `gang member ended: ${end.how}`);
            losses.enforceCrashLimit(task);
        },
        recordProgress: (task, told) => {
            keepSaved(task, told.saved);
            task.recentFigure = told.recentFigure;
            task.lastReportAt = time.now();
            if (told.percent > 0) {
                crashHistory.recordRunTime(task.crashes, entries.getObservedMs(task));
            }
            task.worker?.unconfirmedStarts.delete(task.name);
            decisions.recordProgress(task.speed, told.percent, time.now());
            if (task.phase === "ordered") {
                book.confirmRunning(task);
            }
            if (told.percent > task.percent) {
                task.percent = told.percent;
                task.lastProgressAt = time.now();
            }
        },
        loseTasksOf: losses.loseTasksOf,
        crashAttribution: losses.crashAttribution,
        forgetJob: job => {
            jobs.delete(job.submission.jobId);
            for (const occurrence of job.occurrences.values()) {
                for (const step of occurrence.steps) {
                    step.tasks.forEach(task => tasks.delete(task.name));
                }
            }
        },
    };
    return book;
}

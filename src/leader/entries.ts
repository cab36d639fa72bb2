/** The leader's view in memory of jobs, occurrences, steps, tasks and workers. */
import type * as catalog from "../catalog/index";
import * as decisions from "../decisions/index";
import * as work from "../work/index";
import * as crashHistory from "./crashHistory";
import * as lives from "./incarnation";

/**
 * - waiting: on no worker.
 * - recording: a worker is chosen, and the row that says so is being written; no order has gone out.
 * - ordered: the order is under way.
 * - running: the worker has confirmed it.
 * - stopping: to be stopped, or settled where it is unknown whether it runs; its room counts until its end is seen.
 * - done: ended well; it may still be on its worker until the worker has listed that.
 */
export type TaskPhase = "waiting" | "recording" | "ordered" | "running" | "stopping" | "done";

export interface TaskEntry {
    readonly name: string;
    readonly step: StepEntry;
    readonly index: number;
    run: number;
    /** Runs that ended as failed; for a gang, the gang's. */
    failures: number;
    crashes: crashHistory.CrashHistory;
    /** Where a stopped task goes on from; empty: from the start. */
    saved: string;
    /** When we learned of what it saved last. */
    savedAt: number;
    phase: TaskPhase;
    /** The worker that holds, or may hold, the task's current run. */
    worker: WorkerEntry | undefined;
    /** When the current run was ordered, and when it was confirmed. */
    orderedAt: number;
    runningSince: number;
    /** When its start was given up as unanswered; undefined while it is answered or under way. */
    startTimedOutAt: number | undefined;
    /** When the worker accepted the stop; undefined until then. */
    stopAcceptedAt: number | undefined;
    stopReason: string;
    /** Latest progress in percent, and when it last rose. */
    percent: number;
    lastProgressAt: number;
    /** When its worker last told of its progress. */
    lastReportAt: number;
    /** An earlier leader ordered the current run: when it began is not known. */
    inherited: boolean;
    /** How fast the current run goes. */
    speed: decisions.SpeedHistory;
    /** How often it was stopped because it made no progress. */
    stalls: number;
    /** How often it was stopped for urgent work. */
    preemptions: number;
    /** Worker's rough figure for the last half second: a serving task's tail in milliseconds, else processor use. */
    recentFigure: number;
    /** Share of its speed at which the task was last told to work; `undefined` where an earlier leader told it. */
    pacePercent: number | undefined;
    /** Workers on which a run failed. */
    readonly failedOn: Set<string>;
    waitingSince: number;
    /** Not started before: it was stopped for urgent work, which would soon take its room again. */
    backoffUntil: number;
}

export interface StepEntry {
    readonly occurrence: OccurrenceEntry;
    readonly number: number;
    readonly spec: work.StepSpec;
    readonly needs: work.Resources;
    readonly tasks: TaskEntry[];
    doneCount: number;
    /** Latest run of a gang that was counted as failed: its other members' ends must not count again. */
    lastFailedRun: number;
    /** Workers that were set aside since the step failed there as soon as it began. */
    readonly earlyFailureWorkers: Set<string>;
    /** Since when the step may start: its earlier steps are done. */
    readySince: number | undefined;
    /** Tickets of the adviser by worker, each with the time until which it holds. */
    readonly tickets: Map<string, { readonly ticket: string; readonly until: number; }>;
}

export interface OccurrenceEntry {
    readonly job: JobEntry;
    readonly number: number;
    readonly steps: StepEntry[];
    /** Version of the stored row; 0: none yet. */
    rowVersion: number;
    /** When it is due on the wall clock, for scheduled jobs. */
    readonly dueAt: number | undefined;
    isEnded: boolean;
}

export interface JobEntry {
    readonly submission: work.Submission;
    /** As configured when this leader learned of the job. */
    queue: catalog.Queue;
    state: work.JobState;
    cancelled: boolean;
    failed: boolean;
    readonly endedOccurrences: Set<number>;
    readonly occurrences: Map<number, OccurrenceEntry>;
    rowVersion: number;
    endedAt: number;
    /** Milliseconds on the monotonic clock at which the leader took note of the job. */
    readonly learnedAt: number;
}

export interface WorkerInfo {
    /** Of one life of the worker, see `life.ts`. */
    readonly id: string;
    readonly address: string;
    readonly zone: string;
    readonly service: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: work.Resources;
    readonly draining: boolean;
    /** While draining: the least time that is left. */
    readonly remainingMs: number;
}

export interface WorkerEntry {
    /** Of one life of the worker: nothing here outlives it. */
    readonly id: string;
    readonly incarnation: lives.Incarnation;
    info: WorkerInfo;
    /** After this time it said of itself what `info` says; `undefined`: it is not listed. */
    reportedAt: number | undefined;
    /** Whether the directory still lists it. */
    listed: boolean;
    /** Whether it answered the latest look, and under our fencing token. */
    reachable: boolean;
    /** When it answered last, if it has not answered since; `undefined` while it answers or has not been asked. */
    unreachableSince: number | undefined;
    lastAnswerAt: number | undefined;
    /** When a connection to it first broke or was refused since it answered last; `undefined`: none was. */
    disconnectedAt: number | undefined;
    /** No new task before this time. */
    quarantinedUntil: number;
    /** To be emptied for its machine's upkeep. */
    reserved: boolean;
    /** When the directory first said that it drains. */
    drainingSince: number | undefined;
    readonly tasks: Set<TaskEntry>;
    readonly used: decisions.MutableResources;
    /** Tasks that run there without our knowledge; none is started until they are gone. */
    unknownRunCount: number;
    /** Starts that got no answer, by task: the run of each. They may be carried out late, also by the next life. */
    readonly unconfirmedStarts: Map<string, number>;
    /** Consecutive failed runs without a success; more for those that failed as soon as they began. */
    consecutiveFailures: number;
}

export function createJobEntry(submission: work.Submission, queue: catalog.Queue, now: number): JobEntry {
    return {
        submission,
        queue,
        state: "queued",
        cancelled: false,
        failed: false,
        endedOccurrences: new Set(),
        occurrences: new Map(),
        rowVersion: 0,
        endedAt: 0,
        learnedAt: now,
    };
}

export function createOccurrenceEntry(job: JobEntry, number: number, now: number): OccurrenceEntry {
    const occurrence: OccurrenceEntry = {
        job,
        number,
        steps: [],
        rowVersion: 0,
        dueAt: work.getDueAt(job.submission.spec, number),
        isEnded: false,
    };
    job.submission.spec.steps.forEach((spec, stepNumber) => {
        const step: StepEntry = {
            occurrence,
            number: stepNumber,
            spec,
            needs: work.getReservedResources(spec),
            tasks: [],
            doneCount: 0,
            lastFailedRun: 0,
            earlyFailureWorkers: new Set(),
            readySince: spec.after.length === 0 ? now : undefined,
            tickets: new Map(),
        };
        for (let index = 0; index < spec.count; index++) {
            step.tasks.push(createTaskEntry(step, index, now));
        }
        occurrence.steps.push(step);
    });
    return occurrence;
}

function createTaskEntry(step: StepEntry, index: number, now: number): TaskEntry {
    const { job, number } = step.occurrence;
    return {
        name: work.getTaskName(job.submission.jobId, number, step.number, index),
        step,
        index,
        run: 0,
        failures: 0,
        crashes: crashHistory.createCrashHistory(),
        saved: "",
        savedAt: 0,
        phase: "waiting",
        worker: undefined,
        orderedAt: 0,
        runningSince: 0,
        startTimedOutAt: undefined,
        stopAcceptedAt: undefined,
        stopReason: "",
        percent: 0,
        lastProgressAt: 0,
        lastReportAt: 0,
        inherited: false,
        speed: decisions.createSpeedHistory(),
        stalls: 0,
        preemptions: 0,
        recentFigure: 0,
        pacePercent: 100,
        failedOn: new Set(),
        waitingSince: now,
        backoffUntil: 0,
    };
}

export function createWorkerEntry(info: WorkerInfo): WorkerEntry {
    return {
        id: info.id,
        incarnation: lives.parseIncarnationId(info.id),
        info,
        reportedAt: undefined,
        listed: true,
        reachable: false,
        unreachableSince: undefined,
        lastAnswerAt: undefined,
        disconnectedAt: undefined,
        quarantinedUntil: 0,
        reserved: false,
        drainingSince: undefined,
        tasks: new Set(),
        used: decisions.copyResources(work.NO_RESOURCES),
        unknownRunCount: 0,
        unconfirmedStarts: new Map(),
        consecutiveFailures: 0,
    };
}

/** Puts the task's current run on the worker: its room is taken from here on. */
export function assign(task: TaskEntry, worker: WorkerEntry): void {
    task.worker = worker;
    worker.tasks.add(task);
    decisions.addResources(worker.used, task.step.needs);
}

/** The task's run is over, or never was: its room is free. */
export function unassign(task: TaskEntry): void {
    const worker = task.worker;
    if (!worker) {
        return;
    }
    task.worker = undefined;
    worker.tasks.delete(task);
    decisions.subtractResources(worker.used, task.step.needs);
}

export function isStepDone(step: StepEntry): boolean {
    return step.doneCount === step.tasks.length;
}

/** A worker of which only the id is known. */
export function createUnknownWorkerInfo(id: string): WorkerInfo {
    return {
        id,
        address: "",
        zone: "",
        service: "",
        rack: "",
        labels: [],
        capacity: work.NO_RESOURCES,
        draining: false,
        remainingMs: 0,
    };
}

/** A lasting task is at work once its start is over, which its worker tells as 100 percent. */
export function isAvailable(task: TaskEntry): boolean {
    return task.phase === "running" && task.percent >= AVAILABLE_PERCENT;
}

const AVAILABLE_PERCENT = 100;

/** Tasks of a lasting step that are not at work, whatever the cause. */
export function countUnavailable(step: StepEntry): number {
    return step.tasks.filter(task => !isAvailable(task)).length;
}

/** When the current run began, for what is known: a start without an answer may have been carried out when ordered. */
export function getStartedAt(task: TaskEntry): number {
    return Math.max(task.orderedAt, task.runningSince);
}

/** For how long, from the start of the current run, its worker has told of it; 0: it never did. */
export function getObservedMs(task: TaskEntry): number {
    return Math.max(0, task.lastReportAt - getStartedAt(task));
}

/** Takes note of whether the worker has answered a look. */
export function setReachable(worker: WorkerEntry, heard: boolean, now: number): void {
    worker.reachable = heard;
    if (heard) {
        worker.lastAnswerAt = now;
        worker.unreachableSince = undefined;
        worker.disconnectedAt = undefined;
    }
    else {
        worker.unreachableSince ??= worker.lastAnswerAt ?? now;
    }
}

/** Why a run is stopped that its worker does not list any more. */
export const MISSING_RUN_REASON = "missing";

/** Whether nothing of the run is there any more, as far as is known, and its worker is only to refuse a late start. */
export function isClosing(task: TaskEntry): boolean {
    return task.phase === "stopping" && task.stopReason === MISSING_RUN_REASON;
}

/** The leader's in-memory model of jobs, occurrences, steps, tasks and workers. */
import type * as catalog from "../catalog/index";
import * as decisions from "../decisions/index";
import * as work from "../work/index";
import * as crashHistory from "./crashHistory";
import * as incarnations from "./incarnation";

/**
 * - waiting: assigned to no worker.
 * - recording: a worker is chosen and the row that names it is being written; no start order has been sent.
 * - ordered: the start order has been sent and is not yet answered.
 * - running: the worker has confirmed the run.
 * - stopping: a stop is requested, or it is unknown whether the run exists. Its capacity stays reserved until its end
 *   is confirmed.
 * - done: completed successfully; the run may still occupy its worker until the worker has reported its end.
 */
export type TaskPhase = "waiting" | "recording" | "ordered" | "running" | "stopping" | "done";

/** A task and the state of its current run. */
export interface TaskEntry {
    readonly name: string;
    readonly step: StepEntry;
    readonly index: number;
    run: number;
    /** Number of failed runs; shared by all members of a gang. */
    failures: number;
    crashes: crashHistory.CrashHistory;
    /** Checkpoint from which the next run resumes; empty to begin anew. */
    saved: string;
    /** Monotonic time at which the leader learned of the latest checkpoint, in milliseconds. */
    savedAt: number;
    phase: TaskPhase;
    /** The worker that holds, or may hold, the task's current run. */
    worker: WorkerEntry | undefined;
    /** Monotonic times at which the current run was ordered and confirmed, in milliseconds. */
    orderedAt: number;
    runningSince: number;
    /** When the start order can no longer be carried out by the incarnation that it was sent to; `Infinity` if never. */
    startExpiresAt: number;
    /** When the start order timed out without an answer; `undefined` if it was answered or is still in flight. */
    startTimedOutAt: number | undefined;
    /** When the worker accepted the stop order; `undefined` before that. */
    stopAcceptedAt: number | undefined;
    /** When the stop order of the current run that the worker accepted, or the latest one, was sent. */
    stopSentAt: number | undefined;
    stopReason: string;
    /** Latest progress in percent, and when it last increased. */
    percent: number;
    lastProgressAt: number;
    /** When its worker last reported the run as running. */
    lastReportAt: number;
    /** Whether an earlier leader ordered the current run, so that its start time is unknown. */
    inherited: boolean;
    /** Measured speed of the current run. */
    speed: decisions.SpeedHistory;
    /** Number of stops for lack of progress. */
    stalls: number;
    /** Number of preemptions by more urgent work. */
    preemptions: number;
    /**
     * The worker's rough measurement over the last half second: the tail latency in milliseconds of a latency-sensitive
     * task, otherwise processor use.
     */
    recentFigure: number;
    /** Percentage of full speed to which the task was last throttled; `undefined` if an earlier leader set it. */
    pacePercent: number | undefined;
    /** Ids of workers on which a run of the task failed. */
    readonly failedOn: Set<string>;
    /** Monotonic time since which the task waits for a worker, in milliseconds. */
    waitingSince: number;
    /** The task is not restarted before this time: more urgent work would soon preempt it again. */
    backoffUntil: number;
}

/** A step of an occurrence, with its tasks. */
export interface StepEntry {
    readonly occurrence: OccurrenceEntry;
    readonly number: number;
    readonly spec: work.StepSpec;
    readonly needs: work.Resources;
    readonly tasks: TaskEntry[];
    doneCount: number;
    /** Latest gang run that was counted as failed, so that the other members' ends are not counted again. */
    lastFailedRun: number;
    /** Whether one of its tasks was given up after it had certainly crashed a worker. */
    crashesWorkers: boolean;
    /** Ids of workers that were quarantined because the step failed there right after its start. */
    readonly earlyFailureWorkers: Set<string>;
    /** Number of steps that it depends on and that are not done. */
    unfinishedPredecessors: number;
    /** Whether the steps that depend on it know that it is done. */
    hasReleasedSuccessors: boolean;
    /** When all steps that it depends on were done; `undefined` while the step may not start. */
    readySince: number | undefined;
    /** The adviser's tickets by worker id, each with its expiry time. */
    readonly tickets: Map<string, { readonly ticket: string; readonly until: number; }>;
}

/** One occurrence of a job; a job that is not scheduled has a single one. */
export interface OccurrenceEntry {
    readonly job: JobEntry;
    readonly number: number;
    readonly steps: StepEntry[];
    /** Monotonic time at which its entries were created, in milliseconds. */
    readonly openedAt: number;
    /** Number of steps that are not done. */
    unfinishedSteps: number;
    /** Version of the stored row; 0 if none is stored yet. */
    rowVersion: number;
    /** Wall-clock time at which the occurrence of a scheduled job is due, in milliseconds. */
    readonly dueAt: number | undefined;
    isEnded: boolean;
}

/** A job and its occurrences. */
export interface JobEntry {
    readonly submission: work.Submission;
    /** Dependencies of the steps; `undefined` until an occurrence needs them. */
    stepGraph: work.StepGraph | undefined;
    /** The queue as it is configured, or as it was last configured if it has been removed. */
    queue: catalog.Queue;
    state: work.JobState;
    cancelled: boolean;
    failed: boolean;
    readonly endedOccurrences: Set<number>;
    /** The open occurrences by number. */
    readonly occurrences: Map<number, OccurrenceEntry>;
    /** All occurrences of lower numbers have been opened. */
    nextOccurrence: number;
    rowVersion: number;
    endedAt: number;
    /** Monotonic time at which this leader learned of the job, in milliseconds. */
    readonly learnedAt: number;
}

/** What a worker reports of itself in the directory. */
export interface WorkerInfo {
    /** Id of one incarnation of the worker, see `incarnation.ts`. */
    readonly id: string;
    readonly address: string;
    readonly zone: string;
    readonly service: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: work.Resources;
    readonly draining: boolean;
    /** Minimum time until the worker leaves while it is draining, in milliseconds. */
    readonly remainingMs: number;
}

/** One incarnation of a worker, as the leader knows it. */
export interface WorkerEntry {
    /** Id of one incarnation of the worker. The entry ends with that incarnation. */
    readonly id: string;
    readonly incarnation: incarnations.Incarnation;
    info: WorkerInfo;
    /** Lower bound of the time at which the worker reported `info`; `undefined` if it has not been listed. */
    reportedAt: number | undefined;
    /** Whether the directory lists the worker. */
    listed: boolean;
    /** Whether it answered the latest poll and accepted this leader's fencing token. */
    reachable: boolean;
    /** Time of the last answer of an unreachable worker; `undefined` while it is reachable or has not been polled. */
    unreachableSince: number | undefined;
    lastAnswerAt: number | undefined;
    /** When a connection first broke or was refused since the last answer; `undefined` if none was. */
    disconnectedAt: number | undefined;
    /** The worker gets no new task before this time. */
    quarantinedUntil: number;
    /** Whether the worker is to be drained for the maintenance of its machine. */
    reserved: boolean;
    /** When the directory first listed the worker as draining. */
    drainingSince: number | undefined;
    readonly tasks: Set<TaskEntry>;
    readonly used: decisions.MutableResources;
    /**
     * Number of runs on the worker that the job registry does not hold; no task is started there until they have ended.
     */
    unknownRunCount: number;
    /** Failed runs since the last success; a failure right after the start raises it to the quarantine threshold. */
    consecutiveFailures: number;
}

/** Creates a queued job without occurrences; `now` is monotonic time in milliseconds. */
export function createJobEntry(submission: work.Submission, queue: catalog.Queue, now: number): JobEntry {
    return {
        submission,
        stepGraph: undefined,
        queue,
        state: "queued",
        cancelled: false,
        failed: false,
        endedOccurrences: new Set(),
        occurrences: new Map(),
        nextOccurrence: 0,
        rowVersion: 0,
        endedAt: 0,
        learnedAt: now,
    };
}

/** Creates an occurrence whose tasks all wait. */
export function createOccurrenceEntry(job: JobEntry, number: number, now: number): OccurrenceEntry {
    const { steps } = job.submission.spec;
    const { predecessorCounts } = getStepGraph(job);
    const occurrence: OccurrenceEntry = {
        job,
        number,
        steps: [],
        openedAt: now,
        unfinishedSteps: steps.length,
        rowVersion: 0,
        dueAt: work.getDueAt(job.submission.spec, number),
        isEnded: false,
    };
    steps.forEach((spec, stepNumber) => {
        const unfinishedPredecessors = predecessorCounts[stepNumber]!;
        const step: StepEntry = {
            occurrence,
            number: stepNumber,
            spec,
            needs: work.getReservedResources(spec),
            tasks: [],
            doneCount: 0,
            lastFailedRun: 0,
            crashesWorkers: false,
            earlyFailureWorkers: new Set(),
            unfinishedPredecessors,
            hasReleasedSuccessors: false,
            readySince: unfinishedPredecessors === 0 ? now : undefined,
            tickets: new Map(),
        };
        for (let index = 0; index < spec.count; index++) {
            step.tasks.push(createTaskEntry(step, index, now));
        }
        occurrence.steps.push(step);
    });
    return occurrence;
}

/** Returns the dependencies of the job's steps, which all its occurrences share. */
export function getStepGraph(job: JobEntry): work.StepGraph {
    return job.stepGraph ??= work.createStepGraph(job.submission.spec.steps);
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
        startExpiresAt: Infinity,
        startTimedOutAt: undefined,
        stopAcceptedAt: undefined,
        stopSentAt: undefined,
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

/** Creates the entry of a listed worker that has not been polled. */
export function createWorkerEntry(info: WorkerInfo): WorkerEntry {
    return {
        id: info.id,
        incarnation: incarnations.parseIncarnationId(info.id),
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
        consecutiveFailures: 0,
    };
}

/** Assigns the task's current run to the worker and reserves its capacity there. */
export function assign(task: TaskEntry, worker: WorkerEntry): void {
    task.worker = worker;
    worker.tasks.add(task);
    decisions.addResources(worker.used, task.step.needs);
}

/** Removes the task's run from its worker and releases its capacity. */
export function unassign(task: TaskEntry): void {
    const worker = task.worker;
    if (!worker) {
        return;
    }
    task.worker = undefined;
    worker.tasks.delete(task);
    decisions.subtractResources(worker.used, task.step.needs);
}

/** Whether all tasks of the step are done. */
export function isStepDone(step: StepEntry): boolean {
    return step.doneCount === step.tasks.length;
}

/** Whether a worker holds, or may hold, a run of one of the occurrence's tasks. */
export function hasPlacedTask(occurrence: OccurrenceEntry): boolean {
    return occurrence.steps.some(step => step.tasks.some(task => task.worker !== undefined));
}

/** Returns the info of a worker of which only the id is known. */
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

/** Latest known start time of the current run. A start without an answer may have taken effect when it was ordered. */
export function getStartedAt(task: TaskEntry): number {
    return Math.max(task.orderedAt, task.runningSince);
}

/** Whether a poll sent at `sentAt` that does not list the run proves that its start was and will not be carried out. */
export function isStartExpired(task: TaskEntry, sentAt: number): boolean {
    const isConfirmed = task.runningSince >= task.orderedAt || task.lastReportAt >= task.orderedAt;
    return !task.inherited && !isConfirmed && task.startExpiresAt < sentAt;
}

/** Time from the start of the current run to its worker's latest report of it, in milliseconds; 0 without a report. */
export function getObservedMs(task: TaskEntry): number {
    return Math.max(0, task.lastReportAt - getStartedAt(task));
}

/** Records whether the worker has answered a poll. */
export function setReachable(worker: WorkerEntry, isReachable: boolean, now: number): void {
    worker.reachable = isReachable;
    if (isReachable) {
        worker.lastAnswerAt = now;
        worker.unreachableSince = undefined;
        worker.disconnectedAt = undefined;
    }
    else {
        worker.unreachableSince ??= worker.lastAnswerAt ?? now;
    }
}

/** Reason for stopping a run that its worker no longer lists. */
export const MISSING_RUN_REASON = "missing";

/** Whether the run seems to have ended, and is stopped only so that its worker refuses a delayed start order. */
export function isClosing(task: TaskEntry): boolean {
    return task.phase === "stopping" && task.stopReason === MISSING_RUN_REASON;
}

/** Stops tasks that cannot complete where they are: on workers that leave or are lost, or without progress. */
import type * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";
import type * as jobRegistry from "./jobRegistry";
import * as workerLosses from "./losses/index";
import type * as units from "./units";

/** Upper bound of the time that a stop and the recording of its end take, before the worker leaves. */
const LEAVE_MARGIN_MS = 700;
/**
 * A task hangs if its worker reports no progress for this share of its expected duration. Progress is in whole percent,
 * so a healthy task advances at least once per hundredth of its duration; this bound tolerates work that is fifteen
 * times slower than expected.
 */
const HANG_TIMEOUT_SHARE = 0.15;
/** Minimum for short tasks: two polls, usually one second apart, and the delay of their answers. */
const MIN_HANG_TIMEOUT_MS = 1_500;
/**
 * Each stop for lack of progress doubles the timeout. A task whose estimate is far too short would otherwise be stopped
 * repeatedly before its progress shows.
 */
const STALL_BACKOFF_FACTOR = 2;
/** Quarantine of a worker with a hanging task. */
const HANG_QUARANTINE_MS = 6_000;
/**
 * Maximum poll wait while best-effort tasks run beside latency-sensitive tasks, whose measurements are needed this
 * often.
 */
const SHARING_POLL_WAIT_MS = 700;

/**
 * Maximum poll wait while a suspect task is unsettled, since nothing else starts on the worker until it has settled.
 */
const SETTLING_POLL_WAIT_MS = 300;

/** Returns how long a poll of the worker may wait, at most `maxMs`. */
export function getPollWaitMs(worker: entries.WorkerEntry, maxMs: number): number {
    let hasLatencySensitive = false;
    let hasBestEffort = false;
    for (const task of worker.tasks) {
        hasLatencySensitive ||= task.step.spec.targetMs > 0;
        hasBestEffort ||= task.step.spec.fills;
    }
    if (workerLosses.hasUnsettledSuspect(worker)) {
        return SETTLING_POLL_WAIT_MS;
    }
    return hasLatencySensitive && hasBestEffort ? SHARING_POLL_WAIT_MS : maxMs;
}

/** Requests stops of tasks that hang or that would outlive their worker, and quarantines failing workers. */
export function stopUnviableTasks(
    workers: readonly entries.WorkerEntry[],
    options: {
        readonly now: number;
        readonly estimateRunMs: units.RunTimeEstimator;
        /** Speed of the worker that a task runs on, relative to the typical one. */
        getRunSpeed(task: entries.TaskEntry): number;
        readonly jobRegistry: jobRegistry.JobRegistry;
        readonly log: observe.Log;
        readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    },
): void {
    const { disabledMechanisms } = options;
    for (const worker of workers) {
        workerLosses.quarantineIfFailing(worker, options);
        for (const task of worker.tasks) {
            if (task.phase !== "running" || !worker.reachable) {
                continue;
            }
            if (
                worker.info.draining && disabledMechanisms.has("departures")
                && !disabledMechanisms.has("leavingWorkers") && !endsInTime(task, worker, options)
            ) {
                options.jobRegistry.requestStop(task, "workerLeaves");
            }
            else if (!disabledMechanisms.has("hangingTasks") && hangs(task, options.estimateRunMs)) {
                task.stalls++;
                worker.quarantinedUntil = options.now + HANG_QUARANTINE_MS;
                options.log.warn("workerSuspect", { worker: worker.id, reason: "no progress", task: task.name });
                options.jobRegistry.requestStop(task, "noProgress");
            }
        }
    }
}

function hangs(task: entries.TaskEntry, expect: units.RunTimeEstimator): boolean {
    const { step } = task;
    if (step.spec.lasting || waitsForOthers(task)) {
        return false;
    }
    // A gang makes progress only once its last member has started.
    const members = step.spec.gang ? step.tasks : [task];
    const since = members.reduce((latest, member) => Math.max(latest, member.runningSince), task.lastProgressAt);
    const timeoutMs = Math.max(MIN_HANG_TIMEOUT_MS, HANG_TIMEOUT_SHARE * expect(step))
        * STALL_BACKOFF_FACTOR ** task.stalls;
    // Measured up to the worker's last report: a late poll is no sign of a hanging task.
    return task.lastReportAt - since > timeoutMs;
}

/**
 * Whether the task waits for slower members of its gang: it has reached 100 percent and all members are running. Gang
 * members end together, so without this rule gangs on healthy workers would repeatedly be stopped as hanging.
 */
function waitsForOthers(task: entries.TaskEntry): boolean {
    const { step } = task;
    return step.spec.gang && task.percent >= DONE_PERCENT
        && step.tasks.every(member => member.phase === "running")
        && step.tasks.some(member => member.percent < DONE_PERCENT);
}

const DONE_PERCENT = 100;

/** The rule without the mechanism `departures`: whether the task ends before its worker leaves, by estimates; one that takes checkpoints may stay until shortly before that. */
function endsInTime(
    task: entries.TaskEntry,
    worker: entries.WorkerEntry,
    options: {
        readonly now: number;
        readonly estimateRunMs: units.RunTimeEstimator;
        getRunSpeed(task: entries.TaskEntry): number;
    },
): boolean {
    const leavesAt = (worker.drainingSince ?? options.now) + worker.info.remainingMs;
    const expectedEndAt = task.runningSince + options.estimateRunMs(task.step) / options.getRunSpeed(task);
    const leftMs = leavesAt - options.now;
    if (expectedEndAt < leavesAt - LEAVE_MARGIN_MS) {
        return leftMs > LEAVE_MARGIN_MS;
    }
    return task.step.spec.checkpoints && leftMs > LEAVE_MARGIN_MS;
}

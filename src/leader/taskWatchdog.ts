/** Tasks that cannot go on where they are: on workers that leave, that are lost, or that make no progress. */
import type * as clock from "../clock/index";
import type * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";
import * as blame from "./failingWorkers";
import type * as heldLease from "./heldLease";
import type * as book from "./jobRegistry";
import * as lapse from "./leaseExpiry";
import * as suspects from "./suspects";
import type * as units from "./units";

/** What a stop and the noting of its end take at most, before the worker leaves. */
const LEAVE_MARGIN_MS = 700;
/**
 * A task hangs when its worker tells no progress for this share of its expected duration. Progress comes in whole
 * percent, so a sound task rises at least once in a hundredth of its duration; this bound leaves room for work that is
 * fifteen times slower than expected.
 */
const HANG_SHARE = 0.15;
/** Of short tasks: two looks, which come every second as a rule, and what their answers are late. */
const LEAST_HANG_MS = 1_500;
/**
 * With each stop for want of progress the task is given twice the time: one whose estimate is far too short makes
 * progress that does not show in time, and would be stopped without end.
 */
const STALL_FACTOR = 2;
/** A worker with a hanging task gets no other for this long. */
const HANG_ASIDE_MS = 6_000;
/** While fillers run beside serving tasks, their figures are needed this often. */
const SHARING_WAIT_MS = 700;

/** Nothing else starts on a worker until what may take it down has settled in there. */
const SETTLING_WAIT_MS = 300;

export function getPollWaitMs(worker: entries.WorkerEntry, longestMs: number): number {
    let serving = false;
    let filling = false;
    for (const task of worker.tasks) {
        serving ||= task.step.spec.targetMs > 0;
        filling ||= task.step.spec.fills;
    }
    if (suspects.hasUnsettledSuspect(worker)) {
        return SETTLING_WAIT_MS;
    }
    return serving && filling ? SHARING_WAIT_MS : longestMs;
}

/** A worker that nobody can reach: what ran there is gone when the last lease that anyone granted has run out. */
export function markLostAfterExpiry(
    worker: entries.WorkerEntry,
    options: {
        readonly clock: clock.Clock;
        readonly leadership: heldLease.Leadership;
        readonly maxLeaseMs: number;
        readonly jobRegistry: Pick<book.JobRegistry, "loseTasksOf">;
    },
): void {
    if (options.clock.now() > lapse.getExpiresAt(options.leadership.predecessorsInactiveAt, options.maxLeaseMs)) {
        options.jobRegistry.loseTasksOf(worker, "lapsed");
    }
}

export function stopUnviableTasks(
    workers: readonly entries.WorkerEntry[],
    options: {
        readonly now: number;
        readonly expect: units.RunTimeEstimator;
        readonly jobRegistry: book.JobRegistry;
        readonly log: observe.Log;
        readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    },
): void {
    const { disabledMechanisms } = options;
    for (const worker of workers) {
        blame.quarantineIfFailing(worker, options);
        for (const task of worker.tasks) {
            if (task.phase !== "running" || !worker.reachable) {
                continue;
            }
            if (
                worker.info.draining && !disabledMechanisms.has("leavingWorkers") && !endsInTime(task, worker, options)
            ) {
                options.jobRegistry.requestStop(task, "workerLeaves");
            }
            else if (!disabledMechanisms.has("hangingTasks") && hangs(task, options.expect)) {
                task.stalls++;
                worker.quarantinedUntil = options.now + HANG_ASIDE_MS;
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
    // A gang begins to work when its last member has started.
    const together = step.spec.gang ? step.tasks : [task];
    const since = together.reduce((latest, member) => Math.max(latest, member.runningSince), task.lastProgressAt);
    const patienceMs = Math.max(LEAST_HANG_MS, HANG_SHARE * expect(step)) * STALL_FACTOR ** task.stalls;
    // Counted up to what the worker last told: a late look is no sign that a task stands still.
    return task.lastReportAt - since > patienceMs;
}

/**
 * Members of a gang end together, so one on a fast worker stands at 100 percent until the slowest is there, as long as
 * all of them run. Taken to hang, gangs are stopped again and again on sound workers.
 */
function waitsForOthers(task: entries.TaskEntry): boolean {
    const { step } = task;
    return step.spec.gang && task.percent >= DONE_PERCENT
        && step.tasks.every(member => member.phase === "running")
        && step.tasks.some(member => member.percent < DONE_PERCENT);
}

const DONE_PERCENT = 100;

/** Whether the task ends before its worker leaves; one that saves may stay until shortly before that. */
function endsInTime(
    task: entries.TaskEntry,
    worker: entries.WorkerEntry,
    options: { readonly now: number; readonly expect: units.RunTimeEstimator; },
): boolean {
    const leavesAt = (worker.drainingSince ?? options.now) + worker.info.remainingMs;
    const expectedEndAt = task.runningSince + options.expect(task.step);
    const leftMs = leavesAt - options.now;
    if (expectedEndAt < leavesAt - LEAVE_MARGIN_MS) {
        return leftMs > LEAVE_MARGIN_MS;
    }
    return task.step.spec.checkpoints && leftMs > LEAVE_MARGIN_MS;
}

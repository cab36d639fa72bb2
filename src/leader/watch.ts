/** Tasks that cannot go on where they are: on workers that leave, that are lost, or that make no progress. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as book from "./book";
import type * as entries from "./entries";
import * as lapse from "./lapse";
import type * as lease from "./lease";
import type * as units from "./units";

/** What a stop and the noting of its end take at most, before the worker leaves. */
const LEAVE_MARGIN_MS = 700;
/**
 * A task whose progress has not risen for this long hangs. Progress comes in whole percent with a look every two
 * seconds at most: the longest sound tasks, of 11 s at a third of the speed, rise by 13 percent in that time.
 */
const HANG_MS = 4_500;
/** A worker with a hanging task gets no other for this long. */
const HANG_ASIDE_MS = 6_000;
/** Failures in a row, on different tasks, after which a worker is set aside; 2% of sound runs fail. */
const SUSPECT_FAILURES = 2;
const SUSPECT_ASIDE_MS = 5_000;
/** While fillers run beside serving tasks, their figures are needed this often. */
const SHARING_WAIT_MS = 700;

export function getLookWaitMs(worker: entries.WorkerEntry, longestMs: number): number {
    let serving = false;
    let filling = false;
    for (const task of worker.tasks) {
        serving ||= task.step.spec.targetMs > 0;
        filling ||= task.step.spec.fills;
    }
    return serving && filling ? SHARING_WAIT_MS : longestMs;
}

/** A worker that nobody can reach: what ran there is gone when the last lease that anyone granted has run out. */
export function loseWhenLapsed(
    worker: entries.WorkerEntry,
    options: {
        readonly clock: clock.Clock;
        readonly leadership: lease.Leadership;
        readonly maxLeaseMs: number;
        readonly book: book.Book;
    },
): void {
    if (options.clock.now() > lapse.getLapsedAt(options.leadership.othersSilentAt, options.maxLeaseMs)) {
        options.book.loseTasksOf(worker, "lapsed");
    }
}

export function stopWhatCannotGoOn(
    workers: readonly entries.WorkerEntry[],
    options: {
        readonly now: number;
        readonly expect: units.Expect;
        readonly book: book.Book;
        readonly log: observe.Log;
    },
): void {
    for (const worker of workers) {
        if (worker.failuresInRow >= SUSPECT_FAILURES) {
            worker.failuresInRow = 0;
            worker.setAsideUntil = options.now + SUSPECT_ASIDE_MS;
            options.log.warn("workerSuspect", { worker: worker.id, reason: "failures in a row" });
        }
        for (const task of worker.tasks) {
            if (task.phase !== "running" || !worker.heard) {
                continue;
            }
            if (worker.info.draining && !endsInTime(task, worker, options)) {
                options.book.requestStop(task, "workerLeaves");
            }
            else if (hangs(task, options.now)) {
                worker.setAsideUntil = options.now + HANG_ASIDE_MS;
                options.log.warn("workerSuspect", { worker: worker.id, reason: "no progress", task: task.name });
                options.book.requestStop(task, "noProgress");
            }
        }
    }
}

function hangs(task: entries.TaskEntry, now: number): boolean {
    return !task.step.spec.lasting && now - Math.max(task.progressAt, task.runningSince) > HANG_MS;
}

/** Whether the task ends before its worker leaves; one that saves may stay until shortly before that. */
function endsInTime(
    task: entries.TaskEntry,
    worker: entries.WorkerEntry,
    options: { readonly now: number; readonly expect: units.Expect; },
): boolean {
    const leavesAt = (worker.drainingSince ?? options.now) + worker.info.remainingMs;
    const expectedEndAt = task.runningSince + options.expect(task.step);
    const leftMs = leavesAt - options.now;
    if (expectedEndAt < leavesAt - LEAVE_MARGIN_MS) {
        return leftMs > LEAVE_MARGIN_MS;
    }
    return task.step.spec.checkpoints && leftMs > LEAVE_MARGIN_MS;
}

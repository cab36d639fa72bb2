/**
 * How much failed runs speak against the worker on which they ran.
 *
 * What goes wrong without the early ones: a worker that fails all it starts is free again at once, so on a full site it
 * is the first to be given the next unit, and the retry of what it failed finds another such worker. One notices urgent
 * jobs that end as failed within half a second, their attempts used up. A sound worker's runs fail at any point of their
 * duration, so few of them fail as soon as they begin.
 */
import type * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";

/** In this share of its expected duration a run fails early. */
const EARLY_SHARE = 0.05;
/** The way to the worker and back, and what a loaded leader takes to read the answer. */
const LEAST_EARLY_MS = 100;
/**
 * A step that fails early on more workers, and on more than this share of its tasks that run, is not held against them:
 * it may be the step that can never be done, and each of its tasks would set another worker aside.
 */
const LEAST_BLAMED_BY_STEP = 2;
const BLAMED_SHARE = 0.2;
/** Failures in a row, on different tasks, after which a worker is set aside; 2% of sound runs fail. */
const SUSPECT_FAILURES = 2;
const SUSPECT_ASIDE_MS = 5_000;

export interface FailingWorkerOptions {
    readonly now: number;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    readonly log: observe.Log;
}

/** Takes note of a failed run; `expectedMs` is what it was expected to take. */
export function recordFailedRun(
    worker: entries.WorkerEntry,
    task: entries.TaskEntry,
    expectedMs: number,
    { now, disabledMechanisms: leftOut }: Omit<FailingWorkerOptions, "log">,
): void {
    const { step } = task;
    const ranMs = now - Math.max(task.orderedAt, task.runningSince);
    if (leftOut.has("earlyFailures") || ranMs > Math.max(LEAST_EARLY_MS, EARLY_SHARE * expectedMs)) {
        worker.consecutiveFailures++;
        return;
    }
    if (step.earlyFailureWorkers.size < getMostBlamed(step)) {
        step.earlyFailureWorkers.add(worker.id);
        worker.consecutiveFailures = SUSPECT_FAILURES;
    }
}

function getMostBlamed({ tasks }: entries.StepEntry): number {
    const running = tasks.filter(task => task.phase === "running").length;
    return Math.max(LEAST_BLAMED_BY_STEP, BLAMED_SHARE * running);
}

/** Sets aside a worker that is to blame. */
export function quarantineIfFailing(
    worker: entries.WorkerEntry,
    { now, disabledMechanisms: leftOut, log }: FailingWorkerOptions,
): void {
    if (worker.consecutiveFailures < SUSPECT_FAILURES || leftOut.has("failingWorkers")) {
        return;
    }
    worker.consecutiveFailures = 0;
    worker.quarantinedUntil = now + SUSPECT_ASIDE_MS;
    log.warn("workerSuspect", { worker: worker.id, reason: "failures" });
}

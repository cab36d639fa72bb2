/**
 * Detects workers on which runs fail, and quarantines them.
 *
 * Runs that fail right after their start count most. A worker that fails everything it starts is free again at once, so
 * on a full site it gets the next unit first, and urgent jobs use up their attempts within half a second. On a healthy
 * worker runs fail at any point of their duration, so few of them fail early.
 */
import type * as decisions from "../../decisions/index";
import type * as observe from "../../observe/index";
import type * as entries from "../entries";

/** A failure within this share of the expected duration counts as early. */
const EARLY_FAILURE_SHARE = 0.05;
/** Covers the round trip to the worker and the time that a loaded leader takes to read the answer. */
const MIN_EARLY_FAILURE_MS = 100;
/**
 * A step may quarantine this many workers, or as many as this share of its running tasks. Beyond that the step itself
 * is probably at fault, and each of its tasks would quarantine another worker.
 */
const MIN_QUARANTINES_PER_STEP = 2;
const QUARANTINE_SHARE = 0.2;
/** Consecutive failures after which a worker is quarantined; 2% of healthy runs fail. */
const QUARANTINE_FAILURES = 2;
const QUARANTINE_MS = 5_000;

/** What the detection needs; `now` is monotonic time in milliseconds. */
export interface FailingWorkerOptions {
    readonly now: number;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    readonly log: observe.Log;
}

/** Records a failed run against its worker; `expectedMs` is the expected duration of the run. */
export function recordFailedRun(
    worker: entries.WorkerEntry,
    task: entries.TaskEntry,
    expectedMs: number,
    { now, disabledMechanisms }: Omit<FailingWorkerOptions, "log">,
): void {
    const { step } = task;
    const ranMs = now - Math.max(task.orderedAt, task.runningSince);
    if (
        disabledMechanisms.has("earlyFailures")
        || ranMs > Math.max(MIN_EARLY_FAILURE_MS, EARLY_FAILURE_SHARE * expectedMs)
    ) {
        worker.consecutiveFailures++;
        return;
    }
    if (step.earlyFailureWorkers.size < getMaxQuarantines(step)) {
        step.earlyFailureWorkers.add(worker.id);
        worker.consecutiveFailures = QUARANTINE_FAILURES;
    }
}

function getMaxQuarantines({ tasks }: entries.StepEntry): number {
    const running = tasks.filter(task => task.phase === "running").length;
    return Math.max(MIN_QUARANTINES_PER_STEP, QUARANTINE_SHARE * running);
}

/** Quarantines the worker if its failures have reached the threshold. */
export function quarantineIfFailing(
    worker: entries.WorkerEntry,
    { now, disabledMechanisms, log }: FailingWorkerOptions,
): void {
    if (worker.consecutiveFailures < QUARANTINE_FAILURES || disabledMechanisms.has("failingWorkers")) {
        return;
    }
    worker.consecutiveFailures = 0;
    worker.quarantinedUntil = now + QUARANTINE_MS;
    log.warn("workerSuspect", { worker: worker.id, reason: "failures" });
}

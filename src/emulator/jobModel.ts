/** Jobs for emulated workers, with the actual behaviour of their tasks. */
import type * as work from "../work/index";
import type * as workerIncarnation from "./workerIncarnation";

/** A job and the actual behaviour of its tasks. */
export interface EmulatedJob {
    readonly jobId: string;
    readonly queue: string;
    readonly account: string;
    readonly spec: work.JobSpec;
    /** Usual duration of the tasks of each step. */
    readonly durationsMs: readonly number[];
    /** Duration of the task of that index relative to its step's usual duration; 1 by default. */
    readonly getDurationFactor?: (step: number, index: number) => number;
    /** Whether a run of a task fails at its end; by default none does. */
    fails?: (task: string, run: number) => boolean;
    /** Time from the start of a task until it crashes its worker; `undefined`, as by default, if it does not. */
    getCrashAfterMs?: (task: string) => number | undefined;
}

/**
 * Returns the behaviour of the task of that name, whose job must be in `jobs`. `getMaxAttempts` gives the maximum number
 * of failed runs of a queue's tasks; without it any number is allowed.
 */
export function createTaskModel(
    jobs: ReadonlyMap<string, EmulatedJob>,
    task: string,
    getMaxAttempts?: (queue: string) => number | undefined,
): workerIncarnation.TaskModel {
    const [jobId, occurrence, stepNumber, index] = task.split(".");
    const job = jobs.get(jobId!)!;
    const number = Number(stepNumber);
    const step = job.spec.steps[number]!;
    return {
        needs: step.fills ? { ...step.needs, cpuMillis: 0 } : step.needs,
        durationMs: step.lasting
            ? Infinity
            // An integer, so that a completed task is reported as 100 percent.
            : Math.round(job.durationsMs[number]! * (job.getDurationFactor?.(number, Number(index)) ?? 1)),
        gangSize: step.gang ? step.count : 1,
        gang: `${jobId}.${occurrence}.${stepNumber}`,
        checkpoints: step.checkpoints,
        sameRack: step.gang && step.sameRack,
        dataRack: step.dataRack,
        maxAttempts: step.lasting ? undefined : getMaxAttempts?.(job.queue),
        crashesAfterMs: job.getCrashAfterMs?.(task),
        fails: run => job.fails?.(task, run) ?? false,
    };
}

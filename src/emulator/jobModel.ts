/** Jobs whose tasks run on emulated workers. */
import type * as work from "../work/index";
import type * as workerLife from "./workerIncarnation";

/** A job and what its tasks really do. */
export interface EmulatedJob {
    readonly jobId: string;
    readonly queue: string;
    readonly account: string;
    readonly spec: work.JobSpec;
    /** Duration of each step's tasks, as a rule. */
    readonly durationsMs: readonly number[];
    /** By how much the task of that number takes longer than the rule; without it all are the same. */
    readonly getDurationFactor?: (step: number, index: number) => number;
    /** Whether a run of a task fails at its end; by default none does. */
    fails?: (task: string, run: number) => boolean;
    /** How long after its start a task takes its worker down; by default none does. */
    getCrashAfterMs?: (task: string) => number | undefined;
}

/** What the task of that name does; its job must be known. Without `getMaxAttempts` no number of starts is a breach. */
export function createTaskModel(
    jobs: ReadonlyMap<string, EmulatedJob>,
    task: string,
    getMaxAttempts?: (queue: string) => number | undefined,
): workerLife.TaskModel {
    const [jobId, occurrence, stepNumber, index] = task.split(".");
    const job = jobs.get(jobId!)!;
    const number = Number(stepNumber);
    const step = job.spec.steps[number]!;
    return {
        needs: step.fills ? { ...step.needs, cpuMillis: 0 } : step.needs,
        durationMs: step.lasting
            ? Infinity
            // Whole, so that all that is done is told as 100 percent.
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

/** Random jobs of many shapes, from a seeded source. */
import type * as random from "../random/index";
import * as work from "../work/index";
import type * as jobModel from "./jobModel";

/** Creates a random job, the same for the same state of the source; its id is derived from `number`. */
export function createRandomJob(source: random.Random, number: number): jobModel.EmulatedJob {
    const gang = source.nextInt(3) === 0;
    const steps = Array.from({ length: 1 + source.nextInt(2) }, (_, step): work.StepSpec => ({
        ...work.DEFAULT_STEP,
        count: 1 + source.nextInt(4),
        needs: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 1 + source.nextInt(4) },
        estimateMs: 500 + source.nextInt(6_000),
        after: step > 0 ? [step - 1] : [],
        checkpoints: source.nextInt(2) === 0,
        gang,
        sameRack: gang && source.nextInt(2) === 0,
        maxPerWorker: source.nextInt(4) === 0 ? 2 : 0,
    }));
    const alwaysFails = source.nextInt(10) === 0;
    const failsOnce = source.nextInt(5) === 0;
    return {
        jobId: (number + 1).toString(16).padStart(16, "0"),
        queue: source.pick(["urgent", "plan", "batch"]),
        account: "office",
        spec: { payload: "", steps, repeats: 0, firstDueAt: 0, periodMs: 0 },
        durationsMs: steps.map(step => step.estimateMs),
        fails: (task, run) => alwaysFails || (failsOnce && run === 1 && task.endsWith(".0")),
    };
}

/** Returns the states in which the job may end if it is not cancelled. */
export function getExpectedStates(job: jobModel.EmulatedJob): readonly string[] {
    if (job.fails?.("0.0.0.1", 2)) {
        return ["failed"];
    }
    const crashAfterMs = job.getCrashAfterMs?.("0.0.0.0");
    if (crashAfterMs === undefined) {
        return ["completed"];
    }
    // A task that resumes from a checkpoint may complete before it crashes its worker again.
    const mayComplete = crashAfterMs > IMMEDIATE_CRASH_MS && job.spec.steps.some(step => step.checkpoints);
    return mayComplete ? ["failed", "completed"] : ["failed"];
}

/** No work is done before a crash this soon after the start. */
const IMMEDIATE_CRASH_MS = 10;

/** Returns whether the job may fail because enough workers were lost while they ran one of its tasks. */
export function mayFailByCrashes(job: jobModel.EmulatedJob, lossCounts: ReadonlyMap<string, number>): boolean {
    return [...lossCounts].some(([task, count]) => count >= MIN_LOSSES && task.startsWith(`${job.jobId}.`));
}

/** Minimum number of lost workers after which a task may be given up. */
const MIN_LOSSES = 2;

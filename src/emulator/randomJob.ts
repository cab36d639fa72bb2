/** Jobs of all shapes, from a seeded source. */
import type * as random from "../random/index";
import * as work from "../work/index";
import type * as jobModel from "./jobModel";

/** The same job for the same seed; `number` gives it its id. */
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
    const poison = source.nextInt(10) === 0;
    const failing = source.nextInt(5) === 0;
    return {
        jobId: (number + 1).toString(16).padStart(16, "0"),
        queue: source.pick(["urgent", "plan", "batch"]),
        account: "office",
        spec: { payload: "", steps, repeats: 0, firstDueAt: 0, periodMs: 0 },
        durationsMs: steps.map(step => step.estimateMs),
        fails: (task, run) => poison || (failing && run === 1 && task.endsWith(".0")),
    };
}

/** The states in which the job may end if nobody cancels it. */
export function getExpectedStates(job: jobModel.EmulatedJob): readonly string[] {
    if (job.fails?.("0.0.0.1", 2)) {
        return ["failed"];
    }
    const crashAfterMs = job.getCrashAfterMs?.("0.0.0.0");
    if (crashAfterMs === undefined) {
        return ["completed"];
    }
    // A task that goes on from what it saved may be done before it takes its worker down once more.
    const mayGoOn = crashAfterMs > AT_ONCE_MS && job.spec.steps.some(step => step.checkpoints);
    return mayGoOn ? ["failed", "completed"] : ["failed"];
}

/** No work is done before a crash that comes as soon. */
const AT_ONCE_MS = 10;

/** Whether two workers have crashed under one of its tasks. */
export function mayFailByCrashes(job: jobModel.EmulatedJob, lossCounts: ReadonlyMap<string, number>): boolean {
    return [...lossCounts].some(([task, count]) => count >= LEAST_LOSSES && task.startsWith(`${job.jobId}.`));
}

const LEAST_LOSSES = 2;

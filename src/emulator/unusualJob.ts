/** Jobs of unusual shapes that callers may submit: many dependencies, many tasks, or many overdue occurrences. */
import type * as random from "../random/index";
import * as work from "../work/index";
import type * as jobModel from "./jobModel";

/** What is unusual about a job. */
export const JOB_SHAPES = ["denseSteps", "pairedSteps", "stagedSteps", "wideStep", "overdueOccurrences"] as const;
type JobShape = (typeof JOB_SHAPES)[number];

/** Keeps the ids of these jobs apart from those of ordinary jobs. */
const FIRST_ID = 0x10_000;
const STAGE_STEPS = 4;

/**
 * Creates a job of a random shape, the same for the same state of the source; its id is derived from `number`. Its
 * tasks are short and need little, so that it ends soon beside other jobs. `wallNow` is Unix time in milliseconds.
 */
export function createUnusualJob(source: random.Random, number: number, wallNow: number): jobModel.EmulatedJob {
    const shape = source.pick(JOB_SHAPES);
    const durationMs = 50 + source.nextInt(150);
    const steps = createSteps(shape, source).map((step): work.StepSpec => ({
        ...work.DEFAULT_STEP,
        count: 1,
        needs: { cpuMillis: 50, memoryMb: 50, accelerators: 0 },
        estimateMs: durationMs,
        ...step,
    }));
    const repeats = shape === "overdueOccurrences" ? 20 + source.nextInt(60) : 0;
    const periodMs = 1 + source.nextInt(1_000);
    return {
        jobId: (FIRST_ID + number).toString(16).padStart(16, "0"),
        queue: source.pick(["urgent", "plan", "batch"]),
        account: "office",
        spec: { payload: "", steps, repeats, firstDueAt: repeats > 0 ? wallNow - repeats * periodMs : 0, periodMs },
        durationsMs: steps.map(() => durationMs),
    };
}

function createSteps(shape: JobShape, source: random.Random): Array<Partial<work.StepSpec>> {
    const createGraph = (length: number, getAfter: (number: number) => number[]) =>
        Array.from({ length }, (_, number) => ({ after: getAfter(number).filter(earlier => earlier >= 0) }));
    switch (shape) {
        case "denseSteps":
            return createGraph(
                8 + source.nextInt(20),
                number => Array.from({ length: number }, (_, earlier) => earlier),
            );
        case "pairedSteps":
            return createGraph(8 + source.nextInt(20), number => [number - 1, number - 2]);
        case "stagedSteps":
            return createGraph(STAGE_STEPS * (2 + source.nextInt(10)), number => {
                const firstOfStage = number - number % STAGE_STEPS;
                return Array.from({ length: STAGE_STEPS }, (_, index) => firstOfStage - STAGE_STEPS + index);
            });
        case "wideStep":
            return [{ count: 50 + source.nextInt(100), maxPerWorker: source.nextInt(2) === 0 ? 10 : 0 }];
        case "overdueOccurrences":
            return [{ count: 1 + source.nextInt(3) }];
    }
}

/** What a caller hands in: a job of steps, each of equal tasks. */
import type * as catalog from "../catalog/index";

/** Capacity of a worker, or a part of it. */
export interface Resources {
    /** Thousandths of a processor core. */
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

export interface StepSpec {
    readonly count: number;
    readonly needs: Resources;
    /** The caller's rough estimate of a task's duration. */
    readonly estimateMs: number;
    /** Earlier steps of which all tasks must be done first. */
    readonly after: readonly number[];
    /** A stopped task goes on from where it last saved. */
    readonly checkpoints: boolean;
    /** All tasks run together or none does, under one run number, and they end together. */
    readonly gang: boolean;
    /** Tasks on more than one rack take several times as long. */
    readonly sameRack: boolean;
    /** Label that the worker must have. */
    readonly requiredLabel?: string;
    /** Rack of the data; elsewhere the tasks take several times as long. */
    readonly dataRack?: string;
    /** Most tasks of the step, within one occurrence, on one worker; 0: any number. */
    readonly maxPerWorker: number;
    /** Copies of a task may run in parallel. */
    readonly speculative: boolean;
    /** Runs until the job is cancelled. */
    readonly lasting: boolean;
    /** Tasks of a lasting step that we may take away from their work at the same time. */
    readonly mayMiss: number;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image: string;
    /** Bound of a serving task's response times (their tail); 0: none. */
    readonly targetMs: number;
    /** Takes only processor time that the other tasks leave over, so its processor need is not counted. */
    readonly fills: boolean;
}

export interface JobSpec {
    /** Opaque to the scheduler; handed to each task. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** Number of scheduled occurrences; 0: the job runs once, at once. */
    readonly repeats: number;
    /** When occurrence 0 is due, in wall-clock milliseconds since 1970. */
    readonly firstDueAt: number;
    readonly periodMs: number;
}

/** An accepted job as it is stored; it never changes. */
export interface Submission {
    readonly jobId: string;
    /** The queue as it was configured then: the job goes on when an operator removes its queue. */
    readonly queue: catalog.Queue;
    readonly account: string;
    /** Wall-clock time at the instance that accepted it. */
    readonly acceptedAt: number;
    readonly spec: JobSpec;
}

/** A step of which nothing special is asked. */
export const DEFAULT_STEP: Omit<StepSpec, "count" | "needs" | "estimateMs"> = {
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    maxPerWorker: 0,
    speculative: false,
    lasting: false,
    mayMiss: 0,
    image: "",
    targetMs: 0,
    fills: false,
};

export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** What a task takes of its worker's capacity. */
export function getReservedResources(step: StepSpec): Resources {
    return step.fills ? { ...step.needs, cpuMillis: 0 } : step.needs;
}

export function getDueAt(spec: JobSpec, occurrence: number): number | undefined {
    return spec.repeats > 0 ? spec.firstDueAt + occurrence * spec.periodMs : undefined;
}

export function getOccurrenceCount(spec: JobSpec): number {
    return Math.max(1, spec.repeats);
}

/** Job specification, as submitted by a caller: steps, each of identical tasks. */
import type * as catalog from "../catalog/index";

/** Capacity of a worker or a part of it. */
export interface Resources {
    /** Millicores. */
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/** A step: `count` identical tasks. */
export interface StepSpec {
    /** Number of tasks. */
    readonly count: number;
    /** Resources that each task needs. */
    readonly needs: Resources;
    /** The caller's rough estimate of a task's duration. */
    readonly estimateMs: number;
    /** Indices of earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** Whether a stopped task resumes from its last checkpoint. */
    readonly checkpoints: boolean;
    /** Whether the tasks start, run and end only together, under one run number. */
    readonly gang: boolean;
    /** Whether the tasks take several times as long when they are spread over several racks. */
    readonly sameRack: boolean;
    /** Label that the worker must have. */
    readonly requiredLabel?: string;
    /** Rack of the data; tasks in any other rack take several times as long. */
    readonly dataRack?: string;
    /** Maximum number of tasks of the step, within one occurrence, on one worker; 0: no limit. */
    readonly maxPerWorker: number;
    /** Whether copies of a task may run in parallel. */
    readonly speculative: boolean;
    /** Whether the tasks run until the job is cancelled. */
    readonly lasting: boolean;
    /** Disruption budget: number of tasks of a lasting step that may be interrupted at the same time. */
    readonly mayMiss: number;
    /** Image that the tasks run; tasks of one image behave alike. */
    readonly image: string;
    /** Bound of the tail latency of a latency-sensitive task, in milliseconds; 0: none. */
    readonly targetMs: number;
    /** Best-effort: uses only spare processor time, so its need of cores is not reserved. */
    readonly fills: boolean;
}

/** A job, which runs once or on a schedule. */
export interface JobSpec {
    /** Opaque to the scheduler; passed to each task. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** Number of scheduled occurrences; 0: the job runs once, immediately. */
    readonly repeats: number;
    /** When occurrence 0 is due, in wall-clock milliseconds since the Unix epoch. */
    readonly firstDueAt: number;
    /** Time from one occurrence to the next. */
    readonly periodMs: number;
}

/** An accepted job as stored; it never changes. */
export interface Submission {
    readonly jobId: string;
    /** The queue as configured at acceptance, so that the job continues if an operator removes the queue. */
    readonly queue: catalog.Queue;
    readonly account: string;
    /** Wall-clock time at the instance that accepted it, in milliseconds. */
    readonly acceptedAt: number;
    readonly spec: JobSpec;
}

/** Defaults of all fields of a step that have one. */
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

/** Zero in each dimension. */
export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** Resources that a task of the step reserves on its worker. */
export function getReservedResources(step: StepSpec): Resources {
    return step.fills ? { ...step.needs, cpuMillis: 0 } : step.needs;
}

/** Wall-clock time at which the occurrence is due; `undefined` for a job without a schedule. */
export function getDueAt(spec: JobSpec, occurrence: number): number | undefined {
    return spec.repeats > 0 ? spec.firstDueAt + occurrence * spec.periodMs : undefined;
}

/** Number of occurrences; 1 for a job without a schedule. */
export function getOccurrenceCount(spec: JobSpec): number {
    return Math.max(1, spec.repeats);
}

/** Number of tasks of one occurrence. */
export function countTasks(spec: JobSpec): number {
    return spec.steps.reduce((sum, step) => sum + step.count, 0);
}

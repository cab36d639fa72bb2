/** A job's properties that the scheduler uses. */
import type * as configuration from "../configuration/index";

/** A waiting or running job of a zone. */
export interface QueuedJob {
    readonly jobId: string;
    readonly account: string;
    readonly jobClass: configuration.JobClass;
    readonly accelerators: number;
    readonly adjacency: configuration.Adjacency;
    readonly cpusPerAccelerator: number;
    readonly memoryMbPerAccelerator: number;
    /** Whether the job may be stopped and resumed, or run again. */
    readonly repeatable: boolean;
    /** Run time that the caller declared, in milliseconds; `undefined` for none. */
    readonly declaredMs: number | undefined;
    /** Monotonic time at which the job was accepted. */
    readonly queuedAt: number;
    /** Monotonic time by which the job must have started; `undefined` for none. */
    readonly startBy: number | undefined;
    /** Run time saved by checkpoints, in milliseconds. */
    savedMs: number;
    /** Number of the latest attempt, from 1; 0 before the first. */
    attempt: number;
    /** Workers on which the job failed. */
    readonly failedWorkers: Set<string>;
    /** Number of failures, including repeated ones on the same worker. */
    failures: number;
    /** Monotonic time of the latest failure; `undefined` for none. */
    failedAt: number | undefined;
}

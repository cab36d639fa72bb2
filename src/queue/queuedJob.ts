/** A job as the scheduler sees it. */
import type * as configuration from "../configuration/index";

export interface QueuedJob {
    readonly jobId: string;
    readonly account: string;
    readonly jobClass: configuration.JobClass;
    readonly accelerators: number;
    readonly adjacency: configuration.Adjacency;
    readonly cpusPerAccelerator: number;
    readonly memoryMbPerAccelerator: number;
    /** May be stopped and continued, or run again. */
    readonly repeatable: boolean;
    /** What the caller said it would run, in milliseconds. */
    readonly declaredMs: number | undefined;
    /** Monotonic time of acceptance. */
    readonly queuedAt: number;
    /** Monotonic time by which it must have started; undefined for none. */
    readonly startBy: number | undefined;
    /** Work saved by checkpoints, in milliseconds. */
    savedMs: number;
    /** Number of the latest attempt; 0 before the first. */
    attempt: number;
    /** Workers it failed on. */
    readonly failedWorkers: Set<string>;
    /** Failures so far, repeated ones on the same worker included. */
    failures: number;
    /** Monotonic time of the latest failure; undefined for none. */
    failedAt: number | undefined;
}

/** Result of a simulation: the outcome of each job, samples of utilisation, and thrown-away work. */
import type * as generate from "./generate";

/** Outcome of a job. Times are milliseconds from its arrival. */
export interface JobOutcome {
    readonly planned: generate.PlannedJob;
    /** Zone of its caller. */
    readonly zone: string;
    readonly accepted: boolean;
    readonly firstStartMs: number | undefined;
    readonly end: { readonly state: string; readonly afterMs: number; } | undefined;
}

/** State of the site at one time. */
export interface Sample {
    /** Milliseconds from the start of the load. */
    readonly atMs: number;
    /** Share of the accelerators of live workers that are in use. */
    readonly utilisation: number;
    /** Share of the free accelerators that are on partly used workers. */
    readonly fragmentation: number;
    /** Accepted jobs that have not started. */
    readonly waitingJobs: number;
}

/** Everything that a simulation records. */
export interface SimulationResult {
    readonly jobs: readonly JobOutcome[];
    readonly samples: readonly Sample[];
    /** Core-seconds of runs that were stopped, broken off or ended by lease expiry, and that were not saved. */
    readonly thrownAwayCoreSeconds: number;
    /** Runs that ended early. */
    readonly stoppedRuns: number;
    /** Thrown-away core-seconds by the reason for which the run ended. */
    readonly thrownAwayByReason: Readonly<Record<string, number>>;
    /** Calls to workers: polls and orders. */
    readonly workerCalls: number;
    /** Descriptions of the scheduler's guarantees that were violated; empty if none. */
    readonly violations: readonly string[];
    /** Length of the simulation on the manual clock, from the start of the load. */
    readonly simulatedMs: number;
}

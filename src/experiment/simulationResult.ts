/** What a play gives: what became of each job, how full the site was, and what was thrown away. */
import type * as generate from "./generate";

/** What became of a job. Times are milliseconds from its arrival. */
export interface JobOutcome {
    readonly planned: generate.PlannedJob;
    /** Of its callers. */
    readonly zone: string;
    readonly accepted: boolean;
    readonly firstStartMs: number | undefined;
    readonly end: { readonly state: string; readonly afterMs: number; } | undefined;
}

/** How full the site was at one moment. */
export interface Sample {
    readonly atMs: number;
    /** Share of the accelerators of living workers in use. */
    readonly utilisation: number;
    /** Share of the free accelerators that lie on workers which are not free as a whole. */
    readonly fragmentation: number;
    readonly waitingJobs: number;
}

export interface SimulationResult {
    readonly jobs: readonly JobOutcome[];
    readonly samples: readonly Sample[];
    /** Core-seconds of runs that were stopped, broken or lapsed and not saved. */
    readonly thrownAwayCoreSeconds: number;
    readonly stoppedRuns: number;
    /** The same by why: core-seconds thrown away. */
    readonly lossByReason: Readonly<Record<string, number>>;
    /** Looks and orders. */
    readonly workerCalls: number;
    /** Broken promises, in words. */
    readonly breaches: readonly string[];
    readonly simulatedMs: number;
}

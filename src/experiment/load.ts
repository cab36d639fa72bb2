/** Parameters of a load: a site, job classes with random arrivals, and injected faults. Shares are between 0 and 1. */
import type * as work from "../work/index";

/** Distribution of a random number that is at most `max`. */
export interface Distribution {
    readonly mean: number;
    /** Standard deviation divided by the mean, before `max` is applied; 0 always gives the mean. */
    readonly variation: number;
    readonly max: number;
}

/** Jobs with the same parameters, submitted to a queue of their own. */
export interface JobClass {
    readonly name: string;
    /** 0 is the most urgent and may preempt others. */
    readonly priority: number;
    /** Mean number of jobs per second over the whole site. */
    readonly perSecond: number;
    readonly durationMs: Distribution;
    /** Standard deviation of the logarithm of the durations of a step's tasks; 0 makes them equal. */
    readonly durationSigma: number;
    /** Number of tasks of a step. */
    readonly width: Distribution;
    /** Number of steps, which run one after another. */
    readonly steps: Distribution;
    readonly needs: Omit<work.Resources, "accelerators">;
    /** Accelerators of each task; a job takes one of these values at random. */
    readonly accelerators: readonly number[];
    /** Share of the jobs whose steps are gangs. */
    readonly gangShare: number;
    /** Share of the gangs that need all their workers on one rack. */
    readonly sameRackShare: number;
    /** Share of the jobs that save checkpoints. */
    readonly checkpointShare: number;
    /** Share of the jobs whose data lies on one rack. */
    readonly dataRackShare: number;
    /** Share of the jobs that limit the number of their tasks per worker. */
    readonly maxPerWorkerShare: number;
    /** Share of the jobs that their callers cancel. */
    readonly cancelledShare: number;
    /** Share of the jobs of which every run fails. */
    readonly poisonedShare: number;
    /** Share of the jobs with a task that crashes every worker that it runs on; default 0. */
    readonly crashingShare?: number;
    /** Share of the runs that fail. */
    readonly failedRunShare: number;
    /** Estimates are wrong by up to this factor in either direction; 1 makes them exact. */
    readonly estimateErrorFactor: number;
    /** If set, estimates are wrong by up to this share in either direction, and `estimateErrorFactor` is ignored. */
    readonly estimateErrorShare?: number;
    /** A job's objective is `stretch` times its critical path, plus `objectiveMs`. */
    readonly stretch: number;
    readonly objectiveMs: number;
    readonly maxAttempts: number;
    /** What a job is worth if it is done within its objective, and if it is late. */
    readonly worth: { readonly inTime: number; readonly late: number; };
}

/** A disturbance of the site or of the load. `atMs` counts from the start of the load. */
export type Fault =
    /** A share of the workers is slower by `factor`. */
    | {
        readonly kind: "slow";
        readonly atMs: number;
        readonly durationMs: number;
        readonly share: number;
        factor: number;
    }
    /** Tasks on a share of the workers make no progress. */
    | { readonly kind: "hang"; readonly atMs: number; readonly durationMs: number; readonly share: number; }
    /** A share of the workers is unreachable, and keeps running. */
    | { readonly kind: "cut"; readonly atMs: number; readonly durationMs: number; readonly share: number; }
    /** All workers of a zone are unreachable, and keep running. */
    | { readonly kind: "zoneCut"; readonly atMs: number; readonly durationMs: number; readonly zone: number; }
    /** Every task that a share of the workers starts fails. */
    | { readonly kind: "fail"; readonly atMs: number; readonly durationMs: number; readonly share: number; }
    /** A share of the workers is lost permanently. */
    | { readonly kind: "crash"; readonly atMs: number; readonly share: number; }
    /** A share of the workers drains, and stops after `remainingMs`; each is replaced `replacedAfterMs` later, if set. */
    | {
        readonly kind: "leave";
        readonly atMs: number;
        readonly share: number;
        readonly remainingMs: number;
        readonly replacedAfterMs?: number;
    }
    /** A share of the workers crashes and restarts seconds later: that share of the racks if `wholeRacks`. */
    | {
        readonly kind: "restart";
        readonly atMs: number;
        readonly share: number;
        readonly wholeRacks: boolean;
        /** Whether the restarted workers have the same ids. */
        readonly keepsId: boolean;
    }
    /** The capacity of a share of the workers shrinks to `remainingShare` of its value. */
    | {
        readonly kind: "shrink";
        readonly atMs: number;
        readonly durationMs: number;
        readonly share: number;
        remainingShare: number;
    }
    /** The store refuses every call. */
    | { readonly kind: "storeUnreachable"; readonly atMs: number; readonly durationMs: number; }
    /** The leader loses power, and restarts after `durationMs`. */
    | { readonly kind: "leaderLost"; readonly atMs: number; readonly durationMs: number; }
    /** Jobs of a class arrive `factor` times as often. */
    | { readonly kind: "burst"; readonly atMs: number; readonly durationMs: number; class: string; factor: number; };

/** A site, and the jobs and faults that it gets. */
export interface Load {
    readonly about: string;
    readonly workers: number;
    readonly workersPerRack: number;
    readonly zones: number;
    /** Instances of the scheduler, distributed over the zones round-robin. */
    readonly instances: number;
    /** Relative share of the jobs that the callers of each zone submit; by default all zones have the same. */
    readonly zoneShares?: readonly number[];
    readonly capacity: work.Resources;
    readonly accounts: number;
    /** Ratio between the numbers of jobs of one account and of the one before it; 1 makes them equal. */
    readonly skew: number;
    /** Share of all accelerators that is guaranteed to the accounts in total. */
    readonly guaranteedShare: number;
    readonly classes: readonly JobClass[];
    /** Period in which jobs arrive. */
    readonly durationMs: number;
    readonly faults: readonly Fault[];
    /** Each worker has one of these relative speeds at random; default 1. */
    readonly speeds?: readonly number[];
    /** Share of the instances that are fast, the first ones of each zone; default 1. */
    readonly fastInstanceShare?: number;
    /** One account submits `factor` times its own jobs of each class; by default none does. */
    readonly greedy?: { readonly account: number; readonly factor: number; };
}

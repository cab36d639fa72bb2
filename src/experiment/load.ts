/** What a load is made of: a site, classes of jobs that come at random, and troubles. */
import type * as work from "../work/index";

/** A number around `mean`, at most `most`; `spread` 0 is always the mean. */
export interface Distribution {
    readonly mean: number;
    readonly variation: number;
    readonly max: number;
}

export interface JobClass {
    readonly name: string;
    /** 0 goes first and may preempt others. */
    readonly priority: number;
    /** Jobs a second over the whole site. */
    readonly perSecond: number;
    readonly durationMs: Distribution;
    /** Standard deviation of the logarithm of what the tasks of one step take; 0: all the same. */
    readonly durationSigma: number;
    /** Tasks of a step. */
    readonly width: Distribution;
    /** Steps, each after the one before. */
    readonly steps: Distribution;
    readonly needs: Omit<work.Resources, "accelerators">;
    /** A job takes one of these for each of its tasks. */
    readonly accelerators: readonly number[];
    /** Shares of the jobs. */
    readonly gangShare: number;
    readonly sameRackShare: number;
    readonly checkpointShare: number;
    readonly dataRackShare: number;
    readonly maxPerWorkerShare: number;
    readonly cancelledShare: number;
    /** Share of the jobs that fail each time. */
    readonly poisonedShare: number;
    /** Share of the jobs with a task that takes each of its workers down; without it none. */
    readonly crashingShare?: number;
    /** Share of the runs that fail. */
    readonly failedRunShare: number;
    /** Estimates are off by up to this factor, either way; 1: exact. */
    readonly estimateErrorFactor: number;
    /** Set where estimates are off by up to this share instead, either way. */
    readonly estimateErrorShare?: number;
    /** The objective is this multiple of the job's longest chain of work, and `objectiveMs` more. */
    readonly stretch: number;
    readonly objectiveMs: number;
    readonly maxAttempts: number;
    readonly worth: { readonly inTime: number; readonly late: number; };
}

export type Fault =
    /** A share of the workers is `times` slower. */
    | { readonly kind: "slow"; readonly atMs: number; readonly forMs: number; readonly share: number; times: number; }
    /** Tasks on a share of the workers stand still. */
    | { readonly kind: "hang"; readonly atMs: number; readonly forMs: number; readonly share: number; }
    /** A share of the workers cannot be reached, and runs on. */
    | { readonly kind: "cut"; readonly atMs: number; readonly forMs: number; readonly share: number; }
    /** A zone's workers cannot be reached, and run on. */
    | { readonly kind: "zoneCut"; readonly atMs: number; readonly forMs: number; readonly zone: number; }
    /** All that a share of the workers starts fails. */
    | { readonly kind: "fail"; readonly atMs: number; readonly forMs: number; readonly share: number; }
    /** A share of the workers is lost for good. */
    | { readonly kind: "crash"; readonly atMs: number; readonly share: number; }
    /** A share of the workers drains, and leaves `leftMs` later. */
    | { readonly kind: "leave"; readonly atMs: number; readonly share: number; readonly leftMs: number; }
    /** Racks with about a share of the workers, or that share of any workers, crash and are back some seconds later. */
    | {
        readonly kind: "restart";
        readonly atMs: number;
        readonly share: number;
        readonly racks: boolean;
        readonly underId: boolean;
    }
    /** The capacity of a share of the workers shrinks to `left` of what it was. */
    | { readonly kind: "shrink"; readonly atMs: number; readonly forMs: number; readonly share: number; left: number; }
    /** The store turns every call away. */
    | { readonly kind: "storeAway"; readonly atMs: number; readonly forMs: number; }
    /** The leader falls silent, and starts again `forMs` later. */
    | { readonly kind: "leaderLost"; readonly atMs: number; readonly forMs: number; }
    /** A class comes `times` as often. */
    | { readonly kind: "burst"; readonly atMs: number; readonly forMs: number; class: string; times: number; };

export interface Load {
    readonly about: string;
    readonly workers: number;
    readonly workersPerRack: number;
    readonly zones: number;
    /** Instances of the scheduler; they lie in the zones in turns. */
    readonly instances: number;
    /** Share of the jobs that each zone's callers hand in; without it all the same. */
    readonly zoneShares?: readonly number[];
    readonly capacity: work.Resources;
    readonly accounts: number;
    /** Each account sends this share of what the one before it sends; 1: all the same. */
    readonly skew: number;
    /** Share of all accelerators that is guaranteed, to all accounts together. */
    readonly guaranteed: number;
    readonly classes: readonly JobClass[];
    /** Jobs come for this long. */
    readonly forMs: number;
    readonly troubles: readonly Fault[];
    /** Speeds of which each worker has one, at random; without it all have 1. */
    readonly speeds?: readonly number[];
    /** Share of the instances that are strong, the first of each zone; without it all are alike. */
    readonly strongShare?: number;
}

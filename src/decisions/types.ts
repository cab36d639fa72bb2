/** What the placement decisions see, and what they decide. Times are on the monotonic clock, in milliseconds. */
import type * as work from "../work/index";
import type * as mechanism from "./mechanism";

/** The tasks of a worker, by how long they have run. */
export const Company = {
    Idle: 0,
    /** All have been at work for a while. */
    Stable: 1,
    /** One has just begun. */
    RecentStart: 2,
} as const;
export type Company = typeof Company[keyof typeof Company];

/** A worker on which tasks may be started now. */
export interface PlaceableWorker {
    readonly id: string;
    readonly service: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: work.Resources;
    /** Taken by all tasks that run, may run, or are being stopped there. */
    readonly used: work.Resources;
    /** The part of `used` that becomes free within the stop time, without any further order. */
    readonly releasing: work.Resources;
    /** Tasks there that serve users of their own, and tasks that fill what the others leave over. */
    readonly latencySensitiveTasks: number;
    readonly bestEffortTasks: number;
    readonly occupancy: Company;
}

/** How strong a claim to room is: a stronger one may stop what runs on a weaker one. */
export const Claim = {
    /** Waits for room. */
    None: 0,
    /** Priority 0 beyond what the account is guaranteed. */
    Urgent: 1,
    /** Runs until it is cancelled, and must be at work all the while. */
    Lasting: 2,
    /** Within what the account is guaranteed. */
    Guaranteed: 3,
} as const;
export type Claim = typeof Claim[keyof typeof Claim];

/** How lines and figures call a claim. */
export const TIER_NAMES = { 0: "none", 1: "urgent", 2: "lasting", 3: "guaranteed" } as const satisfies Readonly<
    Record<Claim, string>
>;

/** Tasks that start together: one task, or all of a gang. */
export interface WaitingUnit {
    readonly key: string;
    /** Units of one family are alike: when one has found no place, the others of the pass need not be tried. */
    readonly equivalenceClass: string;
    /** The step, within one occurrence, whose tasks `maxPerWorker` bounds. */
    readonly step: string;
    readonly service: string;
    /** Needs of one member. */
    readonly needs: work.Resources;
    readonly count: number;
    readonly gang: boolean;
    readonly sameRack: boolean;
    readonly requiredLabel?: string;
    readonly dataRack?: string;
    readonly maxPerWorker: number;
    /** Tasks of the step on each worker, where `maxPerWorker` bounds them. */
    readonly stepTasksByWorker?: ReadonlyMap<string, number>;
    readonly tier: Claim;
    /** Serves users of its own, whose response times suffer from tasks that fill. */
    readonly latencySensitive: boolean;
    /** Takes only processor time that others leave over. */
    readonly bestEffort: boolean;
    /** Has taken a worker down, as far as is known: it is kept apart from other work. */
    readonly mayCrashWorker: boolean;
    /** Workers on which the unit failed before. */
    readonly excludedWorkerIds: ReadonlySet<string>;
    /** Where set, only these workers may run the unit. */
    readonly allowedWorkerIds?: ReadonlySet<string>;
    readonly waitedMs: number;
    readonly expectedDurationMs: number;
}

/** Tasks that are stopped together: one task, or all of a gang. */
export interface RunningGroup {
    readonly key: string;
    readonly tier: Claim;
    readonly members: ReadonlyArray<{ readonly workerId: string; readonly needs: work.Resources; }>;
    /** Core-seconds of work that a stop throws away. */
    readonly lossCoreSeconds: number;
    /** What a stop costs in all: the work thrown away, and the worth of a job that ends late for it. */
    readonly costCoreSeconds: number;
    /** Set for a lasting task at work whose step may miss only some of its tasks at a time. */
    readonly disruptionBudget?: DisruptionBudget;
}

/** How many tasks of a lasting step may be taken from their work. */
export interface DisruptionBudget {
    readonly step: string;
    /** Beside those that are away now. */
    readonly allowedDisruptions: number;
}

export interface PlanInput {
    readonly now: number;
    readonly disabledMechanisms?: ReadonlySet<mechanism.Mechanism>;
    readonly workers: readonly PlaceableWorker[];
    /** In the order in which they are to be served. */
    readonly units: readonly WaitingUnit[];
    /** Asked for only in a pass that has to stop something: on a large site it is most of the input. */
    getRunningGroups(): readonly RunningGroup[];
}

export interface PlannedStart {
    readonly unit: WaitingUnit;
    /** One worker for each member. */
    readonly workerIds: readonly string[];
}

export interface PlannedStop {
    readonly group: RunningGroup;
    /** The unit that gets the room, and its claim to it. */
    readonly forUnit: string;
    readonly tier: Claim;
}

export interface Plan {
    readonly starts: readonly PlannedStart[];
    readonly stops: readonly PlannedStop[];
}

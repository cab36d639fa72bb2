/** Input and output of a scheduling pass. Times are on the monotonic clock, in milliseconds. */
import type * as work from "../work/index";
import type * as mechanism from "./mechanism";

/** Whether a worker has tasks and, if so, whether one has just started. */
export const Occupancy = {
    Idle: 0,
    /** All tasks have run for a while. */
    Stable: 1,
    /** At least one task has just started. */
    RecentStart: 2,
} as const;
export type Occupancy = typeof Occupancy[keyof typeof Occupancy];

/** A worker on which tasks may be started. */
export interface PlaceableWorker {
    readonly id: string;
    readonly service: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: work.Resources;
    /** Resources of all tasks that run, may run, or are being stopped on the worker. */
    readonly used: work.Resources;
    /** The part of `used` that is released within the stop time without further stops. */
    readonly releasing: work.Resources;
    /** Number of tasks on the worker that have a latency bound. */
    readonly latencySensitiveTasks: number;
    /** Number of tasks on the worker that use only spare processor time. */
    readonly bestEffortTasks: number;
    readonly occupancy: Occupancy;
    /** Natural speed relative to the typical worker of the service; `undefined` or 1 if unknown. */
    readonly speed?: number;
}

/** Work of a higher tier may preempt work of a lower one. */
export const PreemptionTier = {
    /** Waits for free resources and preempts nothing. */
    None: 0,
    /** Priority 0, beyond the guarantee of the account. */
    Urgent: 1,
    /** Runs until it is cancelled and should not be interrupted. */
    Lasting: 2,
    /** Within the guarantee of the account. */
    Guaranteed: 3,
} as const;
export type PreemptionTier = typeof PreemptionTier[keyof typeof PreemptionTier];

/** Names of the tiers in log lines and metrics. */
export const TIER_NAMES = { 0: "none", 1: "urgent", 2: "lasting", 3: "guaranteed" } as const satisfies Readonly<
    Record<PreemptionTier, string>
>;

/** Tasks that start together: a single task or a whole gang. */
export interface WaitingUnit {
    readonly key: string;
    /** Units of one class have the same placement outcome: if one cannot be placed, the pass skips the others. */
    readonly equivalenceClass: string;
    /** The step, within one occurrence, to whose tasks `maxPerWorker` applies. */
    readonly step: string;
    readonly service: string;
    /** Needs of one member. */
    readonly needs: work.Resources;
    /** Number of members. */
    readonly count: number;
    readonly gang: boolean;
    /** Whether all members should be placed in one rack. */
    readonly sameRack: boolean;
    /** Whether a gang is placed on as few workers as its members fit on, since the loss of any of them ends it. */
    readonly fewWorkers?: boolean;
    /** Label that the workers must have. */
    readonly requiredLabel?: string;
    /** Rack of the data; the tasks take several times as long in any other. */
    readonly dataRack?: string;
    /** Maximum number of tasks of the step on one worker; 0: no limit. */
    readonly maxPerWorker: number;
    /** Number of tasks of the step by worker, if `maxPerWorker` is set. */
    readonly stepTasksByWorker?: ReadonlyMap<string, number>;
    readonly tier: PreemptionTier;
    /** Has a latency bound, which best-effort tasks on the same worker may violate. */
    readonly latencySensitive: boolean;
    /** Uses only spare processor time. */
    readonly bestEffort: boolean;
    /** Probably crashed a worker before, so it is isolated from other tasks. */
    readonly mayCrashWorker: boolean;
    /** Workers that must not run the unit, since it failed there before or is isolated. */
    readonly excludedWorkerIds: ReadonlySet<string>;
    /** If set, only these workers may run the unit. */
    readonly allowedWorkerIds?: ReadonlySet<string>;
    readonly waitedMs: number;
    readonly expectedDurationMs: number;
    /** Age at which the unit's job should end; a reservation of a unit that has waited longer is binding for all. */
    readonly objectiveMs?: number;
    /** Longest duration with which the job is still in time if the unit starts now; negative if it is late anyway. */
    readonly inTimeDurationMs?: number;
    /** If set, only workers that are at least this fast may run the unit. */
    readonly minSpeed?: number;
}

/** Tasks that are stopped together: a single task or a whole gang. */
export interface RunningGroup {
    readonly key: string;
    readonly tier: PreemptionTier;
    readonly members: ReadonlyArray<{ readonly workerId: string; readonly needs: work.Resources; }>;
    /** Work that a stop throws away, in core-seconds. */
    readonly lossCoreSeconds: number;
    /** Total cost of a stop: the thrown-away work and the cost of making the job late. */
    readonly costCoreSeconds: number;
    /** Set for a lasting task that may be available, and whose step may miss only some of its tasks at a time. */
    readonly disruptionBudget?: DisruptionBudget;
}

/** How many tasks of a lasting step may be stopped. */
export interface DisruptionBudget {
    readonly step: string;
    /** Number of tasks that may be stopped in addition to the others that are unavailable, or may be. */
    readonly allowedDisruptions: number;
}

/** Resources of a running task, and when they become free; `Infinity` if it ends only when it is cancelled. */
export interface ExpectedEnd {
    readonly needs: work.Resources;
    readonly endsAt: number;
}

/** Workers that are kept for a waiting gang. */
export interface Reservation {
    /** Key of the unit. */
    readonly unit: string;
    readonly service: string;
    /** One worker for each member. */
    readonly workerIds: readonly string[];
    /** When the gang can start on these workers, by the expected ends of what runs there. */
    readonly startsAt: number;
    /** When these workers were chosen. */
    readonly madeAt: number;
    /** When other workers were last considered. */
    readonly searchedAt: number;
}

/** What reservations depend on. */
export interface ReservationInput {
    /** The reservations that the previous pass returned. */
    readonly kept: readonly Reservation[];
    /** Expected ends of the tasks on a worker, without those that are being stopped. Called only for reservations. */
    getExpectedEnds(workerId: string): readonly ExpectedEnd[];
}

/** What a pass decides on. */
export interface PlanInput {
    readonly now: number;
    readonly disabledMechanisms?: ReadonlySet<mechanism.Mechanism>;
    readonly workers: readonly PlaceableWorker[];
    /** Waiting units in the order in which they are served. */
    readonly units: readonly WaitingUnit[];
    /** Called only if the pass needs preemption: on a large site the groups are most of the input. */
    getRunningGroups(): readonly RunningGroup[];
    /** If absent, the pass reserves nothing for gangs that may not preempt. */
    readonly reservations?: ReservationInput;
    /**
     * Whether a unit of the tier `None` that fits starts now, given the resources of its service that remain free after
     * its start. If absent, each such unit starts.
     */
    mayStart?(unit: WaitingUnit, freeAfter: work.Resources): boolean;
}

/** A unit that starts. */
export interface PlannedStart {
    readonly unit: WaitingUnit;
    /** One worker for each member. */
    readonly workerIds: readonly string[];
}

/** A group that is stopped. */
export interface PlannedStop {
    readonly group: RunningGroup;
    /** Key of the unit that gets the resources, and its tier. */
    readonly forUnit: string;
    readonly tier: PreemptionTier;
}

/** The decisions of a pass. */
export interface Plan {
    readonly starts: readonly PlannedStart[];
    readonly stops: readonly PlannedStop[];
    /** The reservations to pass to the next pass; absent if the pass had no `PlanInput.reservations`. */
    readonly reservations?: readonly Reservation[];
    /** Units whose outcome depends on the speeds of the workers; absent if no speeds are known. */
    readonly speedChoices?: readonly SpeedChoice[];
}

/** How the speeds of the workers changed the outcome of a unit. */
export interface SpeedChoice {
    readonly unit: WaitingUnit;
    /** Whether it starts elsewhere, preempts work on faster workers, or waits for a faster worker. */
    readonly kind: "placed" | "preempts" | "waits";
    /** Speed below which it would be late; 0 if it would be in time on every worker. */
    readonly minSpeed: number;
    /** Speed of the slowest worker that is chosen; `undefined` if it waits. */
    readonly speed?: number;
    readonly workerIds: readonly string[];
}

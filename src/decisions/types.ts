/** What the placement decisions see, and what they decide. Times are on the monotonic clock, in milliseconds. */
import type * as work from "../work/index";

/** A worker on which tasks may be started now. */
export interface PlaceableWorker {
    readonly id: string;
    readonly service: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: work.Room;
    /** Taken by all tasks that run, may run, or are being stopped there. */
    readonly used: work.Room;
    /** The part of `used` that becomes free within the stop time, without any further order. */
    readonly freeing: work.Room;
}

/** Tasks that start together: one task, or all of a gang. */
export interface WaitingUnit {
    readonly key: string;
    /** Units of one family are alike: when one has found no place, the others of the pass need not be tried. */
    readonly family: string;
    /** The step, within one occurrence, whose tasks `maxPerWorker` bounds. */
    readonly step: string;
    readonly service: string;
    /** Needs of one member. */
    readonly needs: work.Room;
    readonly count: number;
    readonly gang: boolean;
    readonly sameRack: boolean;
    readonly requiredLabel?: string;
    readonly dataRack?: string;
    readonly maxPerWorker: number;
    /** Tasks of the step on each worker, where `maxPerWorker` bounds them. */
    readonly stepTasksByWorker?: ReadonlyMap<string, number>;
    readonly priority: number;
    /** Whether the unit belongs to what its account is guaranteed. */
    readonly guaranteed: boolean;
    /** Workers on which the unit failed before. */
    readonly avoided: ReadonlySet<string>;
    /** Where set, only these workers may run the unit. */
    readonly allowed?: ReadonlySet<string>;
    readonly waitedMs: number;
    readonly expectedMs: number;
}

/** Tasks that are stopped together: one task, or all of a gang. */
export interface RunningGroup {
    readonly key: string;
    readonly priority: number;
    readonly guaranteed: boolean;
    /** False for tasks that must not be stopped for others. */
    readonly stoppable: boolean;
    readonly members: ReadonlyArray<{ readonly workerId: string; readonly needs: work.Room; }>;
    /** Core-seconds of work that a stop throws away. */
    readonly lossCoreSeconds: number;
    readonly expectedEndAt: number;
}

export interface PlanInput {
    readonly now: number;
    readonly workers: readonly PlaceableWorker[];
    /** In the order in which they are to be served. */
    readonly units: readonly WaitingUnit[];
    readonly groups: readonly RunningGroup[];
}

export interface PlannedStart {
    readonly unit: WaitingUnit;
    /** One worker for each member. */
    readonly workerIds: readonly string[];
}

export interface PlannedStop {
    readonly group: RunningGroup;
    /** The unit that gets the room. */
    readonly forUnit: string;
}

export interface Plan {
    readonly starts: readonly PlannedStart[];
    readonly stops: readonly PlannedStop[];
}

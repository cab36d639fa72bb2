/** What runs on an emulated worker, and how fast. */
import type * as leader from "../leader/index";
import type * as work from "../work/index";

/** How often a task saves what it has done. */
export const SAVE_EVERY_MS = 1_000;

/** What an emulated task really does. */
export interface TaskModel {
    readonly needs: work.Resources;
    readonly durationMs: number;
    /** Members of its gang; 1: none. */
    readonly gangSize: number;
    /** Names its gang, the same for all members. */
    readonly gang: string;
    readonly checkpoints: boolean;
    /** A gang that works several times slower on more than one rack. */
    readonly sameRack: boolean;
    /** Work is several times slower on another rack. */
    readonly dataRack: string | undefined;
    /** Takes its worker down this long after it starts there; `undefined`: does not. */
    readonly crashesAfterMs: number | undefined;
    /** The task is not started again after so many failed runs; `undefined`: there is no such bound. */
    readonly maxAttempts: number | undefined;
    /** Whether the run fails at its end. */
    fails(run: number): boolean;
}

export interface Run {
    readonly task: string;
    readonly run: number;
    readonly model: TaskModel;
    readonly startedAt: number;
    /** Work done, in milliseconds of the model's duration. */
    doneMs: number;
    stoppingAt: number | undefined;
    /** Started on a worker on which everything fails. */
    readonly failsSoon: boolean;
}

export interface Incarnation {
    info: leader.WorkerInfo;
    /** On the wall clock, as the worker tells it. */
    readonly bornAt: number;
    /** Our time at which its clock showed 0. */
    readonly clockZeroAt: number;
    /** What the directory has of it, and since when. */
    report: { readonly info: leader.WorkerInfo; readonly at: number; };
    alive: boolean;
    listed: boolean;
    fence: number;
    /** Our time at which its lease runs out. */
    deadline: number;
    readonly runs: Map<string, Run>;
    /** Highest run stopped or ended of each task. */
    readonly closedRuns: Map<string, number>;
    ends: leader.TaskEnd[];
    nextEnd: number;
    readonly waiters: Set<() => void>;
    /** Ends up to this number were listed when the worker's lease lapsed last. */
    lapsedEnd: number;
    /** Capacities that it had before, each with the time at which it was changed. */
    readonly earlierCapacities: Array<{ readonly capacity: work.Resources; readonly until: number; }>;
    /** Another life has begun at its address. */
    hasSuccessor: boolean;
}

/** What the life's clock shows at our time `now`. */
export function readClock(life: Incarnation, now: number): number {
    return now - life.clockZeroAt;
}

/** The capacity that starts may still count on: the largest since that time, in each dimension. */
export function getCapacitySince(life: Incarnation, since: number): work.Resources {
    const counted = life.earlierCapacities.filter(entry => entry.until >= since).map(entry => entry.capacity);
    return [life.info.capacity, ...counted].reduce((largest, capacity) => ({
        cpuMillis: Math.max(largest.cpuMillis, capacity.cpuMillis),
        memoryMb: Math.max(largest.memoryMb, capacity.memoryMb),
        accelerators: Math.max(largest.accelerators, capacity.accelerators),
    }));
}

/** What its tasks take of a worker's capacity. */
export function sumNeeds(life: Incarnation): work.Resources {
    const sum = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const running of life.runs.values()) {
        sum.cpuMillis += running.model.needs.cpuMillis;
        sum.memoryMb += running.model.needs.memoryMb;
        sum.accelerators += running.model.needs.accelerators;
    }
    return sum;
}

/** How many times slower a run is for being far from its data, or its gang for lying on more than one rack. */
export function getFarFactor(run: Run, life: Incarnation, gang: readonly Incarnation[]): number {
    const racks = new Set(gang.map(member => member.info.rack));
    const isFar = (run.model.sameRack && racks.size > 1)
        || (run.model.dataRack !== undefined && run.model.dataRack !== life.info.rack);
    return isFar ? FAR_FACTOR : 1;
}

/** As on the users' sheets. */
const FAR_FACTOR = 3;

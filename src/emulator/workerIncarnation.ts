/** State of one incarnation of an emulated worker: its runs, their progress and the resources that they use. */
import type * as leader from "../leader/index";
import type * as work from "../work/index";

/** Interval at which a task saves a checkpoint. */
export const CHECKPOINT_INTERVAL_MS = 1_000;

/** Actual behaviour of an emulated task. */
export interface TaskModel {
    /** Resources that the task takes on its worker. */
    readonly needs: work.Resources;
    /** Duration on a worker of usual speed; `Infinity` for a lasting task. */
    readonly durationMs: number;
    /** Number of members of its gang; 1 for a task without a gang. */
    readonly gangSize: number;
    /** Name of its gang, the same for all members. */
    readonly gang: string;
    /** Whether the task saves checkpoints from which a later run resumes. */
    readonly checkpoints: boolean;
    /** Whether its gang is several times slower on more than one rack. */
    readonly sameRack: boolean;
    /** Rack of its data, on any other of which it is several times slower; `undefined` if the rack does not matter. */
    readonly dataRack: string | undefined;
    /** Time from the start until the task crashes its worker; `undefined` if it does not. */
    readonly crashesAfterMs: number | undefined;
    /** Number of failed runs after which the task must not be started again; `undefined` if there is no such bound. */
    readonly maxAttempts: number | undefined;
    /** Whether the run of that number fails at its end. */
    fails(run: number): boolean;
}

/** A run of a task on a worker. Times are those of the emulator's clock. */
export interface Run {
    readonly task: string;
    readonly run: number;
    readonly model: TaskModel;
    readonly startedAt: number;
    /** Completed part of the model's duration. */
    doneMs: number;
    /** Time at which an ordered stop takes effect; `undefined` while no stop is ordered. */
    stopsAt: number | undefined;
    /** Whether it fails at once, having started on a worker on which every run fails. */
    readonly failsEarly: boolean;
}

/** One run of a worker process. Times are those of the emulator's clock, unless stated otherwise. */
export interface Incarnation {
    info: leader.WorkerInfo;
    /** Wall-clock time at which the process started, as the worker reports it. */
    readonly startedAt: number;
    /** Time at which the worker's monotonic clock showed 0. */
    readonly clockStartedAt: number;
    /** The worker's latest report to the directory, and when it was made. */
    report: { readonly info: leader.WorkerInfo; readonly at: number; };
    alive: boolean;
    /** Whether the directory lists it. */
    listed: boolean;
    /** Highest fencing token of the orders so far. */
    fencingToken: number;
    /** Time at which the lease of its runs expires. */
    leaseExpiresAt: number;
    readonly runs: Map<string, Run>;
    /** Highest run number of each task that has ended or was ordered to stop. */
    readonly latestClosedRuns: Map<string, number>;
    /** Ends of runs that the leader has not recorded yet. */
    ends: leader.TaskEnd[];
    nextEndNumber: number;
    /** Wakes the polls that wait for an end. */
    readonly waiters: Set<() => void>;
    /** Number of the last end at the latest time at which the lease was expired. */
    lastExpiredEnd: number;
    /** Previous capacities, each with the time at which it was replaced. */
    readonly earlierCapacities: Array<{ readonly capacity: work.Resources; readonly changedAt: number; }>;
    /** Whether another worker has started at its address. */
    hasSuccessor: boolean;
}

/** Returns the reading of the worker's monotonic clock at the time `now`. */
export function readClock(incarnation: Incarnation, now: number): number {
    return now - incarnation.clockStartedAt;
}

/** Returns the maximum capacity since that time, in each dimension. */
export function getCapacitySince(incarnation: Incarnation, since: number): work.Resources {
    const counted = incarnation.earlierCapacities.filter(entry => entry.changedAt >= since).map(entry =>
        entry.capacity
    );
    return [incarnation.info.capacity, ...counted].reduce((largest, capacity) => ({
        cpuMillis: Math.max(largest.cpuMillis, capacity.cpuMillis),
        memoryMb: Math.max(largest.memoryMb, capacity.memoryMb),
        accelerators: Math.max(largest.accelerators, capacity.accelerators),
    }));
}

/** Returns the resources that the worker's tasks use. */
export function getUsedResources(incarnation: Incarnation): work.Resources {
    const sum = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const running of incarnation.runs.values()) {
        sum.cpuMillis += running.model.needs.cpuMillis;
        sum.memoryMb += running.model.needs.memoryMb;
        sum.accelerators += running.model.needs.accelerators;
    }
    return sum;
}

/** Returns how many times slower a run is because its data is on another rack or its gang spans several racks. */
export function getDistanceFactor(run: Run, incarnation: Incarnation, gang: readonly Incarnation[]): number {
    const racks = new Set(gang.map(member => member.info.rack));
    const isRemote = (run.model.sameRack && racks.size > 1)
        || (run.model.dataRack !== undefined && run.model.dataRack !== incarnation.info.rack);
    return isRemote ? REMOTE_FACTOR : 1;
}

/** Slowdown as stated by the users. */
const REMOTE_FACTOR = 3;

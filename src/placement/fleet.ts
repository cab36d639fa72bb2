/**
 * The allocation of the workers of a zone: free resources, the accounts' homes, and the resources of each task.
 *
 * Workers are indexed by their number of free accelerators, and each rack lists its fully free workers, so that the
 * cost of a decision depends on the number of accelerators per worker and not on the number of workers.
 */
import * as result from "../result/index";
import * as needs from "./needs";

/** A task that holds resources of a worker. */
export interface PlacedTask {
    readonly taskId: string;
    readonly jobId: string;
    readonly account: string;
    readonly needs: needs.Needs;
    /** Whether the task may be stopped with a checkpoint and resumed later. */
    readonly evictable: boolean;
    /** Whether the task's class is urgent; such tasks are never preempted for work beyond a guarantee. */
    readonly urgent: boolean;
    /** Monotonic time at which the task was placed. */
    readonly placedAt: number;
    /** Monotonic time by which the task is expected to end. */
    predictedEndAt: number;
}

/** The state of one worker. */
export interface FleetWorker {
    readonly id: string;
    readonly rack: FleetRack;
    /** Resources for queued tasks: the worker's capacity minus the reserve for interactive requests. */
    readonly capacity: needs.Needs;
    free: needs.Needs;
    /** Whether the worker takes new tasks. */
    usable: boolean;
    /** The accounts' homes on the worker: guaranteed accelerators by account. */
    readonly homes: Map<string, number>;
    /** Sum of `homes`. */
    homeTotal: number;
    /** The tasks on the worker, by task id. */
    readonly tasks: Map<string, PlacedTask>;
    /** Set while a job waits for this worker to become free. */
    reservation: Reservation | undefined;
}

/** A worker's reservation for a waiting job. */
export interface Reservation {
    readonly jobId: string;
    /** Monotonic time at which the job is expected to start. */
    readonly startAt: number;
    /** Whether work is being stopped for the job; other tasks are then not placed here, not even short ones. */
    readonly exclusive: boolean;
}

/** The workers of one rack. */
export interface FleetRack {
    readonly id: string;
    /** Position in the topology; racks at consecutive positions are adjacent. */
    readonly index: number;
    readonly workers: FleetWorker[];
    /** Usable workers all of whose accelerators are free. */
    readonly fullyFreeWorkers: Set<FleetWorker>;
}

/** The location and capacity of a worker. */
export interface WorkerShape {
    readonly id: string;
    readonly rackId: string;
    readonly rackIndex: number;
    readonly capacity: needs.Needs;
}

/** The allocation of all workers of a zone. */
export interface Fleet {
    readonly workers: ReadonlyMap<string, FleetWorker>;
    /** The racks, in the order of the topology. */
    readonly racks: readonly FleetRack[];
    /** Maximum number of accelerators of one worker. */
    readonly largestWorker: number;
    /** Usable workers with exactly this many free accelerators. */
    getWorkersWithFree(accelerators: number): ReadonlySet<FleetWorker>;
    /** Allocates a task's resources. The worker must be known, the task new, and its accelerators free. */
    addTask(workerId: string, task: PlacedTask): void;
    /** Frees a task's resources; returns false when the worker does not hold the task. */
    removeTask(workerId: string, taskId: string): boolean;
    setUsable(workerId: string, usable: boolean): void;
    /** Replaces all homes; parts on unknown workers are ignored. */
    setHomes(
        parts: ReadonlyArray<{ readonly workerId: string; readonly account: string; readonly accelerators: number; }>,
    ): void;
    /** Workers that hold homes of the account. */
    getHomeWorkers(account: string): readonly FleetWorker[];
    /** Accelerators the account uses now. */
    getUse(account: string): number;
    /** Accelerators of the account's homes that its own tasks do not use. */
    getFreeGuaranteed(account: string): number;
    /** The largest unused block of the account's homes: whole workers of one rack, or a part of one worker. */
    getLargestFreeGuaranteed(account: string): number;
    /** Free accelerators of all usable workers. */
    getFreeAccelerators(): number;
    /** Accelerators of fully free usable workers. */
    getFullyFreeAccelerators(): number;
    /** Maximum over the racks of the accelerators of fully free workers without a reservation. */
    getLargestFreeBlock(): number;
    /** Maximum number of free accelerators on a partially used worker without a reservation. */
    getLargestHole(): number;
}

/** Creates a fleet of idle, usable workers. */
export function createFleet(shapes: readonly WorkerShape[]): Fleet {
    const racks = new Map<string, FleetRack>();
    const workers = new Map<string, FleetWorker>();
    const workersByFree: Array<Set<FleetWorker>> = [];
    const homeWorkers = new Map<string, FleetWorker[]>();
    const useByAccount = new Map<string, number>();
    const largestWorker = shapes.reduce((largest, shape) => Math.max(largest, shape.capacity.accelerators), 0);
    let freeAccelerators = 0;
    let fullyFreeAccelerators = 0;

    for (let level = 0; level <= largestWorker; level++) {
        workersByFree.push(new Set());
    }

    const addToIndex = (worker: FleetWorker) => {
        if (!worker.usable) {
            return;
        }
        workersByFree[worker.free.accelerators]!.add(worker);
        freeAccelerators += worker.free.accelerators;
        if (isFullyFree(worker)) {
            worker.rack.fullyFreeWorkers.add(worker);
            fullyFreeAccelerators += worker.free.accelerators;
        }
    };

    const removeFromIndex = (worker: FleetWorker) => {
        if (!worker.usable) {
            return;
        }
        workersByFree[worker.free.accelerators]!.delete(worker);
        freeAccelerators -= worker.free.accelerators;
        if (isFullyFree(worker)) {
            worker.rack.fullyFreeWorkers.delete(worker);
            fullyFreeAccelerators -= worker.free.accelerators;
        }
    };

    const updateWorker = (worker: FleetWorker, apply: () => void) => {
        removeFromIndex(worker);
        apply();
        addToIndex(worker);
    };

    const getWorker = (workerId: string): FleetWorker => {
        const worker = workers.get(workerId);
        result.invariant(worker, result.InvariantCode.UnknownWorker, workerId);
        return worker;
    };

    const addUse = (account: string, accelerators: number) => {
        useByAccount.set(account, (useByAccount.get(account) ?? 0) + accelerators);
    };

    for (const shape of shapes) {
        const rack = racks.get(shape.rackId)
            ?? { id: shape.rackId, index: shape.rackIndex, workers: [], fullyFreeWorkers: new Set<FleetWorker>() };
        racks.set(shape.rackId, rack);
        const worker: FleetWorker = {
            id: shape.id,
            rack,
            capacity: shape.capacity,
            free: shape.capacity,
            usable: true,
            homes: new Map(),
            homeTotal: 0,
            tasks: new Map(),
            reservation: undefined,
        };
        rack.workers.push(worker);
        workers.set(shape.id, worker);
        addToIndex(worker);
    }

    return {
        workers,
        racks: [...racks.values()].sort((a, b) => a.index - b.index),
        largestWorker,
        getWorkersWithFree: accelerators => workersByFree[accelerators] ?? NO_WORKERS,
        addTask: (workerId, task) => {
            const worker = getWorker(workerId);
            result.invariant(!worker.tasks.has(task.taskId), result.InvariantCode.TaskPlacedTwice, task.taskId);
            updateWorker(worker, () => {
                worker.tasks.set(task.taskId, task);
                worker.free = needs.subtractNeeds(worker.free, task.needs);
            });
            result.invariant(
                worker.free.accelerators >= 0,
                result.InvariantCode.ResourcesOverbooked,
                `${workerId} ${task.taskId}`,
            );
            addUse(task.account, task.needs.accelerators);
        },
        removeTask: (workerId, taskId) => {
            const worker = getWorker(workerId);
            const task = worker.tasks.get(taskId);
            if (!task) {
                return false;
            }
            updateWorker(worker, () => {
                worker.tasks.delete(taskId);
                worker.free = needs.addNeeds(worker.free, task.needs);
            });
            addUse(task.account, -task.needs.accelerators);
            return true;
        },
        setUsable: (workerId, usable) => {
            const worker = getWorker(workerId);
            updateWorker(worker, () => {
                worker.usable = usable;
            });
        },
        setHomes: parts => {
            homeWorkers.clear();
            for (const worker of workers.values()) {
                worker.homes.clear();
                worker.homeTotal = 0;
            }
            for (const part of parts) {
                const worker = workers.get(part.workerId);
                if (!worker) {
                    continue;
                }
                const before = worker.homes.get(part.account) ?? 0;
                worker.homes.set(part.account, before + part.accelerators);
                worker.homeTotal += part.accelerators;
                if (before === 0) {
                    homeWorkers.set(part.account, [...homeWorkers.get(part.account) ?? [], worker]);
                }
            }
        },
        getHomeWorkers: account => homeWorkers.get(account) ?? [],
        getUse: account => useByAccount.get(account) ?? 0,
        getFreeGuaranteed: account => {
            let free = 0;
            for (const worker of homeWorkers.get(account) ?? []) {
                free += getFreeHome(worker, account);
            }
            return free;
        },
        getLargestFreeGuaranteed: account => {
            const wholeByRack = new Map<FleetRack, number>();
            let largest = 0;
            for (const worker of homeWorkers.get(account) ?? []) {
                const free = worker.usable ? getFreeHome(worker, account) : 0;
                const isWhole = free === worker.capacity.accelerators;
                const inRack = (wholeByRack.get(worker.rack) ?? 0) + (isWhole ? free : 0);
                wholeByRack.set(worker.rack, inRack);
                largest = Math.max(largest, free, inRack);
            }
            return largest;
        },
        getFreeAccelerators: () => freeAccelerators,
        getFullyFreeAccelerators: () => fullyFreeAccelerators,
        getLargestFreeBlock: () => {
            let largest = 0;
            for (const rack of racks.values()) {
                let block = 0;
                for (const worker of rack.fullyFreeWorkers) {
                    block += worker.reservation ? 0 : worker.free.accelerators;
                }
                largest = Math.max(largest, block);
            }
            return largest;
        },
        getLargestHole: () => {
            for (let level = largestWorker - 1; level > 0; level--) {
                for (const worker of workersByFree[level]!) {
                    if (!isFullyFree(worker) && !worker.reservation && worker.free.slots > 0) {
                        return level;
                    }
                }
            }
            return 0;
        },
    };
}

const NO_WORKERS: ReadonlySet<FleetWorker> = new Set();

/** Whether all accelerators of the worker are free. */
export function isFullyFree(worker: FleetWorker): boolean {
    return worker.free.accelerators === worker.capacity.accelerators && worker.capacity.accelerators > 0;
}

/**
 * Monotonic time at which a task is expected to end: as predicted or, once it has overrun, after half the time that it
 * has run so far. Expecting an overrun task to end at once would plan reservations for a start time that is not met.
 */
export function getExpectedEnd(task: PlacedTask, now: number): number {
    return task.predictedEndAt > now ? task.predictedEndAt : now + (now - task.placedAt) / 2;
}

/** Monotonic time at which all tasks of the worker are expected to have ended. */
export function getFreeAt(worker: FleetWorker, now: number): number {
    let freeAt = now;
    for (const task of worker.tasks.values()) {
        freeAt = Math.max(freeAt, getExpectedEnd(task, now));
    }
    return freeAt;
}

/** Accelerators of the account's home on the worker that its own tasks do not use. */
export function getFreeHome(worker: FleetWorker, account: string): number {
    return Math.max(0, (worker.homes.get(account) ?? 0) - getAccountUse(worker, account));
}

/** Accelerators that the account's tasks use on the worker. */
export function getAccountUse(worker: FleetWorker, account: string): number {
    let used = 0;
    for (const task of worker.tasks.values()) {
        used += task.account === account ? task.needs.accelerators : 0;
    }
    return used;
}

/**
 * The books of the workers of a zone: what is free, whose homes lie where, and which tasks hold what.
 *
 * Workers are indexed by their free accelerators, and racks by their wholly free workers, so that the cost of a decision
 * depends on the number of levels and not on the number of workers.
 */
import * as result from "../result/index";
import * as needs from "./needs";

export interface BookedTask {
    readonly taskId: string;
    readonly jobId: string;
    readonly account: string;
    readonly needs: needs.Needs;
    /** May be stopped with a checkpoint and continued later. */
    readonly evictable: boolean;
    /** Of a class that is never stopped for one without a guarantee. */
    readonly urgent: boolean;
    /** Monotonic time at which it was placed. */
    readonly placedAt: number;
    /** Monotonic time by which it is expected to end. */
    predictedEndAt: number;
}

export interface WorkerBook {
    readonly id: string;
    readonly rack: RackBook;
    /** What queued tasks may take: the worker's capacity less the reserve for interactive requests. */
    readonly capacity: needs.Needs;
    free: needs.Needs;
    /** Takes new tasks. */
    usable: boolean;
    /** Guaranteed accelerators by account. */
    readonly homes: Map<string, number>;
    homeTotal: number;
    readonly tasks: Map<string, BookedTask>;
    /** The job that waits for this worker to become free, and when it expects that. */
    reservation: Reservation | undefined;
}

export interface Reservation {
    readonly jobId: string;
    /** Monotonic time at which the job expects to start. */
    readonly startAt: number;
    /** Work is being stopped for the job: nothing else may be placed here meanwhile. */
    readonly firm: boolean;
}

export interface RackBook {
    readonly id: string;
    /** Position in the topology; racks of neighbouring positions are adjacent. */
    readonly index: number;
    readonly workers: WorkerBook[];
    /** Usable workers all of whose accelerators are free. */
    readonly wholeFree: Set<WorkerBook>;
}

export interface WorkerShape {
    readonly id: string;
    readonly rackId: string;
    readonly rackIndex: number;
    readonly capacity: needs.Needs;
}

export interface Fleet {
    readonly workers: ReadonlyMap<string, WorkerBook>;
    readonly racks: readonly RackBook[];
    /** The most accelerators that one worker has. */
    readonly largestWorker: number;
    /** Usable workers with exactly this many free accelerators. */
    getWorkersWithFree(accelerators: number): ReadonlySet<WorkerBook>;
    addTask(workerId: string, task: BookedTask): void;
    /** Returns whether the task was booked. */
    removeTask(workerId: string, taskId: string): boolean;
    setUsable(workerId: string, usable: boolean): void;
    /** Replaces all homes. */
    setHomes(
        parts: ReadonlyArray<{ readonly workerId: string; readonly account: string; readonly accelerators: number; }>,
    ): void;
    /** Workers that hold homes of the account. */
    getHomeWorkers(account: string): readonly WorkerBook[];
    /** Accelerators the account uses now. */
    getUse(account: string): number;
    /** Accelerators of the account's homes that its own tasks do not use. */
    getFreeGuaranteed(account: string): number;
    /** The largest block of the account's homes that its own tasks leave free: whole workers of a rack, or part of one. */
    getLargestFreeGuaranteed(account: string): number;
    getFreeAccelerators(): number;
    /** Accelerators free in wholly free workers. */
    getWholeFreeAccelerators(): number;
    /** The most accelerators free in whole workers of one rack for which no job waits. */
    getLargestFreeBlock(): number;
    /** The most accelerators free on a worker that others are in use on. */
    getLargestHole(): number;
}

export function createFleet(shapes: readonly WorkerShape[]): Fleet {
    const racks = new Map<string, RackBook>();
    const workers = new Map<string, WorkerBook>();
    const levels: Array<Set<WorkerBook>> = [];
    const homeWorkers = new Map<string, WorkerBook[]>();
    const useByAccount = new Map<string, number>();
    const largestWorker = shapes.reduce((largest, shape) => Math.max(largest, shape.capacity.accelerators), 0);
    let freeAccelerators = 0;
    let wholeFreeAccelerators = 0;

    for (let level = 0; level <= largestWorker; level++) {
        levels.push(new Set());
    }

    const enterIndex = (worker: WorkerBook) => {
        if (!worker.usable) {
            return;
        }
        levels[worker.free.accelerators]!.add(worker);
        freeAccelerators += worker.free.accelerators;
        if (isWhole(worker)) {
            worker.rack.wholeFree.add(worker);
            wholeFreeAccelerators += worker.free.accelerators;
        }
    };

    const leaveIndex = (worker: WorkerBook) => {
        if (!worker.usable) {
            return;
        }
        levels[worker.free.accelerators]!.delete(worker);
        freeAccelerators -= worker.free.accelerators;
        if (isWhole(worker)) {
            worker.rack.wholeFree.delete(worker);
            wholeFreeAccelerators -= worker.free.accelerators;
        }
    };

    const change = (worker: WorkerBook, apply: () => void) => {
        leaveIndex(worker);
        apply();
        enterIndex(worker);
    };

    const getWorker = (workerId: string): WorkerBook => {
        const worker = workers.get(workerId);
        result.invariant(worker, result.InvariantCode.UnknownWorker, workerId);
        return worker;
    };

    const addUse = (account: string, accelerators: number) => {
        useByAccount.set(account, (useByAccount.get(account) ?? 0) + accelerators);
    };

    for (const shape of shapes) {
        const rack = racks.get(shape.rackId)
            ?? { id: shape.rackId, index: shape.rackIndex, workers: [], wholeFree: new Set<WorkerBook>() };
        racks.set(shape.rackId, rack);
        const worker: WorkerBook = {
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
        enterIndex(worker);
    }

    return {
        workers,
        racks: [...racks.values()].sort((a, b) => a.index - b.index),
        largestWorker,
        getWorkersWithFree: accelerators => levels[accelerators] ?? EMPTY,
        addTask: (workerId, task) => {
            const worker = getWorker(workerId);
            result.invariant(!worker.tasks.has(task.taskId), result.InvariantCode.AcceleratorTwice, task.taskId);
            change(worker, () => {
                worker.tasks.set(task.taskId, task);
                worker.free = needs.subtractNeeds(worker.free, task.needs);
            });
            result.invariant(
                worker.free.accelerators >= 0,
                result.InvariantCode.BooksNegative,
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
            change(worker, () => {
                worker.tasks.delete(taskId);
                worker.free = needs.addNeeds(worker.free, task.needs);
            });
            addUse(task.account, -task.needs.accelerators);
            return true;
        },
        setUsable: (workerId, usable) => {
            const worker = getWorker(workerId);
            change(worker, () => {
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
            const wholeByRack = new Map<RackBook, number>();
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
        getWholeFreeAccelerators: () => wholeFreeAccelerators,
        getLargestFreeBlock: () => {
            let largest = 0;
            for (const rack of racks.values()) {
                let block = 0;
                for (const worker of rack.wholeFree) {
                    block += worker.reservation ? 0 : worker.free.accelerators;
                }
                largest = Math.max(largest, block);
            }
            return largest;
        },
        getLargestHole: () => {
            for (let level = largestWorker - 1; level > 0; level--) {
                for (const worker of levels[level]!) {
                    if (!isWhole(worker) && !worker.reservation && worker.free.slots > 0) {
                        return level;
                    }
                }
            }
            return 0;
        },
    };
}

const EMPTY: ReadonlySet<WorkerBook> = new Set();

/** Whether all accelerators of the worker are free. */
export function isWhole(worker: WorkerBook): boolean {
    return worker.free.accelerators === worker.capacity.accelerators && worker.capacity.accelerators > 0;
}

/**
 * When a task is expected to end: as predicted, or, once it has overrun, after half as long again as it has run. Taking an
 * overrun task for about to end would plan reservations for a moment that never comes.
 */
export function getExpectedEnd(task: BookedTask, now: number): number {
    return task.predictedEndAt > now ? task.predictedEndAt : now + (now - task.placedAt) / 2;
}

/** When all tasks of the worker are expected to have ended. */
export function getFreeAt(worker: WorkerBook, now: number): number {
    let freeAt = now;
    for (const task of worker.tasks.values()) {
        freeAt = Math.max(freeAt, getExpectedEnd(task, now));
    }
    return freeAt;
}

/** Accelerators of the account's home on the worker that its own tasks do not use. */
export function getFreeHome(worker: WorkerBook, account: string): number {
    return Math.max(0, (worker.homes.get(account) ?? 0) - getAccountUse(worker, account));
}

export function getAccountUse(worker: WorkerBook, account: string): number {
    let used = 0;
    for (const task of worker.tasks.values()) {
        used += task.account === account ? task.needs.accelerators : 0;
    }
    return used;
}

/** Reference implementation of `place`, which scans every worker. */
import * as resources from "../resources";
import * as types from "../types";

/** Resources that a placement may use on a worker. */
export type GetResources = (worker: types.PlaceableWorker) => resources.MutableResources;

/** Share of its expected duration for which a same-rack gang waits for a rack before it is spread. */
const SPREAD_MAX_WAIT_SHARE = 1;
/** Share of its expected duration for which a task waits for free resources in the rack of its data. */
const DATA_MAX_WAIT_SHARE = 0.5;

/** One worker for each member, or `undefined` if the unit does not fit or is to wait for a better placement. */
export function place(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    getResources: GetResources,
): string[] | undefined {
    const workersOfService = workers.filter(worker => worker.service === unit.service);
    const candidates = workers.filter(worker => isEligible(unit, worker));
    if (unit.count === 1) {
        return placeOne(unit, candidates, workersOfService, getResources);
    }
    if (dataRackFitsWhenEmpty(unit, workersOfService)) {
        const near = pack(unit, candidates.filter(worker => worker.rack === unit.dataRack), getResources);
        if (near || unit.waitedMs < getMaxWaitMs(unit, SPREAD_MAX_WAIT_SHARE, workersOfService)) {
            return near;
        }
    }
    if (!unit.sameRack) {
        return pack(unit, candidates, getResources);
    }
    return placeInOneRack(unit, workersOfService, getResources)
        ?? (maySpread(unit, workersOfService) ? pack(unit, candidates, getResources) : undefined);
}

/** Whether the rack of the unit's data could hold it if the rack were empty. */
export function dataRackFitsWhenEmpty(
    unit: types.WaitingUnit,
    workersOfService: readonly types.PlaceableWorker[],
): boolean {
    const capacity = workersOfService.filter(worker => worker.rack === unit.dataRack)
        .reduce((sum, worker) => sum + countFittingMembers(unit, worker, resources.copyResources(worker.capacity)), 0);
    return capacity >= unit.count;
}

/** Whether the worker meets the placement constraints of the unit, regardless of free resources. */
export function isEligible(unit: types.WaitingUnit, worker: types.PlaceableWorker): boolean {
    return worker.service === unit.service
        && (unit.requiredLabel === undefined || worker.labels.includes(unit.requiredLabel))
        && !unit.excludedWorkerIds.has(worker.id)
        && (unit.allowedWorkerIds === undefined || unit.allowedWorkerIds.has(worker.id));
}

/** Number of members of the unit that fit in `available` on the worker, within `maxPerWorker`. */
export function countFittingMembers(
    unit: types.WaitingUnit,
    worker: types.PlaceableWorker,
    available: resources.MutableResources,
): number {
    const fits = Math.min(unit.count, resources.countFits(available, unit.needs));
    if (unit.maxPerWorker === 0) {
        return fits;
    }
    const present = unit.stepTasksByWorker?.get(worker.id) ?? 0;
    return Math.max(0, Math.min(fits, unit.maxPerWorker - present));
}

/** Workers by rack; racks are in the order of their first worker. */
function groupByRack(workers: readonly types.PlaceableWorker[]): Map<string, types.PlaceableWorker[]> {
    const racks = new Map<string, types.PlaceableWorker[]>();
    for (const worker of workers) {
        const sameRack = racks.get(worker.rack);
        if (sameRack) {
            sameRack.push(worker);
        }
        else {
            racks.set(worker.rack, [worker]);
        }
    }
    return racks;
}

/** Best fit: the fullest worker that fits, so that empty workers remain for units that need a whole one. */
function placeOne(
    unit: types.WaitingUnit,
    candidates: readonly types.PlaceableWorker[],
    workersOfService: readonly types.PlaceableWorker[],
    getResources: GetResources,
): string[] | undefined {
    const fitting = candidates.filter(worker => countFittingMembers(unit, worker, getResources(worker)) > 0);
    const near = unit.dataRack === undefined ? fitting : fitting.filter(worker => worker.rack === unit.dataRack);
    const waitsForDataRack = unit.dataRack !== undefined
        && near.length === 0
        && unit.waitedMs < getMaxWaitMs(unit, DATA_MAX_WAIT_SHARE, workersOfService)
        && candidates.some(worker => worker.rack === unit.dataRack);
    if (waitsForDataRack) {
        return undefined;
    }
    const best = findMinimum(
        near.length > 0 ? near : fitting,
        worker => getFreeScore(getResources(worker)) + getInterferencePenalty(unit, worker),
    );
    return best && [best.id];
}

/** Best fit by rack: the fullest rack that fits, so that racks with more free resources remain for larger gangs. */
function placeInOneRack(
    unit: types.WaitingUnit,
    workersOfService: readonly types.PlaceableWorker[],
    getResources: GetResources,
): string[] | undefined {
    let best: { workerIds: string[]; score: number; } | undefined;
    for (const [rack, all] of groupByRack(workersOfService)) {
        const workers = all.filter(worker => isEligible(unit, worker));
        const workerIds = pack(unit, workers, getResources);
        if (!workerIds) {
            continue;
        }
        const isRemote = unit.dataRack !== undefined && unit.dataRack !== rack;
        const score = workers.reduce((sum, worker) => sum + getFreeScore(getResources(worker)), 0)
            + (isRemote ? REMOTE_DATA_PENALTY : 0);
        if (!best || score < best.score) {
            best = { workerIds, score };
        }
    }
    return best?.workerIds;
}

/** Exceeds the free score of any rack, so that the rack of the data is preferred however much of it is free. */
const REMOTE_DATA_PENALTY = 1e6;

/** Fills the fullest workers first. */
function pack(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    getResources: GetResources,
): string[] | undefined {
    const hosts = workers
        .map(worker => ({ worker, fits: countFittingMembers(unit, worker, getResources(worker)) }))
        .filter(host => host.fits > 0)
        .sort((a, b) => getFreeScore(getResources(a.worker)) - getFreeScore(getResources(b.worker)));
    const workerIds: string[] = [];
    for (const host of hosts) {
        for (let member = 0; member < host.fits && workerIds.length < unit.count; member++) {
            workerIds.push(host.worker.id);
        }
    }
    return workerIds.length === unit.count ? workerIds : undefined;
}

const IDLE_MAX_WAIT_MS = 2_000;
const GUARANTEED_MAX_WAIT_MS = 1_500;

function getMaxWaitMs(unit: types.WaitingUnit, share: number, workers: readonly types.PlaceableWorker[]): number {
    const dimensions = ["cpuMillis", "accelerators"] as const;
    const mostlyFree = dimensions.every(dimension => {
        const used = workers.reduce((sum, worker) => sum + worker.used[dimension], 0);
        return 2 * used < workers.reduce((sum, worker) => sum + worker.capacity[dimension], 0);
    });
    const bound = unit.tier === types.PreemptionTier.Guaranteed ? GUARANTEED_MAX_WAIT_MS : Infinity;
    return Math.min(mostlyFree ? IDLE_MAX_WAIT_MS : Infinity, bound, unit.expectedDurationMs * share);
}

function maySpread(unit: types.WaitingUnit, workers: readonly types.PlaceableWorker[]): boolean {
    if (unit.waitedMs >= getMaxWaitMs(unit, SPREAD_MAX_WAIT_SHARE, workers)) {
        return true;
    }
    for (const rackWorkers of groupByRack(workers).values()) {
        const capacity = rackWorkers.reduce(
            (sum, worker) => sum + countFittingMembers(unit, worker, resources.copyResources(worker.capacity)),
            0,
        );
        if (capacity >= unit.count) {
            return false;
        }
    }
    return true;
}

/** Keeps best-effort tasks away from latency-sensitive ones, which they slow down, as long as another worker fits. */
function getInterferencePenalty(unit: types.WaitingUnit, worker: types.PlaceableWorker): number {
    if (unit.latencySensitive) {
        return worker.bestEffortTasks * INTERFERENCE_PENALTY;
    }
    if (unit.bestEffort) {
        return worker.latencySensitiveTasks * INTERFERENCE_PENALTY + worker.bestEffortTasks;
    }
    return 0;
}

/** Exceeds the number of accelerators of any worker. */
const INTERFERENCE_PENALTY = 1_000;

/** Free resources as one number. Accelerators dominate, as the scarcest resource; cores break ties. */
function getFreeScore(free: resources.MutableResources): number {
    return free.accelerators + free.cpuMillis / CPU_TIE_SCALE;
}

/** Exceeds the millicores of any worker, so that cores never outweigh an accelerator. */
const CPU_TIE_SCALE = 1e6;

function findMinimum<T>(items: readonly T[], measure: (item: T) => number): T | undefined {
    let best: T | undefined;
    let minimum = Infinity;
    for (const item of items) {
        const value = measure(item);
        if (value < minimum) {
            best = item;
            minimum = value;
        }
    }
    return best;
}

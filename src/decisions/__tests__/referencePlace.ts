/** Where a unit fits, looking at every worker: the plain counterpart of `place`. */
import * as rooms from "../resources";
import * as types from "../types";

/** Room that a placement may use on a worker. */
export type RoomOf = (worker: types.PlaceableWorker) => rooms.MutableResources;

/**
 * A same-rack gang that no rack can take now waits this long for one before it is spread. Spread over racks its
 * tasks take three times as long, so a wait of about one run of the gang is the better bargain; beyond it the gang
 * is late either way.
 */
const SPREAD_PATIENCE = 1;
/** A task waits for room in the rack of its data for up to this share of its expected duration. */
const DATA_PATIENCE = 0.5;

/** One worker for each member, or `undefined` where the unit does not fit. */
export function place(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    roomOf: RoomOf,
): string[] | undefined {
    const ofService = workers.filter(worker => worker.service === unit.service);
    const candidates = workers.filter(worker => mayRun(unit, worker));
    if (unit.count === 1) {
        return placeOne(unit, candidates, ofService, roomOf);
    }
    if (dataRackCouldHold(unit, ofService)) {
        const near = pack(unit, candidates.filter(worker => worker.rack === unit.dataRack), roomOf);
        if (near || unit.waitedMs < getPatienceMs(unit, SPREAD_PATIENCE, ofService)) {
            return near;
        }
    }
    if (!unit.sameRack) {
        return pack(unit, candidates, roomOf);
    }
    return placeInOneRack(unit, ofService, roomOf)
        ?? (maySpread(unit, ofService) ? pack(unit, candidates, roomOf) : undefined);
}

/** Whether the rack of the unit's data would hold it with nothing else there. */
export function dataRackCouldHold(unit: types.WaitingUnit, ofService: readonly types.PlaceableWorker[]): boolean {
    const most = ofService.filter(worker => worker.rack === unit.dataRack)
        .reduce((sum, worker) => sum + countMembers(unit, worker, rooms.copyResources(worker.capacity)), 0);
    return most >= unit.count;
}

/** Whether the worker may run the unit at all, whatever room it has. */
export function mayRun(unit: types.WaitingUnit, worker: types.PlaceableWorker): boolean {
    return worker.service === unit.service
        && (unit.requiredLabel === undefined || worker.labels.includes(unit.requiredLabel))
        && !unit.excludedWorkerIds.has(worker.id)
        && (unit.allowedWorkerIds === undefined || unit.allowedWorkerIds.has(worker.id));
}

/** How many members of the unit the worker takes within that room. */
export function countMembers(
    unit: types.WaitingUnit,
    worker: types.PlaceableWorker,
    room: rooms.MutableResources,
): number {
    const fits = Math.min(unit.count, rooms.countFits(room, unit.needs));
    if (unit.maxPerWorker === 0) {
        return fits;
    }
    const present = unit.stepTasksByWorker?.get(worker.id) ?? 0;
    return Math.max(0, Math.min(fits, unit.maxPerWorker - present));
}

/** Workers of each rack, in the order of their first worker. */
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

/** The fullest worker that fits, so that whole workers stay free for what needs them. */
function placeOne(
    unit: types.WaitingUnit,
    candidates: readonly types.PlaceableWorker[],
    allOfService: readonly types.PlaceableWorker[],
    roomOf: RoomOf,
): string[] | undefined {
    const fitting = candidates.filter(worker => countMembers(unit, worker, roomOf(worker)) > 0);
    const near = unit.dataRack === undefined ? fitting : fitting.filter(worker => worker.rack === unit.dataRack);
    const mustBeNear = unit.dataRack !== undefined
        && near.length === 0
        && unit.waitedMs < getPatienceMs(unit, DATA_PATIENCE, allOfService)
        && candidates.some(worker => worker.rack === unit.dataRack);
    if (mustBeNear) {
        return undefined;
    }
    const best = findLeast(
        near.length > 0 ? near : fitting,
        worker => getLeftover(roomOf(worker)) + getCompany(unit, worker),
    );
    return best && [best.id];
}

/** The rack that keeps the least room afterwards, so that larger racks' room stays whole. */
function placeInOneRack(
    unit: types.WaitingUnit,
    allOfService: readonly types.PlaceableWorker[],
    roomOf: RoomOf,
): string[] | undefined {
    let best: { workerIds: string[]; leftover: number; } | undefined;
    for (const [rack, all] of groupByRack(allOfService)) {
        const workers = all.filter(worker => mayRun(unit, worker));
        const workerIds = pack(unit, workers, roomOf);
        if (!workerIds) {
            continue;
        }
        const far = unit.dataRack !== undefined && unit.dataRack !== rack;
        const leftover = workers.reduce((sum, worker) => sum + getLeftover(roomOf(worker)), 0)
            + (far ? FAR_PENALTY : 0);
        if (!best || leftover < best.leftover) {
            best = { workerIds, leftover };
        }
    }
    return best?.workerIds;
}

/** Larger than the room of any rack: a rack with the data goes first, whatever room it has. */
const FAR_PENALTY = 1e6;

/** Fills the fullest workers first. */
function pack(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    roomOf: RoomOf,
): string[] | undefined {
    const hosts = workers
        .map(worker => ({ worker, fits: countMembers(unit, worker, roomOf(worker)) }))
        .filter(host => host.fits > 0)
        .sort((a, b) => getLeftover(roomOf(a.worker)) - getLeftover(roomOf(b.worker)));
    const workerIds: string[] = [];
    for (const host of hosts) {
        for (let member = 0; member < host.fits && workerIds.length < unit.count; member++) {
            workerIds.push(host.worker.id);
        }
    }
    return workerIds.length === unit.count ? workerIds : undefined;
}

const IDLE_PATIENCE_MS = 2_000;
const GUARANTEED_PATIENCE_MS = 1_500;

function getPatienceMs(unit: types.WaitingUnit, share: number, workers: readonly types.PlaceableWorker[]): number {
    const kinds = ["cpuMillis", "accelerators"] as const;
    const mostlyFree = kinds.every(kind => {
        const used = workers.reduce((sum, worker) => sum + worker.used[kind], 0);
        return 2 * used < workers.reduce((sum, worker) => sum + worker.capacity[kind], 0);
    });
    const bound = unit.tier === types.Claim.Guaranteed ? GUARANTEED_PATIENCE_MS : Infinity;
    return Math.min(mostlyFree ? IDLE_PATIENCE_MS : Infinity, bound, unit.expectedDurationMs * share);
}

function maySpread(unit: types.WaitingUnit, workers: readonly types.PlaceableWorker[]): boolean {
    if (unit.waitedMs >= getPatienceMs(unit, SPREAD_PATIENCE, workers)) {
        return true;
    }
    for (const rackWorkers of groupByRack(workers).values()) {
        const most = rackWorkers.reduce(
            (sum, worker) => sum + countMembers(unit, worker, rooms.copyResources(worker.capacity)),
            0,
        );
        if (most >= unit.count) {
            return false;
        }
    }
    return true;
}

/** Serving and filling tasks are kept apart as long as there is a choice: fillers slow down what serves. */
function getCompany(unit: types.WaitingUnit, worker: types.PlaceableWorker): number {
    if (unit.latencySensitive) {
        return worker.bestEffortTasks * COMPANY_PENALTY;
    }
    if (unit.bestEffort) {
        return worker.latencySensitiveTasks * COMPANY_PENALTY + worker.bestEffortTasks;
    }
    return 0;
}

/** More than the accelerators of any worker. */
const COMPANY_PENALTY = 1_000;

/** Accelerators first, since they bind; processors break ties. */
function getLeftover(room: rooms.MutableResources): number {
    return room.accelerators + room.cpuMillis / CPU_TIE_SCALE;
}

/** Above any worker's thousandths of cores, so that processors never outweigh an accelerator. */
const CPU_TIE_SCALE = 1e6;

function findLeast<T>(items: readonly T[], measure: (item: T) => number): T | undefined {
    let best: T | undefined;
    let least = Infinity;
    for (const item of items) {
        const value = measure(item);
        if (value < least) {
            best = item;
            least = value;
        }
    }
    return best;
}

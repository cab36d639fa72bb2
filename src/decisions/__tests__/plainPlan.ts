/**
 * The same decisions as `plan`, without any index: it looks at every worker, rack and group for every unit.
 * Slow, and easy to check by reading; the index must not change what is decided.
 */
import * as protection from "../protection";
import * as rooms from "../room";
import * as types from "../types";

export function planPlainly(input: types.PlanInput): types.Plan {
    const free = new Map<string, rooms.MutableRoom>();
    /** Free now or within the stop time; what is promised to an earlier unit is taken off. */
    const soon = new Map<string, rooms.MutableRoom>();
    for (const worker of input.workers) {
        const room = rooms.copyRoom(worker.capacity);
        rooms.takeRoom(room, worker.used);
        free.set(worker.id, room);
        const later = rooms.copyRoom(room);
        rooms.addRoom(later, worker.freeing);
        soon.set(worker.id, later);
    }
    const starts: types.PlannedStart[] = [];
    const stops: types.PlannedStop[] = [];
    const stopped = new Set<types.RunningGroup>();
    const freeOf: RoomOf = worker => free.get(worker.id)!;
    const soonOf: RoomOf = worker => soon.get(worker.id)!;

    const reserve = (unit: types.WaitingUnit, workerIds: readonly string[]) => {
        for (const workerId of workerIds) {
            rooms.takeRoom(soon.get(workerId)!, unit.needs);
            rooms.capRoom(free.get(workerId)!, soon.get(workerId)!);
        }
    };
    const protector = protection.createProtector();
    /** Without a choice that the protected steps allow, the excess victims are left out, until one does or none is left. */
    const choosePreemption = (unit: types.WaitingUnit) => {
        const spared = new Set(stopped);
        for (;;) {
            const running = input.getGroups().filter(group => !spared.has(group) && protector.mayStop(group));
            const choice = preempt(unit, input.workers, running, soonOf);
            const excess = choice ? protector.findExcess(choice.victims) : [];
            if (!choice || excess.length === 0) {
                return choice;
            }
            excess.forEach(group => spared.add(group));
        }
    };
    const tryPreempt = (unit: types.WaitingUnit): boolean => {
        const choice = choosePreemption(unit);
        if (!choice) {
            return false;
        }
        protector.choose(choice.victims);
        for (const victim of choice.victims) {
            stopped.add(victim);
            stops.push({ group: victim, forUnit: unit.key });
            for (const member of victim.members) {
                const later = soon.get(member.workerId);
                if (later) {
                    rooms.addRoom(later, member.needs);
                }
            }
        }
        reserve(unit, choice.workerIds);
        return true;
    };

    const hopeless = new Set<string>();
    const stepTasks = createStepTasks();
    for (const waiting of input.units) {
        if (hopeless.has(waiting.family)) {
            continue;
        }
        const unit = stepTasks.withPlaced(waiting);
        const now = place(unit, input.workers, freeOf);
        if (now) {
            starts.push({ unit, workerIds: now });
            stepTasks.add(unit, now);
            for (const workerId of now) {
                rooms.takeRoom(free.get(workerId)!, unit.needs);
                rooms.takeRoom(soon.get(workerId)!, unit.needs);
            }
            continue;
        }
        const later = place(unit, input.workers, soonOf);
        if (later) {
            reserve(unit, later);
            stepTasks.add(unit, later);
            continue;
        }
        if (unit.claim === types.Claim.None || !tryPreempt(unit)) {
            hopeless.add(unit.family);
        }
    }
    return { starts, stops };
}

/** Tasks of each bounded step by worker, with those that this pass has placed or reserved room for. */
function createStepTasks() {
    const byStep = new Map<string, Map<string, number>>();
    return {
        withPlaced: (unit: types.WaitingUnit): types.WaitingUnit => {
            if (unit.maxPerWorker === 0) {
                return unit;
            }
            let counts = byStep.get(unit.step);
            if (!counts) {
                counts = new Map(unit.stepTasksByWorker);
                byStep.set(unit.step, counts);
            }
            return { ...unit, stepTasksByWorker: counts };
        },
        add: (unit: types.WaitingUnit, workerIds: readonly string[]) => {
            const counts = byStep.get(unit.step);
            for (const workerId of counts ? workerIds : []) {
                counts!.set(workerId, (counts!.get(workerId) ?? 0) + 1);
            }
        },
    };
}

/** Room that a placement may use on a worker. */
type RoomOf = (worker: types.PlaceableWorker) => rooms.MutableRoom;

/**
 * A same-rack gang that no rack can take now waits this long for one before it is spread. Spread over racks its
 * tasks take three times as long, so a wait of about one run of the gang is the better bargain; beyond it the gang
 * is late either way.
 */
const SPREAD_PATIENCE = 1;
/** A task waits for room in the rack of its data for up to this share of its expected duration. */
const DATA_PATIENCE = 0.5;

/** One worker for each member, or `undefined` where the unit does not fit. */
function place(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    roomOf: RoomOf,
): string[] | undefined {
    const ofService = workers.filter(worker => worker.service === unit.service);
    const candidates = workers.filter(worker => mayRun(unit, worker));
    if (unit.count === 1) {
        return placeOne(unit, candidates, ofService, roomOf);
    }
    if (!unit.sameRack) {
        return pack(unit, candidates, roomOf);
    }
    return placeInOneRack(unit, ofService, roomOf)
        ?? (maySpread(unit, ofService) ? pack(unit, candidates, roomOf) : undefined);
}

/** Whether the worker may run the unit at all, whatever room it has. */
function mayRun(unit: types.WaitingUnit, worker: types.PlaceableWorker): boolean {
    return worker.service === unit.service
        && (unit.requiredLabel === undefined || worker.labels.includes(unit.requiredLabel))
        && !unit.avoided.has(worker.id)
        && (unit.allowed === undefined || unit.allowed.has(worker.id));
}

/** How many members of the unit the worker takes within that room. */
function countMembers(
    unit: types.WaitingUnit,
    worker: types.PlaceableWorker,
    room: rooms.MutableRoom,
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

function getPatienceMs(unit: types.WaitingUnit, share: number, workers: readonly types.PlaceableWorker[]): number {
    const kinds = ["cpuMillis", "accelerators"] as const;
    const mostlyFree = kinds.every(kind => {
        const used = workers.reduce((sum, worker) => sum + worker.used[kind], 0);
        return 2 * used < workers.reduce((sum, worker) => sum + worker.capacity[kind], 0);
    });
    return mostlyFree ? Math.min(IDLE_PATIENCE_MS, unit.expectedMs * share) : unit.expectedMs * share;
}

function maySpread(unit: types.WaitingUnit, workers: readonly types.PlaceableWorker[]): boolean {
    if (unit.waitedMs >= getPatienceMs(unit, SPREAD_PATIENCE, workers)) {
        return true;
    }
    for (const rackWorkers of groupByRack(workers).values()) {
        const most = rackWorkers.reduce(
            (sum, worker) => sum + countMembers(unit, worker, rooms.copyRoom(worker.capacity)),
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
    if (unit.serves) {
        return worker.filling * COMPANY_PENALTY;
    }
    if (unit.fills) {
        return worker.serving * COMPANY_PENALTY + worker.filling;
    }
    return 0;
}

/** More than the accelerators of any worker. */
const COMPANY_PENALTY = 1_000;

/** Accelerators first, since they bind; processors break ties. */
function getLeftover(room: rooms.MutableRoom): number {
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

/** How many members a worker takes once some groups there are stopped. */
interface Host {
    readonly worker: types.PlaceableWorker;
    readonly fits: number;
    readonly victims: readonly types.RunningGroup[];
    readonly cost: number;
}

/** Whether the unit's claim goes before the group's. */
function mayStop(unit: types.WaitingUnit, group: types.RunningGroup): boolean {
    return unit.claim > group.claim;
}

/** The workers, and the victims whose stop costs least; `undefined` where nothing that may be stopped suffices. */
function preempt(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    groups: readonly types.RunningGroup[],
    roomOf: RoomOf,
): Needed | undefined {
    const candidates = workers.filter(worker => mayRun(unit, worker));
    const victimsByWorker = groupByWorker(groups.filter(group => mayStop(unit, group)));
    const hosts = candidates.map(worker => createHosts(unit, worker, victimsByWorker.get(worker.id) ?? [], roomOf));
    const pools = unit.sameRack ? groupHostsByRack(hosts) : [hosts];
    let best: Needed | undefined;
    let leastCost = Infinity;
    for (const pool of pools) {
        const choice = choose(unit, pool, roomOf);
        if (choice && choice.costCoreSeconds < leastCost) {
            best = choice;
            leastCost = choice.costCoreSeconds;
        }
    }
    // A guarantee is kept within its bound even where no single rack can take the gang.
    if (!best && unit.sameRack && unit.claim === types.Claim.Guaranteed) {
        return choose(unit, hosts, roomOf);
    }
    return best;
}

function groupByWorker(groups: readonly types.RunningGroup[]): Map<string, types.RunningGroup[]> {
    const byWorker = new Map<string, types.RunningGroup[]>();
    for (const group of groups) {
        for (const workerId of new Set(group.members.map(member => member.workerId))) {
            const present = byWorker.get(workerId) ?? [];
            present.push(group);
            byWorker.set(workerId, present);
        }
    }
    for (const present of byWorker.values()) {
        present.sort((a, b) => a.costCoreSeconds - b.costCoreSeconds);
    }
    return byWorker;
}

/** The ways to use a worker, from no victim on, each with more members than the one before. */
function createHosts(
    unit: types.WaitingUnit,
    worker: types.PlaceableWorker,
    victims: readonly types.RunningGroup[],
    roomOf: RoomOf,
): Host[] {
    const room = rooms.copyRoom(roomOf(worker));
    const hosts: Host[] = [];
    let fits = countMembers(unit, worker, room);
    let cost = 0;
    if (fits > 0) {
        hosts.push({ worker, fits, victims: [], cost });
    }
    const stopped: types.RunningGroup[] = [];
    for (const victim of victims) {
        if (fits === unit.count) {
            break;
        }
        for (const member of victim.members) {
            if (member.workerId === worker.id) {
                rooms.addRoom(room, member.needs);
            }
        }
        stopped.push(victim);
        cost += victim.costCoreSeconds;
        const more = countMembers(unit, worker, room);
        if (more > fits) {
            fits = more;
            hosts.push({ worker, fits, victims: [...stopped], cost });
        }
    }
    return hosts;
}

function groupHostsByRack(hosts: ReadonlyArray<readonly Host[]>): Host[][][] {
    const racks = new Map<string, Host[][]>();
    for (const ways of hosts) {
        const rack = ways[0]?.worker.rack;
        if (rack === undefined) {
            continue;
        }
        const sameRack = racks.get(rack) ?? [];
        sameRack.push([...ways]);
        racks.set(rack, sameRack);
    }
    return [...racks.values()];
}

/** Takes the ways with the least cost for each member first, one way a worker, until all members have a place. */
function choose(
    unit: types.WaitingUnit,
    pool: ReadonlyArray<readonly Host[]>,
    roomOf: RoomOf,
): Needed | undefined {
    const ways = pool.flat().sort((a, b) => a.cost / a.fits - b.cost / b.fits || b.fits - a.fits);
    const chosen = new Map<string, Host>();
    let placed = 0;
    for (const way of ways) {
        const before = chosen.get(way.worker.id);
        if (placed >= unit.count) {
            break;
        }
        if (before && before.fits >= way.fits) {
            continue;
        }
        placed += way.fits - (before?.fits ?? 0);
        chosen.set(way.worker.id, way);
    }
    if (placed < unit.count) {
        return undefined;
    }
    const hosts = [...chosen.values()];
    return spareVictims(unit, hosts.map(host => host.worker), hosts.flatMap(host => host.victims), roomOf);
}

interface Needed {
    /** One worker for each member of the unit. */
    readonly workerIds: readonly string[];
    readonly victims: readonly types.RunningGroup[];
    readonly costCoreSeconds: number;
}

/** `workers` together hold the unit once all `victims` are stopped; spares the dearest victims first. */
function spareVictims(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    victims: Iterable<types.RunningGroup>,
    roomOf: RoomOf,
): Needed {
    const needed = new Set(victims);
    const dearestFirst = [...needed].sort((a, b) => b.costCoreSeconds - a.costCoreSeconds);
    for (const victim of dearestFirst) {
        needed.delete(victim);
        if (fill(unit, workers, needed, roomOf).length < unit.count) {
            needed.add(victim);
        }
    }
    return {
        workerIds: fill(unit, workers, needed, roomOf),
        victims: [...needed],
        costCoreSeconds: [...needed].reduce((sum, victim) => sum + victim.costCoreSeconds, 0),
    };
}

/** Workers of as many members as find a place once these victims are stopped. */
function fill(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    victims: ReadonlySet<types.RunningGroup>,
    roomOf: RoomOf,
): string[] {
    const roomById = new Map(workers.map(worker => [worker.id, rooms.copyRoom(roomOf(worker))]));
    for (const victim of victims) {
        for (const member of victim.members) {
            const room = roomById.get(member.workerId);
            if (room) {
                rooms.addRoom(room, member.needs);
            }
        }
    }
    const workerIds: string[] = [];
    for (const worker of workers) {
        const fits = countMembers(unit, worker, roomById.get(worker.id)!);
        for (let member = 0; member < fits && workerIds.length < unit.count; member++) {
            workerIds.push(worker.id);
        }
    }
    return workerIds;
}

/** Whose work is stopped, looking at every group: the plain counterpart of `preempt` and `sparing`. */
import * as rooms from "../resources";
import * as types from "../types";
import * as plainPlace from "./referencePlace";

/** How many members a worker takes once some groups there are stopped. */
interface Host {
    readonly worker: types.PlaceableWorker;
    readonly fits: number;
    readonly victims: readonly types.RunningGroup[];
    readonly cost: number;
}

/** Whether the unit's claim goes before the group's. */
function mayStop(unit: types.WaitingUnit, group: types.RunningGroup): boolean {
    return unit.tier > group.tier;
}

/** The workers, and the victims whose stop costs least; `undefined` where nothing that may be stopped suffices. */
export function preempt(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    groups: readonly types.RunningGroup[],
    roomOf: plainPlace.RoomOf,
): Needed | undefined {
    const candidates = workers.filter(worker => plainPlace.mayRun(unit, worker));
    const victimsByWorker = groupByWorker(groups.filter(group => mayStop(unit, group)));
    const hosts = candidates.map(worker => createHosts(unit, worker, victimsByWorker.get(worker.id) ?? [], roomOf));
    const ofService = workers.filter(worker => worker.service === unit.service);
    if (plainPlace.dataRackCouldHold(unit, ofService)) {
        const near = choose(unit, hosts.filter(ways => ways[0]?.worker.rack === unit.dataRack), roomOf);
        if (near) {
            return near;
        }
    }
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
    if (!best && unit.sameRack && unit.tier === types.Claim.Guaranteed) {
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
    roomOf: plainPlace.RoomOf,
): Host[] {
    const room = rooms.copyResources(roomOf(worker));
    const hosts: Host[] = [];
    let fits = plainPlace.countMembers(unit, worker, room);
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
                rooms.addResources(room, member.needs);
            }
        }
        stopped.push(victim);
        cost += victim.costCoreSeconds;
        const more = plainPlace.countMembers(unit, worker, room);
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
    roomOf: plainPlace.RoomOf,
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
    roomOf: plainPlace.RoomOf,
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
    roomOf: plainPlace.RoomOf,
): string[] {
    const roomById = new Map(workers.map(worker => [worker.id, rooms.copyResources(roomOf(worker))]));
    for (const victim of victims) {
        for (const member of victim.members) {
            const room = roomById.get(member.workerId);
            if (room) {
                rooms.addResources(room, member.needs);
            }
        }
    }
    const workerIds: string[] = [];
    for (const worker of workers) {
        const fits = plainPlace.countMembers(unit, worker, roomById.get(worker.id)!);
        for (let member = 0; member < fits && workerIds.length < unit.count; member++) {
            workerIds.push(worker.id);
        }
    }
    return workerIds;
}

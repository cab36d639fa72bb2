/** Whose work is stopped so that an urgent unit begins in time. */
import * as place from "./place";
import * as rooms from "./room";
import * as sparing from "./sparing";
import * as types from "./types";

/** How many members a worker takes once some groups there are stopped. */
interface Host {
    readonly worker: types.PlaceableWorker;
    readonly fits: number;
    readonly victims: readonly types.RunningGroup[];
    readonly cost: number;
}

/** Whether the unit's claim goes before the group's. */
export function mayStop(unit: types.WaitingUnit, group: types.RunningGroup): boolean {
    return unit.claim > group.claim;
}

/** The workers, and the victims whose stop costs least; `undefined` where nothing that may be stopped suffices. */
export function preempt(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    groups: readonly types.RunningGroup[],
    roomOf: place.RoomOf,
): sparing.Needed | undefined {
    const candidates = workers.filter(worker => place.mayRun(unit, worker));
    const victimsByWorker = groupByWorker(groups.filter(group => mayStop(unit, group)));
    const hosts = candidates.map(worker => createHosts(unit, worker, victimsByWorker.get(worker.id) ?? [], roomOf));
    const pools = unit.sameRack ? groupByRack(hosts) : [hosts];
    let best: sparing.Needed | undefined;
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
    roomOf: place.RoomOf,
): Host[] {
    const room = rooms.copyRoom(roomOf(worker));
    const hosts: Host[] = [];
    let fits = place.countMembers(unit, worker, room);
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
        const more = place.countMembers(unit, worker, room);
        if (more > fits) {
            fits = more;
            hosts.push({ worker, fits, victims: [...stopped], cost });
        }
    }
    return hosts;
}

function groupByRack(hosts: ReadonlyArray<readonly Host[]>): Host[][][] {
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
    roomOf: place.RoomOf,
): sparing.Needed | undefined {
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
    return sparing.spareVictims(unit, hosts.map(host => host.worker), hosts.flatMap(host => host.victims), roomOf);
}

/** Reference implementation of `preempt` and `minimizeVictims`, which scans every group. */
import * as resources from "../resources";
import * as types from "../types";
import * as referencePlace from "./referencePlace";

/** An option for a worker: the number of members that fit once some groups on it are stopped. */
interface HostOption {
    readonly worker: types.PlaceableWorker;
    readonly fits: number;
    readonly victims: readonly types.RunningGroup[];
    readonly cost: number;
}

/** Whether the unit's tier is higher than the group's. */
function canPreempt(unit: types.WaitingUnit, group: types.RunningGroup): boolean {
    return unit.tier > group.tier;
}

/** The workers and the cheapest victims; `undefined` if stopping all permitted groups does not suffice. */
export function preempt(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    groups: readonly types.RunningGroup[],
    getResources: referencePlace.GetResources,
): PreemptionChoice | undefined {
    const candidates = workers.filter(worker => referencePlace.isEligible(unit, worker));
    const victimsByWorker = groupByWorker(groups.filter(group => canPreempt(unit, group)));
    const hosts = candidates.map(worker =>
        listHostOptions(unit, worker, victimsByWorker.get(worker.id) ?? [], getResources)
    );
    const workersOfService = workers.filter(worker => worker.service === unit.service);
    if (referencePlace.dataRackFitsWhenEmpty(unit, workersOfService)) {
        const near = chooseOptions(
            unit,
            hosts.filter(options => options[0]?.worker.rack === unit.dataRack),
            getResources,
        );
        if (near) {
            return near;
        }
    }
    const pools = unit.sameRack ? groupOptionsByRack(hosts) : [hosts];
    let best: PreemptionChoice | undefined;
    let leastCost = Infinity;
    for (const pool of pools) {
        const choice = chooseOptions(unit, pool, getResources);
        if (choice && choice.costCoreSeconds < leastCost) {
            best = choice;
            leastCost = choice.costCoreSeconds;
        }
    }
    // A guaranteed gang has to start in time even if no single rack can hold it.
    if (!best && unit.sameRack && unit.tier === types.PreemptionTier.Guaranteed) {
        return chooseOptions(unit, hosts, getResources);
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

/** The options for a worker, in order of the number of victims, each for more members than the previous one. */
function listHostOptions(
    unit: types.WaitingUnit,
    worker: types.PlaceableWorker,
    victims: readonly types.RunningGroup[],
    getResources: referencePlace.GetResources,
): HostOption[] {
    const available = resources.copyResources(getResources(worker));
    const options: HostOption[] = [];
    let fits = referencePlace.countFittingMembers(unit, worker, available);
    let cost = 0;
    if (fits > 0) {
        options.push({ worker, fits, victims: [], cost });
    }
    const stopped: types.RunningGroup[] = [];
    for (const victim of victims) {
        if (fits === unit.count) {
            break;
        }
        for (const member of victim.members) {
            if (member.workerId === worker.id) {
                resources.addResources(available, member.needs);
            }
        }
        stopped.push(victim);
        cost += victim.costCoreSeconds;
        const more = referencePlace.countFittingMembers(unit, worker, available);
        if (more > fits) {
            fits = more;
            options.push({ worker, fits, victims: [...stopped], cost });
        }
    }
    return options;
}

function groupOptionsByRack(hosts: ReadonlyArray<readonly HostOption[]>): HostOption[][][] {
    const racks = new Map<string, HostOption[][]>();
    for (const options of hosts) {
        const rack = options[0]?.worker.rack;
        if (rack === undefined) {
            continue;
        }
        const sameRack = racks.get(rack) ?? [];
        sameRack.push([...options]);
        racks.set(rack, sameRack);
    }
    return [...racks.values()];
}

/** Takes options by lowest cost per member, at most one per worker, until all members are placed. */
function chooseOptions(
    unit: types.WaitingUnit,
    pool: ReadonlyArray<readonly HostOption[]>,
    getResources: referencePlace.GetResources,
): PreemptionChoice | undefined {
    const options = pool.flat().sort((a, b) => a.cost / a.fits - b.cost / b.fits || b.fits - a.fits);
    const chosen = new Map<string, HostOption>();
    let placed = 0;
    for (const option of options) {
        const previous = chosen.get(option.worker.id);
        if (placed >= unit.count) {
            break;
        }
        if (previous && previous.fits >= option.fits) {
            continue;
        }
        placed += option.fits - (previous?.fits ?? 0);
        chosen.set(option.worker.id, option);
    }
    if (placed < unit.count) {
        return undefined;
    }
    const hosts = [...chosen.values()];
    return minimizeVictims(unit, hosts.map(host => host.worker), hosts.flatMap(host => host.victims), getResources);
}

interface PreemptionChoice {
    /** One worker for each member of the unit. */
    readonly workerIds: readonly string[];
    readonly victims: readonly types.RunningGroup[];
    readonly costCoreSeconds: number;
}

/**
 * Drops victims that the unit does not need, the most expensive first. `workers` must together hold the unit once all
 * `victims` are stopped.
 */
function minimizeVictims(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    victims: Iterable<types.RunningGroup>,
    getResources: referencePlace.GetResources,
): PreemptionChoice {
    const needed = new Set(victims);
    const mostExpensiveFirst = [...needed].sort((a, b) => b.costCoreSeconds - a.costCoreSeconds);
    for (const victim of mostExpensiveFirst) {
        needed.delete(victim);
        if (placeMembers(unit, workers, needed, getResources).length < unit.count) {
            needed.add(victim);
        }
    }
    return {
        workerIds: placeMembers(unit, workers, needed, getResources),
        victims: [...needed],
        costCoreSeconds: [...needed].reduce((sum, victim) => sum + victim.costCoreSeconds, 0),
    };
}

/** One worker for each member that fits once these victims are stopped. */
function placeMembers(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    victims: ReadonlySet<types.RunningGroup>,
    getResources: referencePlace.GetResources,
): string[] {
    const freeByWorkerId = new Map(workers.map(worker => [worker.id, resources.copyResources(getResources(worker))]));
    for (const victim of victims) {
        for (const member of victim.members) {
            const free = freeByWorkerId.get(member.workerId);
            if (free) {
                resources.addResources(free, member.needs);
            }
        }
    }
    const workerIds: string[] = [];
    for (const worker of workers) {
        const fits = referencePlace.countFittingMembers(unit, worker, freeByWorkerId.get(worker.id)!);
        for (let member = 0; member < fits && workerIds.length < unit.count; member++) {
            workerIds.push(worker.id);
        }
    }
    return workerIds;
}

/**
 * Removes chosen preemption victims that are not needed.
 *
 * Victims are chosen worker by worker, the cheapest first. A larger worker that is chosen last may hold the whole unit by
 * itself, and stopping a gang frees resources on all its workers. Without this step, work is stopped on workers on which
 * the unit is never placed.
 */
import type * as fleets from "./fleet";
import * as place from "./place";
import * as resources from "./resources";
import type * as types from "./types";

/** Where a unit is placed and which victims are stopped for it. */
export interface PreemptionChoice {
    /** One host for each member of the unit. */
    readonly hosts: readonly fleets.Host[];
    readonly victims: readonly types.RunningGroup[];
    /** Sum of the costs of the victims. */
    readonly costCoreSeconds: number;
}

/**
 * Drops victims that the unit does not need, the most expensive first, unless `isEnabled` is false. `hosts` must
 * together hold the unit once all `victims` are stopped.
 */
export function minimizeVictims(
    unit: types.WaitingUnit,
    hosts: readonly fleets.Host[],
    victims: Iterable<types.RunningGroup>,
    isEnabled = true,
): PreemptionChoice {
    const needed = new Set(victims);
    const mostExpensiveFirst = (isEnabled ? [...needed] : []).sort((a, b) => b.costCoreSeconds - a.costCoreSeconds);
    for (const victim of mostExpensiveFirst) {
        needed.delete(victim);
        if (placeMembers(unit, hosts, needed).length < unit.count) {
            needed.add(victim);
        }
    }
    return {
        hosts: placeMembers(unit, hosts, needed),
        victims: [...needed],
        costCoreSeconds: [...needed].reduce((sum, victim) => sum + victim.costCoreSeconds, 0),
    };
}

/** One host for each member that fits once these victims are stopped. */
function placeMembers(
    unit: types.WaitingUnit,
    hosts: readonly fleets.Host[],
    victims: ReadonlySet<types.RunningGroup>,
): fleets.Host[] {
    const freeByWorkerId = new Map(hosts.map(host => [host.worker.id, resources.copyResources(host.free)]));
    for (const victim of victims) {
        for (const member of victim.members) {
            const free = freeByWorkerId.get(member.workerId);
            if (free) {
                resources.addResources(free, member.needs);
            }
        }
    }
    const placed: fleets.Host[] = [];
    for (const host of hosts) {
        const fits = place.countFittingMembers(unit, host.worker, freeByWorkerId.get(host.worker.id)!);
        for (let member = 0; member < fits && placed.length < unit.count; member++) {
            placed.push(host);
        }
    }
    return placed;
}

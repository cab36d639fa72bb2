/**
 * Which of the chosen victims need not be stopped after all.
 *
 * What goes wrong without it: victims are chosen worker by worker, the cheapest room first, and a larger worker that is
 * chosen last may hold the whole unit by itself; a gang that is stopped for one worker gives room on its others too.
 * One notices work that is stopped on workers on which the unit is never placed.
 */
import type * as fleets from "./fleet";
import * as place from "./place";
import * as rooms from "./resources";
import type * as types from "./types";

export interface PreemptionChoice {
    /** One host for each member of the unit. */
    readonly hosts: readonly fleets.Host[];
    readonly victims: readonly types.RunningGroup[];
    readonly costCoreSeconds: number;
}

/** `hosts` together hold the unit once all `victims` are stopped; spares the dearest victims first, if any. */
export function minimizeVictims(
    unit: types.WaitingUnit,
    hosts: readonly fleets.Host[],
    victims: Iterable<types.RunningGroup>,
    sparesVictims = true,
): PreemptionChoice {
    const needed = new Set(victims);
    const dearestFirst = (sparesVictims ? [...needed] : []).sort((a, b) => b.costCoreSeconds - a.costCoreSeconds);
    for (const victim of dearestFirst) {
        needed.delete(victim);
        if (fill(unit, hosts, needed).length < unit.count) {
            needed.add(victim);
        }
    }
    return {
        hosts: fill(unit, hosts, needed),
        victims: [...needed],
        costCoreSeconds: [...needed].reduce((sum, victim) => sum + victim.costCoreSeconds, 0),
    };
}

/** Hosts of as many members as find a place once these victims are stopped. */
function fill(
    unit: types.WaitingUnit,
    hosts: readonly fleets.Host[],
    victims: ReadonlySet<types.RunningGroup>,
): fleets.Host[] {
    const roomById = new Map(hosts.map(host => [host.worker.id, rooms.copyResources(host.room)]));
    for (const victim of victims) {
        for (const member of victim.members) {
            const room = roomById.get(member.workerId);
            if (room) {
                rooms.addResources(room, member.needs);
            }
        }
    }
    const places: fleets.Host[] = [];
    for (const host of hosts) {
        const fits = place.countFittingMembers(unit, host.worker, roomById.get(host.worker.id)!);
        for (let member = 0; member < fits && places.length < unit.count; member++) {
            places.push(host);
        }
    }
    return places;
}

/**
 * Which of the chosen victims need not be stopped after all.
 *
 * What goes wrong without it: victims are chosen worker by worker, the cheapest room first, and a larger worker that is
 * chosen last may hold the whole unit by itself; a gang that is stopped for one worker gives room on its others too.
 * One notices work that is stopped on workers on which the unit is never placed: a quarter of all stops for urgent
 * work on a heavy day with a zone cut off.
 */
import * as place from "./place";
import * as rooms from "./room";
import type * as types from "./types";

export interface Needed {
    /** One worker for each member of the unit. */
    readonly workerIds: readonly string[];
    readonly victims: readonly types.RunningGroup[];
    readonly costCoreSeconds: number;
}

/** `workers` together hold the unit once all `victims` are stopped; spares the dearest victims first. */
export function spareVictims(
    unit: types.WaitingUnit,
    workers: readonly types.PlaceableWorker[],
    victims: Iterable<types.RunningGroup>,
    roomOf: place.RoomOf,
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
    roomOf: place.RoomOf,
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
        const fits = place.countMembers(unit, worker, roomById.get(worker.id)!);
        for (let member = 0; member < fits && workerIds.length < unit.count; member++) {
            workerIds.push(worker.id);
        }
    }
    return workerIds;
}

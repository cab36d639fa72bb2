/**
 * Finds moves that empty a partially used worker whose tasks fit on other partially used workers. With checkpoints a
 * move costs a task some seconds and gives large jobs a fully free worker, which would otherwise become free only when
 * its longest task ends.
 */
import * as fleetModule from "./fleet";
import * as place from "./place";
import * as request from "./request";

/** A task to be moved from one worker to another. */
export interface Move {
    readonly task: fleetModule.PlacedTask;
    readonly from: fleetModule.FleetWorker;
    readonly to: fleetModule.FleetWorker;
}

/** Which tasks may be moved, and how their targets are searched. */
export interface ConsolidateOptions {
    /** A worker expected to become free by itself in less than this time is not emptied. Milliseconds. */
    readonly minRemainingMs: number;
    readonly isMovable: (task: fleetModule.PlacedTask) => boolean;
    readonly createRequest: (task: fleetModule.PlacedTask) => request.PlaceRequest;
}

/** The moves that empty the least used worker that can be emptied; `undefined` when there is none. */
export function findConsolidation(
    fleet: fleetModule.Fleet,
    options: ConsolidateOptions,
    now: number,
): Move[] | undefined {
    for (let level = fleet.largestWorker - 1; level >= fleet.largestWorker / 2; level--) {
        for (const worker of fleet.getWorkersWithFree(level)) {
            const moves = worker.reservation ? undefined : findMovesOff(fleet, worker, options, now);
            if (moves) {
                return moves;
            }
        }
    }
    return undefined;
}

function findMovesOff(
    fleet: fleetModule.Fleet,
    worker: fleetModule.FleetWorker,
    options: ConsolidateOptions,
    now: number,
): Move[] | undefined {
    const tasks = [...worker.tasks.values()];
    const isWorthwhile = fleetModule.getFreeAt(worker, now) - now >= options.minRemainingMs;
    if (!isWorthwhile || !tasks.every(task => task.evictable && options.isMovable(task))) {
        return undefined;
    }
    const moves: Move[] = [];
    const used = new Set<fleetModule.FleetWorker>([worker]);
    for (const task of tasks) {
        const to = findTarget(fleet, task, used, options);
        if (!to) {
            return undefined;
        }
        // One task per target: this search does not track what is free there after the first.
        used.add(to);
        moves.push({ task, from: worker, to });
    }
    return moves;
}

/** The fullest partially used worker on which the task fits. */
function findTarget(
    fleet: fleetModule.Fleet,
    task: fleetModule.PlacedTask,
    used: ReadonlySet<fleetModule.FleetWorker>,
    options: ConsolidateOptions,
): fleetModule.FleetWorker | undefined {
    const req = options.createRequest(task);
    for (let level = task.needs.accelerators; level < fleet.largestWorker; level++) {
        for (const worker of fleet.getWorkersWithFree(level)) {
            const isPartlyUsed = worker.free.accelerators < worker.capacity.accelerators;
            if (
                isPartlyUsed && !used.has(worker) && !worker.reservation
                && place.isAllowed(worker, req, task.needs.accelerators)
            ) {
                return worker;
            }
        }
    }
    return undefined;
}

/**
 * Reservations for waiting large jobs: EASY backfilling (Lifka 1995) with predicted instead of declared run times
 * (Tsafrir 2007). The workers that are expected to be free first are reserved for the job, and only work that is
 * expected to end by then may use them.
 */
import * as fleetModule from "./fleet";
import * as reclaim from "./reclaim";
import * as request from "./request";

/** Workers to reserve for a job. */
export interface ReservedPlace {
    readonly workers: readonly fleetModule.FleetWorker[];
    /** Monotonic time at which all of them are expected to be free. */
    readonly startAt: number;
}

/** The workers that are expected to be free first; `undefined` when no group of reservable workers is large enough. */
export function findReservation(
    fleet: fleetModule.Fleet,
    req: request.PlaceRequest,
    now: number,
): ReservedPlace | undefined {
    const count = Math.ceil(req.accelerators / fleet.largestWorker);
    let best: ReservedPlace | undefined;
    for (const group of getGroups(fleet, req)) {
        const place = findInGroup(group, fleet.largestWorker, count, req, now);
        if (place && (!best || place.startAt < best.startAt)) {
            best = place;
        }
    }
    return best;
}

/** Reserves the workers of the place for the job. */
export function setReservation(place: ReservedPlace, jobId: string): void {
    for (const worker of place.workers) {
        worker.reservation = { jobId, startAt: place.startAt, exclusive: false };
    }
}

/** Removes the job's reservations from the workers. */
export function clearReservation(workers: Iterable<fleetModule.FleetWorker>, jobId: string): void {
    for (const worker of workers) {
        if (worker.reservation?.jobId === jobId) {
            worker.reservation = undefined;
        }
    }
}

function getGroups(fleet: fleetModule.Fleet, req: request.PlaceRequest): Array<readonly fleetModule.FleetWorker[]> {
    const byRack = fleet.racks.map(rack => rack.workers);
    const fitsOneRack = byRack.some(workers => workers.length * fleet.largestWorker >= req.accelerators);
    switch (req.adjacency) {
        case "worker":
        case "rack":
            return byRack;
        case "adjacentRacks":
        case "any":
            return fitsOneRack ? byRack : [[...fleet.workers.values()]];
    }
}

function findInGroup(
    group: readonly fleetModule.FleetWorker[],
    size: number,
    count: number,
    req: request.PlaceRequest,
    now: number,
): ReservedPlace | undefined {
    const free = group
        .filter(worker => isReservable(worker, size, req))
        .map(worker => ({ worker, freeAt: fleetModule.getFreeAt(worker, now) }))
        .sort((a, b) => a.freeAt - b.freeAt)
        .slice(0, count);
    if (free.length < count) {
        return undefined;
    }
    return { workers: free.map(item => item.worker), startAt: Math.max(now, free[free.length - 1]!.freeAt) };
}

function isReservable(worker: fleetModule.FleetWorker, size: number, req: request.PlaceRequest): boolean {
    const empty: reclaim.WorkerAllocation = { ...worker, tasks: new Map() };
    return worker.usable
        && worker.capacity.accelerators === size
        && (!worker.reservation || worker.reservation.jobId === req.jobId)
        && !req.excludedWorkers.has(worker.id)
        && reclaim.staysReclaimable(empty, {
            account: req.account,
            needs: request.getMemberNeeds(req, Math.min(size, req.accelerators)),
            evictable: req.evictable,
        });
}

/**
 * Reservations for large jobs that wait (EASY backfilling, Lifka 1995, with predicted in place of declared times,
 * Tsafrir 2007): the workers that are expected to be free first are kept for the job, and only work that is expected to
 * end by then may use them.
 */
import * as fleet from "./fleet";
import * as reclaim from "./reclaim";
import * as request from "./request";

export interface ReservedPlace {
    readonly workers: readonly fleet.WorkerBook[];
    /** Monotonic time at which all of them are expected to be free. */
    readonly startAt: number;
}

/** The group of whole workers that is expected to be free first; `undefined` when no group could ever hold the job. */
export function findReservation(books: fleet.Fleet, req: request.PlaceRequest, now: number): ReservedPlace | undefined {
    const count = Math.ceil(req.accelerators / books.largestWorker);
    let best: ReservedPlace | undefined;
    for (const group of getGroups(books, req)) {
        const place = findInGroup(group, books.largestWorker, count, req, now);
        if (place && (!best || place.startAt < best.startAt)) {
            best = place;
        }
    }
    return best;
}

export function setReservation(place: ReservedPlace, jobId: string): void {
    for (const worker of place.workers) {
        worker.reservation = { jobId, startAt: place.startAt, firm: false };
    }
}

export function clearReservation(workers: Iterable<fleet.WorkerBook>, jobId: string): void {
    for (const worker of workers) {
        if (worker.reservation?.jobId === jobId) {
            worker.reservation = undefined;
        }
    }
}

function getGroups(books: fleet.Fleet, req: request.PlaceRequest): Array<readonly fleet.WorkerBook[]> {
    const byRack = books.racks.map(rack => rack.workers);
    const fitsOneRack = byRack.some(workers => workers.length * books.largestWorker >= req.accelerators);
    switch (req.adjacency) {
        case "worker":
        case "rack":
            return byRack;
        case "adjacentRacks":
        case "any":
            return fitsOneRack ? byRack : [[...books.workers.values()]];
    }
}

function findInGroup(
    group: readonly fleet.WorkerBook[],
    size: number,
    count: number,
    req: request.PlaceRequest,
    now: number,
): ReservedPlace | undefined {
    const free = group
        .filter(worker => isReservable(worker, size, req))
        .map(worker => ({ worker, freeAt: fleet.getFreeAt(worker, now) }))
        .sort((a, b) => a.freeAt - b.freeAt)
        .slice(0, count);
    if (free.length < count) {
        return undefined;
    }
    return { workers: free.map(item => item.worker), startAt: Math.max(now, free[free.length - 1]!.freeAt) };
}

function isReservable(worker: fleet.WorkerBook, size: number, req: request.PlaceRequest): boolean {
    const empty: reclaim.ReclaimBooks = { ...worker, tasks: new Map() };
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

/** Finds workers with enough free resources for a job. */
import type * as configuration from "../configuration/index";
import * as fleetModule from "./fleet";
import * as needs from "./needs";
import * as reclaim from "./reclaim";
import * as request from "./request";

/** Maximum number of suitable workers compared among those with the same number of free accelerators. */
const MAX_CANDIDATES_PER_LEVEL = 12;

/** The placement of the job's members under the policy, or `undefined` when the job does not fit now. */
export function findPlace(
    fleet: fleetModule.Fleet,
    req: request.PlaceRequest,
    policy: configuration.Policy,
    now: number,
): request.Member[] | undefined {
    if (req.accelerators <= fleet.largestWorker) {
        const worker = findWorker(fleet, req, policy, now);
        return worker && [request.createMember(req, worker, req.accelerators)];
    }
    switch (req.adjacency) {
        case "worker":
            return undefined;
        case "rack":
            return findInRack(fleet, req);
        case "adjacentRacks":
            return findInRack(fleet, req) ?? findInAdjacentRacks(fleet, req);
        case "any":
            return findInRack(fleet, req) ?? findAnywhere(fleet, req);
    }
}

/** Whether a member of the job with this many accelerators may be placed on the worker now. */
export function isAllowed(worker: fleetModule.FleetWorker, req: request.PlaceRequest, accelerators: number): boolean {
    const memberNeeds = request.getMemberNeeds(req, accelerators);
    return worker.usable
        && needs.fitsWithin(memberNeeds, worker.free)
        && !req.excludedWorkers.has(worker.id)
        && respectsReservation(worker, req)
        && reclaim.staysReclaimable(worker, { account: req.account, needs: memberNeeds, evictable: req.evictable });
}

/**
 * Backfilling: on a worker that is reserved for a large job, another job may run only if it is expected to end before
 * the large one starts, and if it can be stopped in case it does not. Otherwise a stream of small jobs could starve the
 * large one, and the age of the oldest waiting job would keep growing.
 */
function respectsReservation(worker: fleetModule.FleetWorker, req: request.PlaceRequest): boolean {
    const { reservation } = worker;
    return !reservation
        || reservation.jobId === req.jobId
        || (!reservation.exclusive && req.evictable && req.predictedEndAt <= reservation.startAt);
}

function findWorker(
    fleet: fleetModule.Fleet,
    req: request.PlaceRequest,
    policy: configuration.Policy,
    now: number,
): fleetModule.FleetWorker | undefined {
    switch (policy.kind) {
        case "fifoFirstFit":
            return findFirst(fleet, req);
        case "bestFit":
            return findBest(fleet, req, () => 0);
        case "guaranteed":
            return findBest(fleet, req, worker => getCost(worker, req, policy, now));
    }
}

function findFirst(fleet: fleetModule.Fleet, req: request.PlaceRequest): fleetModule.FleetWorker | undefined {
    for (const rack of fleet.racks) {
        for (const worker of rack.workers) {
            if (isAllowed(worker, req, req.accelerators)) {
                return worker;
            }
        }
    }
    return undefined;
}

/** Best fit: the cheapest of the workers with the fewest free accelerators that suffice. */
function findBest(
    fleet: fleetModule.Fleet,
    req: request.PlaceRequest,
    getWorkerCost: (worker: fleetModule.FleetWorker) => number,
): fleetModule.FleetWorker | undefined {
    for (let level = req.accelerators; level <= fleet.largestWorker; level++) {
        let best: fleetModule.FleetWorker | undefined;
        let bestCost = Infinity;
        let candidateCount = 0;
        for (const worker of fleet.getWorkersWithFree(level)) {
            if (candidateCount === MAX_CANDIDATES_PER_LEVEL) {
                break;
            }
            if (!isAllowed(worker, req, req.accelerators)) {
                continue;
            }
            candidateCount++;
            const cost = getWorkerCost(worker);
            if (cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        if (best) {
            return best;
        }
    }
    return undefined;
}

/**
 * The cost of placing the job on the worker for later large jobs and for other accounts, a weighted sum of:
 * - the delay of the time at which the worker is fully free, relative to the job's run time;
 * - the share of fully free workers in the rack, if the job uses one of them;
 * - the share of the job's accelerators that are borrowed from other accounts' homes.
 */
function getCost(
    worker: fleetModule.FleetWorker,
    req: request.PlaceRequest,
    policy: Extract<configuration.Policy, { kind: "guaranteed"; }>,
    now: number,
): number {
    const freeAt = fleetModule.getFreeAt(worker, now);
    const runMs = Math.max(1, req.predictedEndAt - now);
    const delay = Math.max(0, req.predictedEndAt - freeAt) / runMs;
    const fragmentsRack = fleetModule.isFullyFree(worker)
        ? worker.rack.fullyFreeWorkers.size / worker.rack.workers.length
        : 0;
    const otherHomes = worker.homeTotal - (worker.homes.get(req.account) ?? 0);
    const borrowed = Math.max(0, req.accelerators - Math.max(0, worker.free.accelerators - otherHomes));
    return policy.fragmentationWeight * (delay + fragmentsRack)
        + policy.completionWeight * borrowed / Math.max(1, req.accelerators);
}

/** Places the job on fully free workers of the rack that keeps the fewest of them, the remainder on one more worker. */
function findInRack(fleet: fleetModule.Fleet, req: request.PlaceRequest): request.Member[] | undefined {
    let best: request.Member[] | undefined;
    let bestSpare = Infinity;
    const wholeWorkers = Math.floor(req.accelerators / fleet.largestWorker);
    for (const rack of fleet.racks) {
        const spare = rack.fullyFreeWorkers.size - wholeWorkers;
        if (spare < 0 || spare >= bestSpare) {
            continue;
        }
        const members = fillWorkers(fleet, req, rack.workers);
        if (members) {
            best = members;
            bestSpare = spare;
        }
    }
    return best;
}

function findInAdjacentRacks(fleet: fleetModule.Fleet, req: request.PlaceRequest): request.Member[] | undefined {
    for (let count = 2; count <= fleet.racks.length; count++) {
        for (let first = 0; first + count <= fleet.racks.length; first++) {
            const racks = fleet.racks.slice(first, first + count);
            const members = fillWorkers(fleet, req, racks.flatMap(rack => rack.workers));
            if (members) {
                return members;
            }
        }
    }
    return undefined;
}

/**
 * Takes fully free workers first, those with the smallest homes of other accounts before others, then one for the rest.
 */
function fillWorkers(
    fleet: fleetModule.Fleet,
    req: request.PlaceRequest,
    workers: readonly fleetModule.FleetWorker[],
): request.Member[] | undefined {
    const size = fleet.largestWorker;
    const fullyFreeWorkers = workers.filter(worker =>
        worker.capacity.accelerators === size && isAllowed(worker, req, size)
    );
    const count = Math.floor(req.accelerators / size);
    const rest = req.accelerators % size;
    if (fullyFreeWorkers.length < count) {
        return undefined;
    }
    const getOtherHomes = (worker: fleetModule.FleetWorker) => worker.homeTotal - (worker.homes.get(req.account) ?? 0);
    const chosen = fullyFreeWorkers.sort((a, b) => getOtherHomes(a) - getOtherHomes(b)).slice(0, count);
    const members = chosen.map(worker => request.createMember(req, worker, size));
    if (rest === 0) {
        return members;
    }
    const taken = new Set(chosen);
    const last = workers
        .filter(worker => !taken.has(worker) && isAllowed(worker, req, rest))
        .sort((a, b) => a.free.accelerators - b.free.accelerators)[0];
    return last && [...members, request.createMember(req, last, rest)];
}

/** Takes any workers, those with the fewest free accelerators first; for gangs without an adjacency requirement. */
function findAnywhere(fleet: fleetModule.Fleet, req: request.PlaceRequest): request.Member[] | undefined {
    const members: request.Member[] = [];
    let left = req.accelerators;
    for (let level = 1; level <= fleet.largestWorker && left > 0; level++) {
        for (const worker of fleet.getWorkersWithFree(level)) {
            const accelerators = Math.min(left, level);
            if (isAllowed(worker, req, accelerators)) {
                members.push(request.createMember(req, worker, accelerators));
                left -= accelerators;
            }
            if (left === 0) {
                return members;
            }
        }
    }
    return undefined;
}

/** Whether the job could be placed if all workers were free and healthy. */
export function canEverFit(shapes: readonly fleetModule.WorkerShape[], req: request.PlaceRequest): boolean {
    const empty = fleetModule.createFleet(shapes);
    const unrestricted = { ...req, evictable: true, excludedWorkers: new Set<string>() };
    return findPlace(empty, unrestricted, { kind: "bestFit" }, 0) !== undefined;
}

/** Finds workers for one job among what is free now. */
import type * as configuration from "../configuration/index";
import * as fleet from "./fleet";
import * as needs from "./needs";
import * as reclaim from "./reclaim";
import * as request from "./request";

/** How many workers of one level of free accelerators are weighed before the best of them is taken. */
const PROBES_PER_LEVEL = 12;

/** The members' places, or `undefined` when the job does not fit now. */
export function findPlace(
    books: fleet.Fleet,
    req: request.PlaceRequest,
    policy: configuration.Policy,
    now: number,
): request.Member[] | undefined {
    if (req.accelerators <= books.largestWorker) {
        const worker = findWorker(books, req, policy, now);
        return worker && [request.createMember(req, worker, req.accelerators)];
    }
    switch (req.adjacency) {
        case "worker":
            return undefined;
        case "rack":
            return findInRack(books, req);
        case "adjacentRacks":
            return findInRack(books, req) ?? findInAdjacentRacks(books, req);
        case "any":
            return findInRack(books, req) ?? findAnywhere(books, req);
    }
}

/** Whether this many accelerators of the job may be put on the worker now. */
export function isAllowed(worker: fleet.WorkerBook, req: request.PlaceRequest, accelerators: number): boolean {
    const memberNeeds = request.getMemberNeeds(req, accelerators);
    return worker.usable
        && needs.fitsWithin(memberNeeds, worker.free)
        && !req.excludedWorkers.has(worker.id)
        && respectsReservation(worker, req)
        && reclaim.staysReclaimable(worker, { account: req.account, needs: memberNeeds, evictable: req.evictable });
}

/**
 * Backfilling: on a worker that a large job waits for, another job may run only if it is expected to end before the
 * large one starts, and only if it can be stopped in case it does not. Otherwise a stream of small jobs would keep the
 * large one waiting for ever; one would notice it by the age of the oldest waiting job.
 */
function respectsReservation(worker: fleet.WorkerBook, req: request.PlaceRequest): boolean {
    const { reservation } = worker;
    return !reservation
        || reservation.jobId === req.jobId
        || (!reservation.firm && req.evictable && req.predictedEndAt <= reservation.startAt);
}

function findWorker(
    books: fleet.Fleet,
    req: request.PlaceRequest,
    policy: configuration.Policy,
    now: number,
): fleet.WorkerBook | undefined {
    switch (policy.kind) {
        case "fifoFirstFit":
            return findFirst(books, req);
        case "bestFit":
            return findBest(books, req, () => 0);
        case "guaranteed":
            return findBest(books, req, worker => getCost(worker, req, policy, now));
    }
}

function findFirst(books: fleet.Fleet, req: request.PlaceRequest): fleet.WorkerBook | undefined {
    for (const rack of books.racks) {
        for (const worker of rack.workers) {
            if (isAllowed(worker, req, req.accelerators)) {
                return worker;
            }
        }
    }
    return undefined;
}

/** The cheapest worker among those with the fewest free accelerators that suffice. */
function findBest(
    books: fleet.Fleet,
    req: request.PlaceRequest,
    getWorkerCost: (worker: fleet.WorkerBook) => number,
): fleet.WorkerBook | undefined {
    for (let level = req.accelerators; level <= books.largestWorker; level++) {
        let best: fleet.WorkerBook | undefined;
        let bestCost = Infinity;
        let probes = 0;
        for (const worker of books.getWorkersWithFree(level)) {
            if (probes === PROBES_PER_LEVEL) {
                break;
            }
            if (!isAllowed(worker, req, req.accelerators)) {
                continue;
            }
            probes++;
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
 * What placing the job here costs large jobs later and other accounts now: the time by which it puts off the moment the
 * whole worker is free, whether it breaks a whole worker in a rack of whole ones, and whether it borrows from a home.
 */
function getCost(
    worker: fleet.WorkerBook,
    req: request.PlaceRequest,
    policy: Extract<configuration.Policy, { kind: "guaranteed"; }>,
    now: number,
): number {
    const freeAt = fleet.getFreeAt(worker, now);
    const runsFor = Math.max(1, req.predictedEndAt - now);
    const putOff = Math.max(0, req.predictedEndAt - freeAt) / runsFor;
    const breaksRack = fleet.isWhole(worker) ? worker.rack.wholeFree.size / worker.rack.workers.length : 0;
    const foreignHome = worker.homeTotal - (worker.homes.get(req.account) ?? 0);
    const borrowed = Math.max(0, req.accelerators - Math.max(0, worker.free.accelerators - foreignHome));
    return policy.fragmentationWeight * (putOff + breaksRack)
        + policy.completionWeight * borrowed / Math.max(1, req.accelerators);
}

/** Members of whole workers, the rest on one further worker, in the rack with the fewest whole workers to spare. */
function findInRack(books: fleet.Fleet, req: request.PlaceRequest): request.Member[] | undefined {
    let best: request.Member[] | undefined;
    let bestSpare = Infinity;
    const wholeWorkers = Math.floor(req.accelerators / books.largestWorker);
    for (const rack of books.racks) {
        const spare = rack.wholeFree.size - wholeWorkers;
        if (spare < 0 || spare >= bestSpare) {
            continue;
        }
        const members = fillWorkers(books, req, rack.workers);
        if (members) {
            best = members;
            bestSpare = spare;
        }
    }
    return best;
}

function findInAdjacentRacks(books: fleet.Fleet, req: request.PlaceRequest): request.Member[] | undefined {
    for (let count = 2; count <= books.racks.length; count++) {
        for (let first = 0; first + count <= books.racks.length; first++) {
            const racks = books.racks.slice(first, first + count);
            const members = fillWorkers(books, req, racks.flatMap(rack => rack.workers));
            if (members) {
                return members;
            }
        }
    }
    return undefined;
}

/** Fills whole workers first, own homes and unreserved ones before others' homes, then one worker for the rest. */
function fillWorkers(
    books: fleet.Fleet,
    req: request.PlaceRequest,
    workers: readonly fleet.WorkerBook[],
): request.Member[] | undefined {
    const size = books.largestWorker;
    const whole = workers.filter(worker => worker.capacity.accelerators === size && isAllowed(worker, req, size));
    const count = Math.floor(req.accelerators / size);
    const rest = req.accelerators % size;
    if (whole.length < count) {
        return undefined;
    }
    const getForeign = (worker: fleet.WorkerBook) => worker.homeTotal - (worker.homes.get(req.account) ?? 0);
    const chosen = whole.sort((a, b) => getForeign(a) - getForeign(b)).slice(0, count);
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

/** Any workers, the most broken first: for gangs that do not mind where they run. */
function findAnywhere(books: fleet.Fleet, req: request.PlaceRequest): request.Member[] | undefined {
    const members: request.Member[] = [];
    let left = req.accelerators;
    for (let level = 1; level <= books.largestWorker && left > 0; level++) {
        for (const worker of books.getWorkersWithFree(level)) {
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

/** Whether the job could ever be placed if the whole fleet were free and healthy. */
export function canEverFit(shapes: readonly fleet.WorkerShape[], req: request.PlaceRequest): boolean {
    const empty = fleet.createFleet(shapes);
    const unrestricted = { ...req, evictable: true, excludedWorkers: new Set<string>() };
    return findPlace(empty, unrestricted, { kind: "bestFit" }, 0) !== undefined;
}

/** Chooses the borrowed work to evict so that a guaranteed, urgent or long waiting job can be placed. */
import * as fleetModule from "./fleet";
import * as needs from "./needs";
import * as request from "./request";

/** A placement that becomes possible when the victims are stopped. */
export interface Eviction {
    readonly members: readonly request.Member[];
    /** Ids of the jobs to stop; of a gang all members are stopped. */
    readonly victims: ReadonlySet<string>;
}

/** Whether the task on the worker may be stopped for the request. */
export type IsVictim = (worker: fleetModule.FleetWorker, task: fleetModule.PlacedTask) => boolean;

interface Candidate {
    readonly worker: fleetModule.FleetWorker;
    readonly victims: readonly fleetModule.PlacedTask[];
    /** Work that is interrupted, in accelerator milliseconds. */
    readonly cost: number;
}

/**
 * Finds a place on the account's homes for a job within its guarantee. Every other task was placed only if the homes
 * stayed reclaimable, so stopping all borrowed work always suffices; the cheapest victims are chosen.
 *
 * For a job that needs whole workers, the account's own small tasks count as borrowed too: otherwise its own scattered
 * work could prevent the placement that it is guaranteed.
 */
export function findReclaim(fleet: fleetModule.Fleet, req: request.PlaceRequest, now: number): Eviction | undefined {
    const isLarge = req.accelerators >= fleet.largestWorker;
    const isBorrowed: IsVictim = (worker, task) =>
        task.evictable
        && (task.account !== req.account || (isLarge && task.needs.accelerators < worker.capacity.accelerators));
    const homes = fleet.getHomeWorkers(req.account).filter(worker =>
        worker.usable && !req.excludedWorkers.has(worker.id) && !isReservedForOther(worker, req)
    );
    const getCandidate = (worker: fleetModule.FleetWorker, accelerators: number) =>
        getReclaimable(worker, req.account, isBorrowed) >= accelerators
            ? createCandidate(worker, req, accelerators, isBorrowed, now)
            : undefined;
    if (req.accelerators <= fleet.largestWorker) {
        return pickOne(homes, req, getCandidate);
    }
    switch (req.adjacency) {
        case "worker":
            return undefined;
        case "rack":
            return pickCheapest(groupByRack(homes).map(group => pickMany(fleet, group, req, getCandidate)));
        case "adjacentRacks":
            return pickCheapest(groupByRack(homes).map(group => pickMany(fleet, group, req, getCandidate)))
                ?? pickMany(fleet, homes, req, getCandidate);
        case "any":
            return pickMany(fleet, homes, req, getCandidate);
    }
}

/**
 * Finds a place for an urgent job, or a large job that has waited too long, beyond its account's guarantee. The victims
 * are batch tasks of accounts that exceed their own guarantee on the worker. Only tasks smaller than a worker are
 * evicted: otherwise two large jobs that have waited long would evict each other in turn, with thousands of evictions
 * and no completions.
 */
export function findPreemption(fleet: fleetModule.Fleet, req: request.PlaceRequest, now: number): Eviction | undefined {
    const isBatchBeyondGuarantee: IsVictim = (worker, task) =>
        task.evictable && !task.urgent && task.needs.accelerators < worker.capacity.accelerators
        && fleetModule.getAccountUse(worker, task.account) > (worker.homes.get(task.account) ?? 0);
    const isEligible = (worker: fleetModule.FleetWorker) =>
        worker.usable && !isReservedForOther(worker, req) && !req.excludedWorkers.has(worker.id)
        && (req.evictable || worker.homeTotal === (worker.homes.get(req.account) ?? 0));
    const getCandidate: GetCandidate = (worker, accelerators) =>
        createCandidate(worker, req, accelerators, isBatchBeyondGuarantee, now);
    const groups = fleet.racks.map(rack => rack.workers.filter(isEligible));
    return req.accelerators <= fleet.largestWorker
        ? pickOne(groups.flat().slice(0, MAX_CANDIDATES), req, getCandidate)
        : pickCheapest(groups.map(group => pickMany(fleet, group, req, getCandidate)));
}

/** Accelerators of the account's home that its own tasks leave free once the possible victims are stopped. */
function getReclaimable(worker: fleetModule.FleetWorker, account: string, isVictim: IsVictim): number {
    let retained = 0;
    for (const task of worker.tasks.values()) {
        retained += task.account === account && !isVictim(worker, task) ? task.needs.accelerators : 0;
    }
    return (worker.homes.get(account) ?? 0) - retained;
}

/** Whether work on the worker is being stopped for another job, which gets what becomes free. */
function isReservedForOther(worker: fleetModule.FleetWorker, req: request.PlaceRequest): boolean {
    return !!worker.reservation?.exclusive && worker.reservation.jobId !== req.jobId;
}

/** Maximum number of workers examined for one preemption of a job that fits on one worker. */
const MAX_CANDIDATES = 64;

type GetCandidate = (worker: fleetModule.FleetWorker, accelerators: number) => Candidate | undefined;

function pickOne(
    workers: readonly fleetModule.FleetWorker[],
    req: request.PlaceRequest,
    getCandidate: GetCandidate,
): Eviction | undefined {
    const evictions = workers.map(worker => {
        const candidate = getCandidate(worker, req.accelerators);
        return candidate && createEviction(req, [{ candidate, accelerators: req.accelerators }]);
    });
    return pickCheapest(evictions);
}

function pickMany(
    fleet: fleetModule.Fleet,
    workers: readonly fleetModule.FleetWorker[],
    req: request.PlaceRequest,
    getCandidate: GetCandidate,
): EvictionWithCost | undefined {
    const size = fleet.largestWorker;
    const count = Math.floor(req.accelerators / size);
    const rest = req.accelerators % size;
    const wholeWorkers = workers
        .flatMap(worker => getCandidate(worker, size) ?? [])
        .sort((a, b) => a.cost - b.cost)
        .slice(0, count);
    if (wholeWorkers.length < count) {
        return undefined;
    }
    const parts = wholeWorkers.map(candidate => ({ candidate, accelerators: size }));
    if (rest === 0) {
        return createEviction(req, parts);
    }
    const chosenWorkers = new Set(wholeWorkers.map(candidate => candidate.worker));
    const last = workers
        .filter(worker => !chosenWorkers.has(worker))
        .flatMap(worker => getCandidate(worker, rest) ?? [])
        .sort((a, b) => a.cost - b.cost)[0];
    return last && createEviction(req, [...parts, { candidate: last, accelerators: rest }]);
}

interface EvictionWithCost extends Eviction {
    readonly cost: number;
}

function createEviction(
    req: request.PlaceRequest,
    parts: ReadonlyArray<{ readonly candidate: Candidate; readonly accelerators: number; }>,
): EvictionWithCost {
    return {
        members: parts.map(part => request.createMember(req, part.candidate.worker, part.accelerators)),
        victims: new Set(parts.flatMap(part => part.candidate.victims.map(task => task.jobId))),
        cost: parts.reduce((sum, part) => sum + part.candidate.cost, 0),
    };
}

function pickCheapest(evictions: ReadonlyArray<EvictionWithCost | undefined>): EvictionWithCost | undefined {
    let best: EvictionWithCost | undefined;
    for (const eviction of evictions) {
        if (eviction && (!best || eviction.cost < best.cost)) {
            best = eviction;
        }
    }
    return best;
}

/** Victims on one worker that free enough: the most recently placed first, since they have the least work to repeat. */
function createCandidate(
    worker: fleetModule.FleetWorker,
    req: request.PlaceRequest,
    accelerators: number,
    isVictim: IsVictim,
    now: number,
): Candidate | undefined {
    const wanted = request.getMemberNeeds(req, accelerators);
    const victims: fleetModule.PlacedTask[] = [];
    let free = worker.free;
    let cost = 0;
    if (!needs.fitsWithin(wanted, free)) {
        const possible = [...worker.tasks.values()].filter(task => isVictim(worker, task)).sort((a, b) =>
            b.placedAt - a.placedAt
        );
        for (const task of possible) {
            victims.push(task);
            free = needs.addNeeds(free, task.needs);
            cost += (1 + now - task.placedAt) * Math.max(1, task.needs.accelerators);
            if (needs.fitsWithin(wanted, free)) {
                break;
            }
        }
    }
    return needs.fitsWithin(wanted, free) ? { worker, victims, cost } : undefined;
}

function groupByRack(workers: readonly fleetModule.FleetWorker[]): fleetModule.FleetWorker[][] {
    const groups = new Map<fleetModule.FleetRack, fleetModule.FleetWorker[]>();
    for (const worker of workers) {
        groups.set(worker.rack, [...groups.get(worker.rack) ?? [], worker]);
    }
    return [...groups.values()];
}

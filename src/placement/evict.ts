/** Chooses which borrowed work gives way, so that a guaranteed or urgent job gets its place. */
import * as fleet from "./fleet";
import * as needs from "./needs";
import * as request from "./request";

/** A place that becomes free when the victims are stopped. */
export interface Eviction {
    readonly members: readonly request.Member[];
    /** Jobs to stop; a gang is stopped whole. */
    readonly victims: ReadonlySet<string>;
}

/** Whether the task may be stopped for the request. */
export type IsVictim = (worker: fleet.WorkerBook, task: fleet.BookedTask) => boolean;

interface Candidate {
    readonly worker: fleet.WorkerBook;
    readonly victims: readonly fleet.BookedTask[];
    /** Accelerator milliseconds of work put back. */
    readonly cost: number;
}

/**
 * A place on the account's own homes for a job within its guarantee. Reclaimability was checked when every other task
 * was placed, so stopping all borrowed work always suffices; the cheapest part of it is chosen.
 *
 * For a job of whole workers the account's own small tasks count as borrowed too: otherwise its own scattered work would
 * keep it from the shape it is guaranteed.
 */
export function findReclaim(books: fleet.Fleet, req: request.PlaceRequest, now: number): Eviction | undefined {
    const isLarge = req.accelerators >= books.largestWorker;
    const isBorrowed: IsVictim = (worker, task) =>
        task.evictable
        && (task.account !== req.account || (isLarge && task.needs.accelerators < worker.capacity.accelerators));
    const homes = books.getHomeWorkers(req.account).filter(worker =>
        worker.usable && !req.excludedWorkers.has(worker.id) && !isHeldByOther(worker, req)
    );
    const getCandidate = (worker: fleet.WorkerBook, accelerators: number) =>
        getReclaimable(worker, req.account, isBorrowed) >= accelerators
            ? createCandidate(worker, req, accelerators, isBorrowed, now)
            : undefined;
    if (req.accelerators <= books.largestWorker) {
        return pickOne(homes, req, getCandidate);
    }
    switch (req.adjacency) {
        case "worker":
            return undefined;
        case "rack":
            return pickCheapest(groupByRack(homes).map(group => pickMany(books, group, req, getCandidate)));
        case "adjacentRacks":
            return pickCheapest(groupByRack(homes).map(group => pickMany(books, group, req, getCandidate)))
                ?? pickMany(books, homes, req, getCandidate);
        case "any":
            return pickMany(books, homes, req, getCandidate);
    }
}

/**
 * A place for a job beyond its guarantee, taken from batch work that is itself beyond its own: for urgent jobs, and for
 * large ones that have waited too long. Only small tasks give way: two large jobs that both waited long would otherwise
 * stop each other in turn, and neither would ever end; one would see evictions by the thousand and no completions.
 */
export function findPreemption(books: fleet.Fleet, req: request.PlaceRequest, now: number): Eviction | undefined {
    const isBatchBeyondGuarantee: IsVictim = (worker, task) =>
        task.evictable && !task.urgent && task.needs.accelerators < worker.capacity.accelerators
        && fleet.getAccountUse(worker, task.account) > (worker.homes.get(task.account) ?? 0);
    const isOpen = (worker: fleet.WorkerBook) =>
        worker.usable && !isHeldByOther(worker, req) && !req.excludedWorkers.has(worker.id)
        && (req.evictable || worker.homeTotal === (worker.homes.get(req.account) ?? 0));
    const getCandidate: GetCandidate = (worker, accelerators) =>
        createCandidate(worker, req, accelerators, isBatchBeyondGuarantee, now);
    const groups = books.racks.map(rack => rack.workers.filter(isOpen));
    return req.accelerators <= books.largestWorker
        ? pickOne(groups.flat().slice(0, MAX_CANDIDATES), req, getCandidate)
        : pickCheapest(groups.map(group => pickMany(books, group, req, getCandidate)));
}

/** Accelerators of the account's home that its own tasks do not keep, when the possible victims are stopped. */
function getReclaimable(worker: fleet.WorkerBook, account: string, isVictim: IsVictim): number {
    let kept = 0;
    for (const task of worker.tasks.values()) {
        kept += task.account === account && !isVictim(worker, task) ? task.needs.accelerators : 0;
    }
    return (worker.homes.get(account) ?? 0) - kept;
}

/** Whether work is being stopped on the worker for another job: what it frees is spoken for. */
function isHeldByOther(worker: fleet.WorkerBook, req: request.PlaceRequest): boolean {
    return !!worker.reservation?.firm && worker.reservation.jobId !== req.jobId;
}

/** Workers weighed for one preemption. */
const MAX_CANDIDATES = 64;

type GetCandidate = (worker: fleet.WorkerBook, accelerators: number) => Candidate | undefined;

function pickOne(
    workers: readonly fleet.WorkerBook[],
    req: request.PlaceRequest,
    getCandidate: GetCandidate,
): Eviction | undefined {
    const evictions = workers.map(worker => {
        const candidate = getCandidate(worker, req.accelerators);
        return candidate && toEviction(req, [{ candidate, accelerators: req.accelerators }]);
    });
    return pickCheapest(evictions);
}

function pickMany(
    books: fleet.Fleet,
    workers: readonly fleet.WorkerBook[],
    req: request.PlaceRequest,
    getCandidate: GetCandidate,
): PricedEviction | undefined {
    const size = books.largestWorker;
    const count = Math.floor(req.accelerators / size);
    const rest = req.accelerators % size;
    const whole = workers
        .flatMap(worker => getCandidate(worker, size) ?? [])
        .sort((a, b) => a.cost - b.cost)
        .slice(0, count);
    if (whole.length < count) {
        return undefined;
    }
    const parts = whole.map(candidate => ({ candidate, accelerators: size }));
    if (rest === 0) {
        return toEviction(req, parts);
    }
    const taken = new Set(whole.map(candidate => candidate.worker));
    const last = workers
        .filter(worker => !taken.has(worker))
        .flatMap(worker => getCandidate(worker, rest) ?? [])
        .sort((a, b) => a.cost - b.cost)[0];
    return last && toEviction(req, [...parts, { candidate: last, accelerators: rest }]);
}

interface PricedEviction extends Eviction {
    readonly cost: number;
}

function toEviction(
    req: request.PlaceRequest,
    parts: ReadonlyArray<{ readonly candidate: Candidate; readonly accelerators: number; }>,
): PricedEviction {
    return {
        members: parts.map(part => request.createMember(req, part.candidate.worker, part.accelerators)),
        victims: new Set(parts.flatMap(part => part.candidate.victims.map(task => task.jobId))),
        cost: parts.reduce((sum, part) => sum + part.candidate.cost, 0),
    };
}

function pickCheapest(evictions: ReadonlyArray<PricedEviction | undefined>): PricedEviction | undefined {
    let best: PricedEviction | undefined;
    for (const eviction of evictions) {
        if (eviction && (!best || eviction.cost < best.cost)) {
            best = eviction;
        }
    }
    return best;
}

/** The victims on one worker that make room: the youngest first, since they have the least to repeat or restore. */
function createCandidate(
    worker: fleet.WorkerBook,
    req: request.PlaceRequest,
    accelerators: number,
    isVictim: IsVictim,
    now: number,
): Candidate | undefined {
    const wanted = request.getMemberNeeds(req, accelerators);
    const victims: fleet.BookedTask[] = [];
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

function groupByRack(workers: readonly fleet.WorkerBook[]): fleet.WorkerBook[][] {
    const groups = new Map<fleet.RackBook, fleet.WorkerBook[]>();
    for (const worker of workers) {
        groups.set(worker.rack, [...groups.get(worker.rack) ?? [], worker]);
    }
    return [...groups.values()];
}

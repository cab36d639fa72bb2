/** Where a unit fits: the choice of workers within the room that a fleet has left. */
import * as fleets from "./fleet";
import * as mechanism from "./mechanism";
import * as rooms from "./resources";
import * as types from "./types";

/**
 * A same-rack gang that no rack can take now waits this long for one before it is spread. Spread over racks its
 * tasks take three times as long, so a wait of about one run of the gang is the better bargain; beyond it the gang
 * is late either way.
 */
const SPREAD_PATIENCE = 1;
/** A task waits for room in the rack of its data for up to this share of its expected duration. */
const DATA_PATIENCE = 0.5;
/**
 * While under half of the service is in use nothing waits longer than this for a better place: whoever sees idle workers
 * expects its work to run on them, and the users count work as lost that waits beside them for 3 s.
 */
const IDLE_PATIENCE_MS = 2_000;

/**
 * Work within a guarantee begins in time before it begins in the best place: its users count 2.7 s from its acceptance.
 * Without the bound such a gang waited for the rack of its data for as long as it runs while that rack was full of
 * other guaranteed work, beside room elsewhere. What is left is for stops (0.2 to 0.4 s) and orders.
 */
const GUARANTEED_PATIENCE_MS = 1_500;

/** One host for each member, or `undefined` where the unit does not fit. */
export function place(
    unit: types.WaitingUnit,
    fleet: fleets.Fleet,
    leftOut: ReadonlySet<mechanism.Mechanism> = mechanism.NO_MECHANISMS,
): fleets.Host[] | undefined {
    const pool = fleet.getPool(unit.service);
    if (unit.count === 1) {
        const host = placeOne(unit, fleet, pool, leftOut);
        return host && [host];
    }
    const dataRack = findDataRack(unit, pool, leftOut);
    if (dataRack) {
        const near = pack(unit, sortFullestFirst([...dataRack.hosts]));
        if (near || unit.waitedMs < getPatienceMs(unit, SPREAD_PATIENCE, pool, leftOut)) {
            return near;
        }
    }
    if (!unit.sameRack) {
        return pack(unit, iterateCandidates(unit, fleet, pool));
    }
    return placeInOneRack(unit, pool)
        ?? (maySpread(unit, pool, leftOut) ? pack(unit, iterateCandidates(unit, fleet, pool)) : undefined);
}

/**
 * The rack of a gang's data, where it could hold the gang: all members that lie elsewhere take three times as long, and
 * the gang ends with the slowest. Gangs that were placed wherever there was room, or in another rack at once, ended late
 * as a rule: of 193 urgent gangs that were late on 40 random deployments 87 ran over twice as long as their work takes
 * with no other delay, and 12 of 110 since.
 */
export function findDataRack(
    unit: types.WaitingUnit,
    pool: fleets.Pool,
    leftOut: ReadonlySet<mechanism.Mechanism>,
): fleets.Rack | undefined {
    const rack = unit.dataRack === undefined || leftOut.has("gangData") ? undefined : pool.racks.get(unit.dataRack);
    return rack && couldHold(unit, rack) ? rack : undefined;
}

/** Whether the worker may run the unit at all, whatever room it has. */
export function isEligible(unit: types.WaitingUnit, worker: types.PlaceableWorker): boolean {
    return worker.service === unit.service
        && (unit.requiredLabel === undefined || worker.labels.includes(unit.requiredLabel))
        && !unit.excludedWorkerIds.has(worker.id)
        && (unit.allowedWorkerIds === undefined || unit.allowedWorkerIds.has(worker.id));
}

/** How many members of the unit the worker takes within that room. */
export function countFittingMembers(
    unit: types.WaitingUnit,
    worker: types.PlaceableWorker,
    room: rooms.MutableResources,
): number {
    const fits = Math.min(unit.count, rooms.countFits(room, unit.needs));
    if (unit.maxPerWorker === 0) {
        return fits;
    }
    const present = unit.stepTasksByWorker?.get(worker.id) ?? 0;
    return Math.max(0, Math.min(fits, unit.maxPerWorker - present));
}

/** Whether every worker of the service may run the unit. */
export function isUnrestricted(unit: types.WaitingUnit): boolean {
    return unit.requiredLabel === undefined && unit.excludedWorkerIds.size === 0 && unit.allowedWorkerIds === undefined;
}

/** Hosts that may hold a member, the fullest first; a few that cannot may be among them. */
function iterateCandidates(unit: types.WaitingUnit, fleet: fleets.Fleet, pool: fleets.Pool): Iterable<fleets.Host> {
    return unit.allowedWorkerIds ? listAllowed(unit.allowedWorkerIds, fleet) : pool.iterateFullestFirst(unit.needs);
}

/** Advice names a hundred workers at most, so they are sorted at each call. */
function listAllowed(allowed: ReadonlySet<string>, fleet: fleets.Fleet): fleets.Host[] {
    const hosts = [...allowed].map(id => fleet.getHost(id)).filter(host => host !== undefined);
    return sortFullestFirst(hosts);
}

function sortFullestFirst(hosts: fleets.Host[]): fleets.Host[] {
    return hosts.sort((a, b) => fleets.getFreeScore(a.room) - fleets.getFreeScore(b.room) || a.order - b.order);
}

/** The fullest worker that fits, so that whole workers stay free for what needs them. */
function placeOne(
    unit: types.WaitingUnit,
    fleet: fleets.Fleet,
    pool: fleets.Pool,
    leftOut: ReadonlySet<mechanism.Mechanism>,
): fleets.Host | undefined {
    const dataRack = unit.dataRack === undefined ? undefined : pool.racks.get(unit.dataRack);
    if (dataRack) {
        const near = findFullest(unit, sortFullestFirst([...dataRack.hosts]));
        const mustBeNear = !leftOut.has("dataPatience")
            && unit.waitedMs < getPatienceMs(unit, DATA_PATIENCE, pool, leftOut)
            && dataRack.hosts.some(host => isEligible(unit, host.worker));
        if (near || mustBeNear) {
            return near;
        }
    }
    return findFullest(unit, iterateCandidates(unit, fleet, pool));
}

/** The host that keeps the least room and the least company; `hosts` come fullest first. */
function findFullest(unit: types.WaitingUnit, hosts: Iterable<fleets.Host>): fleets.Host | undefined {
    let best: fleets.Host | undefined;
    let least = Infinity;
    for (const host of hosts) {
        const leftover = fleets.getFreeScore(host.room);
        if (leftover >= least) {
            break;
        }
        const measure = leftover + getCompany(unit, host.worker);
        if (measure < least && isEligible(unit, host.worker) && countFittingMembers(unit, host.worker, host.room) > 0) {
            best = host;
            least = measure;
        }
    }
    return best;
}

/** The rack that keeps the least room afterwards, so that larger racks' room stays whole. */
function placeInOneRack(unit: types.WaitingUnit, pool: fleets.Pool): fleets.Host[] | undefined {
    const unrestricted = isUnrestricted(unit);
    let best: fleets.Host[] | undefined;
    let least = Infinity;
    for (const rack of pool.racks.values()) {
        const far = unit.dataRack !== undefined && unit.dataRack !== rack.name;
        const penalty = far ? FAR_PENALTY : 0;
        if (penalty >= least || rack.countFits(unit.needs) < unit.count) {
            continue;
        }
        const hosts = unrestricted ? rack.hosts : rack.hosts.filter(host => isEligible(unit, host.worker));
        const leftover = penalty + (unrestricted ? rack.getFreeScore() : sumLeftover(hosts));
        if (leftover >= least) {
            continue;
        }
        const chosen = pack(unit, sortFullestFirst([...hosts]));
        if (chosen) {
            best = chosen;
            least = leftover;
        }
    }
    return best;
}

function sumLeftover(hosts: readonly fleets.Host[]): number {
    return hosts.reduce((sum, host) => sum + fleets.getFreeScore(host.room), 0);
}

/** Larger than the room of any rack: a rack with the data goes first, whatever room it has. */
const FAR_PENALTY = 1e6;

/** Fills the hosts in their order. */
function pack(unit: types.WaitingUnit, hosts: Iterable<fleets.Host>): fleets.Host[] | undefined {
    const chosen: fleets.Host[] = [];
    for (const host of hosts) {
        const fits = isEligible(unit, host.worker) ? countFittingMembers(unit, host.worker, host.room) : 0;
        for (let member = 0; member < fits && chosen.length < unit.count; member++) {
            chosen.push(host);
        }
        if (chosen.length === unit.count) {
            return chosen;
        }
    }
    return undefined;
}

/** Whether the gang has waited long enough for a rack, or no rack of its service could ever hold it. */
function maySpread(
    unit: types.WaitingUnit,
    pool: fleets.Pool,
    leftOut: ReadonlySet<mechanism.Mechanism>,
): boolean {
    if (leftOut.has("rackPatience") || unit.waitedMs >= getPatienceMs(unit, SPREAD_PATIENCE, pool, leftOut)) {
        return true;
    }
    return ![...pool.racks.values()].some(rack => couldHold(unit, rack));
}

/** How long the unit waits for a better place, where it takes that share of its expected duration. */
function getPatienceMs(
    unit: types.WaitingUnit,
    share: number,
    pool: fleets.Pool,
    leftOut: ReadonlySet<mechanism.Mechanism>,
): number {
    const wantedMs = unit.expectedDurationMs * share;
    const patienceMs = unit.tier === types.Claim.Guaranteed ? Math.min(wantedMs, GUARANTEED_PATIENCE_MS) : wantedMs;
    return patienceMs > IDLE_PATIENCE_MS && !leftOut.has("idlePatience") && pool.isMostlyFree()
        ? IDLE_PATIENCE_MS
        : patienceMs;
}

function couldHold(unit: types.WaitingUnit, rack: fleets.Rack): boolean {
    if (rack.countFitsWhenEmpty(unit.needs) < unit.count) {
        return false;
    }
    const most = rack.hosts.reduce(
        (sum, { worker }) => sum + countFittingMembers(unit, worker, rooms.copyResources(worker.capacity)),
        0,
    );
    return most >= unit.count;
}

/** Serving and filling tasks are kept apart as long as there is a choice: fillers slow down what serves. */
function getCompany(unit: types.WaitingUnit, worker: types.PlaceableWorker): number {
    if (unit.latencySensitive) {
        return worker.bestEffortTasks * COMPANY_PENALTY;
    }
    if (unit.bestEffort) {
        return worker.latencySensitiveTasks * COMPANY_PENALTY + worker.bestEffortTasks;
    }
    return 0;
}

/** More than the accelerators of any worker. */
const COMPANY_PENALTY = 1_000;

/** Placement of a waiting unit: chooses workers within the free resources of a fleet. */
import * as fleets from "./fleet";
import * as mechanism from "./mechanism";
import * as resources from "./resources";
import * as types from "./types";

/**
 * Share of its expected duration for which a same-rack gang waits for a rack before it is spread over several. Spread
 * tasks take three times as long, so waiting for about one run of the gang is cheaper; after that it is late either way.
 */
const SPREAD_MAX_WAIT_SHARE = 1;
/** Share of its expected duration for which a task waits for free resources in the rack of its data. */
const DATA_MAX_WAIT_SHARE = 0.5;
/**
 * Longest wait for a better placement while less than half of the service is in use. Users expect work to run on idle
 * workers, and count work as lost that waits for 3 s while workers are idle.
 */
const IDLE_MAX_WAIT_MS = 2_000;

/**
 * Longest wait of guaranteed work for a better placement. It has to start within 2.7 s of its acceptance; the rest of
 * that time is for stopping victims (0.2 to 0.4 s) and for start requests. Without the bound, a guaranteed gang waits for
 * as long as it runs if the rack of its data is full of other guaranteed work, although other racks have free resources.
 */
const GUARANTEED_MAX_WAIT_MS = 1_500;

/** One host for each member, or `undefined` if the unit does not fit or is to wait for a better placement. */
export function place(
    unit: types.WaitingUnit,
    fleet: fleets.Fleet,
    disabledMechanisms: ReadonlySet<mechanism.Mechanism> = mechanism.NO_MECHANISMS,
): fleets.Host[] | undefined {
    const pool = fleet.getPool(unit.service);
    if (unit.count === 1) {
        const host = placeOne(unit, fleet, pool, disabledMechanisms);
        return host && [host];
    }
    const dataRack = findDataRack(unit, pool, disabledMechanisms);
    if (dataRack) {
        const near = packGang(unit, sortFullestFirst([...dataRack.hosts]));
        if (near || unit.waitedMs < getMaxWaitMs(unit, SPREAD_MAX_WAIT_SHARE, pool, disabledMechanisms)) {
            return near;
        }
    }
    if (!unit.sameRack) {
        return packGang(unit, iterateCandidates(unit, fleet, pool));
    }
    return placeInOneRack(unit, pool)
        ?? (maySpread(unit, pool, disabledMechanisms)
            ? packGang(unit, iterateCandidates(unit, fleet, pool))
            : undefined);
}

/**
 * One host for each member in the pool, in one rack if the unit asks for one, and in the rack of its data if that can
 * hold it; `undefined` if there are none now.
 */
export function placeNear(
    unit: types.WaitingUnit,
    pool: fleets.Pool,
    dataRack: string | undefined,
): fleets.Host[] | undefined {
    const hosts = dataRack === undefined ? undefined : pool.racks.get(dataRack)?.hosts ?? [];
    if (unit.count === 1) {
        const host = findFullest(unit, hosts ? sortFullestFirst([...hosts]) : pool.iterateFullestFirst(unit.needs));
        return host && [host];
    }
    if (hosts) {
        return packGang(unit, sortFullestFirst([...hosts]));
    }
    return unit.sameRack ? placeInOneRack(unit, pool) : packGang(unit, pool.iterateFullestFirst(unit.needs));
}

/** The rack that a unit must be placed in so as not to be several times slower; `undefined` if there is none. */
export function findRequiredRack(
    unit: types.WaitingUnit,
    pool: fleets.Pool,
    disabledMechanisms: ReadonlySet<mechanism.Mechanism>,
): string | undefined {
    if (unit.count > 1) {
        return findDataRack(unit, pool, disabledMechanisms)?.name;
    }
    const rack = unit.dataRack === undefined ? undefined : pool.racks.get(unit.dataRack);
    return rack?.hosts.some(host => isEligible(unit, host.worker)) ? rack.name : undefined;
}

/** Whether a unit may wait for faster workers: not beyond a guarantee, and briefly while workers are idle. */
export function mayWaitForSpeed(unit: types.WaitingUnit, pool: fleets.Pool): boolean {
    return unit.waitedMs < getMaxWaitMs(unit, Infinity, pool, mechanism.NO_MECHANISMS);
}

/**
 * The rack of a unit's data if the empty rack could hold the whole unit, else `undefined`. Members in another rack take
 * three times as long and a gang ends with its slowest member, so a gang that is placed wherever there are free
 * resources usually ends late. Without this rule, 87 of 193 urgent gangs that were late on 40 random deployments ran
 * over twice as long as needed with no other delay; with the rule, 12 of 110.
 */
export function findDataRack(
    unit: types.WaitingUnit,
    pool: fleets.Pool,
    disabledMechanisms: ReadonlySet<mechanism.Mechanism>,
): fleets.Rack | undefined {
    const rack = unit.dataRack === undefined || disabledMechanisms.has("gangData")
        ? undefined
        : pool.racks.get(unit.dataRack);
    return rack && fitsWhenEmpty(unit, rack) ? rack : undefined;
}

/** Whether the worker meets the placement constraints of the unit, regardless of free resources. */
export function isEligible(unit: types.WaitingUnit, worker: types.PlaceableWorker): boolean {
    return worker.service === unit.service
        && (unit.requiredLabel === undefined || worker.labels.includes(unit.requiredLabel))
        && !unit.excludedWorkerIds.has(worker.id)
        && (unit.allowedWorkerIds === undefined || unit.allowedWorkerIds.has(worker.id))
        && (unit.minSpeed === undefined || fleets.getSpeed(worker) >= unit.minSpeed);
}

/** Number of members of the unit that fit in `available` on the worker, within `maxPerWorker`. */
export function countFittingMembers(
    unit: types.WaitingUnit,
    worker: types.PlaceableWorker,
    available: resources.MutableResources,
): number {
    const fits = Math.min(unit.count, resources.countFits(available, unit.needs));
    if (unit.maxPerWorker === 0) {
        return fits;
    }
    const present = unit.stepTasksByWorker?.get(worker.id) ?? 0;
    return Math.max(0, Math.min(fits, unit.maxPerWorker - present));
}

/** Whether every worker of the service is eligible for the unit. */
export function isUnrestricted(unit: types.WaitingUnit): boolean {
    return unit.minSpeed === undefined && isUnrestrictedExceptSpeed(unit);
}

/** Whether every worker of the service that is fast enough is eligible for the unit. */
export function isUnrestrictedExceptSpeed(unit: types.WaitingUnit): boolean {
    return unit.requiredLabel === undefined && unit.excludedWorkerIds.size === 0 && unit.allowedWorkerIds === undefined;
}

/** Hosts that may fit a member, the fullest first. May include a few that do not fit. */
function iterateCandidates(unit: types.WaitingUnit, fleet: fleets.Fleet, pool: fleets.Pool): Iterable<fleets.Host> {
    return unit.allowedWorkerIds ? listAllowed(unit.allowedWorkerIds, fleet) : pool.iterateFullestFirst(unit.needs);
}

/** Sorted at each call: advice names at most a hundred workers. */
function listAllowed(allowed: ReadonlySet<string>, fleet: fleets.Fleet): fleets.Host[] {
    const hosts = [...allowed].map(id => fleet.getHost(id)).filter(host => host !== undefined);
    return sortFullestFirst(hosts);
}

function sortFullestFirst(hosts: fleets.Host[]): fleets.Host[] {
    return hosts.sort((a, b) => fleets.getFreeScore(a.free) - fleets.getFreeScore(b.free) || a.order - b.order);
}

/** Best fit: the fullest worker that fits, so that empty workers remain for units that need a whole one. */
function placeOne(
    unit: types.WaitingUnit,
    fleet: fleets.Fleet,
    pool: fleets.Pool,
    disabledMechanisms: ReadonlySet<mechanism.Mechanism>,
): fleets.Host | undefined {
    const dataRack = unit.dataRack === undefined ? undefined : pool.racks.get(unit.dataRack);
    if (dataRack) {
        const near = findFullest(unit, sortFullestFirst([...dataRack.hosts]));
        const waitsForDataRack = !disabledMechanisms.has("dataPatience")
            && unit.waitedMs < getMaxWaitMs(unit, DATA_MAX_WAIT_SHARE, pool, disabledMechanisms)
            && dataRack.hosts.some(host => isEligible(unit, host.worker));
        if (near || waitsForDataRack) {
            return near;
        }
    }
    return findFullest(unit, iterateCandidates(unit, fleet, pool));
}

/** The host with the lowest sum of free score and interference penalty; `hosts` are sorted fullest first. */
function findFullest(unit: types.WaitingUnit, hosts: Iterable<fleets.Host>): fleets.Host | undefined {
    let best: fleets.Host | undefined;
    let lowestScore = Infinity;
    for (const host of hosts) {
        const freeScore = fleets.getFreeScore(host.free);
        if (freeScore >= lowestScore) {
            break;
        }
        const score = freeScore + getInterferencePenalty(unit, host.worker);
        if (
            score < lowestScore && isEligible(unit, host.worker)
            && countFittingMembers(unit, host.worker, host.free) > 0
        ) {
            best = host;
            lowestScore = score;
        }
    }
    return best;
}

/**
 * Best fit by rack: the fullest rack that fits, so that racks with more free resources remain for larger gangs. For a
 * unit with `fewWorkers`, the number of workers counts first.
 */
function placeInOneRack(unit: types.WaitingUnit, pool: fleets.Pool): fleets.Host[] | undefined {
    const unrestricted = isUnrestricted(unit);
    let best: fleets.Host[] | undefined;
    let lowestScore = Infinity;
    for (const rack of pool.racks.values()) {
        const isRemote = unit.dataRack !== undefined && unit.dataRack !== rack.name;
        const penalty = isRemote ? REMOTE_DATA_PENALTY : 0;
        if (penalty >= lowestScore || rack.countFits(unit.needs) < unit.count) {
            continue;
        }
        const hosts = unrestricted ? rack.hosts : rack.hosts.filter(host => isEligible(unit, host.worker));
        const score = penalty + (unrestricted ? rack.getFreeScore() : sumFreeScores(hosts));
        if (score >= lowestScore) {
            continue;
        }
        const chosen = packGang(unit, sortFullestFirst([...hosts]));
        const exposedScore = score + getExposurePenalty(unit, chosen);
        if (chosen && exposedScore < lowestScore) {
            best = chosen;
            lowestScore = exposedScore;
        }
    }
    return best;
}

function sumFreeScores(hosts: readonly fleets.Host[]): number {
    return hosts.reduce((sum, host) => sum + fleets.getFreeScore(host.free), 0);
}

/** Exceeds the free score of any rack, so that the rack of the data is preferred however much of it is free. */
const REMOTE_DATA_PENALTY = 1e6;

/** Workers of a gang; `hosts` are sorted fullest first. */
function packGang(unit: types.WaitingUnit, hosts: Iterable<fleets.Host>): fleets.Host[] | undefined {
    return pack(unit, unit.fewWorkers ? selectFewest(unit, hosts) : hosts);
}

/**
 * The fewest hosts that hold the whole unit, or none if all together do not. With 16% of the workers lost at once, a gang
 * on 13 workers survives with probability 0.10, on 4 workers with 0.50. The last host is the one with the least room that
 * holds the rest, so that larger ones remain whole.
 */
function selectFewest(unit: types.WaitingUnit, hosts: Iterable<fleets.Host>): fleets.Host[] {
    const candidates: Array<{ readonly host: fleets.Host; readonly fits: number; }> = [];
    for (const host of hosts) {
        const fits = isEligible(unit, host.worker) ? countFittingMembers(unit, host.worker, host.free) : 0;
        if (fits > 0) {
            candidates.push({ host, fits });
        }
    }
    candidates.sort((a, b) => b.fits - a.fits);
    let remaining = unit.count;
    for (let taken = 0; taken < candidates.length; taken++) {
        if (candidates[taken]!.fits >= remaining) {
            const leastFits = candidates.findLast(({ fits }) => fits >= remaining)!.fits;
            const last = candidates.find(({ fits }, index) => index >= taken && fits === leastFits)!;
            return [...candidates.slice(0, taken), last].map(({ host }) => host);
        }
        remaining -= candidates[taken]!.fits;
    }
    return [];
}

function getExposurePenalty(unit: types.WaitingUnit, hosts: readonly fleets.Host[] | undefined): number {
    return unit.fewWorkers ? new Set(hosts).size * EXPOSURE_PENALTY : 0;
}

/** Exceeds the free score of a rack; for 128 workers it is below `REMOTE_DATA_PENALTY`. */
const EXPOSURE_PENALTY = 2_000;

/** First fit: fills the hosts in their order. */
function pack(unit: types.WaitingUnit, hosts: Iterable<fleets.Host>): fleets.Host[] | undefined {
    const chosen: fleets.Host[] = [];
    for (const host of hosts) {
        const fits = isEligible(unit, host.worker) ? countFittingMembers(unit, host.worker, host.free) : 0;
        for (let member = 0; member < fits && chosen.length < unit.count; member++) {
            chosen.push(host);
        }
        if (chosen.length === unit.count) {
            return chosen;
        }
    }
    return undefined;
}

/** Whether the gang has waited long enough for a rack, or no rack of its service could hold it even when empty. */
function maySpread(
    unit: types.WaitingUnit,
    pool: fleets.Pool,
    disabledMechanisms: ReadonlySet<mechanism.Mechanism>,
): boolean {
    if (
        disabledMechanisms.has("rackPatience")
        || unit.waitedMs >= getMaxWaitMs(unit, SPREAD_MAX_WAIT_SHARE, pool, disabledMechanisms)
    ) {
        return true;
    }
    return ![...pool.racks.values()].some(rack => fitsWhenEmpty(unit, rack));
}

/** Longest wait of the unit for a better placement, where `share` is a share of its expected duration. */
function getMaxWaitMs(
    unit: types.WaitingUnit,
    share: number,
    pool: fleets.Pool,
    disabledMechanisms: ReadonlySet<mechanism.Mechanism>,
): number {
    const waitMs = unit.expectedDurationMs * share;
    const maxWaitMs = unit.tier === types.PreemptionTier.Guaranteed ? Math.min(waitMs, GUARANTEED_MAX_WAIT_MS) : waitMs;
    return maxWaitMs > IDLE_MAX_WAIT_MS && !disabledMechanisms.has("idlePatience") && pool.isMostlyFree()
        ? IDLE_MAX_WAIT_MS
        : maxWaitMs;
}

function fitsWhenEmpty(unit: types.WaitingUnit, rack: fleets.Rack): boolean {
    if (rack.countFitsWhenEmpty(unit.needs) < unit.count) {
        return false;
    }
    const capacity = rack.hosts.reduce(
        (sum, { worker }) => sum + countFittingMembers(unit, worker, resources.copyResources(worker.capacity)),
        0,
    );
    return capacity >= unit.count;
}

/** Keeps best-effort tasks away from latency-sensitive ones, which they slow down, as long as another host fits. */
function getInterferencePenalty(unit: types.WaitingUnit, worker: types.PlaceableWorker): number {
    if (unit.latencySensitive) {
        return worker.bestEffortTasks * INTERFERENCE_PENALTY;
    }
    if (unit.bestEffort) {
        return worker.latencySensitiveTasks * INTERFERENCE_PENALTY + worker.bestEffortTasks;
    }
    return 0;
}

/** Exceeds the number of accelerators of any worker. */
const INTERFERENCE_PENALTY = 1_000;

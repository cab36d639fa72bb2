/**
 * Reservations of workers for gangs that may not preempt.
 *
 * Without them, a wide gang among single tasks waits until enough workers are free at the same moment, while single tasks
 * take each place that becomes free. A reservation keeps the workers on which the gang can start earliest. Other work of
 * the tier `None` that comes later in the order uses them only beside the gang, or if it is expected to end before the
 * gang starts. Work of higher tiers is decided first and is not bound by reservations.
 */
import type * as work from "../work/index";
import * as fleets from "./fleet";
import * as place from "./place";
import * as resources from "./resources";
import * as types from "./types";

/** What the reservations of a pass read and change of its resources. */
export interface ReservableResources {
    /** Resources that are free now. */
    readonly free: fleets.Fleet;
    /** Resources that are free now or within the stop time, less what is reserved for earlier units of the pass. */
    getFutureFree(): fleets.Fleet;
}

/** The reservations of one pass. */
export interface PassReservations {
    /** The units in the order in which the pass decides on them. */
    orderUnits(): readonly types.WaitingUnit[];
    /** Whether the unit had a reservation in the previous pass. */
    isReserved(unit: types.WaitingUnit): boolean;
    /** Hosts of `free` that are reserved, on which the unit ends before the reservation's time. */
    backfill(unit: types.WaitingUnit): readonly fleets.Host[] | undefined;
    /** Records the resources of a unit that starts, or that waits for resources that are being released. */
    recordUse(unit: types.WaitingUnit, hosts: readonly fleets.Host[]): void;
    /** Takes the resources of a unit that `backfill` has placed. */
    allocateBackfill(unit: types.WaitingUnit, hosts: readonly fleets.Host[]): void;
    /** Reserves workers for a unit that fits nowhere, if it is a gang that is entitled to a reservation. */
    reserve(unit: types.WaitingUnit): void;
    /** Keeps an earlier reservation of a unit that waits only for resources that are being released. */
    keep(unit: types.WaitingUnit): void;
    /** The reservations to keep for the next pass. */
    list(): readonly types.Reservation[];
}

/** Another choice of workers replaces a reservation only if the gang can start earlier by more than this. */
const MIN_GAIN_MS = 1_000;
/** Interval of the search for a better choice. Estimates change less than `MIN_GAIN_MS` in a shorter time. */
const SEARCH_INTERVAL_MS = 500;
/** Duration of a task away from its data, or of a spread gang, relative to the expected one. */
const REMOTE_FACTOR = 3;

/** A choice of workers for a gang. */
interface Choice {
    /** One host for each member. */
    readonly hosts: readonly fleets.Host[];
    readonly startsAt: number;
}

/** What remains of a reserved host. */
interface ReservedHost {
    readonly host: fleets.Host;
    /** Free now, reserved or not. */
    readonly free: resources.MutableResources;
    /** Free now or within the stop time, less what is reserved. */
    readonly unreserved: resources.MutableResources;
    /** The earliest start of a gang for which the host is reserved. */
    startsAt: number;
}

/** Creates the reservations of a pass; `input` are the earlier reservations and the expected ends of what runs. */
export function createPassReservations(
    { now, units, reservations: input }: types.PlanInput & { readonly reservations: types.ReservationInput; },
    { free, getFutureFree }: ReservableResources,
): PassReservations {
    const keptByUnit = new Map(input.kept.map(kept => [kept.unit, kept]));
    const longestWaiting = findLongestWaiting(units);
    const made = new Map<string, types.Reservation>();
    /** Services whose first waiting gang has been considered. */
    const servicesWithFirst = new Set<string>();
    const reservedByService = new Map<string, Map<string, ReservedHost>>();
    /** Expected ends of what this pass starts, by worker. */
    const startedEnds = new Map<string, types.ExpectedEnd[]>();
    const endsByWorker = new Map<string, readonly types.ExpectedEnd[]>();

    const getReservedHosts = (service: string) => getOrCreate(reservedByService, service, () => new Map());
    /** Ends of what runs on the worker, the earliest first. */
    const getEnds = (workerId: string) =>
        getOrCreate(
            endsByWorker,
            workerId,
            () =>
                [...input.getExpectedEnds(workerId), ...startedEnds.get(workerId) ?? []]
                    .filter(({ endsAt }) => endsAt < Infinity)
                    .sort((a, b) => a.endsAt - b.endsAt),
        );
    const getUnreserved = (host: fleets.Host): work.Resources =>
        reservedByService.get(host.worker.service)?.get(host.worker.id)?.unreserved
            ?? getFutureFree().hosts[host.order]!.free;

    /** Times from which each further member fits on the host, at most one for each member of the unit. */
    const listMemberTimes = (unit: types.WaitingUnit, host: fleets.Host): number[] => {
        const available = resources.copyResources(getUnreserved(host));
        const times: number[] = [];
        const addTimes = (at: number) => {
            const fits = place.countFittingMembers(unit, host.worker, available);
            while (times.length < fits) {
                times.push(at);
            }
        };
        addTimes(now);
        if (times.length === unit.count) {
            return times;
        }
        for (const { needs, endsAt } of getEnds(host.worker.id)) {
            resources.addResources(available, needs);
            // Groups that this pass stops count both as free and as running.
            resources.capResources(available, host.worker.capacity);
            addTimes(Math.max(now, endsAt));
            if (times.length === unit.count) {
                break;
            }
        }
        return times;
    };
    const findEarliestAmong = (unit: types.WaitingUnit, hosts: readonly fleets.Host[]): Choice | undefined => {
        const slots = hosts.filter(host => place.isEligible(unit, host.worker)).flatMap(host =>
            listMemberTimes(unit, host).map(at => ({ host, at }))
        );
        if (slots.length < unit.count) {
            return undefined;
        }
        slots.sort((a, b) => a.at - b.at || a.host.order - b.host.order);
        const chosen = slots.slice(0, unit.count);
        return { hosts: chosen.map(({ host }) => host), startsAt: chosen.at(-1)!.at };
    };
    /** The hosts on which the gang can start earliest, by the same preference of racks as its placement. */
    const findEarliest = (unit: types.WaitingUnit): Choice | undefined => {
        const pool = free.getPool(unit.service);
        const dataRack = unit.dataRack === undefined ? undefined : pool.racks.get(unit.dataRack);
        const racks = [...(unit.sameRack ? pool.racks.values() : [])].filter(rack =>
            rack.countFitsWhenEmpty(unit.needs) >= unit.count
        );
        let best = dataRack && dataRack.countFitsWhenEmpty(unit.needs) >= unit.count
            ? findEarliestAmong(unit, dataRack.hosts)
            : undefined;
        if (best) {
            return best;
        }
        for (const rack of racks) {
            const choice = findEarliestAmong(unit, rack.hosts);
            if (choice && (!best || choice.startsAt < best.startsAt)) {
                best = choice;
            }
        }
        return best ?? findEarliestAmong(unit, [...pool.racks.values()].flatMap(rack => rack.hosts));
    };
    /** The workers of an earlier reservation, and when the gang can start on them; `undefined` if one went away. */
    const reconsider = (unit: types.WaitingUnit, kept: types.Reservation): Choice | undefined => {
        const hosts = kept.workerIds.map(id => free.getHost(id));
        if (
            hosts.length !== unit.count
            || !hosts.every(host => host !== undefined && place.isEligible(unit, host.worker))
        ) {
            return undefined;
        }
        let startsAt = now;
        for (const [host, members] of countEach(hosts as fleets.Host[])) {
            startsAt = Math.max(startsAt, listMemberTimes(unit, host)[members - 1] ?? Infinity);
        }
        return startsAt < Infinity ? { hosts: hosts as fleets.Host[], startsAt } : undefined;
    };
    const chooseReservation = (unit: types.WaitingUnit) => {
        const kept = keptByUnit.get(unit.key);
        const same = kept && reconsider(unit, kept);
        const { key, service } = unit;
        const describe = ({ hosts, startsAt }: Choice) => ({
            unit: key,
            service,
            workerIds: hosts.map(host => host.worker.id),
            startsAt,
        });
        if (kept && same) {
            const isFresh = now - kept.searchedAt < SEARCH_INTERVAL_MS
                && same.startsAt - kept.startsAt <= MIN_GAIN_MS;
            const other = isFresh ? undefined : findEarliest(unit);
            if (!other || same.startsAt - other.startsAt <= MIN_GAIN_MS) {
                return {
                    choice: same,
                    reservation: {
                        ...describe(same),
                        madeAt: kept.madeAt,
                        searchedAt: isFresh ? kept.searchedAt : now,
                    },
                };
            }
            return { choice: other, reservation: { ...describe(other), madeAt: now, searchedAt: now } };
        }
        const choice = findEarliest(unit);
        return choice && { choice, reservation: { ...describe(choice), madeAt: now, searchedAt: now } };
    };
    /** Leaves of the hosts what remains beside the gang when it starts. */
    const withhold = (unit: types.WaitingUnit, { hosts, startsAt }: Choice) => {
        const reservedHosts = getReservedHosts(unit.service);
        for (const [host, members] of countEach(hosts)) {
            const futureHost = getFutureFree().hosts[host.order]!;
            const reserved = getOrCreate(reservedHosts, host.worker.id, () => ({
                host,
                free: resources.copyResources(host.free),
                unreserved: resources.copyResources(futureHost.free),
                startsAt,
            }));
            reserved.startsAt = Math.min(reserved.startsAt, startsAt);
            resources.subtractResources(reserved.unreserved, unit.needs, members);
            const spare = resources.copyResources(reserved.unreserved);
            for (const { needs, endsAt } of getEnds(host.worker.id)) {
                if (endsAt > reserved.startsAt) {
                    break;
                }
                resources.addResources(spare, needs);
            }
            // Groups that this pass stops count both as free and as running.
            const besideGang = resources.copyResources(host.worker.capacity);
            resources.subtractResources(besideGang, unit.needs, members);
            resources.capResources(spare, besideGang);
            free.updateFree(host, available => resources.capResources(available, spare));
            getFutureFree().updateFree(futureHost, available => resources.capResources(available, spare));
        }
    };

    return {
        orderUnits: () => {
            const isBound = (unit: types.WaitingUnit) => unit.tier === types.PreemptionTier.None;
            const isOverdue = (unit: types.WaitingUnit) =>
                unit.objectiveMs !== undefined && unit.waitedMs >= unit.objectiveMs && keptByUnit.has(unit.key);
            const bound = units.filter(isBound);
            return [
                ...units.filter(unit => !isBound(unit)),
                ...bound.filter(isOverdue),
                ...bound.filter(unit => !isOverdue(unit)),
            ];
        },
        isReserved: unit => keptByUnit.has(unit.key),
        backfill: unit => {
            const reservedHosts = reservedByService.get(unit.service);
            if (!reservedHosts || !mayBackfill(unit)) {
                return undefined;
            }
            const chosen: fleets.Host[] = [];
            const endsAt = now + unit.expectedDurationMs;
            for (const { host, free: available, startsAt } of reservedHosts.values()) {
                if (
                    endsAt > startsAt || !place.isEligible(unit, host.worker)
                    || (unit.dataRack !== undefined && host.rack.name !== unit.dataRack)
                ) {
                    continue;
                }
                const fits = place.countFittingMembers(unit, host.worker, available);
                for (let member = 0; member < fits && chosen.length < unit.count; member++) {
                    chosen.push(host);
                }
                if (chosen.length === unit.count) {
                    return chosen;
                }
            }
            return undefined;
        },
        recordUse: (unit, hosts) => {
            const reservedHosts = reservedByService.get(unit.service);
            const endsAt = now + unit.expectedDurationMs * (isRemote(unit, hosts) ? REMOTE_FACTOR : 1);
            for (const [host, members] of countEach(hosts)) {
                const { id } = host.worker;
                const ends = getOrCreate(startedEnds, id, () => []);
                for (let member = 0; member < members; member++) {
                    ends.push({ needs: unit.needs, endsAt });
                }
                endsByWorker.delete(id);
                const reserved = reservedHosts?.get(id);
                if (reserved) {
                    resources.subtractResources(reserved.free, unit.needs, members);
                    resources.subtractResources(reserved.unreserved, unit.needs, members);
                    if (unit.mayCrashWorker) {
                        resources.blockResources(reserved.free);
                    }
                }
            }
        },
        allocateBackfill: (unit, hosts) => {
            for (const host of new Set(hosts)) {
                const remaining = reservedByService.get(unit.service)!.get(host.worker.id)!.free;
                const future = resources.copyResources(remaining);
                resources.addResources(future, host.worker.releasing);
                free.updateFree(host, available => resources.capResources(available, remaining));
                getFutureFree().updateFree(
                    getFutureFree().hosts[host.order]!,
                    available => resources.capResources(available, future),
                );
            }
        },
        reserve: unit => {
            if (!isReservable(unit)) {
                return;
            }
            const isLongest = longestWaiting.get(unit.service) === unit;
            const isFirst = !servicesWithFirst.has(unit.service);
            servicesWithFirst.add(unit.service);
            const chosen = isFirst || isLongest ? chooseReservation(unit) : undefined;
            if (chosen) {
                made.set(unit.key, chosen.reservation);
                withhold(unit, chosen.choice);
            }
        },
        keep: unit => {
            const kept = keptByUnit.get(unit.key);
            if (kept) {
                made.set(unit.key, kept);
            }
        },
        list: () => [...made.values()],
    };
}

function isReservable(unit: types.WaitingUnit): boolean {
    return unit.gang && unit.count > 1 && unit.tier === types.PreemptionTier.None && !unit.mayCrashWorker;
}

/** Same-rack gangs are left out: on reserved workers of several racks they would take several times as long. */
function mayBackfill(unit: types.WaitingUnit): boolean {
    return unit.tier === types.PreemptionTier.None && !unit.mayCrashWorker && (unit.count === 1 || !unit.sameRack);
}

function isRemote(unit: types.WaitingUnit, hosts: readonly fleets.Host[]): boolean {
    return (unit.dataRack !== undefined && hosts.some(host => host.rack.name !== unit.dataRack))
        || (unit.sameRack && hosts.some(host => host.rack !== hosts[0]!.rack));
}

function findLongestWaiting(units: readonly types.WaitingUnit[]): ReadonlyMap<string, types.WaitingUnit> {
    const byService = new Map<string, types.WaitingUnit>();
    for (const unit of units) {
        if (isReservable(unit) && unit.waitedMs > (byService.get(unit.service)?.waitedMs ?? -1)) {
            byService.set(unit.service, unit);
        }
    }
    return byService;
}

function countEach(hosts: readonly fleets.Host[]): Map<fleets.Host, number> {
    const counts = new Map<fleets.Host, number>();
    for (const host of hosts) {
        counts.set(host, (counts.get(host) ?? 0) + 1);
    }
    return counts;
}

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
    }
    return value;
}

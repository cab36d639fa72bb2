/**
 * Preemption: chooses the running groups that are stopped for a unit of a higher tier.
 *
 * The options of a rack change only with its free resources and running groups, so they are cached for similar units of
 * a pass: on a full site, every urgent task needs the same options.
 */
import type * as disruptionBudgets from "./disruptionBudget";
import * as fleets from "./fleet";
import type * as mechanism from "./mechanism";
import * as victimSelection from "./minimizeVictims";
import * as place from "./place";
import * as resources from "./resources";
import * as types from "./types";

/** An option for a host: the number of members that fit once some groups on it are stopped. */
interface HostOption {
    readonly host: fleets.Host;
    readonly fits: number;
    /** The first `victimCount` of these are stopped. */
    readonly candidates: readonly types.RunningGroup[];
    readonly victimCount: number;
    readonly cost: number;
}

/** The options of a rack for a unit, those with the lowest cost per member first. */
interface RackOptions {
    /** Version of the rack for which the options were listed. */
    readonly version: number;
    readonly hostOptions: readonly HostOption[];
    /** The choice if the rack holds the whole unit; computed on demand. */
    wholeUnit?: { readonly choice: victimSelection.PreemptionChoice | undefined; };
}

/** Chooses victims within one pass. */
export interface Preemptor {
    /** The hosts and the cheapest victims; `undefined` if stopping all permitted groups does not suffice. */
    chooseVictims(unit: types.WaitingUnit): victimSelection.PreemptionChoice | undefined;
    /** Records the stops: the victims are no longer running and their resources count as free soon. */
    recordStops(victims: readonly types.RunningGroup[]): void;
}

/** What a preemptor works on. */
export interface PreemptorOptions {
    /** Resources that are free now or within the stop time. */
    readonly fleet: fleets.Fleet;
    readonly groups: readonly types.RunningGroup[];
    readonly budgets: disruptionBudgets.DisruptionBudgets;
    readonly disabledMechanisms: ReadonlySet<mechanism.Mechanism>;
}

/** A preemptor for one pass; it changes `fleet` and `budgets` as victims are recorded. */
export function createPreemptor(
    { fleet, groups, budgets, disabledMechanisms }: PreemptorOptions,
): Preemptor {
    const minimizesVictims = !disabledMechanisms.has("sparing");
    const groupsByWorker = groupByWorker(groups);
    const stopped = new Set<types.RunningGroup>();
    const optionsByKey = new Map<string, Map<fleets.Rack, RackOptions>>();

    const getVictims = (unit: types.WaitingUnit, excluded: ReadonlySet<types.RunningGroup>, workerId: string) =>
        (groupsByWorker.get(workerId) ?? []).filter(group =>
            unit.tier > group.tier && !stopped.has(group) && !excluded.has(group) && budgets.canStop(group)
        );
    const createRackOptions = (
        unit: types.WaitingUnit,
        rack: fleets.Rack,
        excluded: ReadonlySet<types.RunningGroup>,
    ): RackOptions => ({
        version: rack.getVersion(),
        hostOptions: rack.hosts
            .filter(host => place.isEligible(unit, host.worker))
            .flatMap(host => listHostOptions(unit, host, getVictims(unit, excluded, host.worker.id)))
            .sort(compareHostOptions),
    });
    /** Cached options for units with the same key, refreshed for racks that have changed since. */
    const getRackOptions = (
        unit: types.WaitingUnit,
        excluded: ReadonlySet<types.RunningGroup>,
    ): Map<fleets.Rack, RackOptions> => {
        const cacheKey = excluded.size === 0 ? getCacheKey(unit) : undefined;
        const optionsByRack = (cacheKey === undefined ? undefined : optionsByKey.get(cacheKey))
            ?? new Map<fleets.Rack, RackOptions>();
        for (const rack of fleet.getPool(unit.service).racks.values()) {
            if (optionsByRack.get(rack)?.version !== rack.getVersion()) {
                optionsByRack.set(rack, createRackOptions(unit, rack, excluded));
            }
        }
        if (cacheKey !== undefined) {
            optionsByKey.set(cacheKey, optionsByRack);
        }
        return optionsByRack;
    };
    const chooseExcluding = (unit: types.WaitingUnit, excluded: ReadonlySet<types.RunningGroup>) => {
        const optionsByRack = getRackOptions(unit, excluded);
        const dataRack = place.findDataRack(unit, fleet.getPool(unit.service), disabledMechanisms);
        const nearOptions = dataRack && optionsByRack.get(dataRack);
        const near = nearOptions && takeHostOptions(unit, nearOptions.hostOptions, minimizesVictims);
        if (near) {
            return near;
        }
        const rackOptions = [...optionsByRack.values()];
        const best = unit.sameRack
            ? findCheapest(unit, rackOptions, minimizesVictims)
            : takeHostOptions(unit, mergeHostOptions(rackOptions), minimizesVictims);
        // A guaranteed gang has to start in time even if no single rack can hold it.
        return best ?? (unit.sameRack && unit.tier === types.PreemptionTier.Guaranteed
            ? takeHostOptions(unit, mergeHostOptions(rackOptions), minimizesVictims)
            : undefined);
    };
    return {
        chooseVictims: unit => {
            const excluded = new Set<types.RunningGroup>();
            for (;;) {
                const choice = chooseExcluding(unit, excluded);
                const overBudget = choice ? budgets.findOverBudget(choice.victims) : [];
                if (overBudget.length === 0) {
                    return choice;
                }
                // Choose again without them, until the budgets allow the choice or there is none.
                overBudget.forEach(group => excluded.add(group));
            }
        },
        recordStops: victims => {
            budgets.recordStops(victims);
            if (victims.some(victim => victim.disruptionBudget)) {
                // Other tasks of the step, on any rack, may no longer be stopped.
                optionsByKey.clear();
            }
            for (const victim of victims) {
                stopped.add(victim);
                for (const member of victim.members) {
                    const host = fleet.getHost(member.workerId);
                    if (host) {
                        fleet.updateFree(host, free => resources.addResources(free, member.needs));
                    }
                }
            }
        },
    };
}

/** Units with the same key have the same options; `undefined` for a unit with placement constraints. */
function getCacheKey(unit: types.WaitingUnit): string | undefined {
    if (!place.isUnrestrictedExceptSpeed(unit) || unit.maxPerWorker > 0) {
        return undefined;
    }
    const key = `${unit.service} ${resources.getResourcesKey(unit.needs)} ${unit.count} ${unit.tier}`;
    return unit.minSpeed === undefined ? key : `${key} ${unit.minSpeed}`;
}

/** Groups by worker, the cheapest first. */
function groupByWorker(groups: readonly types.RunningGroup[]): Map<string, types.RunningGroup[]> {
    const byWorker = new Map<string, types.RunningGroup[]>();
    for (const group of groups) {
        for (const { workerId } of group.members) {
            const present = byWorker.get(workerId);
            if (!present) {
                byWorker.set(workerId, [group]);
            }
            else if (present.at(-1) !== group) {
                present.push(group);
            }
        }
    }
    for (const present of byWorker.values()) {
        present.sort((a, b) => a.costCoreSeconds - b.costCoreSeconds);
    }
    return byWorker;
}

/** The options for a host, in order of the number of victims, each for more members than the previous one. */
function listHostOptions(
    unit: types.WaitingUnit,
    host: fleets.Host,
    candidates: readonly types.RunningGroup[],
): HostOption[] {
    const available = resources.copyResources(host.free);
    const options: HostOption[] = [];
    let fits = place.countFittingMembers(unit, host.worker, available);
    let cost = 0;
    if (fits > 0) {
        options.push({ host, fits, candidates, victimCount: 0, cost });
    }
    for (let victimCount = 1; victimCount <= candidates.length && fits < unit.count; victimCount++) {
        const victim = candidates[victimCount - 1]!;
        for (const member of victim.members) {
            if (member.workerId === host.worker.id) {
                resources.addResources(available, member.needs);
            }
        }
        cost += victim.costCoreSeconds;
        const more = place.countFittingMembers(unit, host.worker, available);
        if (more > fits) {
            fits = more;
            options.push({ host, fits, candidates, victimCount, cost });
        }
    }
    return options;
}

/** Sorts by cost per member, then by number of members (descending), then by host order. */
function compareHostOptions(a: HostOption, b: HostOption): number {
    return a.cost / a.fits - b.cost / b.fits || b.fits - a.fits || a.host.order - b.host.order;
}

/** The cheapest choice within a single rack. */
function findCheapest(
    unit: types.WaitingUnit,
    rackOptions: readonly RackOptions[],
    minimizesVictims: boolean,
): victimSelection.PreemptionChoice | undefined {
    let best: victimSelection.PreemptionChoice | undefined;
    for (const options of rackOptions) {
        options.wholeUnit ??= { choice: takeHostOptions(unit, options.hostOptions, minimizesVictims) };
        const { choice } = options.wholeUnit;
        if (choice && (!best || choice.costCoreSeconds < best.costCoreSeconds)) {
            best = choice;
        }
    }
    return best;
}

/** Merges the sorted options of all racks lazily. */
function* mergeHostOptions(rackOptions: readonly RackOptions[]): Iterable<HostOption> {
    const next = rackOptions.map(() => 0);
    for (;;) {
        let first = -1;
        let firstOption: HostOption | undefined;
        rackOptions.forEach((options, index) => {
            const head = options.hostOptions[next[index]!];
            if (head && (!firstOption || compareHostOptions(head, firstOption) < 0)) {
                first = index;
                firstOption = head;
            }
        });
        if (!firstOption) {
            return;
        }
        next[first]!++;
        yield firstOption;
    }
}

/** Takes options in order, at most one per host, until all members are placed. */
function takeHostOptions(
    unit: types.WaitingUnit,
    hostOptions: Iterable<HostOption>,
    minimizesVictims: boolean,
): victimSelection.PreemptionChoice | undefined {
    const chosen = new Map<fleets.Host, HostOption>();
    let placed = 0;
    for (const option of hostOptions) {
        const previous = chosen.get(option.host);
        if (previous && previous.fits >= option.fits) {
            continue;
        }
        placed += option.fits - (previous?.fits ?? 0);
        chosen.set(option.host, option);
        if (placed >= unit.count) {
            break;
        }
    }
    if (placed < unit.count) {
        return undefined;
    }
    const victims = [...chosen.values()].flatMap(option => option.candidates.slice(0, option.victimCount));
    return victimSelection.minimizeVictims(unit, [...chosen.keys()], victims, minimizesVictims);
}

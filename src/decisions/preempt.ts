/**
 * Whose work is stopped so that an urgent unit begins in time.
 *
 * What a rack offers a unit changes only with the room and the running groups of the rack, so it is kept from one
 * unit of a pass to the next one that is alike: a full site asks the same question for every urgent task.
 */
import type * as protection from "./disruptionBudget";
import * as fleets from "./fleet";
import type * as mechanism from "./mechanism";
import * as sparing from "./minimizeVictims";
import * as place from "./place";
import * as rooms from "./resources";
import * as types from "./types";

/** A way to use a host: how many members it takes once some groups there are stopped. */
interface Way {
    readonly host: fleets.Host;
    readonly fits: number;
    /** Of these the first `victimCount` are stopped. */
    readonly candidates: readonly types.RunningGroup[];
    readonly victimCount: number;
    readonly cost: number;
}

/** What a rack offers a unit; the ways with the least cost for each member come first. */
interface Offer {
    readonly version: number;
    readonly ways: readonly Way[];
    /** Set once it was asked for. */
    whole?: { readonly choice: sparing.PreemptionChoice | undefined; };
}

export interface Preemptor {
    /** The hosts, and the victims whose stop costs least; `undefined` where nothing that may be stopped suffices. */
    chooseVictims(unit: types.WaitingUnit): sparing.PreemptionChoice | undefined;
    /** Takes the victims out, their room counts as free soon. */
    recordStops(victims: readonly types.RunningGroup[]): void;
}

export interface PreemptorOptions {
    /** Room that is free now or soon. */
    readonly fleet: fleets.Fleet;
    readonly groups: readonly types.RunningGroup[];
    readonly budgets: protection.DisruptionBudgets;
    readonly disabledMechanisms: ReadonlySet<mechanism.Mechanism>;
}

export function createPreemptor(
    { fleet, groups, budgets: protector, disabledMechanisms: leftOut }: PreemptorOptions,
): Preemptor {
    const sparesVictims = !leftOut.has("sparing");
    const groupsByWorker = groupByWorker(groups);
    const stopped = new Set<types.RunningGroup>();
    const offersByKind = new Map<string, Map<fleets.Rack, Offer>>();

    const getVictims = (unit: types.WaitingUnit, spared: ReadonlySet<types.RunningGroup>, workerId: string) =>
        (groupsByWorker.get(workerId) ?? []).filter(group =>
            unit.tier > group.tier && !stopped.has(group) && !spared.has(group) && protector.canStop(group)
        );
    const createOffer = (
        unit: types.WaitingUnit,
        rack: fleets.Rack,
        spared: ReadonlySet<types.RunningGroup>,
    ): Offer => ({
        version: rack.getVersion(),
        ways: rack.hosts
            .filter(host => place.isEligible(unit, host.worker))
            .flatMap(host => listWays(unit, host, getVictims(unit, spared, host.worker.id)))
            .sort(compareWays),
    });
    /** Offers from before for units of the same kind, where nothing has changed since. */
    const getOffers = (unit: types.WaitingUnit, spared: ReadonlySet<types.RunningGroup>): Map<fleets.Rack, Offer> => {
        const kind = spared.size === 0 ? getKind(unit) : undefined;
        const offers = (kind === undefined ? undefined : offersByKind.get(kind)) ?? new Map<fleets.Rack, Offer>();
        for (const rack of fleet.getPool(unit.service).racks.values()) {
            if (offers.get(rack)?.version !== rack.getVersion()) {
                offers.set(rack, createOffer(unit, rack, spared));
            }
        }
        if (kind !== undefined) {
            offersByKind.set(kind, offers);
        }
        return offers;
    };
    const chooseBeside = (unit: types.WaitingUnit, spared: ReadonlySet<types.RunningGroup>) => {
        const offersByRack = getOffers(unit, spared);
        const dataRack = place.findDataRack(unit, fleet.getPool(unit.service), leftOut);
        const nearOffer = dataRack && offersByRack.get(dataRack);
        const near = nearOffer && takeWays(unit, nearOffer.ways, sparesVictims);
        if (near) {
            return near;
        }
        const offers = [...offersByRack.values()];
        const best = unit.sameRack
            ? findCheapest(unit, offers, sparesVictims)
            : takeWays(unit, mergeWays(offers), sparesVictims);
        // A guarantee is kept within its bound even where no single rack can take the gang.
        return best ?? (unit.sameRack && unit.tier === types.Claim.Guaranteed
            ? takeWays(unit, mergeWays(offers), sparesVictims)
            : undefined);
    };
    return {
        chooseVictims: unit => {
            const spared = new Set<types.RunningGroup>();
            for (;;) {
                const choice = chooseBeside(unit, spared);
                const excess = choice ? protector.findOverBudget(choice.victims) : [];
                if (excess.length === 0) {
                    return choice;
                }
                // Without them, until a choice is allowed or nothing is left to choose.
                excess.forEach(group => spared.add(group));
            }
        },
        recordStops: victims => {
            protector.recordStops(victims);
            if (victims.some(victim => victim.disruptionBudget)) {
                // Other tasks of the step, on any rack, may have become untouchable.
                offersByKind.clear();
            }
            for (const victim of victims) {
                stopped.add(victim);
                for (const member of victim.members) {
                    const host = fleet.getHost(member.workerId);
                    if (host) {
                        fleet.updateFree(host, room => rooms.addResources(room, member.needs));
                    }
                }
            }
        },
    };
}

/** Units of one kind are offered the same; `undefined` for a unit to which workers differ by more than their room. */
function getKind(unit: types.WaitingUnit): string | undefined {
    if (!place.isUnrestricted(unit) || unit.maxPerWorker > 0) {
        return undefined;
    }
    return `${unit.service} ${rooms.getResourcesKey(unit.needs)} ${unit.count} ${unit.tier}`;
}

/** Groups of each worker, those whose stop costs least first. */
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

/** The ways to use a host, from no victim on, each with more members than the one before. */
function listWays(unit: types.WaitingUnit, host: fleets.Host, candidates: readonly types.RunningGroup[]): Way[] {
    const room = rooms.copyResources(host.room);
    const ways: Way[] = [];
    let fits = place.countFittingMembers(unit, host.worker, room);
    let cost = 0;
    if (fits > 0) {
        ways.push({ host, fits, candidates, victimCount: 0, cost });
    }
    for (let victimCount = 1; victimCount <= candidates.length && fits < unit.count; victimCount++) {
        const victim = candidates[victimCount - 1]!;
        for (const member of victim.members) {
            if (member.workerId === host.worker.id) {
                rooms.addResources(room, member.needs);
            }
        }
        cost += victim.costCoreSeconds;
        const more = place.countFittingMembers(unit, host.worker, room);
        if (more > fits) {
            fits = more;
            ways.push({ host, fits, candidates, victimCount, cost });
        }
    }
    return ways;
}

/** The least cost for each member first, then the way that takes more, then the first host. */
function compareWays(a: Way, b: Way): number {
    return a.cost / a.fits - b.cost / b.fits || b.fits - a.fits || a.host.order - b.host.order;
}

/** The cheapest choice that one rack offers. */
function findCheapest(
    unit: types.WaitingUnit,
    offers: readonly Offer[],
    sparesVictims: boolean,
): sparing.PreemptionChoice | undefined {
    let best: sparing.PreemptionChoice | undefined;
    for (const offer of offers) {
        offer.whole ??= { choice: takeWays(unit, offer.ways, sparesVictims) };
        const { choice } = offer.whole;
        if (choice && (!best || choice.costCoreSeconds < best.costCoreSeconds)) {
            best = choice;
        }
    }
    return best;
}

/** The ways of all offers in one order; only as many are looked at as are taken. */
function* mergeWays(offers: readonly Offer[]): Iterable<Way> {
    const next = offers.map(() => 0);
    for (;;) {
        let first = -1;
        let way: Way | undefined;
        offers.forEach((offer, number) => {
            const head = offer.ways[next[number]!];
            if (head && (!way || compareWays(head, way) < 0)) {
                first = number;
                way = head;
            }
        });
        if (!way) {
            return;
        }
        next[first]!++;
        yield way;
    }
}

/** Takes ways in their order, one a host, until all members have a place. */
function takeWays(
    unit: types.WaitingUnit,
    ways: Iterable<Way>,
    sparesVictims: boolean,
): sparing.PreemptionChoice | undefined {
    const chosen = new Map<fleets.Host, Way>();
    let placed = 0;
    for (const way of ways) {
        const before = chosen.get(way.host);
        if (before && before.fits >= way.fits) {
            continue;
        }
        placed += way.fits - (before?.fits ?? 0);
        chosen.set(way.host, way);
        if (placed >= unit.count) {
            break;
        }
    }
    if (placed < unit.count) {
        return undefined;
    }
    const victims = [...chosen.values()].flatMap(way => way.candidates.slice(0, way.victimCount));
    return sparing.minimizeVictims(unit, [...chosen.keys()], victims, sparesVictims);
}

/**
 * Placement by the natural speeds of the workers.
 *
 * Urgent gangs have slack of half of their work, and a gang ends with its slowest member. Where a quarter of the workers
 * takes twice as long, three of four gangs of five that are placed regardless of speed are late. The choice of a rack
 * goes before that of a speed, since work far from its rack takes three times as long.
 */
import * as fleets from "./fleet";
import * as mechanism from "./mechanism";
import * as place from "./place";
import * as resources from "./resources";
import * as stopCost from "./stopCost";
import * as types from "./types";

/** From this number of members on, a gang almost certainly has a slow member if it is placed regardless of speed. */
const WIDE_GANG_MEMBERS = 8;
/** Work counts as certainly in time on slow workers with this reserve: tasks differ in length by 15 to 30%. */
const SLOW_RESERVE = 1.25;

/** Chooses hosts by speed within one pass. */
export interface SpeedPlacement {
    /** The lowest speed with which the unit is in time, if that is not all the same on the workers that it may use. */
    getMinSpeed(unit: types.WaitingUnit, fleet: fleets.Fleet): number | undefined;
    /** Hosts of similar speed that suit the unit best; `undefined` if there are none now. */
    placeBySpeed(
        unit: types.WaitingUnit,
        fleet: fleets.Fleet,
        minSpeed: number | undefined,
    ): fleets.Host[] | undefined;
    /** Whether the victims cost less than making an urgent job late, and the hosts are near each other and the data. */
    isWorthwhile(
        unit: types.WaitingUnit,
        fleet: fleets.Fleet,
        choice: { readonly hosts: readonly fleets.Host[]; readonly costCoreSeconds: number; },
    ): boolean;
    /** Must be called when free resources of a fleet have grown. */
    forgetFailures(): void;
}

/** Creates the placement of a pass. */
export function createSpeedPlacement(disabledMechanisms: ReadonlySet<mechanism.Mechanism>): SpeedPlacement {
    /** Pools by what did not fit in them. Free resources only shrink within a pass, unless running work is stopped. */
    const failures = new Map<fleets.Pool, Set<string>>();
    const possibilities = new Map<string, boolean>();

    const findRack = (unit: types.WaitingUnit, fleet: fleets.Fleet) =>
        place.findRequiredRack(unit, fleet.getPool(unit.service), disabledMechanisms);
    /** Whether the classes could hold the unit if they were empty. */
    const couldHold = (
        unit: types.WaitingUnit,
        fleet: fleets.Fleet,
        classes: readonly fleets.SpeedClass[],
    ): boolean => {
        const requiredRack = findRack(unit, fleet);
        const countByRack = new Map<string, number>();
        let total = 0;
        for (const { pool } of classes) {
            for (const rack of pool.racks.values()) {
                if (requiredRack !== undefined && rack.name !== requiredRack) {
                    continue;
                }
                const count = countWhenEmpty(unit, rack);
                const ofRack = (countByRack.get(rack.name) ?? 0) + count;
                countByRack.set(rack.name, ofRack);
                total += count;
                if ((unit.sameRack ? ofRack : total) >= unit.count) {
                    return true;
                }
            }
        }
        return false;
    };
    const couldHoldCached = (
        unit: types.WaitingUnit,
        fleet: fleets.Fleet,
        classes: readonly fleets.SpeedClass[],
    ): boolean => {
        const key = getKey(unit);
        if (key === undefined) {
            return couldHold(unit, fleet, classes);
        }
        const keyOfClasses = `${key} ${classes.length}`;
        let possible = possibilities.get(keyOfClasses);
        if (possible === undefined) {
            possible = couldHold(unit, fleet, classes);
            possibilities.set(keyOfClasses, possible);
        }
        return possible;
    };
    const placeInPool = (unit: types.WaitingUnit, pool: fleets.Pool, requiredRack: string | undefined) => {
        const key = getKey(unit);
        if (key !== undefined && failures.get(pool)?.has(key)) {
            return undefined;
        }
        const hosts = place.placeNear(unit, pool, requiredRack);
        if (!hosts && key !== undefined) {
            const failed = failures.get(pool) ?? new Set();
            failures.set(pool, failed.add(key));
        }
        return hosts;
    };

    return {
        getMinSpeed: (unit, fleet) => {
            const { expectedDurationMs, inTimeDurationMs } = unit;
            if (
                inTimeDurationMs === undefined || inTimeDurationMs <= 0
                || unit.tier === types.PreemptionTier.Lasting || unit.mayCrashWorker
            ) {
                return undefined;
            }
            const classes = fleet.getSpeedClasses(unit.service);
            const minSpeed = expectedDurationMs / inTimeDurationMs;
            if (classes.length === 0 || classes[0]!.minSpeed < minSpeed || classes.at(-1)!.minSpeed >= minSpeed) {
                return undefined;
            }
            const inTime = classes.filter(item => item.minSpeed >= minSpeed);
            return couldHoldCached(unit, fleet, inTime) ? inTime.at(-1)!.minSpeed : undefined;
        },
        placeBySpeed: (unit, fleet, minSpeed) => {
            const classes = fleet.getSpeedClasses(unit.service);
            if (classes.length === 0 || unit.mayCrashWorker || unit.latencySensitive || unit.bestEffort) {
                return undefined;
            }
            const requiredRack = findRack(unit, fleet);
            const usable = minSpeed === undefined ? classes : classes.filter(item => item.minSpeed >= minSpeed);
            for (const { pool } of sortForUnit(unit, usable)) {
                const hosts = placeInPool(unit, pool, requiredRack);
                if (hosts) {
                    return hosts;
                }
            }
            return minSpeed !== undefined && usable.length > 1 && unit.count > 1
                ? place.placeNear({ ...unit, minSpeed }, fleet.getPool(unit.service), requiredRack)
                : undefined;
        },
        isWorthwhile: (unit, fleet, { hosts, costCoreSeconds }) => {
            const racks = new Set(hosts.map(host => host.worker.rack));
            const requiredRack = findRack(unit, fleet);
            const isNear = (!unit.sameRack || racks.size === 1)
                && (requiredRack === undefined || (racks.size === 1 && racks.has(requiredRack)));
            return isNear && costCoreSeconds < stopCost.getLatenessPenalty(0);
        },
        forgetFailures: () => failures.clear(),
    };
}

/** The classes in the order in which they suit the unit. */
function sortForUnit(unit: types.WaitingUnit, fastestFirst: readonly fleets.SpeedClass[]) {
    const wantsFast = unit.gang && (unit.tier >= types.PreemptionTier.Urgent || unit.count >= WIDE_GANG_MEMBERS);
    if (wantsFast || unit.inTimeDurationMs === undefined || unit.inTimeDurationMs <= 0) {
        return fastestFirst;
    }
    const isSafe = ({ minSpeed }: fleets.SpeedClass) =>
        SLOW_RESERVE * unit.expectedDurationMs / minSpeed <= unit.inTimeDurationMs!;
    return [...fastestFirst.filter(isSafe).reverse(), ...fastestFirst.filter(item => !isSafe(item))];
}

/** Units with the same key fit in the same pools; `undefined` for a unit with constraints of its own. */
function getKey(unit: types.WaitingUnit): string | undefined {
    return place.isUnrestricted(unit) && unit.maxPerWorker === 0 && unit.dataRack === undefined
        ? `${unit.service} ${resources.getResourcesKey(unit.needs)} ${unit.count} ${unit.sameRack}`
        : undefined;
}

function countWhenEmpty(unit: types.WaitingUnit, rack: fleets.Rack): number {
    return rack.hosts.reduce(
        (sum, { worker }) =>
            place.isEligible(unit, worker)
                ? sum + place.countFittingMembers(unit, worker, resources.copyResources(worker.capacity))
                : sum,
        0,
    );
}

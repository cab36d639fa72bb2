/**
 * One pass over the waiting units, in their order: who starts where, and what is stopped for whom.
 *
 * A unit that waits for work to be stopped keeps the room that is coming free: without that, a smaller unit behind
 * it takes the room first and more work is stopped in the next pass, which shows as work thrown away without an end.
 */
import * as protection from "./disruptionBudget";
import * as fleets from "./fleet";
import * as isolation from "./isolation";
import * as mechanism from "./mechanism";
import * as place from "./place";
import * as preempt from "./preempt";
import * as rooms from "./resources";
import * as types from "./types";

export function plan(input: types.PlanInput): types.Plan {
    const starts: types.PlannedStart[] = [];
    const stops: types.PlannedStop[] = [];
    const site = createSite(input);
    const leftOut = input.disabledMechanisms ?? mechanism.NO_MECHANISMS;
    const stepTasks = createStepTasks();
    const apart = isolation.createIsolation(input.workers);
    const hopeless = new Set<string>();
    for (const waiting of input.units) {
        if (hopeless.has(waiting.equivalenceClass)) {
            continue;
        }
        const unit = apart.avoidRecentStarts(stepTasks.withPlaced(waiting));
        const idle = apart.requireIdleWorkers(unit);
        const now = (idle && place.place(idle, site.free, leftOut)) ?? place.place(unit, site.free, leftOut);
        if (now) {
            starts.push({ unit, workerIds: getIds(now) });
            stepTasks.add(unit, now);
            apart.recordStart(getIds(now));
            site.take(unit, now);
            if (unit.mayCrashWorker) {
                site.close(now);
            }
            continue;
        }
        const later = place.place(unit, site.getSoon(), leftOut);
        if (later) {
            stepTasks.add(unit, later);
            site.reserve(unit, later);
            continue;
        }
        const needed = unit.tier === types.Claim.None || leftOut.has("preemption")
            ? undefined
            : site.getPreemptor().chooseVictims(unit);
        if (!needed) {
            hopeless.add(unit.equivalenceClass);
            continue;
        }
        site.getPreemptor().recordStops(needed.victims);
        stops.push(...needed.victims.map(group => ({ group, forUnit: unit.key, tier: unit.tier })));
        site.reserve(unit, needed.hosts);
    }
    return { starts, stops };
}

/** What the pass has left of the site. What few passes need is built when it is asked for. */
function createSite(input: types.PlanInput) {
    const free = fleets.createFleet(input.workers, worker => {
        const room = rooms.copyResources(worker.capacity);
        rooms.subtractResources(room, worker.used);
        return room;
    });
    /** Free now or within the stop time; what is promised to an earlier unit is taken off. */
    let soon: fleets.Fleet | undefined;
    let preemptor: preempt.Preemptor | undefined;
    const getSoon = () =>
        soon ??= fleets.createFleet(input.workers, (worker, order) => {
            const room = rooms.copyResources(free.hosts[order]!.room);
            rooms.addResources(room, worker.releasing);
            return room;
        });
    return {
        free,
        getSoon,
        getPreemptor: () =>
            preemptor ??= preempt.createPreemptor({
                fleet: getSoon(),
                groups: input.getRunningGroups(),
                budgets: protection.createDisruptionBudgets(),
                disabledMechanisms: input.disabledMechanisms ?? mechanism.NO_MECHANISMS,
            }),
        /** `hosts` are of `free`, one for each member. */
        take: (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
            for (const [host, members] of countEach(hosts)) {
                free.updateFree(host, room => rooms.subtractResources(room, unit.needs, members));
                soon?.updateFree(soon.hosts[host.order]!, room => rooms.subtractResources(room, unit.needs, members));
            }
        },
        /** Nothing else starts on these in this pass; `hosts` are of `free`. */
        close: (hosts: readonly fleets.Host[]) => {
            for (const host of new Set(hosts)) {
                free.updateFree(host, rooms.blockResources);
                getSoon().updateFree(getSoon().hosts[host.order]!, rooms.blockResources);
            }
        },
        /** `hosts` are of `getSoon()`, one for each member. */
        reserve: (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
            for (const [host, members] of countEach(hosts)) {
                getSoon().updateFree(host, room => rooms.subtractResources(room, unit.needs, members));
                free.updateFree(free.hosts[host.order]!, room => rooms.capResources(room, host.room));
            }
        },
    };
}

function countEach(hosts: readonly fleets.Host[]): Map<fleets.Host, number> {
    const counts = new Map<fleets.Host, number>();
    for (const host of hosts) {
        counts.set(host, (counts.get(host) ?? 0) + 1);
    }
    return counts;
}

function getIds(hosts: readonly fleets.Host[]): string[] {
    return hosts.map(host => host.worker.id);
}

/** Tasks of each bounded step by worker, with those that this pass has placed or reserved room for. */
function createStepTasks() {
    const byStep = new Map<string, Map<string, number>>();
    return {
        withPlaced: (unit: types.WaitingUnit): types.WaitingUnit => {
            if (unit.maxPerWorker === 0) {
                return unit;
            }
            let counts = byStep.get(unit.step);
            if (!counts) {
                counts = new Map(unit.stepTasksByWorker);
                byStep.set(unit.step, counts);
            }
            return { ...unit, stepTasksByWorker: counts };
        },
        add: (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
            const counts = byStep.get(unit.step);
            for (const { worker } of counts ? hosts : []) {
                counts!.set(worker.id, (counts!.get(worker.id) ?? 0) + 1);
            }
        },
    };
}

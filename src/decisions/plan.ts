/**
 * One pass over the waiting units, in their order: who starts where, and what is stopped for whom.
 *
 * A unit that waits for work to be stopped keeps the room that is coming free: without that, a smaller unit behind
 * it takes the room first and more work is stopped in the next pass, which shows as work thrown away without an end.
 */
import * as fleets from "./fleet";
import * as isolation from "./isolation";
import * as mechanism from "./mechanism";
import * as place from "./place";
import * as preempt from "./preempt";
import * as protection from "./protection";
import * as rooms from "./room";
import * as types from "./types";

export function plan(input: types.PlanInput): types.Plan {
    const starts: types.PlannedStart[] = [];
    const stops: types.PlannedStop[] = [];
    const site = createSite(input);
    const leftOut = input.leftOut ?? mechanism.NOTHING;
    const stepTasks = createStepTasks();
    const apart = isolation.createIsolation(input.workers);
    const hopeless = new Set<string>();
    for (const waiting of input.units) {
        if (hopeless.has(waiting.family)) {
            continue;
        }
        const unit = apart.withApart(stepTasks.withPlaced(waiting));
        const idle = apart.withIdle(unit);
        const now = (idle && place.place(idle, site.free, leftOut)) ?? place.place(unit, site.free, leftOut);
        if (now) {
            starts.push({ unit, workerIds: getIds(now) });
            stepTasks.add(unit, now);
            apart.note(getIds(now));
            site.take(unit, now);
            if (unit.suspect) {
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
        const needed = unit.claim === types.Claim.None || leftOut.has("preemption")
            ? undefined
            : site.getPreemptor().choose(unit);
        if (!needed) {
            hopeless.add(unit.family);
            continue;
        }
        site.getPreemptor().stop(needed.victims);
        stops.push(...needed.victims.map(group => ({ group, forUnit: unit.key, claim: unit.claim })));
        site.reserve(unit, needed.hosts);
    }
    return { starts, stops };
}

/** What the pass has left of the site. What few passes need is built when it is asked for. */
function createSite(input: types.PlanInput) {
    const free = fleets.createFleet(input.workers, worker => {
        const room = rooms.copyRoom(worker.capacity);
        rooms.takeRoom(room, worker.used);
        return room;
    });
    /** Free now or within the stop time; what is promised to an earlier unit is taken off. */
    let soon: fleets.Fleet | undefined;
    let preemptor: preempt.Preemptor | undefined;
    const getSoon = () =>
        soon ??= fleets.createFleet(input.workers, (worker, order) => {
            const room = rooms.copyRoom(free.hosts[order]!.room);
            rooms.addRoom(room, worker.freeing);
            return room;
        });
    return {
        free,
        getSoon,
        getPreemptor: () =>
            preemptor ??= preempt.createPreemptor({
                fleet: getSoon(),
                groups: input.getGroups(),
                protector: protection.createProtector(),
                leftOut: input.leftOut ?? mechanism.NOTHING,
            }),
        /** `hosts` are of `free`, one for each member. */
        take: (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
            for (const [host, members] of countEach(hosts)) {
                free.change(host, room => rooms.takeRoom(room, unit.needs, members));
                soon?.change(soon.hosts[host.order]!, room => rooms.takeRoom(room, unit.needs, members));
            }
        },
        /** Nothing else starts on these in this pass; `hosts` are of `free`. */
        close: (hosts: readonly fleets.Host[]) => {
            for (const host of new Set(hosts)) {
                free.change(host, rooms.closeRoom);
                getSoon().change(getSoon().hosts[host.order]!, rooms.closeRoom);
            }
        },
        /** `hosts` are of `getSoon()`, one for each member. */
        reserve: (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
            for (const [host, members] of countEach(hosts)) {
                getSoon().change(host, room => rooms.takeRoom(room, unit.needs, members));
                free.change(free.hosts[host.order]!, room => rooms.capRoom(room, host.room));
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

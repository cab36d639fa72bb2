/**
 * The same decisions as `plan`, without any index: it looks at every worker, rack and group for every unit.
 * Slow, and easy to check by reading; the index must not change what is decided.
 */
import * as protection from "../disruptionBudget";
import * as rooms from "../resources";
import * as types from "../types";
import * as plainPlace from "./referencePlace";
import * as plainPreempt from "./referencePreempt";

export function planByReference(input: types.PlanInput): types.Plan {
    const free = new Map<string, rooms.MutableResources>();
    /** Free now or within the stop time; what is promised to an earlier unit is taken off. */
    const soon = new Map<string, rooms.MutableResources>();
    for (const worker of input.workers) {
        const room = rooms.copyResources(worker.capacity);
        rooms.subtractResources(room, worker.used);
        free.set(worker.id, room);
        const later = rooms.copyResources(room);
        rooms.addResources(later, worker.releasing);
        soon.set(worker.id, later);
    }
    const starts: types.PlannedStart[] = [];
    const stops: types.PlannedStop[] = [];
    const stopped = new Set<types.RunningGroup>();
    const freeOf: plainPlace.RoomOf = worker => free.get(worker.id)!;
    const soonOf: plainPlace.RoomOf = worker => soon.get(worker.id)!;

    const reserve = (unit: types.WaitingUnit, workerIds: readonly string[]) => {
        for (const workerId of workerIds) {
            rooms.subtractResources(soon.get(workerId)!, unit.needs);
            rooms.capResources(free.get(workerId)!, soon.get(workerId)!);
        }
    };
    const protector = protection.createDisruptionBudgets();
    /** Without a choice that the protected steps allow, the excess victims are left out, until one does or none is left. */
    const choosePreemption = (unit: types.WaitingUnit) => {
        const spared = new Set(stopped);
        for (;;) {
            const running = input.getRunningGroups().filter(group => !spared.has(group) && protector.canStop(group));
            const choice = plainPreempt.preempt(unit, input.workers, running, soonOf);
            const excess = choice ? protector.findOverBudget(choice.victims) : [];
            if (!choice || excess.length === 0) {
                return choice;
            }
            excess.forEach(group => spared.add(group));
        }
    };
    const tryPreempt = (unit: types.WaitingUnit): boolean => {
        const choice = choosePreemption(unit);
        if (!choice) {
            return false;
        }
        protector.recordStops(choice.victims);
        for (const victim of choice.victims) {
            stopped.add(victim);
            stops.push({ group: victim, forUnit: unit.key, tier: unit.tier });
            for (const member of victim.members) {
                const later = soon.get(member.workerId);
                if (later) {
                    rooms.addResources(later, member.needs);
                }
            }
        }
        reserve(unit, choice.workerIds);
        return true;
    };

    const begun = new Set<string>();
    const avoid = (unit: types.WaitingUnit, company: types.Company): types.WaitingUnit => {
        const near = input.workers.filter(worker => worker.occupancy >= company || begun.has(worker.id));
        return unit.mayCrashWorker
            ? { ...unit, excludedWorkerIds: new Set([...unit.excludedWorkerIds, ...near.map(worker => worker.id)]) }
            : unit;
    };
    const hopeless = new Set<string>();
    const stepTasks = createStepTasks();
    for (const waiting of input.units) {
        if (hopeless.has(waiting.equivalenceClass)) {
            continue;
        }
        const unit = avoid(stepTasks.withPlaced(waiting), types.Company.RecentStart);
        const now = plainPlace.place(avoid(unit, types.Company.Stable), input.workers, freeOf)
            ?? plainPlace.place(unit, input.workers, freeOf);
        if (now) {
            starts.push({ unit, workerIds: now });
            stepTasks.add(unit, now);
            for (const workerId of now) {
                rooms.subtractResources(free.get(workerId)!, unit.needs);
                rooms.subtractResources(soon.get(workerId)!, unit.needs);
                begun.add(workerId);
            }
            for (const workerId of unit.mayCrashWorker ? now : []) {
                free.set(workerId, { cpuMillis: -1, memoryMb: -1, accelerators: -1 });
                soon.set(workerId, { cpuMillis: -1, memoryMb: -1, accelerators: -1 });
            }
            continue;
        }
        const later = plainPlace.place(unit, input.workers, soonOf);
        if (later) {
            reserve(unit, later);
            stepTasks.add(unit, later);
            continue;
        }
        if (unit.tier === types.Claim.None || !tryPreempt(unit)) {
            hopeless.add(unit.equivalenceClass);
        }
    }
    return { starts, stops };
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
        add: (unit: types.WaitingUnit, workerIds: readonly string[]) => {
            const counts = byStep.get(unit.step);
            for (const workerId of counts ? workerIds : []) {
                counts!.set(workerId, (counts!.get(workerId) ?? 0) + 1);
            }
        },
    };
}

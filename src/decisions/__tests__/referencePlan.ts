/**
 * Reference implementation of `plan` without an index or cache: it scans every worker, rack and group for every unit.
 * Slow but easy to verify by reading; `plan` must make the same decisions.
 */
import * as disruptionBudgets from "../disruptionBudget";
import * as resources from "../resources";
import * as types from "../types";
import * as referencePlace from "./referencePlace";
import * as referencePreempt from "./referencePreempt";

export function planByReference(input: types.PlanInput): types.Plan {
    const free = new Map<string, resources.MutableResources>();
    /** Free now or within the stop time, less what is reserved for earlier units. */
    const futureFree = new Map<string, resources.MutableResources>();
    for (const worker of input.workers) {
        const available = resources.copyResources(worker.capacity);
        resources.subtractResources(available, worker.used);
        free.set(worker.id, available);
        const availableLater = resources.copyResources(available);
        resources.addResources(availableLater, worker.releasing);
        futureFree.set(worker.id, availableLater);
    }
    const starts: types.PlannedStart[] = [];
    const stops: types.PlannedStop[] = [];
    const stopped = new Set<types.RunningGroup>();
    const stepTasks = createStepTasks();
    const getFree: referencePlace.GetResources = worker => free.get(worker.id)!;
    const getFutureFree: referencePlace.GetResources = worker => futureFree.get(worker.id)!;

    const reserve = (unit: types.WaitingUnit, workerIds: readonly string[]) => {
        for (const workerId of workerIds) {
            resources.subtractResources(futureFree.get(workerId)!, unit.needs);
            resources.capResources(free.get(workerId)!, futureFree.get(workerId)!);
        }
    };
    const budgets = disruptionBudgets.createDisruptionBudgets();
    /** Excludes victims that exceed a disruption budget and chooses again, until the budgets allow the choice. */
    const choosePreemption = (unit: types.WaitingUnit) => {
        const excluded = new Set(stopped);
        for (;;) {
            const running = input.getRunningGroups().filter(group => !excluded.has(group) && budgets.canStop(group));
            const choice = referencePreempt.preempt(unit, input.workers, running, getFutureFree);
            const overBudget = choice ? budgets.findOverBudget(choice.victims) : [];
            if (!choice || overBudget.length === 0) {
                return choice;
            }
            overBudget.forEach(group => excluded.add(group));
        }
    };
    const tryPreempt = (unit: types.WaitingUnit): boolean => {
        const choice = choosePreemption(unit);
        if (!choice) {
            return false;
        }
        budgets.recordStops(choice.victims);
        for (const victim of choice.victims) {
            stopped.add(victim);
            stops.push({ group: victim, forUnit: unit.key, tier: unit.tier });
            for (const member of victim.members) {
                const later = futureFree.get(member.workerId);
                if (later) {
                    resources.addResources(later, member.needs);
                }
            }
        }
        reserve(unit, choice.workerIds);
        stepTasks.add(unit, choice.workerIds);
        return true;
    };

    const startedWorkerIds = new Set<string>();
    const exclude = (unit: types.WaitingUnit, occupancy: types.Occupancy): types.WaitingUnit => {
        const excluded = input.workers.filter(worker =>
            worker.occupancy >= occupancy || startedWorkerIds.has(worker.id)
        );
        return unit.mayCrashWorker
            ? { ...unit, excludedWorkerIds: new Set([...unit.excludedWorkerIds, ...excluded.map(worker => worker.id)]) }
            : unit;
    };
    const unplaceableClasses = new Set<string>();
    for (const waiting of input.units) {
        if (unplaceableClasses.has(waiting.equivalenceClass)) {
            continue;
        }
        const unit = exclude(stepTasks.withStepTasks(waiting), types.Occupancy.RecentStart);
        const workerIds = referencePlace.place(exclude(unit, types.Occupancy.Stable), input.workers, getFree)
            ?? referencePlace.place(unit, input.workers, getFree);
        if (workerIds) {
            starts.push({ unit, workerIds });
            stepTasks.add(unit, workerIds);
            for (const workerId of workerIds) {
                resources.subtractResources(free.get(workerId)!, unit.needs);
                resources.subtractResources(futureFree.get(workerId)!, unit.needs);
                startedWorkerIds.add(workerId);
            }
            for (const workerId of unit.mayCrashWorker ? workerIds : []) {
                free.set(workerId, { cpuMillis: -1, memoryMb: -1, accelerators: -1 });
                futureFree.set(workerId, { cpuMillis: -1, memoryMb: -1, accelerators: -1 });
            }
            continue;
        }
        const later = referencePlace.place(unit, input.workers, getFutureFree);
        if (later) {
            reserve(unit, later);
            stepTasks.add(unit, later);
            continue;
        }
        if (unit.tier === types.PreemptionTier.None || !tryPreempt(unit)) {
            unplaceableClasses.add(unit.equivalenceClass);
        }
    }
    return { starts, stops };
}

/** Tasks by worker of each step with `maxPerWorker`, including those that this pass places or reserves resources for. */
function createStepTasks() {
    const byStep = new Map<string, Map<string, number>>();
    return {
        withStepTasks: (unit: types.WaitingUnit): types.WaitingUnit => {
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

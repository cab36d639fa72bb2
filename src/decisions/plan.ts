/**
 * One scheduling pass over the waiting units, in their order: which units start on which workers, and which running work
 * is stopped for them.
 *
 * Resources that are being released are reserved for the unit that waits for them. Otherwise a smaller unit later in the
 * order takes them and more work is stopped in each following pass, so that the thrown-away work grows without bound.
 */
import * as disruptionBudgets from "./disruptionBudget";
import * as fleets from "./fleet";
import * as isolation from "./isolation";
import * as mechanism from "./mechanism";
import type * as victimSelection from "./minimizeVictims";
import * as place from "./place";
import * as preemptors from "./preempt";
import * as reservation from "./reservation";
import * as resources from "./resources";
import * as speedClasses from "./speedClasses";
import * as types from "./types";

/** Decides starts and stops; nothing in `input` is modified. */
export function plan(input: types.PlanInput): types.Plan {
    const starts: types.PlannedStart[] = [];
    const stops: types.PlannedStop[] = [];
    const passResources = createPassResources(input);
    const disabledMechanisms = input.disabledMechanisms ?? mechanism.NO_MECHANISMS;
    const stepTasks = createStepTasks();
    const passIsolation = isolation.createIsolation(input.workers);
    const unplaceableClasses = new Set<string>();
    const reservations = input.reservations
        && reservation.createPassReservations({ ...input, reservations: input.reservations }, passResources);
    const headroom = input.mayStart && createPassHeadroom(passResources.free, input.mayStart);
    /** Workers that were kept for a gang are not left idle further. */
    const isDeferred = (unit: types.WaitingUnit) =>
        !reservations?.isReserved(unit) && (headroom?.isDeferred(unit) ?? false);
    const bySpeed = speedClasses.createSpeedPlacement(disabledMechanisms);
    const speedChoices: types.SpeedChoice[] = [];
    const recordChoice = (
        unit: types.WaitingUnit,
        kind: types.SpeedChoice["kind"],
        minSpeed: number | undefined,
        hosts: readonly fleets.Host[] = [],
    ) => {
        const speed = hosts.length === 0 ? undefined : Math.min(...hosts.map(host => fleets.getSpeed(host.worker)));
        speedChoices.push({ unit, kind, minSpeed: minSpeed ?? 0, speed, workerIds: getWorkerIds(hosts) });
    };
    const start = (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
        starts.push({ unit, workerIds: getWorkerIds(hosts) });
        stepTasks.add(unit, hosts);
        passIsolation.recordStart(getWorkerIds(hosts));
        passResources.allocate(unit, hosts);
        headroom?.recordStart(unit);
        reservations?.recordUse(unit, hosts);
        if (unit.mayCrashWorker) {
            passResources.block(hosts);
        }
    };
    const preempt = (unit: types.WaitingUnit, choice: victimSelection.PreemptionChoice) => {
        passResources.getPreemptor().recordStops(choice.victims);
        bySpeed.forgetFailures();
        stops.push(...choice.victims.map(group => ({ group, forUnit: unit.key, tier: unit.tier })));
        passResources.reserve(unit, choice.hosts);
        stepTasks.add(unit, choice.hosts);
        reservations?.recordUse(unit, choice.hosts);
    };
    const mayPreempt = (unit: types.WaitingUnit) =>
        unit.tier !== types.PreemptionTier.None && !disabledMechanisms.has("preemption");
    /** Tries the workers on which the unit is in time. Returns whether its outcome for this pass is decided. */
    const decideBySpeed = (unit: types.WaitingUnit): boolean => {
        const minSpeed = bySpeed.getMinSpeed(unit, passResources.free);
        const hosts = bySpeed.placeBySpeed(unit, passResources.free, minSpeed);
        if (hosts && isDeferred(unit)) {
            return true;
        }
        if (hosts) {
            if (minSpeed !== undefined) {
                recordChoice(unit, "placed", minSpeed, hosts);
            }
            start(unit, hosts);
            return true;
        }
        if (minSpeed === undefined) {
            return false;
        }
        const futureHosts = bySpeed.placeBySpeed(unit, passResources.getFutureFree(), minSpeed);
        if (futureHosts) {
            recordChoice(unit, "waits", minSpeed, futureHosts);
            stepTasks.add(unit, futureHosts);
            passResources.reserve(unit, futureHosts);
            reservations?.recordUse(unit, futureHosts);
            reservations?.keep(unit);
            return true;
        }
        const choice = mayPreempt(unit)
            ? passResources.getPreemptor().chooseVictims({ ...unit, minSpeed })
            : undefined;
        if (choice && bySpeed.isWorthwhile(unit, passResources.getFutureFree(), choice)) {
            recordChoice(unit, "preempts", minSpeed, choice.hosts);
            preempt(unit, choice);
            return true;
        }
        if (place.mayWaitForSpeed(unit, passResources.free.getPool(unit.service))) {
            recordChoice(unit, "waits", minSpeed);
            unplaceableClasses.add(unit.equivalenceClass);
            reservations?.keep(unit);
            return true;
        }
        return false;
    };
    const hasSpeeds = input.workers.some(({ speed }) => speed !== undefined);
    for (const waiting of reservations?.orderUnits() ?? input.units) {
        if (unplaceableClasses.has(waiting.equivalenceClass)) {
            continue;
        }
        const unit = passIsolation.avoidRecentStarts(stepTasks.withStepTasks(waiting));
        if (hasSpeeds && decideBySpeed(unit)) {
            continue;
        }
        const idleOnly = passIsolation.requireIdleWorkers(unit);
        const hosts = (idleOnly && place.place(idleOnly, passResources.free, disabledMechanisms))
            ?? place.place(unit, passResources.free, disabledMechanisms);
        if (hosts && isDeferred(unit)) {
            continue;
        }
        if (hosts) {
            start(unit, hosts);
            continue;
        }
        const backfillHosts = reservations?.backfill(unit);
        if (backfillHosts && isDeferred(unit)) {
            continue;
        }
        if (reservations && backfillHosts) {
            headroom?.recordStart(unit);
            starts.push({ unit, workerIds: getWorkerIds(backfillHosts) });
            stepTasks.add(unit, backfillHosts);
            passIsolation.recordStart(getWorkerIds(backfillHosts));
            reservations.recordUse(unit, backfillHosts);
            reservations.allocateBackfill(unit, backfillHosts);
            continue;
        }
        const futureHosts = place.place(unit, passResources.getFutureFree(), disabledMechanisms);
        if (futureHosts) {
            stepTasks.add(unit, futureHosts);
            passResources.reserve(unit, futureHosts);
            reservations?.recordUse(unit, futureHosts);
            reservations?.keep(unit);
            continue;
        }
        const choice = mayPreempt(unit) ? passResources.getPreemptor().chooseVictims(unit) : undefined;
        if (!choice) {
            unplaceableClasses.add(unit.equivalenceClass);
            reservations?.reserve(unit);
            continue;
        }
        preempt(unit, choice);
    }
    return {
        starts,
        stops,
        ...(reservations ? { reservations: reservations.list() } : {}),
        ...(speedChoices.length === 0 ? {} : { speedChoices }),
    };
}

/** Applies `PlanInput.mayStart` to the free resources of each service, which are summed up once per pass. */
function createPassHeadroom(free: fleets.Fleet, mayStart: NonNullable<types.PlanInput["mayStart"]>) {
    const freeByService = new Map<string, resources.MutableResources>();
    /** Classes of which a unit was deferred: what is free only shrinks within the pass. */
    const deferredClasses = new Set<string>();
    const sumFree = (service: string) => {
        const total = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
        for (const rack of free.getPool(service).racks.values()) {
            rack.hosts.forEach(host => resources.addResources(total, host.free));
        }
        freeByService.set(service, total);
        return total;
    };
    return {
        isDeferred: (unit: types.WaitingUnit): boolean => {
            if (unit.tier !== types.PreemptionTier.None) {
                return false;
            }
            if (deferredClasses.has(unit.equivalenceClass)) {
                return true;
            }
            const freeAfter = resources.copyResources(freeByService.get(unit.service) ?? sumFree(unit.service));
            resources.subtractResources(freeAfter, unit.needs, unit.count);
            if (mayStart(unit, freeAfter)) {
                return false;
            }
            deferredClasses.add(unit.equivalenceClass);
            return true;
        },
        recordStart: (unit: types.WaitingUnit) => {
            const total = freeByService.get(unit.service);
            if (total) {
                resources.subtractResources(total, unit.needs, unit.count);
            }
        },
    };
}

/** The resources that remain within the pass. What only some passes need is created on demand. */
function createPassResources(input: types.PlanInput) {
    const free = fleets.createFleet(input.workers, worker => {
        const available = resources.copyResources(worker.capacity);
        resources.subtractResources(available, worker.used);
        return available;
    });
    /** Free now or within the stop time, less what is reserved for earlier units. */
    let futureFree: fleets.Fleet | undefined;
    let preemptor: preemptors.Preemptor | undefined;
    const getFutureFree = () =>
        futureFree ??= fleets.createFleet(input.workers, (worker, order) => {
            const available = resources.copyResources(free.hosts[order]!.free);
            resources.addResources(available, worker.releasing);
            return available;
        });
    return {
        free,
        getFutureFree,
        getPreemptor: () =>
            preemptor ??= preemptors.createPreemptor({
                fleet: getFutureFree(),
                groups: input.getRunningGroups(),
                budgets: disruptionBudgets.createDisruptionBudgets(),
                disabledMechanisms: input.disabledMechanisms ?? mechanism.NO_MECHANISMS,
            }),
        /** Takes the resources of a unit that starts. `hosts` belong to `free`, one for each member. */
        allocate: (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
            for (const [host, members] of countEach(hosts)) {
                free.updateFree(host, available => resources.subtractResources(available, unit.needs, members));
                futureFree?.updateFree(
                    futureFree.hosts[host.order]!,
                    available => resources.subtractResources(available, unit.needs, members),
                );
            }
        },
        /** Prevents further starts on these hosts in this pass. `hosts` belong to `free`. */
        block: (hosts: readonly fleets.Host[]) => {
            for (const host of new Set(hosts)) {
                free.updateFree(host, resources.blockResources);
                getFutureFree().updateFree(getFutureFree().hosts[host.order]!, resources.blockResources);
            }
        },
        /** Reserves resources for a unit that waits. `hosts` belong to `getFutureFree()`, one for each member. */
        reserve: (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
            for (const [host, members] of countEach(hosts)) {
                getFutureFree().updateFree(
                    host,
                    available => resources.subtractResources(available, unit.needs, members),
                );
                free.updateFree(free.hosts[host.order]!, available => resources.capResources(available, host.free));
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

function getWorkerIds(hosts: readonly fleets.Host[]): string[] {
    return hosts.map(host => host.worker.id);
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
        add: (unit: types.WaitingUnit, hosts: readonly fleets.Host[]) => {
            const counts = byStep.get(unit.step);
            for (const { worker } of counts ? hosts : []) {
                counts!.set(worker.id, (counts!.get(worker.id) ?? 0) + 1);
            }
        },
    };
}

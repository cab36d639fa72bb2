/**
 * Chooses the step for which the adviser is called next.
 *
 * After a burst of jobs, or on a full site where tickets expire unused, more steps wait for the adviser than it answers
 * in the time. The calls go by turns to the most urgent step that has not been asked for, and to the one that has waited
 * longest, first among those that have room: no step that has to be asked for repeatedly delays the others for ever, and
 * none of the others delays it.
 */
import * as decisions from "../../decisions/index";
import type * as entries from "../entries";
import type * as units from "../units";

/** What earlier calls for a step have told. */
export interface StepHistory {
    /** Ids of workers that may not run the step. A worker's suitability for a step does not change. */
    readonly unsuitable: ReadonlySet<string>;
    /** Monotonic time of the latest call for the step, in milliseconds; `undefined` before the first one. */
    readonly lastAskedAt: number | undefined;
}

/** Whose turn the next call is. */
export type Turn = "mostUrgent" | "longestWaiting";

/** What an answer could lead to. */
const Readiness = {
    /** A start on free resources. */
    HasRoom: 0,
    /** A start after preemption, if there is work that it may preempt. */
    MayPreempt: 1,
    /** A start without a further call as soon as resources become free. */
    Prepares: 2,
} as const;
type Readiness = typeof Readiness[keyof typeof Readiness];

/** A step and the workers to ask about. */
export interface AdviceRequest {
    /** Name of the step. */
    readonly name: string;
    readonly step: entries.StepEntry;
    readonly workers: readonly entries.WorkerEntry[];
    /** Monotonic time since which the step has waited for a call, in milliseconds. */
    readonly waitingSince: number;
}

export interface ChooseRequestOptions {
    /** Monotonic time in milliseconds. */
    readonly now: number;
    readonly turn: Turn;
    /** The waiting units, in the order of the policy. */
    readonly waiting: readonly units.UnitOfTasks[];
    /** The workers that may be given tasks. */
    readonly placeable: readonly entries.WorkerEntry[];
    getHistory(step: entries.StepEntry): StepHistory | undefined;
}

/** A waiting unit that needs tickets. */
interface PendingUnit {
    readonly unit: decisions.WaitingUnit;
    readonly step: entries.StepEntry;
    readonly readiness: Readiness;
    readonly unsuitable: ReadonlySet<string>;
    /** Whether there was a call for the step since the unit began to wait. */
    readonly isAsked: boolean;
    readonly waitingSince: number;
}

const NO_WORKERS: ReadonlySet<string> = new Set();

/** Maximum workers per call: the adviser's response time grows with each, and a job's objective allows for 30. */
const WORKERS_PER_CALL = 30;

/** Returns the next request; `undefined` if no step needs tickets. */
export function chooseRequest(options: ChooseRequestOptions): AdviceRequest | undefined {
    const waiting = options.waiting.filter(({ unit }) => unit.allowedWorkerIds);
    if (waiting.length === 0) {
        return undefined;
    }
    const site = indexSite(options.placeable);
    for (const item of collectPending({ ...options, waiting }, site).sort(COMPARE[options.turn])) {
        const request = createRequest(item, options.now, site);
        if (request) {
            return request;
        }
    }
    return undefined;
}

/** Order of the pending units, which are in the order of the policy before, for each turn. */
const COMPARE: Readonly<Record<Turn, (a: PendingUnit, b: PendingUnit) => number>> = {
    mostUrgent: (a, b) =>
        Number(a.readiness === Readiness.Prepares) - Number(b.readiness === Readiness.Prepares)
        || Number(a.isAsked) - Number(b.isAsked)
        || (a.isAsked ? a.waitingSince - b.waitingSince : 0),
    longestWaiting: (a, b) => a.readiness - b.readiness || a.waitingSince - b.waitingSince,
};

/** The units that do not fit on the workers for which their steps hold valid tickets; one for several of a kind. */
function collectPending(options: ChooseRequestOptions, site: Site): PendingUnit[] {
    const seenClasses = new Set<string>();
    const pending: PendingUnit[] = [];
    for (const { unit, tasks } of options.waiting) {
        if (seenClasses.has(unit.equivalenceClass)) {
            continue;
        }
        seenClasses.add(unit.equivalenceClass);
        if (fitsOnTicketedWorkers(unit, site)) {
            continue;
        }
        const { step } = tasks[0]!;
        const { unsuitable = NO_WORKERS, lastAskedAt = -Infinity } = options.getHistory(step) ?? {};
        const readiness = getReadiness(unit, unsuitable, site);
        if (readiness === Readiness.Prepares && unit.allowedWorkerIds!.size > 0) {
            continue;
        }
        const unitWaitsSince = options.now - unit.waitedMs;
        pending.push({
            unit,
            step,
            readiness,
            unsuitable,
            isAsked: lastAskedAt >= unitWaitsSince,
            waitingSince: Math.max(lastAskedAt, unitWaitsSince),
        });
    }
    return pending;
}

/** Whether the whole unit fits now on workers for which its step holds valid tickets. */
function fitsOnTicketedWorkers(unit: decisions.WaitingUnit, site: Site): boolean {
    let members = 0;
    for (const id of unit.allowedWorkerIds!) {
        const worker = unit.excludedWorkerIds.has(id) ? undefined : site.workersById.get(id);
        members += worker ? site.countFits(worker, unit) : 0;
        if (members >= unit.count) {
            return true;
        }
    }
    return false;
}

/** Assumes that all workers which are not known to be unsuitable may run the unit. */
function getReadiness(unit: decisions.WaitingUnit, unsuitable: ReadonlySet<string>, site: Site): Readiness {
    let members = 0;
    for (const worker of site.listWithRoom(unit)) {
        if (!unsuitable.has(worker.id) && !unit.excludedWorkerIds.has(worker.id)) {
            members += site.countFits(worker, unit);
            if (members >= unit.count) {
                return Readiness.HasRoom;
            }
        }
    }
    return unit.tier === decisions.PreemptionTier.None ? Readiness.Prepares : Readiness.MayPreempt;
}

/** Asks about workers with room first, then about those with the most free accelerators. */
function createRequest(
    { unit, step, unsuitable, waitingSince }: PendingUnit,
    now: number,
    site: Site,
): AdviceRequest | undefined {
    const withRoom = new Set(site.listWithRoom(unit));
    const workers = site.listEligible(unit)
        .filter(({ id }) => !unsuitable.has(id) && !unit.excludedWorkerIds.has(id))
        .filter(({ id }) => (step.tickets.get(id)?.until ?? 0) <= now)
        .sort((a, b) =>
            Number(withRoom.has(b)) - Number(withRoom.has(a))
            || site.getFree(b).accelerators - site.getFree(a).accelerators
        )
        .slice(0, WORKERS_PER_CALL);
    return workers.length === 0 ? undefined : { name: unit.step, step, workers, waitingSince };
}

type Site = ReturnType<typeof indexSite>;

/** Indexes the workers for one choice. */
function indexSite(placeable: readonly entries.WorkerEntry[]) {
    const withRoomByNeeds = new Map<string, readonly entries.WorkerEntry[]>();
    const freeByWorker = new Map(placeable.map(worker => [worker, computeFree(worker)]));
    const getFree = (worker: entries.WorkerEntry) => freeByWorker.get(worker)!;
    const countFits = (worker: entries.WorkerEntry, unit: decisions.WaitingUnit) =>
        decisions.countFits(getFree(worker), unit.needs);
    /** Workers of the unit's service, and with the label that it requires. */
    const listEligible = ({ service, requiredLabel }: decisions.WaitingUnit) =>
        placeable.filter(({ info }) =>
            info.service === service && (requiredLabel === undefined || info.labels.includes(requiredLabel))
        );
    return {
        workersById: new Map(placeable.map(worker => [worker.id, worker])),
        getFree,
        countFits,
        listEligible,
        /** The eligible workers with free resources for a member of the unit. */
        listWithRoom: (unit: decisions.WaitingUnit): readonly entries.WorkerEntry[] => {
            const key = JSON.stringify([unit.service, unit.requiredLabel, unit.needs]);
            const known = withRoomByNeeds.get(key)
                ?? listEligible(unit).filter(worker => countFits(worker, unit) > 0);
            withRoomByNeeds.set(key, known);
            return known;
        },
    };
}

function computeFree(worker: entries.WorkerEntry): decisions.MutableResources {
    const free = decisions.copyResources(worker.info.capacity);
    decisions.subtractResources(free, worker.used);
    return free;
}

/** Derives the load of each queue from the leader's entries, for the summary that is published with the lease. */
import * as admission from "../admission/index";
import type * as catalog from "../catalog/index";
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as work from "../work/index";
import type * as entries from "./entries";
import * as guarantees from "./guarantees";
import type * as units from "./units";

/** The state after a pass. */
export interface PassState {
    readonly now: number;
    readonly wallNow: number;
    /** The units of the pass; those that were placed in it are skipped. */
    readonly units: readonly units.UnitOfTasks[];
    readonly active: Iterable<entries.JobEntry>;
    /** All workers that the leader knows. */
    readonly workers: Iterable<entries.WorkerEntry>;
    isPlaceable(worker: entries.WorkerEntry): boolean;
    getAccount(name: string): catalog.Account | undefined;
    readonly estimateRunMs: units.RunTimeEstimator;
}

/** The load of a term's queues. */
export interface QueueLoads {
    /** Records the state after a pass, if the last recorded one is old enough. */
    observe(state: PassState): void;
    /** The last computed summary in its stored form; `undefined` before the first one. */
    getSummary(): admission.EncodedSummary | undefined;
    readGauges(): readonly observe.GaugeSample[];
}

/** As often as the lease is renewed, with which the summary is published. */
const INTERVAL_MS = 450;
/** Bounds the series of the gauge; the queues with the longest waits are shown. */
const MAX_GAUGE_QUEUES = 50;

/** Creates the load of a term that has just begun. */
export function createQueueLoads(): QueueLoads {
    const meter = admission.createLoadMeter();
    let observedAt = -Infinity;
    let summary: admission.LoadSummary | undefined;
    return {
        observe: state => {
            if (state.now - observedAt < INTERVAL_MS) {
                return;
            }
            const arrivedAfter = observedAt;
            observedAt = state.now;
            summary = {
                computedAt: state.wallNow,
                queues: meter.observe(state.now, collectObservations(state, arrivedAfter)),
                accountsBeyondGuarantee: guarantees.findAccountsBeyondGuarantee(state.active, state.getAccount),
            };
        },
        getSummary: () => summary && admission.encodeSummary(summary),
        readGauges: () =>
            [...summary?.queues ?? []]
                .map(([queue, load]) => ({ queue, waitMs: admission.getLongestWaitMs(load) }))
                .sort((a, b) => b.waitMs - a.waitMs)
                .slice(0, MAX_GAUGE_QUEUES)
                .map(({ queue, waitMs }) => ({
                    metric: "expected_wait_ms",
                    labels: { queue },
                    value: Math.round(waitMs),
                })),
    };
}

function collectObservations(state: PassState, arrivedAfter: number): admission.QueueObservation[] {
    const aheadByQueue = new Map<string, { queue: catalog.Queue; ahead: admission.WorkAhead[]; }>();
    for (const item of state.units) {
        const workAhead = item.tasks[0]!.worker ? undefined : getWorkAhead(item);
        if (workAhead) {
            const { queue } = item.tasks[0]!.step.occurrence.job;
            const entry = aheadByQueue.get(queue.name) ?? { queue, ahead: [] };
            entry.ahead.push(workAhead);
            aheadByQueue.set(queue.name, entry);
        }
    }
    if (aheadByQueue.size === 0) {
        return [];
    }
    const waitingJobs = new Map<string, number>();
    const arrived = new Map<string, number>();
    for (const job of state.active) {
        if (job.state === "queued") {
            add(waitingJobs, job.queue.name, 1);
        }
        if (job.learnedAt > arrivedAfter) {
            add(arrived, job.queue.name, getCoreSeconds(job, state.estimateRunMs));
        }
    }
    const heldCores = new Map<string, number>();
    const freeCores = new Map<string, number>();
    for (const worker of state.workers) {
        for (const task of worker.tasks) {
            if (task.phase === "recording" || task.phase === "ordered" || task.phase === "running") {
                const queue = task.step.occurrence.job.queue.name;
                add(heldCores, queue, decisions.getCoreEquivalents(task.step.needs));
            }
        }
        if (state.isPlaceable(worker)) {
            add(freeCores, worker.info.service, getFreeCores(worker.info.capacity, worker.used));
        }
    }
    return [...aheadByQueue.values()].map(({ queue, ahead }) => ({
        queue: queue.name,
        waitingJobs: waitingJobs.get(queue.name) ?? 0,
        ahead,
        arrivedCoreSeconds: arrived.get(queue.name) ?? 0,
        heldCores: heldCores.get(queue.name) ?? 0,
        freeCores: freeCores.get(queue.service) ?? 0,
    }));
}

/**
 * The unit's work, if it is served before some new jobs of its queue. A new job can still be in time, so late work of
 * its tier goes after it, and among work that can be in time the one with less slack goes first.
 */
function getWorkAhead({ unit, urgency, tasks, omittedTasks }: units.UnitOfTasks): admission.WorkAhead | undefined {
    const newJobTier = urgency.priority === 0 ? decisions.PreemptionTier.Urgent : decisions.PreemptionTier.None;
    const isInTime = decisions.getLatenessClass(urgency) === decisions.LatenessClass.InTime;
    // How much is left of work that resumes from a checkpoint is unknown; counting all of it could refuse too many.
    if (unit.tier < newJobTier || (unit.tier === newJobTier && !isInTime) || tasks[0]!.saved !== "") {
        return undefined;
    }
    return {
        slackMs: unit.tier > newJobTier ? 0 : urgency.objectiveMs - urgency.ageMs - urgency.remainingMs,
        coreSeconds: (unit.count + omittedTasks) * decisions.getCoreEquivalents(unit.needs) * unit.expectedDurationMs
            / 1_000,
    };
}

/** Expected work of a job's occurrences. */
function getCoreSeconds(job: entries.JobEntry, estimateRunMs: units.RunTimeEstimator): number {
    return [...job.occurrences.values()].flatMap(occurrence => occurrence.steps).reduce(
        (sum, step) => sum + step.tasks.length * decisions.getCoreEquivalents(step.needs) * estimateRunMs(step) / 1_000,
        0,
    );
}

/** Core equivalents of the share of a worker that is free in each dimension. */
function getFreeCores(capacity: work.Resources, used: work.Resources): number {
    const getFreeShare = (total: number, taken: number) => total > 0 ? Math.max(0, 1 - taken / total) : 1;
    return decisions.getCoreEquivalents(capacity) * Math.min(
        getFreeShare(capacity.cpuMillis, used.cpuMillis),
        getFreeShare(capacity.memoryMb, used.memoryMb),
        getFreeShare(capacity.accelerators, used.accelerators),
    );
}

function add(sums: Map<string, number>, key: string, amount: number): void {
    sums.set(key, (sums.get(key) ?? 0) + amount);
}

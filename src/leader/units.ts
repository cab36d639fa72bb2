/** Converts jobs and workers to the input of the placement decisions. */
import * as decisions from "../decisions/index";
import * as work from "../work/index";
import * as availability from "./availability";
import * as crashHistory from "./crashHistory";
import * as entries from "./entries";
import * as workerLosses from "./losses/index";
import type * as outcomes from "./outcomes";
import * as pathTimes from "./pathTimes";

/** A waiting unit, its urgency, and its tasks. */
export interface UnitOfTasks {
    readonly unit: decisions.WaitingUnit;
    readonly urgency: decisions.Urgency;
    readonly tasks: readonly entries.TaskEntry[];
    /** Number of further waiting tasks of the step for which the pass has no units; only in the step's last unit. */
    readonly omittedTasks: number;
}

/** A group of placed tasks that are stopped together, and its tasks. */
export interface GroupOfTasks {
    readonly group: decisions.RunningGroup;
    /** Urgency of the work as if it had not started. */
    readonly urgency: decisions.Urgency;
    /** The group's cost of a stop if usage did not count. */
    readonly costWithoutUsage: number;
    readonly tasks: readonly entries.TaskEntry[];
}

/** Estimates the run time of a task of the step in milliseconds, from what was learned about its queue. */
export type RunTimeEstimator = pathTimes.RunTimeEstimator;

export interface UnitsOptions {
    readonly now: number;
    readonly wallNow: number;
    readonly estimateRunMs: RunTimeEstimator;
    readonly policy: decisions.Policy;
    /** Whether the job is covered by its account's guarantee. */
    isGuaranteed(job: entries.JobEntry): boolean;
    /** Speed of the worker that a task runs on, relative to the typical one; by default 1. */
    getRunSpeed?(task: entries.TaskEntry): number;
    /** Time since several workers of the service were lost at once; `undefined` if it is long ago, or gangs ignore it. */
    getLossAgeMs?(service: string): number | undefined;
    /** Usage of the job's account, relative to its fair share; `undefined` if it does not count now. */
    getUsage?(job: entries.JobEntry): number | undefined;
}

/** The options with the path times of the jobs, which hold for one call from outside. */
interface OptionsWithPaths extends UnitsOptions {
    readonly paths: pathTimes.PathTimes;
}

function withPaths(options: UnitsOptions): OptionsWithPaths {
    return { ...options, paths: pathTimes.createPathTimes(options.estimateRunMs) };
}

/** Collects the units that can be placed now, in the order of the policy. */
export function collectWaitingUnits(
    active: Iterable<entries.JobEntry>,
    unitsOptions: UnitsOptions,
): UnitOfTasks[] {
    const options = withPaths(unitsOptions);
    const units: UnitOfTasks[] = [];
    for (const job of active) {
        for (const occurrence of job.occurrences.values()) {
            if (occurrence.isEnded) {
                continue;
            }
            for (const step of occurrence.steps) {
                if (step.readySince !== undefined && !entries.isStepDone(step)) {
                    units.push(...collectOfStep(step, options));
                }
            }
        }
    }
    return units.sort((a, b) => options.policy.compare(a.urgency, b.urgency));
}

function collectOfStep(step: entries.StepEntry, options: OptionsWithPaths): UnitOfTasks[] {
    const startable = step.tasks.filter(task =>
        task.phase === "waiting" && !task.worker && task.backoffUntil <= options.now
        && !crashHistory.isCrashLimitReached(task.crashes)
    );
    if (startable.length === 0 || (step.spec.gang && startable.length < step.tasks.length)) {
        return [];
    }
    const urgency = createUrgency(step, options);
    const ofStep = describeStep(step, urgency, options);
    const groups = step.spec.gang ? [startable] : selectForPass(startable).map(task => [task]);
    const omittedTasks = step.spec.gang ? 0 : startable.length - groups.length;
    return groups.map((tasks, index) => ({
        unit: createUnit(step, tasks, ofStep, options),
        urgency,
        tasks,
        omittedTasks: index === groups.length - 1 ? omittedTasks : 0,
    }));
}

/**
 * Maximum tasks of a step that have not started before and get a unit in one pass. They are alike, so the others could
 * not be placed earlier; a pass that starts tasks is soon followed by the next.
 */
const MAX_NEW_TASKS_PER_STEP = 256;

function selectForPass(startable: readonly entries.TaskEntry[]): readonly entries.TaskEntry[] {
    if (startable.length <= MAX_NEW_TASKS_PER_STEP) {
        return startable;
    }
    let newTasks = 0;
    return startable.filter(task => task.run > 0 || ++newTasks <= MAX_NEW_TASKS_PER_STEP);
}

/** The fields that are the same in all units of the step. */
function describeStep(step: entries.StepEntry, urgency: decisions.Urgency, options: UnitsOptions) {
    const { spec } = step;
    const { job } = step.occurrence;
    const expectedDurationMs = options.estimateRunMs(step);
    return {
        step: getStepName(step),
        service: job.queue.service,
        needs: step.needs,
        gang: spec.gang,
        sameRack: spec.gang && spec.sameRack,
        fewWorkers: isExposed(step, options) || undefined,
        requiredLabel: spec.requiredLabel,
        dataRack: spec.dataRack,
        maxPerWorker: spec.maxPerWorker,
        stepTasksByWorker: spec.maxPerWorker > 0 ? countByWorker(step) : undefined,
        tier: urgency.tier,
        latencySensitive: spec.targetMs > 0,
        bestEffort: spec.fills,
        allowedWorkerIds: job.queue.advice ? getTicketedWorkerIds(step, options.now) : undefined,
        expectedDurationMs,
        objectiveMs: spec.gang ? urgency.objectiveMs : undefined,
        inTimeDurationMs: urgency.objectiveMs - urgency.ageMs - (urgency.remainingMs - expectedDurationMs),
    };
}

function createUnit(
    step: entries.StepEntry,
    tasks: readonly entries.TaskEntry[],
    ofStep: ReturnType<typeof describeStep>,
    options: UnitsOptions,
): decisions.WaitingUnit {
    const firstTask = tasks[0]!;
    const waitedMs = options.now - Math.max(step.readySince ?? options.now, firstTask.waitingSince);
    const mayCrashWorker = waitedMs < ISOLATION_MAX_WAIT_MS && !options.policy.disabledMechanisms.has("isolation")
        && tasks.some(task => crashHistory.isSuspect(task.crashes));
    // Lists the fields: an object that is spread and then extended takes several times the time and memory.
    return {
        key: firstTask.name,
        equivalenceClass: firstTask.failures > 0 || mayCrashWorker ? firstTask.name : ofStep.step,
        step: ofStep.step,
        service: ofStep.service,
        needs: ofStep.needs,
        count: tasks.length,
        gang: ofStep.gang,
        sameRack: ofStep.sameRack,
        fewWorkers: ofStep.fewWorkers,
        requiredLabel: ofStep.requiredLabel,
        dataRack: ofStep.dataRack,
        maxPerWorker: ofStep.maxPerWorker,
        stepTasksByWorker: ofStep.stepTasksByWorker,
        tier: ofStep.tier,
        latencySensitive: ofStep.latencySensitive,
        bestEffort: ofStep.bestEffort,
        mayCrashWorker,
        excludedWorkerIds: waitedMs < OTHER_WORKER_MAX_WAIT_MS ? getFailedWorkerIds(tasks) : NO_WORKERS,
        allowedWorkerIds: ofStep.allowedWorkerIds,
        waitedMs,
        expectedDurationMs: ofStep.expectedDurationMs,
        objectiveMs: ofStep.objectiveMs,
        inTimeDurationMs: ofStep.inTimeDurationMs,
    };
}

/** Whether the loss of one worker would cost much: the whole gang without checkpoints, or the wait of a wide one. */
function isExposed({ spec, tasks, occurrence }: entries.StepEntry, options: UnitsOptions): boolean {
    return spec.gang && tasks.length > 1 && (!spec.checkpoints || tasks.length >= WIDE_GANG_MEMBERS)
        && options.getLossAgeMs?.(occurrence.job.queue.service) !== undefined;
}

const WIDE_GANG_MEMBERS = 8;

/** Wait after which a task that may crash its worker is placed on any worker where it fits. */
const ISOLATION_MAX_WAIT_MS = 2_000;

/** Wait after which a failed task is placed on any worker: it may have failed on each where it fits. */
const OTHER_WORKER_MAX_WAIT_MS = 2_000;
const NO_WORKERS: ReadonlySet<string> = new Set();

function getFailedWorkerIds(tasks: readonly entries.TaskEntry[]): ReadonlySet<string> {
    if (tasks.length === 1) {
        return tasks[0]!.failedOn;
    }
    const all = new Set<string>();
    for (const task of tasks) {
        for (const workerId of task.failedOn) {
            all.add(workerId);
        }
    }
    return all;
}

function countByWorker(step: entries.StepEntry): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const task of step.tasks) {
        if (task.worker) {
            counts.set(task.worker.id, (counts.get(task.worker.id) ?? 0) + 1);
        }
    }
    return counts;
}

function getTicketedWorkerIds(step: entries.StepEntry, now: number): ReadonlySet<string> {
    const valid = new Set<string>();
    for (const [workerId, ticket] of step.tickets) {
        if (ticket.until > now) {
            valid.add(workerId);
        }
    }
    return valid;
}

/** Returns the urgency by which the policy orders the step. */
export function getUrgency(step: entries.StepEntry, options: UnitsOptions): decisions.Urgency {
    return createUrgency(step, withPaths(options));
}

function createUrgency(step: entries.StepEntry, options: OptionsWithPaths): decisions.Urgency {
    const { occurrence } = step;
    const { job } = occurrence;
    const since = occurrence.dueAt ?? job.submission.acceptedAt;
    return {
        tier: getPreemptionTier(step, options),
        priority: job.queue.priority,
        ageMs: options.wallNow - since,
        objectiveMs: toExpectedTimes(job, options.paths).objectiveMs,
        remainingMs: options.paths.getRemainingMs(step),
        usage: options.getUsage?.(job),
    };
}

/** The urgency of a placed task, whose remaining time depends on the speed of its worker. */
function getRunUrgency(task: entries.TaskEntry, options: OptionsWithPaths): decisions.Urgency {
    const urgency = createUrgency(task.step, options);
    const runMs = options.estimateRunMs(task.step);
    const speed = options.getRunSpeed?.(task) ?? 1;
    return { ...urgency, remainingMs: urgency.remainingMs - runMs + runMs / speed };
}

function getPreemptionTier(step: entries.StepEntry, options: UnitsOptions): decisions.PreemptionTier {
    const { job } = step.occurrence;
    if (options.isGuaranteed(job)) {
        return decisions.PreemptionTier.Guaranteed;
    }
    if (step.spec.lasting) {
        return decisions.PreemptionTier.Lasting;
    }
    return job.queue.priority === 0 ? decisions.PreemptionTier.Urgent : decisions.PreemptionTier.None;
}

/** Expected times of an occurrence of the job. The objective counts from the job's acceptance or from the due time. */
export function getExpectedTimes(job: entries.JobEntry, estimateRunMs: RunTimeEstimator): outcomes.ExpectedTimes {
    return toExpectedTimes(job, pathTimes.createPathTimes(estimateRunMs));
}

function toExpectedTimes(job: entries.JobEntry, paths: pathTimes.PathTimes): outcomes.ExpectedTimes {
    const criticalPathMs = paths.getCriticalPathMs(job);
    return { criticalPathMs, objectiveMs: job.queue.stretch * criticalPathMs + job.queue.objectiveMs };
}

/** Collects the placed tasks, grouped by those that are stopped together. */
export function collectRunningGroups(
    active: Iterable<entries.JobEntry>,
    unitsOptions: UnitsOptions,
): Map<string, GroupOfTasks> {
    const options = withPaths(unitsOptions);
    const groups = new Map<string, GroupOfTasks>();
    for (const job of active) {
        for (const occurrence of job.occurrences.values()) {
            for (const step of occurrence.steps) {
                const placed = step.tasks.filter(isHolding);
                if (placed.length === 0) {
                    continue;
                }
                const { getDisruptionBudget } = availability.createStepAvailability(
                    step,
                    getStepName(step),
                    options.now,
                );
                for (const tasks of step.spec.gang ? [placed] : placed.map(task => [task])) {
                    const key = tasks[0]!.name;
                    groups.set(key, createGroup(key, tasks, getDisruptionBudget(tasks), options));
                }
            }
        }
    }
    return groups;
}

function isHolding(task: entries.TaskEntry): boolean {
    return task.worker !== undefined
        && (task.phase === "recording" || task.phase === "ordered" || task.phase === "running");
}

function createGroup(
    key: string,
    tasks: readonly entries.TaskEntry[],
    disruptionBudget: decisions.DisruptionBudget | undefined,
    options: OptionsWithPaths,
): GroupOfTasks {
    const { step } = tasks[0]!;
    const { elapsedMs, unsavedMs, lossCoreSeconds } = estimateStopLoss(tasks, options.now);
    const urgency = getRunUrgency(tasks[0]!, options);
    const preemptions = tasks[0]!.preemptions + getBudgetAtStake(tasks);
    const getCost = (counted: decisions.Urgency) =>
        options.policy.getStopCost({ lossCoreSeconds, urgency: counted, elapsedMs, unsavedMs, preemptions });
    const costCoreSeconds = getCost(urgency);
    return {
        group: {
            key,
            tier: urgency.tier,
            members: tasks.map(task => ({ workerId: task.worker!.id, needs: step.needs })),
            lossCoreSeconds,
            costCoreSeconds,
            disruptionBudget,
        },
        urgency,
        costWithoutUsage: decisions.getUsageStep(urgency) > 0
            ? getCost({ ...urgency, usage: undefined })
            : costCoreSeconds,
        tasks,
    };
}

/** A start that counts against its task's crash budget costs more to stop, the more of the budget is used. */
function getBudgetAtStake(tasks: readonly entries.TaskEntry[]): number {
    const charged = tasks.filter(task => task.crashes.isStartCharged);
    return Math.max(0, ...charged.map(task => crashHistory.getCounts(task.crashes).crashBudgetUsed));
}

/** Estimates the work that a stop throws away of tasks that are stopped together. */
export function estimateStopLoss(tasks: readonly entries.TaskEntry[], now: number) {
    const { spec } = tasks[0]!.step;
    const since = Math.min(...tasks.map(task => task.phase === "running" ? task.runningSince : now));
    const elapsedMs = now - since;
    const unsavedMs = spec.checkpoints ? Math.min(elapsedMs, RESUME_LOSS_MS) : elapsedMs;
    const lossCoreSeconds = tasks.length * decisions.getCoreEquivalents(spec.needs) * unsavedMs / 1_000;
    return { elapsedMs, unsavedMs, lossCoreSeconds };
}

function getStepName(step: entries.StepEntry): string {
    return `${step.occurrence.job.submission.jobId}.${step.occurrence.number}.${step.number}`;
}

/** A stop saves a checkpoint, so a task with checkpoints loses almost nothing and is stopped before others. */
const RESUME_LOSS_MS = 100;

/** Converts a worker to the input of the placement decisions. */
export function toPlaceableWorker(worker: entries.WorkerEntry, speed?: number): decisions.PlaceableWorker {
    const releasing = decisions.copyResources(work.NO_RESOURCES);
    let latencySensitiveTasks = 0;
    let bestEffortTasks = 0;
    for (const task of worker.tasks) {
        latencySensitiveTasks += task.step.spec.targetMs > 0 ? 1 : 0;
        bestEffortTasks += task.step.spec.fills ? 1 : 0;
        if (task.phase === "stopping" || task.phase === "done") {
            decisions.addResources(releasing, task.step.needs);
        }
    }
    return {
        id: worker.id,
        service: worker.info.service,
        rack: worker.info.rack,
        labels: worker.info.labels,
        capacity: worker.info.capacity,
        used: worker.used,
        releasing,
        latencySensitiveTasks,
        bestEffortTasks,
        occupancy: getOccupancy(worker),
        speed,
    };
}

function getOccupancy(worker: entries.WorkerEntry): decisions.Occupancy {
    for (const task of worker.tasks) {
        if (workerLosses.isUnsettled(task)) {
            return decisions.Occupancy.RecentStart;
        }
    }
    return worker.tasks.size > 0 ? decisions.Occupancy.Stable : decisions.Occupancy.Idle;
}

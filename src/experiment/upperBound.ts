/**
 * Upper bound of the worth that any schedule can earn on a load, even with knowledge of the future.
 *
 * The bound comes from a relaxation of the scheduling problem: work is divisible over the whole site, a part of a job
 * earns that part of its worth, and no worker is lost. The remaining constraints: a job runs only between its arrival
 * and the time after which it earns nothing, no faster than with all its tasks in parallel, once more for each run that
 * fails, and slower if no rack can hold its gang; and the site's processors and accelerators suffice at each time.
 *
 * The relaxation is solved by Lagrangian duality: for any prices of the site's capacity in each time slot, no schedule
 * earns more than the price of all capacity plus what the jobs gain beyond the prices that they pay. Subgradient steps
 * improve the prices; each step gives a valid bound, and the lowest is returned.
 */
import type * as generate from "./generate";
import type * as loads from "./load";
import * as worth from "./worth";

/** Length of a time slot; short compared with the shortest objectives of a few seconds. */
const SLOT_MS = 1_000;
/** With 1,000 rounds the bound is lower by at most 0.010 on the load "small" with one to three workers. */
const ROUNDS = 300;
/** First step of a price, as a share of the worth of all jobs per slot; larger steps overshoot. */
const INITIAL_STEP = 0.03;
/** Rounds after which the step size has halved. */
const STEP_HALVING_ROUNDS = 100;

/** A job in the relaxed problem. */
interface Demand {
    readonly fromSlot: number;
    /** First slot that earns as late work: the first that begins at or after the objective. */
    readonly inTimeUntil: number;
    /** First slot that earns nothing. */
    readonly until: number;
    /** Slots that the job takes if all its tasks run without interruption. */
    readonly slots: number;
    /** Worth of the whole job if it is done within its objective, and if it is late. */
    readonly inTime: number;
    readonly late: number;
    /** Share of the site's capacity that all its tasks take, by index in `RESOURCES`. */
    readonly shares: readonly number[];
}

/** Upper bound of the worth earned, as a share (0 to 1) of the worth of all jobs whose callers do not cancel them. */
export function getUpperBound(load: loads.Load, jobs: readonly generate.PlannedJob[]): number {
    const getWeight = worth.createWeights(jobs);
    const jobsToServe = jobs.filter(job => job.cancelAfterMs === undefined);
    const owed = jobsToServe.reduce((sum, job) => sum + getWeight(job) * job.class.worth.inTime, 0);
    if (owed === 0) {
        return 1;
    }
    const demands = jobsToServe.map(job => createDemand(load, job, getWeight(job)));
    const slots = Math.max(...demands.map(demand => demand.until));
    const prices = RESOURCES.map(() => new Float64Array(slots));
    let best = owed;
    for (let round = 0; round < ROUNDS; round++) {
        const used = RESOURCES.map(() => new Float64Array(slots));
        const gained = demands.reduce((sum, demand) => sum + takeBestSlots(demand, prices, used), 0);
        best = Math.min(best, gained + sumAll(prices));
        const step = INITIAL_STEP * owed / slots / (1 + round / STEP_HALVING_ROUNDS);
        RESOURCES.forEach((_, resource) => adjustPrices(prices[resource]!, used[resource]!, step));
    }
    return best / owed;
}

/** Resources that have a price. */
const RESOURCES = ["cpuMillis", "accelerators"] as const;

function createDemand(load: loads.Load, planned: generate.PlannedJob, weight: number): Demand {
    const { job, class: jobClass, arrivesAt, objectiveMs } = planned;
    const step = job.spec.steps[0]!;
    const shortestMs = planned.poisoned ? 0 : getShortestMs(load, planned);
    const toSlot = (ms: number) => Math.ceil(ms / SLOT_MS);
    return {
        fromSlot: Math.floor(arrivesAt / SLOT_MS),
        inTimeUntil: toSlot(arrivesAt + objectiveMs),
        until: toSlot(arrivesAt + worth.LATE_MULTIPLE * objectiveMs),
        slots: shortestMs / SLOT_MS,
        inTime: weight * (shortestMs <= objectiveMs ? jobClass.worth.inTime : jobClass.worth.late),
        late: weight * jobClass.worth.late,
        shares: RESOURCES.map(resource => step.count * step.needs[resource] / (load.workers * load.capacity[resource])),
    };
}

/** Shortest time from the job's start to its end on an idle site, in milliseconds. */
function getShortestMs(load: loads.Load, { job }: generate.PlannedJob): number {
    return job.spec.steps.reduce((sum, step, number) => {
        const { capacity } = load;
        const perWorker = Math.min(
            Math.floor(capacity.cpuMillis / step.needs.cpuMillis),
            Math.floor(capacity.accelerators / step.needs.accelerators),
        );
        const spansRacks = step.gang && step.sameRack && step.count > perWorker * load.workersPerRack;
        return sum + job.durationsMs[number]! * countRuns(job, number) * (spansRacks ? CROSS_RACK_SLOWDOWN : 1);
    }, 0);
}

/** Slowdown of a gang on more than one rack, as the emulated workers apply it. */
const CROSS_RACK_SLOWDOWN = 3;

/** Consecutive runs until the step succeeds. Whether a run fails does not depend on the worker. */
function countRuns(job: generate.PlannedJob["job"], number: number): number {
    const step = job.spec.steps[number]!;
    const names = Array.from({ length: step.count }, (_, index) => `${job.jobId}.0.${number}.${index}`);
    const failsIn = (tasks: readonly string[], run: number) => tasks.some(task => job.fails?.(task, run) ?? false);
    const count = (tasks: readonly string[]) => {
        let run = 1;
        while (run < MAX_RUNS && failsIn(tasks, run)) {
            run++;
        }
        return run;
    };
    return step.gang ? count(names) : Math.max(...names.map(name => count([name])));
}

/** More than the attempts of any queue. */
const MAX_RUNS = 10;

/** Returns the maximum gain of the job at these prices, and adds the capacity that it takes for that to `used`. */
function takeBestSlots(
    demand: Demand,
    prices: readonly Float64Array[],
    used: readonly Float64Array[],
): number {
    if (demand.slots === 0) {
        return demand.inTime;
    }
    const candidates: Array<{ readonly slot: number; readonly gain: number; }> = [];
    for (let slot = demand.fromSlot; slot < demand.until; slot++) {
        const earned = (slot < demand.inTimeUntil ? demand.inTime : demand.late) / demand.slots;
        const gain = earned - demand.shares.reduce((sum, share, resource) => sum + share * prices[resource]![slot]!, 0);
        if (gain > 0) {
            candidates.push({ slot, gain });
        }
    }
    candidates.sort((a, b) => b.gain - a.gain);
    let slotsLeft = demand.slots;
    let gained = 0;
    for (const { slot, gain } of candidates) {
        const part = Math.min(1, slotsLeft);
        if (part <= 0) {
            break;
        }
        slotsLeft -= part;
        gained += part * gain;
        demand.shares.forEach((share, resource) => {
            used[resource]![slot]! += part * share;
        });
    }
    return gained;
}

/** Raises the price in slots where demand exceeds capacity, and lowers it elsewhere. */
function adjustPrices(prices: Float64Array, used: Float64Array, step: number): void {
    for (let slot = 0; slot < prices.length; slot++) {
        prices[slot] = Math.max(0, prices[slot]! + step * (used[slot]! - 1));
    }
}

function sumAll(prices: readonly Float64Array[]): number {
    return prices.reduce((sum, bySlot) => sum + bySlot.reduce((total, price) => total + price, 0), 0);
}

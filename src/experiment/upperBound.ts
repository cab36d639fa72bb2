/**
 * What no schedule can exceed on a load, whatever it knows of the future.
 *
 * The problem is made easier, so that its best solution is worth at least as much as any schedule's: work is divided
 * at will over the whole site, a part of a job earns a part of its worth, and no worker is lost. What stays: a job works
 * only between its arrival and the time until which it earns something, no faster than all its tasks at once, again for
 * each run that fails, slower where no rack can hold its gang; and the site's processors and accelerators suffice at
 * each moment.
 *
 * The bound is the dual of that problem: with any price for the site's room at each moment, no schedule earns more
 * than the prices of all room and what the jobs gain beyond them. The prices are improved step by step; every step
 * gives a bound, and the lowest counts.
 */
import type * as generate from "./generate";
import type * as loads from "./load";
import * as worth from "./worth";

/** The grain of time: short beside the shortest objectives of some seconds. */
const SLOT_MS = 1_000;
/** More bring little: on "small" with one to three workers 1,000 rounds lower the bound by 0.010 at most. */
const ROUNDS = 300;
/** First step of a price, as a share of what all jobs are worth for each slot; larger ones overshoot. */
const FIRST_STEP = 0.03;
/** Rounds after which the steps have shrunk to a half. */
const SHRINK_ROUNDS = 100;

/** A job as the easier problem has it. */
interface Demand {
    readonly fromSlot: number;
    /** Slots of which the end lies beyond the objective earn as late work. */
    readonly inTimeUntil: number;
    readonly until: number;
    /** Slots in which it is done when all its tasks work all the time. */
    readonly slots: number;
    readonly inTime: number;
    readonly late: number;
    /** Share of the site's processors, and of its accelerators, that all its tasks take. */
    readonly shares: readonly number[];
}

/** Share of the worth of all jobs that are not to be cancelled. */
export function getUpperBound(load: loads.Load, jobs: readonly generate.PlannedJob[]): number {
    const getWeight = worth.createWeights(jobs);
    const kept = jobs.filter(job => job.cancelAfterMs === undefined);
    const owed = kept.reduce((sum, job) => sum + getWeight(job) * job.class.worth.inTime, 0);
    if (owed === 0) {
        return 1;
    }
    const demands = kept.map(job => createDemand(load, job, getWeight(job)));
    const slots = Math.max(...demands.map(demand => demand.until));
    const prices = KINDS.map(() => new Float64Array(slots));
    let best = owed;
    for (let round = 0; round < ROUNDS; round++) {
        const used = KINDS.map(() => new Float64Array(slots));
        const gained = demands.reduce((sum, demand) => sum + takeBestSlots(demand, prices, used), 0);
        best = Math.min(best, gained + sumAll(prices));
        const step = FIRST_STEP * owed / slots / (1 + round / SHRINK_ROUNDS);
        KINDS.forEach((_, kind) => adjust(prices[kind]!, used[kind]!, step));
    }
    return best / owed;
}

/** Kinds of room that have a price. */
const KINDS = ["cpuMillis", "accelerators"] as const;

function createDemand(load: loads.Load, planned: generate.PlannedJob, weight: number): Demand {
    const { job, class: item, arrivesAt, objectiveMs } = planned;
    const step = job.spec.steps[0]!;
    const shortestMs = planned.poisoned ? 0 : getShortestMs(load, planned);
    const toSlot = (ms: number) => Math.ceil(ms / SLOT_MS);
    return {
        fromSlot: Math.floor(arrivesAt / SLOT_MS),
        inTimeUntil: toSlot(arrivesAt + objectiveMs),
        until: toSlot(arrivesAt + worth.LATE_MULTIPLE * objectiveMs),
        slots: shortestMs / SLOT_MS,
        inTime: weight * (shortestMs <= objectiveMs ? item.worth.inTime : item.worth.late),
        late: weight * item.worth.late,
        shares: KINDS.map(kind => step.count * step.needs[kind] / (load.workers * load.capacity[kind])),
    };
}

/** From its start to its end where everything is free, in milliseconds. */
function getShortestMs(load: loads.Load, { job }: generate.PlannedJob): number {
    return job.spec.steps.reduce((sum, step, number) => {
        const { capacity } = load;
        const perWorker = Math.min(
            Math.floor(capacity.cpuMillis / step.needs.cpuMillis),
            Math.floor(capacity.accelerators / step.needs.accelerators),
        );
        const spread = step.gang && step.sameRack && step.count > perWorker * load.workersPerRack;
        return sum + job.durationsMs[number]! * countRuns(job, number) * (spread ? FAR_FACTOR : 1);
    }, 0);
}

/** As the emulated workers slow down a gang that lies on more than one rack. */
const FAR_FACTOR = 3;

/** Runs one after another until the step is done: those that fail do so on any worker. */
function countRuns(job: generate.PlannedJob["job"], number: number): number {
    const step = job.spec.steps[number]!;
    const names = Array.from({ length: step.count }, (_, index) => `${job.jobId}.0.${number}.${index}`);
    const failsIn = (tasks: readonly string[], run: number) => tasks.some(task => job.fails?.(task, run) ?? false);
    const count = (tasks: readonly string[]) => {
        let run = 1;
        while (run < MOST_RUNS && failsIn(tasks, run)) {
            run++;
        }
        return run;
    };
    return step.gang ? count(names) : Math.max(...names.map(name => count([name])));
}

/** Beyond any queue's attempts. */
const MOST_RUNS = 10;

/** What the job gains at these prices, at most; `used` gets what it takes for that. */
function takeBestSlots(
    demand: Demand,
    prices: readonly Float64Array[],
    used: readonly Float64Array[],
): number {
    if (demand.slots === 0) {
        return demand.inTime;
    }
    const offers: Array<{ readonly slot: number; readonly gain: number; }> = [];
    for (let slot = demand.fromSlot; slot < demand.until; slot++) {
        const earned = (slot < demand.inTimeUntil ? demand.inTime : demand.late) / demand.slots;
        const gain = earned - demand.shares.reduce((sum, share, kind) => sum + share * prices[kind]![slot]!, 0);
        if (gain > 0) {
            offers.push({ slot, gain });
        }
    }
    offers.sort((a, b) => b.gain - a.gain);
    let left = demand.slots;
    let gained = 0;
    for (const { slot, gain } of offers) {
        const part = Math.min(1, left);
        if (part <= 0) {
            break;
        }
        left -= part;
        gained += part * gain;
        demand.shares.forEach((share, kind) => {
            used[kind]![slot]! += part * share;
        });
    }
    return gained;
}

/** Room that is asked for more than it is there becomes dearer, other room cheaper. */
function adjust(prices: Float64Array, used: Float64Array, step: number): void {
    for (let slot = 0; slot < prices.length; slot++) {
        prices[slot] = Math.max(0, prices[slot]! + step * (used[slot]! - 1));
    }
}

function sumAll(prices: readonly Float64Array[]): number {
    return prices.reduce((sum, ofKind) => sum + ofKind.reduce((total, price) => total + price, 0), 0);
}

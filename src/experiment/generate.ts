/** Generates the jobs of a load from a seeded random source. */
import type * as emulator from "../emulator/index";
import * as random from "../random/index";
import * as work from "../work/index";
import type * as loads from "./load";

/** A job of a simulation, and when and by whom it is submitted. */
export interface PlannedJob {
    readonly job: emulator.EmulatedJob;
    readonly class: loads.JobClass;
    /** Index of the zone of its caller. */
    readonly zone: number;
    /** Milliseconds from the start of the load. */
    readonly arrivesAt: number;
    /** Time from acceptance to cancellation; `undefined` if the caller does not cancel it. */
    readonly cancelAfterMs: number | undefined;
    /** Whether every run fails. */
    readonly poisoned: boolean;
    /** Whether one of its tasks crashes every worker that it runs on. If such a job fails, it does not count as missed. */
    readonly crashesWorkers: boolean;
    /** Maximum time from arrival to completion for the full worth. */
    readonly objectiveMs: number;
    /** Work of all its tasks; an accelerator counts as `CORES_PER_ACCELERATOR` cores. */
    readonly coreSeconds: number;
}

const MAX_CANCEL_DELAY_MS = 8_000;

/** Creates a random source. Discards its first numbers, which lie close to an end of their range for small seeds. */
export function createSeededRandom(seed: number): random.Random {
    const source = random.createRandom(seed);
    for (let discarded = 0; discarded < DISCARDED_NUMBERS; discarded++) {
        source.nextFloat();
    }
    return source;
}

const DISCARDED_NUMBERS = 32;

/** Generates jobs with Poisson arrivals for each class, in order of arrival. */
export function generateJobs(load: loads.Load, source: random.Random): PlannedJob[] {
    const jobs: PlannedJob[] = [];
    for (const jobClass of load.classes) {
        for (
            let at = getNextArrival(load, jobClass, 0, source);
            at < load.durationMs;
            at = getNextArrival(load, jobClass, at, source)
        ) {
            jobs.push(createJob(load, jobClass, jobs.length + 1, at, source));
        }
    }
    jobs.push(...generateGreedyJobs(load, jobs.length, source));
    return jobs.sort((a, b) => a.arrivesAt - b.arrivesAt);
}

/** Extra jobs of the greedy account. They are drawn after all others, which are the same without them. */
function generateGreedyJobs(load: loads.Load, jobCount: number, source: random.Random): PlannedJob[] {
    const { greedy } = load;
    if (!greedy) {
        return [];
    }
    const shares = Array.from({ length: load.accounts }, (_, index) => load.skew ** index);
    const share = shares[greedy.account]! / shares.reduce((sum, each) => sum + each, 0);
    const classes = load.classes.map(item => ({ ...item, perSecond: item.perSecond * share * (greedy.factor - 1) }));
    const own = { ...load, classes, greedy: undefined };
    return generateJobs(own, source).map((planned, index) => ({
        ...planned,
        class: load.classes.find(item => item.name === planned.class.name)!,
        job: { ...planned.job, jobId: getJobId(jobCount + index + 1), account: getAccountName(greedy.account) },
    }));
}

function getJobId(jobNumber: number): string {
    return jobNumber.toString(16).padStart(16, "0");
}

export function getAccountName(index: number): string {
    return `account-${index}`;
}

export function getRackName(workerIndex: number, load: loads.Load): string {
    return `r${Math.floor(workerIndex / load.workersPerRack)}`;
}

function getNextArrival(load: loads.Load, jobClass: loads.JobClass, after: number, source: random.Random): number {
    const burst = load.faults.find(fault =>
        fault.kind === "burst" && fault.class === jobClass.name
        && after >= fault.atMs && after < fault.atMs + fault.durationMs
    );
    const factor = burst?.kind === "burst" ? burst.factor : 1;
    return after + source.nextExponential(1_000 / (jobClass.perSecond * factor));
}

function createJob(
    load: loads.Load,
    jobClass: loads.JobClass,
    jobNumber: number,
    arrivesAt: number,
    source: random.Random,
): PlannedJob {
    const drawBoolean = (share: number) => source.nextFloat() < share;
    const gang = drawBoolean(jobClass.gangShare);
    const needs: work.Resources = { ...jobClass.needs, accelerators: source.pick(jobClass.accelerators) };
    const checkpoints = drawBoolean(jobClass.checkpointShare);
    const sameRack = gang && drawBoolean(jobClass.sameRackShare);
    const dataRack = drawBoolean(jobClass.dataRackShare) ? getRackName(source.nextInt(load.workers), load) : undefined;
    const maxPerWorker = drawBoolean(jobClass.maxPerWorkerShare) ? 2 : 0;
    const count = limitWidth(load, needs, draw(jobClass.width, source), gang);
    const durationsMs = Array.from(
        { length: Math.max(1, Math.round(draw(jobClass.steps, source))) },
        () => Math.round(draw(jobClass.durationMs, source)),
    );
    const durationFactors = durationsMs.map(() =>
        Array.from({ length: count }, () => drawDurationFactor(jobClass, source))
    );
    const steps = durationsMs.map((durationMs, index): work.StepSpec => ({
        ...work.DEFAULT_STEP,
        count,
        needs,
        estimateMs: Math.round(durationMs * drawEstimateFactor(jobClass, source)),
        after: index > 0 ? [index - 1] : [],
        checkpoints,
        gang,
        sameRack,
        dataRack,
        maxPerWorker,
    }));
    const zone = load.zoneShares ? pickIndex(load.zoneShares, source) : jobNumber % load.instances;
    const poisoned = drawBoolean(jobClass.poisonedShare);
    const failurePattern = source.nextInt(FAILURE_PATTERNS);
    const jobId = getJobId(jobNumber);
    const crashesWorkers = isChosen(jobId, 1, failurePattern, jobClass.crashingShare ?? 0);
    const sumSteps = (getFactor: (factors: readonly number[]) => number) =>
        durationsMs.reduce((sum, durationMs, step) => sum + durationMs * getFactor(durationFactors[step]!), 0);
    const criticalPathMs = sumSteps(factors => Math.max(...factors));
    const totalWorkMs = sumSteps(factors => factors.reduce((sum, factor) => sum + factor, 0));
    return {
        job: {
            jobId,
            queue: jobClass.name,
            account: getAccountName(pickAccount(load, source)),
            spec: { payload: "", steps, repeats: 0, firstDueAt: 0, periodMs: 0 },
            durationsMs,
            getDurationFactor: (step, index) => durationFactors[step]![index]!,
            getCrashAfterMs: task => crashesWorkers && task.endsWith(".0.0") ? CRASH_AFTER_MS : undefined,
            fails: (task, run) => poisoned || isChosen(task, run, failurePattern, jobClass.failedRunShare),
        },
        class: jobClass,
        zone,
        arrivesAt,
        cancelAfterMs: drawBoolean(jobClass.cancelledShare) ? source.nextFloat() * MAX_CANCEL_DELAY_MS : undefined,
        poisoned,
        crashesWorkers,
        objectiveMs: jobClass.stretch * criticalPathMs + jobClass.objectiveMs,
        coreSeconds: totalWorkMs / 1_000 * (needs.cpuMillis / 1_000 + CORES_PER_ACCELERATOR * needs.accelerators),
    };
}

const CRASH_AFTER_MS = 10;
const FAILURE_PATTERNS = 1_000_003;
/** Cores that an accelerator counts as, as the users price them. */
export const CORES_PER_ACCELERATOR = 8;

/** Whether a hash of the run falls into the share: a given run fails under every policy, whatever was decided before. */
function isChosen(task: string, run: number, pattern: number, share: number): boolean {
    let hash = pattern + run * 7_919;
    for (let index = 0; index < task.length; index++) {
        hash = (hash * 31 + task.charCodeAt(index)) % FAILURE_PATTERNS;
    }
    return hash < share * FAILURE_PATTERNS;
}

/** Number of tasks of a step, at least 1. A gang takes at most a third of the site's capacity. */
function limitWidth(load: loads.Load, needs: work.Resources, width: number, gang: boolean): number {
    const perWorker = Math.max(
        1,
        Math.min(
            Math.floor(load.capacity.cpuMillis / needs.cpuMillis),
            Math.floor(load.capacity.memoryMb / needs.memoryMb),
            Math.floor(load.capacity.accelerators / needs.accelerators),
        ),
    );
    const max = gang ? Math.max(1, Math.floor(load.workers * perWorker / 3)) : Infinity;
    return Math.max(1, Math.min(max, Math.round(width)));
}

function draw({ mean, variation, max }: loads.Distribution, source: random.Random): number {
    // A constant plus an exponential part: in the users' data, widths have a long tail and durations hardly any.
    const value = mean * (1 - variation) + (variation > 0 ? source.nextExponential(mean * variation) : 0);
    return Math.min(max, value);
}

function pickAccount(load: loads.Load, source: random.Random): number {
    return pickIndex(Array.from({ length: load.accounts }, (_, index) => load.skew ** index), source);
}

/** Picks the index of a share with a probability in proportion to it. */
function pickIndex(shares: readonly number[], source: random.Random): number {
    let remaining = source.nextFloat() * shares.reduce((sum, share) => sum + share, 0);
    for (let index = 0; index < shares.length - 1; index++) {
        remaining -= shares[index]!;
        if (remaining < 0) {
            return index;
        }
    }
    return shares.length - 1;
}

/** Log-normal factor of a task's duration. */
function drawDurationFactor(jobClass: loads.JobClass, source: random.Random): number {
    return jobClass.durationSigma > 0 ? Math.exp(jobClass.durationSigma * source.nextNormal()) : 1;
}

/** The caller's estimate divided by the actual duration. */
function drawEstimateFactor(jobClass: loads.JobClass, source: random.Random): number {
    const error = 2 * source.nextFloat() - 1;
    return jobClass.estimateErrorShare === undefined
        ? jobClass.estimateErrorFactor ** error
        : 1 + jobClass.estimateErrorShare * error;
}

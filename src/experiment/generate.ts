/** The jobs of a load, from a seed. */
import type * as emulator from "../emulator/index";
import * as random from "../random/index";
import * as work from "../work/index";
import type * as loads from "./load";

export interface PlannedJob {
    readonly job: emulator.EmulatedJob;
    readonly class: loads.JobClass;
    /** Of the callers that hand it in. */
    readonly zone: number;
    readonly arrivesAt: number;
    /** After its acceptance; `undefined`: never. */
    readonly cancelAfterMs: number | undefined;
    /** Whether it fails however often it is tried. */
    readonly poisoned: boolean;
    /** Whether one of its tasks takes each of its workers down: it earns nothing and is not missed. */
    readonly crashesWorkers: boolean;
    /** Time within which it is in time, from its arrival. */
    readonly objectiveMs: number;
    readonly coreSeconds: number;
}

const CANCEL_WITHIN_MS = 8_000;

/** The generator's first numbers are close to an end of their range for small seeds, so they are not used. */
export function createSeededRandom(seed: number): random.Random {
    const source = random.createRandom(seed);
    for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) {
        source.nextFloat();
    }
    return source;
}

const SKIPPED_NUMBERS = 32;

export function generateJobs(load: loads.Load, source: random.Random): PlannedJob[] {
    const jobs: PlannedJob[] = [];
    for (const item of load.classes) {
        for (let at = nextArrival(load, item, 0, source); at < load.forMs; at = nextArrival(load, item, at, source)) {
            jobs.push(createJob(load, item, jobs.length + 1, at, source));
        }
    }
    return jobs.sort((a, b) => a.arrivesAt - b.arrivesAt);
}

export function getAccountName(number: number): string {
    return `account-${number}`;
}

export function getRackName(worker: number, load: loads.Load): string {
    return `r${Math.floor(worker / load.workersPerRack)}`;
}

function nextArrival(load: loads.Load, item: loads.JobClass, after: number, source: random.Random): number {
    const burst = load.troubles.find(trouble =>
        trouble.kind === "burst" && trouble.class === item.name
        && after >= trouble.atMs && after < trouble.atMs + trouble.forMs
    );
    const times = burst?.kind === "burst" ? burst.times : 1;
    return after + source.nextExponential(1_000 / (item.perSecond * times));
}

function createJob(
    load: loads.Load,
    item: loads.JobClass,
    jobNumber: number,
    arrivesAt: number,
    source: random.Random,
): PlannedJob {
    const has = (share: number) => source.nextFloat() < share;
    const gang = has(item.gangShare);
    const needs: work.Resources = { ...item.needs, accelerators: source.pick(item.accelerators) };
    const checkpoints = has(item.checkpointShare);
    const sameRack = gang && has(item.sameRackShare);
    const dataRack = has(item.dataRackShare) ? getRackName(source.nextInt(load.workers), load) : undefined;
    const maxPerWorker = has(item.maxPerWorkerShare) ? 2 : 0;
    const count = limitWidth(load, needs, draw(item.width, source), gang);
    const durationsMs = Array.from(
        { length: Math.max(1, Math.round(draw(item.steps, source))) },
        () => Math.round(draw(item.durationMs, source)),
    );
    const unevenness = durationsMs.map(() => Array.from({ length: count }, () => drawUnevenness(item, source)));
    const steps = durationsMs.map((durationMs, index): work.StepSpec => ({
        ...work.DEFAULT_STEP,
        count,
        needs,
        estimateMs: Math.round(durationMs * drawEstimate(item, source)),
        after: index > 0 ? [index - 1] : [],
        checkpoints,
        gang,
        sameRack,
        dataRack,
        maxPerWorker,
    }));
    const zone = load.zoneShares ? pickShare(load.zoneShares, source) : jobNumber % load.instances;
    const poisoned = has(item.poisonedShare);
    const failures = source.nextInt(FAILURE_PATTERNS);
    const jobId = jobNumber.toString(16).padStart(16, "0");
    const crashing = isUnlucky(jobId, 1, failures, item.crashingShare ?? 0);
    const sumSteps = (getFactor: (factors: readonly number[]) => number) =>
        durationsMs.reduce((sum, durationMs, step) => sum + durationMs * getFactor(unevenness[step]!), 0);
    const chainMs = sumSteps(factors => Math.max(...factors));
    const workMs = sumSteps(factors => factors.reduce((sum, factor) => sum + factor, 0));
    return {
        job: {
            jobId,
            queue: item.name,
            account: getAccountName(pickAccount(load, source)),
            spec: { payload: "", steps, repeats: 0, firstDueAt: 0, periodMs: 0 },
            durationsMs,
            getDurationFactor: (step, index) => unevenness[step]![index]!,
            getCrashAfterMs: task => crashing && task.endsWith(".0.0") ? CRASH_AFTER_MS : undefined,
            fails: (task, run) => poisoned || isUnlucky(task, run, failures, item.failedRunShare),
        },
        class: item,
        zone,
        arrivesAt,
        cancelAfterMs: has(item.cancelledShare) ? source.nextFloat() * CANCEL_WITHIN_MS : undefined,
        poisoned,
        crashesWorkers: crashing,
        objectiveMs: item.stretch * chainMs + item.objectiveMs,
        coreSeconds: workMs / 1_000 * (needs.cpuMillis / 1_000 + CORES_PER_ACCELERATOR * needs.accelerators),
    };
}

const CRASH_AFTER_MS = 10;
const FAILURE_PATTERNS = 1_000_003;
/** As the users price them. */
export const CORES_PER_ACCELERATOR = 8;

/** A coin that depends on the run alone, so that the same run fails whatever was decided before it. */
function isUnlucky(task: string, run: number, pattern: number, share: number): boolean {
    let hash = pattern + run * 7_919;
    for (let index = 0; index < task.length; index++) {
        hash = (hash * 31 + task.charCodeAt(index)) % FAILURE_PATTERNS;
    }
    return hash < share * FAILURE_PATTERNS;
}

/** A gang must fit into a third of the site. */
function limitWidth(load: loads.Load, needs: work.Resources, width: number, gang: boolean): number {
    const perWorker = Math.max(
        1,
        Math.min(
            Math.floor(load.capacity.cpuMillis / needs.cpuMillis),
            Math.floor(load.capacity.memoryMb / needs.memoryMb),
            Math.floor(load.capacity.accelerators / needs.accelerators),
        ),
    );
    const most = gang ? Math.max(1, Math.floor(load.workers * perWorker / 3)) : Infinity;
    return Math.max(1, Math.min(most, Math.round(width)));
}

function draw({ mean, variation: spread, max: most }: loads.Distribution, source: random.Random): number {
    // Between even and exponential: the sheets' widths have a long tail, their durations next to none.
    const value = mean * (1 - spread) + (spread > 0 ? source.nextExponential(mean * spread) : 0);
    return Math.min(most, value);
}

function pickAccount(load: loads.Load, source: random.Random): number {
    return pickShare(Array.from({ length: load.accounts }, (_, number) => load.skew ** number), source);
}

/** The number of one of the shares, each as likely as it is large. */
function pickShare(shares: readonly number[], source: random.Random): number {
    let left = source.nextFloat() * shares.reduce((sum, share) => sum + share, 0);
    for (let number = 0; number < shares.length - 1; number++) {
        left -= shares[number]!;
        if (left < 0) {
            return number;
        }
    }
    return shares.length - 1;
}

function drawUnevenness(item: loads.JobClass, source: random.Random): number {
    return item.durationSigma > 0 ? Math.exp(item.durationSigma * source.nextNormal()) : 1;
}

/** What a caller estimates for its task, as a share of what the task takes. */
function drawEstimate(item: loads.JobClass, source: random.Random): number {
    const offset = 2 * source.nextFloat() - 1;
    return item.estimateErrorShare === undefined
        ? item.estimateErrorFactor ** offset
        : 1 + item.estimateErrorShare * offset;
}

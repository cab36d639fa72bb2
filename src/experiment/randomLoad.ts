/**
 * Random deployments: site, accounts, job classes, load and faults are generated from a seed.
 *
 * A policy that is tuned on a few deployments overfits to them. The ranges here contain the users' deployments, are not
 * centred on them, and reach well beyond them.
 */
import * as random from "../random/index";
import type * as work from "../work/index";
import * as generate from "./generate";
import type * as loads from "./load";

/** Size class of the random sites. */
export const Size = { Small: "small", Grown: "grown", Large: "large" } as const;
export type Size = typeof Size[keyof typeof Size];

/** Minimum and maximum of each number. */
const SIZE_RANGES = {
    small: { workers: [12, 64], instances: [3, 9], workersPerRack: [4, 12] },
    grown: { workers: [150, 400], instances: [20, 60], workersPerRack: [10, 40] },
    large: { workers: [300, 600], instances: [60, 120], workersPerRack: [6, 12] },
} as const satisfies Readonly<Record<Size, Readonly<Record<string, readonly [number, number]>>>>;

const DURATION_MS = 34_000;
const MAX_CLASSES = 4;
const MAX_FAULTS = 4;

/** The same seed and size always give the same load. */
export function createRandomLoad(seed: number, size: Size = Size.Small): loads.Load {
    const source = generate.createSeededRandom(seed);
    const between = (min: number, max: number) => min + (max - min) * source.nextFloat();
    /** Log-uniform: as likely between 1 and 2 as between 2 and 4. */
    const betweenLogUniform = (min: number, max: number) => min * (max / min) ** source.nextFloat();
    const drawInteger = ([min, max]: readonly [number, number]) => Math.round(betweenLogUniform(min, max));
    const workers = drawInteger(SIZE_RANGES[size].workers);
    const zones = 2 + source.nextInt(4);
    const capacity: work.Resources = {
        cpuMillis: 1_000 * source.pick([16, 32, 64, 128]),
        memoryMb: 1_024 * source.pick([64, 128, 256]),
        accelerators: source.pick([4, 8, 8, 16]),
    };
    const site = { workers, capacity, durationMs: DURATION_MS };
    const classes = drawClasses(site, source);
    const load = {
        about: `random load of seed ${seed}`,
        ...site,
        workersPerRack: Math.min(workers, drawInteger(SIZE_RANGES[size].workersPerRack)),
        zones,
        instances: Math.max(zones, drawInteger(SIZE_RANGES[size].instances)),
        zoneShares: Array.from({ length: zones }, () => between(0.5, 1.5)),
        accounts: 2 + source.nextInt(9),
        skew: between(0.3, 1),
        guaranteedShare: source.pick([0, 0.3, 0.6, 0.6, 0.9]),
        classes,
        faults: Array.from(
            { length: source.nextInt(MAX_FAULTS + 1) },
            () => drawFault(classes, source),
        ),
    };
    return {
        ...load,
        faults: [...load.faults, ...drawZoneCut(zones, source)],
        speeds: source.pick(SPEED_SETS),
        fastInstanceShare: size === Size.Large ? FAST_INSTANCE_SHARE : undefined,
    };
}

/**
 * Adds workers that crash and restart, capacities that shrink, and jobs that crash their workers. They have random
 * sources of their own, so that the rest of the load stays the same.
 */
export function addHazards(load: loads.Load, seed: number): loads.Load {
    const source = generate.createSeededRandom(seed + HAZARD_SEED_OFFSET);
    const idSource = generate.createSeededRandom(seed + RESTART_ID_SEED_OFFSET);
    const crashingShare = source.pick([0, 0.02, 0.05]);
    const hazards = Array.from({ length: 1 + source.nextInt(MAX_HAZARDS) }, (): loads.Fault => {
        const atMs = 2_000 + source.nextInt(DURATION_MS - 8_000);
        const share = 0.05 + 0.3 * source.nextFloat();
        const wholeRacks = source.nextInt(2) === 0;
        return source.nextInt(2) === 0
            ? { kind: "restart", atMs, share, wholeRacks, keepsId: idSource.nextInt(2) === 0 }
            : {
                kind: "shrink",
                atMs,
                durationMs: 3_000 + source.nextInt(6_000),
                share,
                remainingShare: source.pick([0, 0.25, 0.5]),
            };
    });
    return {
        ...load,
        classes: load.classes.map(jobClass => ({ ...jobClass, crashingShare })),
        faults: [...load.faults, ...hazards],
    };
}

/** Far from the seeds of loads and from the other offsets. */
const HAZARD_SEED_OFFSET = 11_000_000;
/** For the choice whether restarted workers keep their ids. */
const RESTART_ID_SEED_OFFSET = 19_000_000;
const MAX_HAZARDS = 4;

/**
 * Adds contention: more work than before, accounts of very different size, workers that differ by up to 2.2 times, groups
 * of workers that leave at short notice and are replaced, and bursts of several classes at once.
 */
export function addContention(load: loads.Load, seed: number): loads.Load {
    const source = generate.createSeededRandom(seed + CONTENTION_SEED_OFFSET);
    const demand = 1 + 0.5 * source.nextFloat();
    const createDeparture = (): loads.Fault => ({
        kind: "leave",
        atMs: 4_000 + source.nextInt(DURATION_MS - 12_000),
        share: 0.12 + 0.05 * source.nextFloat(),
        remainingMs: 1_800 + source.nextInt(400),
        replacedAfterMs: 4_000,
    });
    const burstAtMs = 4_000 + source.nextInt(DURATION_MS - 14_000);
    const createBurst = (jobClass: loads.JobClass): loads.Fault => ({
        kind: "burst",
        atMs: burstAtMs,
        durationMs: 4_000 + source.nextInt(2_000),
        class: jobClass.name,
        factor: 2 + source.nextFloat(),
    });
    return {
        ...load,
        classes: load.classes.map(jobClass => ({ ...jobClass, perSecond: demand * jobClass.perSecond })),
        skew: 0.3 + 0.3 * source.nextFloat(),
        speeds: source.pick(CONTENTION_SPEED_SETS),
        faults: [
            ...load.faults,
            ...Array.from({ length: source.nextInt(MAX_DEPARTURES + 1) }, createDeparture),
            ...load.classes.filter(() => source.nextInt(2) === 0).map(createBurst),
        ],
    };
}

/** Far from the seeds of loads and from the other offsets. */
const CONTENTION_SEED_OFFSET = 29_000_000;
const MAX_DEPARTURES = 3;
const CONTENTION_SPEED_SETS: ReadonlyArray<readonly number[]> = [[1], [0.8, 1, 1.25], [0.55, 1.2, 1.2, 1.2]];

/** Relative speeds of a site's workers: all the same, or several kinds. */
const SPEED_SETS: ReadonlyArray<readonly number[]> = [[1], [0.8, 1, 1.25], [0.8, 1, 1.25], [0.6, 1, 1.4]];
/** Share of the loads in which a zone becomes unreachable. */
const ZONE_CUT_SHARE = 0.3;
/** Share of fast instances on a large site; the others have a quarter of their processor time. */
const FAST_INSTANCE_SHARE = 0.15;

function drawZoneCut(zones: number, source: random.Random): loads.Fault[] {
    const isCut = source.nextFloat() < ZONE_CUT_SHARE;
    const atMs = 2_000 + source.nextInt(DURATION_MS - 8_000);
    const durationMs = 3_000 + source.nextInt(6_000);
    const zone = source.nextInt(zones);
    return isCut ? [{ kind: "zoneCut", atMs, durationMs, zone }] : [];
}

type Site = Pick<loads.Load, "workers" | "capacity">;

/** The classes together demand between 0.4 and 1.15 times the site's capacity. */
function drawClasses(site: Site, source: random.Random): loads.JobClass[] {
    const priorities = [0, 1, 2, source.nextInt(3)].slice(0, 2 + source.nextInt(MAX_CLASSES - 1));
    const demand = 0.4 + 0.75 * source.nextFloat();
    const shares = priorities.map(priority => (0.3 + source.nextFloat()) * DEMAND_BY_PRIORITY[priority]!);
    const sum = shares.reduce((total, share) => total + share, 0);
    return priorities.map((priority, number) => {
        const jobClass = drawClass(`class-${number}`, priority, site.capacity, source);
        return { ...jobClass, perSecond: demand * shares[number]! / sum / getShareOfSite(jobClass, site) };
    });
}

/** By priority: urgent work is a smaller part of the demand than the work that it may preempt. */
const DEMAND_BY_PRIORITY: readonly number[] = [0.5, 1, 1];

function drawClass(name: string, priority: number, capacity: work.Resources, source: random.Random): loads.JobClass {
    const between = (min: number, max: number) => min + (max - min) * source.nextFloat();
    const urgent = priority === 0;
    const durationMs = urgent ? between(1_000, 5_000) : between(4_000, 14_000);
    const width = urgent ? between(1, 8) : between(2, 24);
    const gangShare = source.pick(urgent ? [0, 0.5, 1, 1] : [0, 0, 0.5, 1, 1]);
    const steps = urgent ? 1 : between(1, 2);
    return {
        name,
        priority,
        perSecond: 0,
        durationMs: { mean: durationMs, variation: between(0.2, 0.6), max: 3 * durationMs },
        durationSigma: between(0.1, 0.45),
        width: { mean: width, variation: 0.8, max: 6 * width },
        steps: { mean: steps, variation: urgent ? 0 : 0.4, max: 3 },
        needs: {
            cpuMillis: Math.round(capacity.cpuMillis * between(0.05, 0.45)),
            memoryMb: Math.round(capacity.memoryMb * between(0.05, 0.35)),
        },
        accelerators: source.pick(gangShare > 0 ? [[1, 2, 4, 8, 8], [1, 2, 4], [2, 4]] : [[1], [1], [1, 2, 4]])
            .filter(count => count <= capacity.accelerators),
        gangShare,
        sameRackShare: gangShare > 0 ? between(0, 0.9) : 0,
        checkpointShare: source.pick([0, 0.45, 0.8]),
        dataRackShare: between(0, 0.35),
        maxPerWorkerShare: gangShare > 0 ? 0 : between(0, 0.2),
        cancelledShare: urgent ? 0 : between(0, 0.2),
        poisonedShare: source.pick([0, 0, 0.01]),
        failedRunShare: between(0, 0.06),
        estimateErrorFactor: 1,
        estimateErrorShare: between(0, 0.9),
        stretch: urgent ? between(1.3, 2.5) : between(2, 4),
        objectiveMs: urgent ? between(200, 1_000) : between(500, 3_000),
        maxAttempts: 2 + source.nextInt(3),
        worth: { inTime: 4 - priority, late: (4 - priority) * between(0.15, 0.5) },
    };
}

/** Seconds of the whole site's capacity that one job of the class takes on average. */
function getShareOfSite(jobClass: loads.JobClass, { workers, capacity }: Site): number {
    const accelerators = jobClass.accelerators.reduce((sum, count) => sum + count, 0) / jobClass.accelerators.length;
    const shareOfWorker = Math.max(
        accelerators / capacity.accelerators,
        jobClass.needs.cpuMillis / capacity.cpuMillis,
        jobClass.needs.memoryMb / capacity.memoryMb,
    );
    return jobClass.width.mean * jobClass.steps.mean * jobClass.durationMs.mean / 1_000 * shareOfWorker / workers;
}

function drawFault(classes: readonly loads.JobClass[], source: random.Random): loads.Fault {
    const atMs = 2_000 + source.nextInt(DURATION_MS - 8_000);
    const durationMs = 3_000 + source.nextInt(6_000);
    const share = 0.05 + 0.2 * source.nextFloat();
    const kind = source.pick(
        ["slow", "hang", "cut", "fail", "crash", "leave", "burst", "storeUnreachable", "leaderLost"] as const,
    );
    switch (kind) {
        case "slow":
            return { kind, atMs, durationMs, share, factor: 3 + 5 * source.nextFloat() };
        case "hang":
        case "cut":
        case "fail":
            return { kind, atMs, durationMs, share };
        case "crash":
            return { kind, atMs, share: share / 2 };
        case "leave":
            return { kind, atMs, share: share / 2, remainingMs: 2_000 + source.nextInt(4_000) };
        case "storeUnreachable":
        case "leaderLost":
            return { kind, atMs, durationMs: durationMs / 2 };
        case "burst":
            return { kind, atMs, durationMs, class: source.pick(classes).name, factor: 1.5 + 1.5 * source.nextFloat() };
    }
}

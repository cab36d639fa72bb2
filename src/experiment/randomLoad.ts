/**
 * Deployments drawn from a seed: site, accounts, kinds of job, load and troubles, all at random.
 *
 * A policy that is tried on a few deployments is fitted to them. These ranges hold the users' deployments as points
 * inside, none in the middle by choice, and reach well beyond them.
 */
import * as random from "../random/index";
import type * as work from "../work/index";
import * as generate from "./generate";
import type * as loads from "./load";

/** How large the drawn sites are. */
export const Size = { Small: "small", Grown: "grown", Large: "large" } as const;
export type Size = typeof Size[keyof typeof Size];

/** Workers and instances, from and to. */
const SIZES = {
    small: { workers: [12, 64], instances: [3, 9], workersPerRack: [4, 12] },
    grown: { workers: [150, 400], instances: [20, 60], workersPerRack: [10, 40] },
    large: { workers: [300, 600], instances: [60, 120], workersPerRack: [6, 12] },
} as const satisfies Readonly<Record<Size, Readonly<Record<string, readonly [number, number]>>>>;

const FOR_MS = 34_000;
const MOST_CLASSES = 4;
const MOST_TROUBLES = 4;

export function createRandomLoad(seed: number, size: Size = Size.Small): loads.Load {
    const source = generate.createSeededRandom(seed);
    const between = (least: number, most: number) => least + (most - least) * source.nextFloat();
    /** As likely between 1 and 2 as between 2 and 4. */
    const betweenByRatio = (least: number, most: number) => least * (most / least) ** source.nextFloat();
    const whole = ([least, most]: readonly [number, number]) => Math.round(betweenByRatio(least, most));
    const workers = whole(SIZES[size].workers);
    const zones = 2 + source.nextInt(4);
    const capacity: work.Resources = {
        cpuMillis: 1_000 * source.pick([16, 32, 64, 128]),
        memoryMb: 1_024 * source.pick([64, 128, 256]),
        accelerators: source.pick([4, 8, 8, 16]),
    };
    const site = { workers, capacity, forMs: FOR_MS };
    const classes = drawClasses(site, source);
    const load = {
        about: `drawn from seed ${seed}`,
        ...site,
        workersPerRack: Math.min(workers, whole(SIZES[size].workersPerRack)),
        zones,
        instances: Math.max(zones, whole(SIZES[size].instances)),
        zoneShares: Array.from({ length: zones }, () => between(0.5, 1.5)),
        accounts: 2 + source.nextInt(9),
        skew: between(0.3, 1),
        guaranteed: source.pick([0, 0.3, 0.6, 0.6, 0.9]),
        classes,
        troubles: Array.from(
            { length: source.nextInt(MOST_TROUBLES + 1) },
            () => drawTrouble(classes, source),
        ),
    };
    return {
        ...load,
        troubles: [...load.troubles, ...drawZoneCut(zones, source)],
        speeds: source.pick(SPEEDS),
        strongShare: size === Size.Large ? STRONG_SHARE : undefined,
    };
}

/**
 * The load with workers that crash and come back, capacities that shrink, and jobs that take their workers down; drawn
 * apart, so that all else stays as it was.
 */
export function addHazards(load: loads.Load, seed: number): loads.Load {
    const source = generate.createSeededRandom(seed + FIRST_HAZARD_SEED);
    const ids = generate.createSeededRandom(seed + FIRST_ID_SEED);
    const crashing = source.pick([0, 0.02, 0.05]);
    const hazards = Array.from({ length: 1 + source.nextInt(MOST_HAZARDS) }, (): loads.Fault => {
        const atMs = 2_000 + source.nextInt(FOR_MS - 8_000);
        const share = 0.05 + 0.3 * source.nextFloat();
        const racks = source.nextInt(2) === 0;
        return source.nextInt(2) === 0
            ? { kind: "restart", atMs, share, racks, underId: ids.nextInt(2) === 0 }
            : { kind: "shrink", atMs, forMs: 3_000 + source.nextInt(6_000), share, left: source.pick([0, 0.25, 0.5]) };
    });
    return {
        ...load,
        classes: load.classes.map(item => ({ ...item, crashing })),
        troubles: [...load.troubles, ...hazards],
    };
}

/** Far from the seeds of loads, and of what else is drawn apart. */
const FIRST_HAZARD_SEED = 11_000_000;
/** Of what restarted workers are called. */
const FIRST_ID_SEED = 19_000_000;
const MOST_HAZARDS = 4;

/** Workers of one speed, or of several kinds. */
const SPEEDS: ReadonlyArray<readonly number[]> = [[1], [0.8, 1, 1.25], [0.8, 1, 1.25], [0.6, 1, 1.4]];
const ZONE_CUT_SHARE = 0.3;
/** Of the instances of a large site; the others have a fourth of their processor time. */
const STRONG_SHARE = 0.15;

function drawZoneCut(zones: number, source: random.Random): loads.Fault[] {
    const isCut = source.nextFloat() < ZONE_CUT_SHARE;
    const atMs = 2_000 + source.nextInt(FOR_MS - 8_000);
    const forMs = 3_000 + source.nextInt(6_000);
    const zone = source.nextInt(zones);
    return isCut ? [{ kind: "zoneCut", atMs, forMs, zone }] : [];
}

type Site = Pick<loads.Load, "workers" | "capacity">;

/** The site's room is asked for by between four tenths and a little more than all of it. */
function drawClasses(site: Site, source: random.Random): loads.JobClass[] {
    const priorities = [0, 1, 2, source.nextInt(3)].slice(0, 2 + source.nextInt(MOST_CLASSES - 1));
    const demand = 0.4 + 0.75 * source.nextFloat();
    const shares = priorities.map(priority => (0.3 + source.nextFloat()) * DEMAND_BY_PRIORITY[priority]!);
    const sum = shares.reduce((total, share) => total + share, 0);
    return priorities.map((priority, number) => {
        const item = drawClass(`class-${number}`, priority, site.capacity, source);
        return { ...item, perSecond: demand * shares[number]! / sum / getShareOfSite(item, site) };
    });
}

/** Urgent work is a smaller part of the whole than what it may stop. */
const DEMAND_BY_PRIORITY: readonly number[] = [0.5, 1, 1];

function drawClass(name: string, priority: number, capacity: work.Resources, source: random.Random): loads.JobClass {
    const between = (least: number, most: number) => least + (most - least) * source.nextFloat();
    const urgent = priority === 0;
    const duration = urgent ? between(1_000, 5_000) : between(4_000, 14_000);
    const width = urgent ? between(1, 8) : between(2, 24);
    const gangs = source.pick(urgent ? [0, 0.5, 1, 1] : [0, 0, 0.5, 1, 1]);
    const steps = urgent ? 1 : between(1, 2);
    return {
        name,
        priority,
        perSecond: 0,
        durationMs: { mean: duration, variation: between(0.2, 0.6), max: 3 * duration },
        durationSigma: between(0.1, 0.45),
        width: { mean: width, variation: 0.8, max: 6 * width },
        steps: { mean: steps, variation: urgent ? 0 : 0.4, max: 3 },
        needs: {
            cpuMillis: Math.round(capacity.cpuMillis * between(0.05, 0.45)),
            memoryMb: Math.round(capacity.memoryMb * between(0.05, 0.35)),
        },
        accelerators: source.pick(gangs > 0 ? [[1, 2, 4, 8, 8], [1, 2, 4], [2, 4]] : [[1], [1], [1, 2, 4]])
            .filter(count => count <= capacity.accelerators),
        gangShare: gangs,
        sameRackShare: gangs > 0 ? between(0, 0.9) : 0,
        checkpointShare: source.pick([0, 0.45, 0.8]),
        dataRackShare: between(0, 0.35),
        maxPerWorkerShare: gangs > 0 ? 0 : between(0, 0.2),
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

/** Of the site's room, the part that one job takes, counted as if it ran for a second. */
function getShareOfSite(item: loads.JobClass, { workers, capacity }: Site): number {
    const accelerators = item.accelerators.reduce((sum, count) => sum + count, 0) / item.accelerators.length;
    const ofWorker = Math.max(
        accelerators / capacity.accelerators,
        item.needs.cpuMillis / capacity.cpuMillis,
        item.needs.memoryMb / capacity.memoryMb,
    );
    return item.width.mean * item.steps.mean * item.durationMs.mean / 1_000 * ofWorker / workers;
}

function drawTrouble(classes: readonly loads.JobClass[], source: random.Random): loads.Fault {
    const atMs = 2_000 + source.nextInt(FOR_MS - 8_000);
    const forMs = 3_000 + source.nextInt(6_000);
    const share = 0.05 + 0.2 * source.nextFloat();
    const kind = source.pick(
        ["slow", "hang", "cut", "fail", "crash", "leave", "burst", "storeAway", "leaderLost"] as const,
    );
    switch (kind) {
        case "slow":
            return { kind, atMs, forMs, share, times: 3 + 5 * source.nextFloat() };
        case "hang":
        case "cut":
        case "fail":
            return { kind, atMs, forMs, share };
        case "crash":
            return { kind, atMs, share: share / 2 };
        case "leave":
            return { kind, atMs, share: share / 2, leftMs: 2_000 + source.nextInt(4_000) };
        case "storeAway":
        case "leaderLost":
            return { kind, atMs, forMs: forMs / 2 };
        case "burst":
            return { kind, atMs, forMs, class: source.pick(classes).name, times: 1.5 + 1.5 * source.nextFloat() };
    }
}

/** Loads by name: four like the users' sites, the others of kinds that no site has. */
import type * as loads from "./load";

const ALWAYS = (mean: number): loads.Spread => ({ mean, spread: 0, most: mean });

/** Daily plans: large gangs, often on one rack. Figures from the users' sheets, as are those of the next two. */
const PLAN: loads.JobClass = {
    name: "plan",
    priority: 1,
    perSecond: 0.44,
    durationMs: { mean: 8_500, spread: 0.3, most: 11_000 },
    uneven: 0,
    width: { mean: 5, spread: 0.8, most: 30 },
    steps: ALWAYS(1),
    needs: { cpuMillis: 13_000, memoryMb: 19_000 },
    accelerators: [1, 2, 4, 8, 8],
    gangs: 1,
    sameRack: 0.6,
    saves: 0.45,
    nearData: 0.3,
    bounded: 0,
    cancelled: 0.05,
    poison: 0.01,
    fails: 0.02,
    estimateOff: 1.2,
    stretch: 3,
    objectiveMs: 1_000,
    maxAttempts: 2,
    worth: { inTime: 3, late: 0.9 },
};
/** Somebody waits on the phone: short gangs that must begin at once. */
const URGENT: loads.JobClass = {
    ...PLAN,
    name: "urgent",
    priority: 0,
    perSecond: 1.34,
    durationMs: { mean: 2_500, spread: 0.5, most: 8_000 },
    width: { mean: 3, spread: 0.8, most: 21 },
    needs: { cpuMillis: 3_700, memoryMb: 9_800 },
    sameRack: 0.8,
    saves: 0,
    nearData: 0,
    cancelled: 0,
    poison: 0,
    stretch: 1.5,
    objectiveMs: 250,
    worth: { inTime: 4, late: 0.8 },
};
/** Overnight work: wide steps of small tasks. */
const BATCH: loads.JobClass = {
    ...PLAN,
    name: "batch",
    priority: 2,
    perSecond: 0.33,
    durationMs: { mean: 9_500, spread: 0.3, most: 11_000 },
    width: { mean: 16, spread: 0.8, most: 94 },
    steps: { mean: 1.3, spread: 0.4, most: 3 },
    needs: { cpuMillis: 2_800, memoryMb: 4_100 },
    accelerators: [1],
    gangs: 0,
    sameRack: 0,
    nearData: 0.12,
    bounded: 0.12,
    cancelled: 0.15,
    poison: 0,
    fails: 0.005,
    estimateOff: 1.9,
    objectiveMs: 3_000,
    maxAttempts: 4,
    worth: { inTime: 1, late: 0.3 },
};

const SMALL_SITE: loads.Load = {
    about: "a site of 33 workers on a busy day",
    workers: 33,
    workersPerRack: 8,
    zones: 3,
    instances: 3,
    capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 },
    accounts: 4,
    skew: 0.7,
    guaranteed: 0.6,
    classes: [PLAN, URGENT, BATCH],
    forMs: 40_000,
    troubles: [],
};
/** The other site: four times the processors and memory, needs to match. */
const LARGE_WORKERS: loads.Load = {
    ...SMALL_SITE,
    about: "33 large workers on a busy day, estimates further off",
    capacity: { cpuMillis: 128_000, memoryMb: 262_144, accelerators: 8 },
    classes: [
        { ...PLAN, needs: { cpuMillis: 52_000, memoryMb: 75_000 }, width: { mean: 4, spread: 0.8, most: 24 } },
        { ...URGENT, needs: { cpuMillis: 15_000, memoryMb: 22_000 }, estimateOff: 1.5 },
        {
            ...BATCH,
            needs: { cpuMillis: 11_000, memoryMb: 23_000 },
            width: { mean: 12, spread: 0.8, most: 72 },
            estimateOff: 1.5,
            perSecond: 0.59,
        },
    ],
};
const MIDDLE = { atMs: 10_000, forMs: 10_000 };

function withClasses(about: string, change: (item: loads.JobClass) => loads.JobClass): loads.Load {
    return { ...SMALL_SITE, about, classes: SMALL_SITE.classes.map(change) };
}

function withTroubles(about: string, ...troubles: loads.Trouble[]): loads.Load {
    return { ...SMALL_SITE, about, troubles };
}

export const LOADS: Readonly<Record<string, loads.Load>> = {
    small: SMALL_SITE,
    large: LARGE_WORKERS,
    smallGrown: {
        ...SMALL_SITE,
        about: "245 workers, wider jobs",
        workers: 245,
        workersPerRack: 20,
        accounts: 10,
        classes: [
            { ...PLAN, perSecond: 1.45, width: { mean: 13, spread: 0.8, most: 78 } },
            { ...URGENT, perSecond: 6.16, width: { mean: 5, spread: 0.8, most: 32 } },
            { ...BATCH, perSecond: 1.14, width: { mean: 39, spread: 0.8, most: 230 } },
        ],
    },
    largeGrown: {
        ...LARGE_WORKERS,
        about: "246 large workers, wider jobs",
        workers: 246,
        workersPerRack: 20,
        zones: 4,
        accounts: 10,
        classes: [
            { ...LARGE_WORKERS.classes[0]!, perSecond: 2.6, width: { mean: 10, spread: 0.8, most: 60 } },
            { ...LARGE_WORKERS.classes[1]!, perSecond: 6.2, width: { mean: 5, spread: 0.8, most: 28 } },
            { ...LARGE_WORKERS.classes[2]!, perSecond: 2.04, width: { mean: 30, spread: 0.8, most: 180 } },
        ],
    },
    oneHugeAccount: { ...SMALL_SITE, about: "one account sends nearly all", skew: 0.05 },
    onlyGangs: withClasses("only gangs, all on one rack", item => ({ ...item, gangs: 1, sameRack: 1 })),
    onlySmall: withClasses("only single tasks", item => ({
        ...item,
        gangs: 0,
        width: ALWAYS(1),
        accelerators: [1],
        perSecond: item.perSecond * 6,
    })),
    gangsAmongSmall: {
        ...SMALL_SITE,
        about: "a few large gangs of priority 1 among a flood of single tasks of priority 1",
        guaranteed: 0,
        classes: [
            { ...PLAN, perSecond: 0.1, width: ALWAYS(16), accelerators: [8], sameRack: 0 },
            {
                ...BATCH,
                name: "flood",
                priority: 1,
                perSecond: 22,
                width: ALWAYS(1),
                steps: ALWAYS(1),
                bounded: 0,
                accelerators: [1, 1, 2],
                estimateOff: 1.3,
            },
        ],
    },
    chains: withClasses("chains of wide steps", item => ({ ...item, steps: { mean: 3, spread: 0.4, most: 5 } })),
    nearlyAllGuaranteed: { ...SMALL_SITE, about: "a guarantee for nearly all accelerators", guaranteed: 0.95 },
    estimatesOff: withClasses("estimates off ten times either way", item => ({ ...item, estimateOff: 10 })),
    halfLost: withTroubles("half of the workers are lost", { kind: "crash", atMs: 15_000, share: 0.5 }),
    slow: withTroubles("a fifth of the workers turns six times slower", {
        kind: "slow",
        ...MIDDLE,
        share: 0.2,
        times: 6,
    }),
    hanging: withTroubles("tasks on a seventh of the workers stand still", { kind: "hang", ...MIDDLE, share: 0.15 }),
    failing: withTroubles("a tenth of the workers fails all it starts", { kind: "fail", ...MIDDLE, share: 0.1 }),
    cut: withTroubles("a third of the workers is cut off and runs on", {
        kind: "cut",
        atMs: 15_000,
        forMs: 5_500,
        share: 0.33,
    }),
    leaving: withTroubles("a fifth of the workers leaves", { kind: "leave", atMs: 15_000, share: 0.2, leftMs: 4_000 }),
    burst: withTroubles("urgent work comes four times as often", {
        kind: "burst",
        ...MIDDLE,
        class: "urgent",
        times: 4,
    }),
};

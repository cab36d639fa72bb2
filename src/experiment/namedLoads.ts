/** Loads by name: four model the users' sites, the others stress the scheduler in ways that no site does. */
import type * as loads from "./load";

const createConstant = (mean: number): loads.Distribution => ({ mean, variation: 0, max: mean });

/** Daily plans: large gangs, often on one rack. The figures of this and the next two classes come from the users' data. */
const PLAN: loads.JobClass = {
    name: "plan",
    priority: 1,
    perSecond: 0.44,
    durationMs: { mean: 8_500, variation: 0.3, max: 11_000 },
    durationSigma: 0,
    width: { mean: 5, variation: 0.8, max: 30 },
    steps: createConstant(1),
    needs: { cpuMillis: 13_000, memoryMb: 19_000 },
    accelerators: [1, 2, 4, 8, 8],
    gangShare: 1,
    sameRackShare: 0.6,
    checkpointShare: 0.45,
    dataRackShare: 0.3,
    maxPerWorkerShare: 0,
    cancelledShare: 0.05,
    poisonedShare: 0.01,
    failedRunShare: 0.02,
    estimateErrorFactor: 1.2,
    stretch: 3,
    objectiveMs: 1_000,
    maxAttempts: 2,
    worth: { inTime: 3, late: 0.9 },
};
/** Work for which a person waits: short gangs that must start at once. */
const URGENT: loads.JobClass = {
    ...PLAN,
    name: "urgent",
    priority: 0,
    perSecond: 1.34,
    durationMs: { mean: 2_500, variation: 0.5, max: 8_000 },
    width: { mean: 3, variation: 0.8, max: 21 },
    needs: { cpuMillis: 3_700, memoryMb: 9_800 },
    sameRackShare: 0.8,
    checkpointShare: 0,
    dataRackShare: 0,
    cancelledShare: 0,
    poisonedShare: 0,
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
    durationMs: { mean: 9_500, variation: 0.3, max: 11_000 },
    width: { mean: 16, variation: 0.8, max: 94 },
    steps: { mean: 1.3, variation: 0.4, max: 3 },
    needs: { cpuMillis: 2_800, memoryMb: 4_100 },
    accelerators: [1],
    gangShare: 0,
    sameRackShare: 0,
    dataRackShare: 0.12,
    maxPerWorkerShare: 0.12,
    cancelledShare: 0.15,
    poisonedShare: 0,
    failedRunShare: 0.005,
    estimateErrorFactor: 1.9,
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
    guaranteedShare: 0.6,
    classes: [PLAN, URGENT, BATCH],
    durationMs: 40_000,
    faults: [],
};
/** The second site of the users: four times the processors and memory per worker, and larger tasks to match. */
const LARGE_WORKERS_SITE: loads.Load = {
    ...SMALL_SITE,
    about: "33 large workers on a busy day, estimates further off",
    capacity: { cpuMillis: 128_000, memoryMb: 262_144, accelerators: 8 },
    classes: [
        { ...PLAN, needs: { cpuMillis: 52_000, memoryMb: 75_000 }, width: { mean: 4, variation: 0.8, max: 24 } },
        { ...URGENT, needs: { cpuMillis: 15_000, memoryMb: 22_000 }, estimateErrorFactor: 1.5 },
        {
            ...BATCH,
            needs: { cpuMillis: 11_000, memoryMb: 23_000 },
            width: { mean: 12, variation: 0.8, max: 72 },
            estimateErrorFactor: 1.5,
            perSecond: 0.59,
        },
    ],
};
const MID_LOAD = { atMs: 10_000, durationMs: 10_000 };

function withClasses(about: string, change: (jobClass: loads.JobClass) => loads.JobClass): loads.Load {
    return { ...SMALL_SITE, about, classes: SMALL_SITE.classes.map(change) };
}

function withFaults(about: string, ...faults: loads.Fault[]): loads.Load {
    return { ...SMALL_SITE, about, faults };
}

/** The class with single tasks that all can succeed, so that completion times depend on the scheduler alone. */
function createSingles(jobClass: loads.JobClass, perSecond: number, width: loads.Distribution): loads.JobClass {
    return {
        ...jobClass,
        perSecond,
        width,
        accelerators: [1],
        gangShare: 0,
        sameRackShare: 0,
        dataRackShare: 0,
        cancelledShare: 0,
        poisonedShare: 0,
        failedRunShare: 0,
    };
}

/** The loads that `experiment` accepts by name. */
export const LOADS: Readonly<Record<string, loads.Load>> = {
    small: SMALL_SITE,
    large: LARGE_WORKERS_SITE,
    smallGrown: {
        ...SMALL_SITE,
        about: "245 workers, wider jobs",
        workers: 245,
        workersPerRack: 20,
        accounts: 10,
        classes: [
            { ...PLAN, perSecond: 1.45, width: { mean: 13, variation: 0.8, max: 78 } },
            { ...URGENT, perSecond: 6.16, width: { mean: 5, variation: 0.8, max: 32 } },
            { ...BATCH, perSecond: 1.14, width: { mean: 39, variation: 0.8, max: 230 } },
        ],
    },
    largeGrown: {
        ...LARGE_WORKERS_SITE,
        about: "246 large workers, wider jobs",
        workers: 246,
        workersPerRack: 20,
        zones: 4,
        accounts: 10,
        classes: [
            { ...LARGE_WORKERS_SITE.classes[0]!, perSecond: 2.6, width: { mean: 10, variation: 0.8, max: 60 } },
            { ...LARGE_WORKERS_SITE.classes[1]!, perSecond: 6.2, width: { mean: 5, variation: 0.8, max: 28 } },
            { ...LARGE_WORKERS_SITE.classes[2]!, perSecond: 2.04, width: { mean: 30, variation: 0.8, max: 180 } },
        ],
    },
    oneHugeAccount: { ...SMALL_SITE, about: "one account sends nearly all", skew: 0.05 },
    onlyGangs: withClasses(
        "only gangs, all on one rack",
        jobClass => ({ ...jobClass, gangShare: 1, sameRackShare: 1 }),
    ),
    onlySmall: withClasses("only single tasks", jobClass => ({
        ...jobClass,
        gangShare: 0,
        width: createConstant(1),
        accelerators: [1],
        perSecond: jobClass.perSecond * 6,
    })),
    gangsAmongSmall: {
        ...SMALL_SITE,
        about: "a few large gangs of priority 1 among a flood of single tasks of priority 1",
        guaranteedShare: 0,
        classes: [
            { ...PLAN, perSecond: 0.1, width: createConstant(16), accelerators: [8], sameRackShare: 0 },
            {
                ...BATCH,
                name: "flood",
                priority: 1,
                perSecond: 22,
                width: createConstant(1),
                steps: createConstant(1),
                maxPerWorkerShare: 0,
                accelerators: [1, 1, 2],
                estimateErrorFactor: 1.3,
            },
        ],
    },
    greedyAccount: {
        ...SMALL_SITE,
        about: "one of six equal accounts submits ten times its share of single tasks and wide steps",
        workers: 12,
        workersPerRack: 4,
        accounts: 6,
        skew: 1,
        guaranteedShare: 0.3,
        greedy: { account: 0, factor: 10 },
        classes: [
            createSingles(PLAN, 1.6, createConstant(1)),
            createSingles(URGENT, 3.2, createConstant(1)),
            createSingles(BATCH, 0.4, { mean: 6, variation: 0.8, max: 30 }),
        ],
    },
    chains: withClasses(
        "chains of wide steps",
        jobClass => ({ ...jobClass, steps: { mean: 3, variation: 0.4, max: 5 } }),
    ),
    nearlyAllGuaranteed: { ...SMALL_SITE, about: "a guarantee for nearly all accelerators", guaranteedShare: 0.95 },
    estimatesOff: withClasses(
        "estimates off ten times either way",
        jobClass => ({ ...jobClass, estimateErrorFactor: 10 }),
    ),
    halfLost: withFaults("half of the workers are lost", { kind: "crash", atMs: 15_000, share: 0.5 }),
    slow: withFaults("a fifth of the workers turns six times slower", {
        kind: "slow",
        ...MID_LOAD,
        share: 0.2,
        factor: 6,
    }),
    hanging: withFaults("tasks on a seventh of the workers stand still", { kind: "hang", ...MID_LOAD, share: 0.15 }),
    failing: withFaults("a tenth of the workers fails all it starts", { kind: "fail", ...MID_LOAD, share: 0.1 }),
    cut: withFaults("a third of the workers is cut off and runs on", {
        kind: "cut",
        atMs: 15_000,
        durationMs: 5_500,
        share: 0.33,
    }),
    leaving: withFaults("a fifth of the workers leaves", {
        kind: "leave",
        atMs: 15_000,
        share: 0.2,
        remainingMs: 4_000,
    }),
    burst: withFaults("urgent work comes four times as often", {
        kind: "burst",
        ...MID_LOAD,
        class: "urgent",
        factor: 4,
    }),
};

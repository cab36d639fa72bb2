/** Random jobs of one day for each deployment and workload mix. Times are in milliseconds from midnight. */
import type * as configuration from "../../src/configuration/index";
import * as random from "../../src/random/index";
import type * as site from "../../standins/site/index";

export const DAY_MS = 24 * 3_600_000;
const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;

export const MIXES = [
    "ordinary",
    "peak",
    "maintenance",
    "burstsOfSmall",
    "burstsOfLarge",
    "wrongEstimates",
    "failingWorkers",
] as const;
export type Mix = typeof MIXES[number];

export interface WorkloadJob {
    readonly account: string;
    readonly jobClass: configuration.JobClass;
    readonly accelerators: number;
    readonly adjacency: configuration.Adjacency;
    readonly repeatable: boolean;
    readonly arrivesAt: number;
    readonly runMs: number;
    readonly declaredMs: number;
}

interface Stream {
    readonly account: string;
    readonly jobClass: configuration.JobClass;
    readonly sizes: readonly number[];
    readonly adjacency: configuration.Adjacency;
    readonly repeatableShare: number;
    readonly perHour: number;
    readonly meanRunMs: number;
    /** Hours of the day between which jobs arrive. */
    readonly from: number;
    readonly to: number;
    /** Median of declared divided by actual run time. */
    readonly declaredFactor: number;
}

const CEDARFLUE: readonly Stream[] = [
    {
        account: "route-planning",
        jobClass: "urgent",
        sizes: [1, 2, 4],
        adjacency: "worker",
        repeatableShare: 1,
        perHour: 60,
        meanRunMs: 8 * MINUTE_MS,
        from: 2,
        to: 6,
        declaredFactor: 1.5,
    },
    {
        account: "route-planning",
        jobClass: "batch",
        sizes: [8],
        adjacency: "worker",
        repeatableShare: 1,
        perHour: 5,
        meanRunMs: 60 * MINUTE_MS,
        from: 0,
        to: 24,
        declaredFactor: 1.5,
    },
    {
        account: "photo-review",
        jobClass: "batch",
        sizes: [1, 1, 2, 4],
        adjacency: "any",
        repeatableShare: 1,
        perHour: 110,
        meanRunMs: 20 * MINUTE_MS,
        from: 0,
        to: 24,
        declaredFactor: 3,
    },
    {
        account: "photo-review",
        jobClass: "batch",
        sizes: [16, 32],
        adjacency: "rack",
        repeatableShare: 1,
        perHour: 1.6,
        meanRunMs: 90 * MINUTE_MS,
        from: 0,
        to: 24,
        declaredFactor: 0.6,
    },
    {
        account: "partner-surveys",
        jobClass: "batch",
        sizes: [1, 2],
        adjacency: "any",
        repeatableShare: 0.6,
        perHour: 30,
        meanRunMs: 25 * MINUTE_MS,
        from: 6,
        to: 24,
        declaredFactor: 2,
    },
    {
        account: "partner-surveys",
        jobClass: "batch",
        sizes: [16],
        adjacency: "rack",
        repeatableShare: 1,
        perHour: 0.8,
        meanRunMs: 60 * MINUTE_MS,
        from: 0,
        to: 24,
        declaredFactor: 1,
    },
];

const BREIZH: readonly Stream[] = [
    {
        account: "rewrites-fr",
        jobClass: "batch",
        sizes: [1, 2, 4],
        adjacency: "any",
        repeatableShare: 1,
        perHour: 70,
        meanRunMs: 25 * MINUTE_MS,
        from: 0,
        to: 24,
        declaredFactor: 2,
    },
    {
        account: "rewrites-fr",
        jobClass: "batch",
        sizes: [16, 32],
        adjacency: "rack",
        repeatableShare: 1,
        perHour: 1.8,
        meanRunMs: 90 * MINUTE_MS,
        from: 0,
        to: 24,
        declaredFactor: 0.7,
    },
    {
        account: "rewrites-br",
        jobClass: "batch",
        sizes: [16, 32],
        adjacency: "rack",
        repeatableShare: 1,
        perHour: 0.9,
        meanRunMs: 70 * MINUTE_MS,
        from: 0,
        to: 24,
        declaredFactor: 1,
    },
    {
        account: "rewrites-br",
        jobClass: "batch",
        sizes: [1, 2],
        adjacency: "any",
        repeatableShare: 1,
        perHour: 30,
        meanRunMs: 30 * MINUTE_MS,
        from: 0,
        to: 24,
        declaredFactor: 2.5,
    },
    {
        account: "town-halls",
        jobClass: "urgent",
        sizes: [1, 2],
        adjacency: "any",
        repeatableShare: 1,
        perHour: 20,
        meanRunMs: 6 * MINUTE_MS,
        from: 8,
        to: 18,
        declaredFactor: 1,
    },
    {
        account: "town-halls",
        jobClass: "batch",
        sizes: [1, 2],
        adjacency: "any",
        repeatableShare: 0.5,
        perHour: 20,
        meanRunMs: 30 * MINUTE_MS,
        from: 8,
        to: 20,
        declaredFactor: 2,
    },
];

const RATE_FACTOR: Readonly<Record<Mix, number>> = {
    ordinary: 1,
    peak: 1.35,
    maintenance: 0.95,
    burstsOfSmall: 0.9,
    burstsOfLarge: 0.9,
    wrongEstimates: 1,
    failingWorkers: 1,
};
const ESTIMATE_SPREAD = 0.4;
const WRONG_ESTIMATE_SPREAD = 1.6;

/** Creates the jobs of a day, ordered by arrival; the same seed gives the same jobs. */
export function createWorkload(deployment: site.DeploymentName, mix: Mix, seed: number): WorkloadJob[] {
    const rng = random.createRandom(seed * 7919 + MIXES.indexOf(mix));
    const streams = deployment === "cedarflue" ? CEDARFLUE : BREIZH;
    const jobs = streams.flatMap(stream => createStream(rng, stream, mix));
    if (mix === "burstsOfSmall") {
        jobs.push(
            ...createBursts(
                rng,
                streams.find(stream => stream.sizes[0] === 1 && stream.jobClass === "batch")!,
                3,
                150,
                10 * MINUTE_MS,
            ),
        );
    }
    if (mix === "burstsOfLarge") {
        jobs.push(...createBursts(rng, streams.find(stream => stream.sizes.includes(32))!, 3, 6, 40 * MINUTE_MS));
    }
    return jobs.sort((a, b) => a.arrivesAt - b.arrivesAt);
}

function createStream(rng: random.Random, stream: Stream, mix: Mix): WorkloadJob[] {
    const jobs: WorkloadJob[] = [];
    const meanGapMs = HOUR_MS / (stream.perHour * RATE_FACTOR[mix]);
    for (
        let at = stream.from * HOUR_MS + rng.nextExponential(meanGapMs);
        at < stream.to * HOUR_MS;
        at += rng.nextExponential(meanGapMs)
    ) {
        jobs.push(createJob(rng, stream, at, stream.meanRunMs, mix));
    }
    return jobs;
}

function createBursts(
    rng: random.Random,
    stream: Stream,
    bursts: number,
    size: number,
    meanRunMs: number,
): WorkloadJob[] {
    return Array.from({ length: bursts }, () => rng.nextFloat() * 0.9 * DAY_MS).flatMap(at =>
        Array.from({ length: size }, () => createJob(rng, stream, at, meanRunMs, "ordinary"))
    );
}

function createJob(rng: random.Random, stream: Stream, arrivesAt: number, meanRunMs: number, mix: Mix): WorkloadJob {
    const runMs = Math.max(20_000, meanRunMs * Math.exp(0.7 * nextNormal(rng) - 0.245));
    const spread = mix === "wrongEstimates" ? WRONG_ESTIMATE_SPREAD : ESTIMATE_SPREAD;
    return {
        account: stream.account,
        jobClass: stream.jobClass,
        accelerators: rng.pick(stream.sizes),
        adjacency: stream.adjacency,
        repeatable: rng.nextFloat() < stream.repeatableShare,
        arrivesAt,
        runMs,
        declaredMs: runMs * stream.declaredFactor * Math.exp(spread * nextNormal(rng)),
    };
}

/** Draws from the standard normal distribution by the Box-Muller transform. */
function nextNormal(rng: random.Random): number {
    return Math.sqrt(-2 * Math.log(1 - rng.nextFloat())) * Math.cos(2 * Math.PI * rng.nextFloat());
}

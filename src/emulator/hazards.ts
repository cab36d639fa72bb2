/**
 * Random hazards of workers: tasks that take their workers down, workers that crash alone or with their rack, capacities
 * that shrink and grow again, and a directory that is away. All from a source of their own, so that a seed plays the
 * same jobs and other faults with and without them.
 */
import type * as clock from "../clock/index";
import * as random from "../random/index";
import type * as jobModel from "./jobModel";
import type * as sites from "./site";

export interface HazardOptions {
    readonly seed: number;
    /** Hazards begin within this time. */
    readonly forMs: number;
    readonly clock: clock.Clock;
    /** Addresses of the workers of each rack. */
    readonly racks: ReadonlyArray<readonly string[]>;
}

export interface Hazards {
    readonly workerRestartMs: number;
    isDirectoryUnreachable(): boolean;
    /** The job, some of them with tasks that take their workers down. */
    withRandomCrashes(job: jobModel.EmulatedJob): jobModel.EmulatedJob;
    /** What happens to the site, and when. */
    readonly events: ReadonlyArray<{ readonly at: number; act(site: sites.Site): void; }>;
}

/** Far from the seeds of sites, and of what else is drawn apart. */
const FIRST_HAZARD_SEED = 13_000_000;
/** One job of so many has tasks that take their workers down. */
const POISON_EVERY = 6;
/** How long after its start such a task takes its worker down; the shortest are the most likely. */
const CRASH_AFTER_MS = [10, 10, 10, 300, 1_500] as const;
const LEAST_RESTART_MS = 1_000;
const MOST_CRASHES = 4;
const MOST_SHRINKS = 4;
const LONGEST_AWAY_MS = 9_000;

export function drawHazards({ seed, forMs, clock: time, racks }: HazardOptions): Hazards {
    const source = random.createRandom(seed + FIRST_HAZARD_SEED);
    const workerRestartMs = LEAST_RESTART_MS + source.nextInt(4_000);
    const away = drawWindow(source, source.nextInt(3) === 0 ? forMs : 0);
    return {
        workerRestartMs,
        isDirectoryUnreachable: () => time.now() >= away.from && time.now() < away.to,
        withRandomCrashes: job => withRandomCrashes(source, job),
        events: [
            ...drawEach(source, MOST_CRASHES, () => drawCrash(source, forMs, racks)),
            ...drawEach(source, MOST_SHRINKS, () => drawShrink(source, forMs, racks)).flat(),
        ],
    };
}

function drawEach<T>(source: random.Random, most: number, draw: () => T): T[] {
    return Array.from({ length: source.nextInt(most + 1) }, draw);
}

function drawWindow(source: random.Random, forMs: number) {
    const from = source.nextInt(Math.max(1, forMs));
    return { from, to: Math.min(forMs, from + source.nextInt(LONGEST_AWAY_MS)) };
}

/** Workers that start again under their ids; drawn apart, so that the other hazards of a seed stay as they were. */
export function drawRestarts({ seed, forMs, racks }: Omit<HazardOptions, "clock">): Restarts {
    const source = random.createRandom(seed + FIRST_RESTART_SEED);
    return {
        restartsUnderSameId: () => source.nextInt(2) === 0,
        events: drawEach(source, MOST_RESTARTS, () => drawRestart(source, forMs, racks)),
    };
}

export interface Restarts extends Pick<Hazards, "events"> {
    /** Whether a worker that a task has taken down starts again under its id. */
    restartsUnderSameId(): boolean;
}

/** Far from the seeds of sites, and of what else is drawn apart. */
const FIRST_RESTART_SEED = 17_000_000;
const MOST_RESTARTS = 6;

/** One worker, a rack, or all; back after 0.1 to 3 s. */
function drawRestart(source: random.Random, forMs: number, racks: ReadonlyArray<readonly string[]>) {
    const rack = source.pick(racks);
    const addresses = source.pick([[source.pick(rack)], [source.pick(rack)], rack, racks.flat()]);
    const downMs = addresses.map(() => 100 + source.nextInt(2_900));
    return {
        at: 1_000 + source.nextInt(forMs - 1_000),
        act: (site: sites.Site) =>
            addresses.forEach((address, index) =>
                withWorker(site, address, id => site.restartWorker(id, downMs[index]!))
            ),
    };
}

/** The job, one of so many with tasks that take their workers down. */
export function withRandomCrashes(source: random.Random, job: jobModel.EmulatedJob): jobModel.EmulatedJob {
    return source.nextInt(POISON_EVERY) === 0 ? poisonJob(source, job) : job;
}

/** All of its tasks, or the first of each step; before half of their duration is over. */
function poisonJob(source: random.Random, job: jobModel.EmulatedJob): jobModel.EmulatedJob {
    const afterMs = Math.min(source.pick(CRASH_AFTER_MS), ...job.durationsMs.map(durationMs => durationMs / 2));
    const isFirstOnly = source.nextInt(2) === 0;
    return { ...job, getCrashAfterMs: task => isFirstOnly && !task.endsWith(".0") ? undefined : afterMs };
}

function drawCrash(source: random.Random, forMs: number, racks: ReadonlyArray<readonly string[]>) {
    const rack = source.pick(racks);
    const addresses = source.nextInt(2) === 0 ? rack : [source.pick(rack)];
    return {
        at: 1_000 + source.nextInt(forMs - 1_000),
        act: (site: sites.Site) => addresses.forEach(address => withWorker(site, address, site.crashWorker)),
    };
}

/** Shrinks, and is whole again some seconds later. */
function drawShrink(source: random.Random, forMs: number, racks: ReadonlyArray<readonly string[]>) {
    const address = source.pick(source.pick(racks));
    const at = 1_000 + source.nextInt(forMs - 1_000);
    const share = source.pick([0, 0.25, 0.5]);
    const kind = source.pick(["cpuMillis", "memoryMb", "accelerators"] as const);
    const whole = { value: 0 };
    return [
        {
            at,
            act: (site: sites.Site) =>
                withWorker(site, address, id => {
                    const { capacity } = site.workers.getInfo(id);
                    whole.value = Math.max(whole.value, capacity[kind]);
                    site.workers.resize(id, { ...capacity, [kind]: Math.floor(capacity[kind] * share) });
                }),
        },
        {
            at: at + 1_000 + source.nextInt(LONGEST_AWAY_MS),
            act: (site: sites.Site) =>
                withWorker(site, address, id => {
                    const { capacity } = site.workers.getInfo(id);
                    site.workers.resize(id, { ...capacity, [kind]: Math.max(whole.value, capacity[kind]) });
                }),
        },
    ];
}

function withWorker(site: sites.Site, address: string, act: (id: string) => void): void {
    const id = site.workers.findByAddress(address);
    if (id !== undefined) {
        act(id);
    }
}

/**
 * Random hazards of workers: tasks that crash their workers, workers that crash alone or with their rack, capacities
 * that shrink and grow again, and outages of the directory. They use random sources of their own, so that a seed gives
 * the same jobs and other faults with and without them.
 */
import type * as clock from "../clock/index";
import * as random from "../random/index";
import type * as jobModel from "./jobModel";
import type * as sites from "./site";

/** Parameters of the hazards. */
export interface HazardOptions {
    readonly seed: number;
    /** Time within which hazards begin. */
    readonly durationMs: number;
    readonly clock: clock.Clock;
    /** Addresses of the workers of each rack. */
    readonly racks: ReadonlyArray<readonly string[]>;
}

/** Hazards of one site. */
export interface Hazards {
    /** How long a worker stays down after a crash. */
    readonly workerRestartMs: number;
    /** Whether the directory is unreachable now. */
    isDirectoryUnreachable(): boolean;
    /** Returns the job, for some jobs with tasks that crash their workers. */
    withRandomCrashes(job: jobModel.EmulatedJob): jobModel.EmulatedJob;
    /** What happens to the site, and at which time. */
    readonly events: ReadonlyArray<{ readonly at: number; act(site: sites.Site): void; }>;
}

/** Keeps the derived seeds apart from those of sites and of other random sources. */
const HAZARD_SEED_OFFSET = 13_000_000;
/** On average one job in this many has tasks that crash their workers. */
const CRASHING_JOB_INTERVAL = 6;
/** Times from the start of such a task until it crashes its worker; repeated, so that early crashes are more likely. */
const CRASH_AFTER_MS = [10, 10, 10, 300, 1_500] as const;
const MIN_RESTART_MS = 1_000;
const MAX_CRASHES = 4;
const MAX_SHRINKS = 4;
/** Maximum duration of an outage of the directory, and bound for that of a reduced capacity. */
const MAX_HAZARD_MS = 9_000;

/** Creates the hazards of a seed, apart from restarts. */
export function createHazards({ seed, durationMs, clock: time, racks }: HazardOptions): Hazards {
    const source = random.createRandom(seed + HAZARD_SEED_OFFSET);
    const workerRestartMs = MIN_RESTART_MS + source.nextInt(4_000);
    const outage = createOutage(source, source.nextInt(3) === 0 ? durationMs : 0);
    return {
        workerRestartMs,
        isDirectoryUnreachable: () => time.now() >= outage.from && time.now() < outage.to,
        withRandomCrashes: job => withRandomCrashes(source, job),
        events: [
            ...createSome(source, MAX_CRASHES, () => createCrash(source, durationMs, racks)),
            ...createSome(source, MAX_SHRINKS, () => createShrink(source, durationMs, racks)).flat(),
        ],
    };
}

function createSome<T>(source: random.Random, maxCount: number, create: () => T): T[] {
    return Array.from({ length: source.nextInt(maxCount + 1) }, create);
}

function createOutage(source: random.Random, durationMs: number) {
    const from = source.nextInt(Math.max(1, durationMs));
    return { from, to: Math.min(durationMs, from + source.nextInt(MAX_HAZARD_MS)) };
}

/** Creates restarts of workers under their ids, from a source of their own, so that the other hazards stay the same. */
export function createRestarts({ seed, durationMs, racks }: Omit<HazardOptions, "clock">): Restarts {
    const source = random.createRandom(seed + RESTART_SEED_OFFSET);
    return {
        restartsUnderSameId: () => source.nextInt(2) === 0,
        events: createSome(source, MAX_RESTARTS, () => createRestart(source, durationMs, racks)),
    };
}

/** Restarts of workers under their ids. */
export interface Restarts extends Pick<Hazards, "events"> {
    /** Whether a worker that a task has crashed restarts under the same id; a new random choice at each call. */
    restartsUnderSameId(): boolean;
}

/** Keeps the derived seeds apart from those of sites and of other random sources. */
const RESTART_SEED_OFFSET = 17_000_000;
const MAX_RESTARTS = 6;

/** Restarts one worker, a rack or all workers; each is down for 0.1 to 3 s. */
function createRestart(source: random.Random, durationMs: number, racks: ReadonlyArray<readonly string[]>) {
    const rack = source.pick(racks);
    const addresses = source.pick([[source.pick(rack)], [source.pick(rack)], rack, racks.flat()]);
    const downMs = addresses.map(() => 100 + source.nextInt(2_900));
    return {
        at: 1_000 + source.nextInt(durationMs - 1_000),
        act: (site: sites.Site) =>
            addresses.forEach((address, index) =>
                withWorkerAt(site, address, id => site.restartWorker(id, downMs[index]!))
            ),
    };
}

/** Returns the job, for one in `CRASHING_JOB_INTERVAL` on average with tasks that crash their workers. */
export function withRandomCrashes(source: random.Random, job: jobModel.EmulatedJob): jobModel.EmulatedJob {
    return source.nextInt(CRASHING_JOB_INTERVAL) === 0 ? withCrashes(source, job) : job;
}

/** Lets all tasks of the job, or the first of each step, crash their workers by half of the shortest duration. */
function withCrashes(source: random.Random, job: jobModel.EmulatedJob): jobModel.EmulatedJob {
    const afterMs = Math.min(source.pick(CRASH_AFTER_MS), ...job.durationsMs.map(durationMs => durationMs / 2));
    const isFirstOnly = source.nextInt(2) === 0;
    return { ...job, getCrashAfterMs: task => isFirstOnly && !task.endsWith(".0") ? undefined : afterMs };
}

/** Crashes one worker or a whole rack. */
function createCrash(source: random.Random, durationMs: number, racks: ReadonlyArray<readonly string[]>) {
    const rack = source.pick(racks);
    const addresses = source.nextInt(2) === 0 ? rack : [source.pick(rack)];
    return {
        at: 1_000 + source.nextInt(durationMs - 1_000),
        act: (site: sites.Site) => addresses.forEach(address => withWorkerAt(site, address, site.crashWorker)),
    };
}

/** Reduces one dimension of a worker's capacity, and restores it some seconds later. */
function createShrink(source: random.Random, durationMs: number, racks: ReadonlyArray<readonly string[]>) {
    const address = source.pick(source.pick(racks));
    const at = 1_000 + source.nextInt(durationMs - 1_000);
    const share = source.pick([0, 0.25, 0.5]);
    const dimension = source.pick(["cpuMillis", "memoryMb", "accelerators"] as const);
    const original = { value: 0 };
    return [
        {
            at,
            act: (site: sites.Site) =>
                withWorkerAt(site, address, id => {
                    const { capacity } = site.workers.getInfo(id);
                    original.value = Math.max(original.value, capacity[dimension]);
                    site.workers.resize(id, { ...capacity, [dimension]: Math.floor(capacity[dimension] * share) });
                }),
        },
        {
            at: at + 1_000 + source.nextInt(MAX_HAZARD_MS),
            act: (site: sites.Site) =>
                withWorkerAt(site, address, id => {
                    const { capacity } = site.workers.getInfo(id);
                    site.workers.resize(id, {
                        ...capacity,
                        [dimension]: Math.max(original.value, capacity[dimension]),
                    });
                }),
        },
    ];
}

/** Calls `act` with the id of the worker at the address, if one runs there. */
function withWorkerAt(site: sites.Site, address: string, act: (id: string) => void): void {
    const id = site.workers.findByAddress(address);
    if (id !== undefined) {
        act(id);
    }
}

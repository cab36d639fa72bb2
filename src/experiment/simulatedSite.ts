/** Creates the workers and the configuration of a load's site. */
import type * as catalogs from "../catalog/index";
import type * as leader from "../leader/index";
import * as generate from "./generate";
import type * as loads from "./load";

const SERVICE = "service";

export function createWorker(index: number, load: loads.Load): leader.WorkerInfo {
    const rack = generate.getRackName(index, load);
    return {
        id: `worker-${index}`,
        address: `worker-${index}`,
        zone: getZoneName(Math.floor(index / load.workersPerRack) % load.zones),
        service: SERVICE,
        rack,
        labels: ["a", rack],
        capacity: load.capacity,
        draining: false,
        remainingMs: 0,
    };
}

export function getZoneName(zone: number): string {
    return `zone-${zone}`;
}

/** Cores of an instance. Instances are distributed over the zones round-robin, so the fast ones are in all zones. */
export function getInstanceCores(instance: number, load: loads.Load): number {
    const { fastInstanceShare = 1 } = load;
    return instance < fastInstanceShare * load.instances ? FAST_INSTANCE_CORES : SLOW_INSTANCE_CORES;
}

const FAST_INSTANCE_CORES = 1;
const SLOW_INSTANCE_CORES = 0.25;

/** Relative speed of each worker. It has a random source of its own, so that the load's jobs and faults stay the same. */
export function drawSpeeds(load: loads.Load, seed: number): readonly number[] {
    const source = generate.createSeededRandom(seed + SPEED_SEED_OFFSET);
    return Array.from({ length: load.workers }, () => source.pick(load.speeds ?? [1]));
}

/** Far from the seeds of loads and from the other offsets. */
const SPEED_SEED_OFFSET = 7_000_000;

/** One queue per job class. The guaranteed accelerators are divided among the accounts in proportion to their jobs. */
export function createCatalog(load: loads.Load): catalogs.Catalog {
    const guaranteed = load.workers * load.capacity.accelerators * load.guaranteedShare;
    const weights = Array.from({ length: load.accounts }, (_, index) => load.skew ** index);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return {
        version: 1,
        queues: load.classes.map(jobClass => ({
            name: jobClass.name,
            host: "example",
            pathPrefix: `/${jobClass.name}/`,
            service: SERVICE,
            priority: jobClass.priority,
            maxAttempts: jobClass.maxAttempts,
            stretch: jobClass.stretch,
            objectiveMs: jobClass.objectiveMs,
            needsKey: true,
        })),
        services: [{ name: SERVICE, refusesOverload: false, spare: false }],
        accounts: weights.map((weight, index) => ({
            name: generate.getAccountName(index),
            keys: [],
            guaranteedAccelerators: Math.floor(guaranteed * weight / sum),
        })),
        limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

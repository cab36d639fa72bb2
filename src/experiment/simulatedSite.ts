/** The workers and the configuration of a load's site. */
import type * as catalogs from "../catalog/index";
import type * as leader from "../leader/index";
import * as generate from "./generate";
import type * as loads from "./load";

const SERVICE = "service";

export function createWorker(number: number, load: loads.Load): leader.WorkerInfo {
    const rack = generate.getRackName(number, load);
    return {
        id: `worker-${number}`,
        address: `worker-${number}`,
        zone: getZoneName(Math.floor(number / load.workersPerRack) % load.zones),
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

/** Processor time of an instance, in cores; instances lie in the zones in turns, so the first ones are of all zones. */
export function getInstanceCores(instance: number, load: loads.Load): number {
    const { strongShare = 1 } = load;
    return instance < strongShare * load.instances ? STRONG_CORES : WEAK_CORES;
}

const STRONG_CORES = 1;
const WEAK_CORES = 0.25;

/** How fast each worker is; drawn apart from all else, so that the load's jobs and troubles stay the same. */
export function drawSpeeds(load: loads.Load, seed: number): readonly number[] {
    const source = generate.createSeededRandom(seed + FIRST_SPEED_SEED);
    return Array.from({ length: load.workers }, () => source.pick(load.speeds ?? [1]));
}

/** Far from the seeds of loads. */
const FIRST_SPEED_SEED = 7_000_000;

export function createCatalog(load: loads.Load): catalogs.Catalog {
    const total = load.workers * load.capacity.accelerators * load.guaranteed;
    const weights = Array.from({ length: load.accounts }, (_, number) => load.skew ** number);
    const sum = weights.reduce((all, weight) => all + weight, 0);
    return {
        version: 1,
        queues: load.classes.map(item => ({
            name: item.name,
            host: "example",
            pathPrefix: `/${item.name}/`,
            service: SERVICE,
            priority: item.priority,
            maxAttempts: item.maxAttempts,
            stretch: item.stretch,
            objectiveMs: item.objectiveMs,
            needsKey: true,
        })),
        services: [{ name: SERVICE, refusesOverload: false, spare: false }],
        accounts: weights.map((weight, number) => ({
            name: generate.getAccountName(number),
            keys: [],
            guaranteedAccelerators: Math.floor(total * weight / sum),
        })),
        limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

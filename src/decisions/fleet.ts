/**
 * The workers of one scheduling pass, indexed by their free resources.
 *
 * Scanning every worker for every waiting unit takes most of a leader's time on a large site. The index finds the
 * fullest worker that fits by two binary searches and skips a rack that cannot hold a gang by one comparison.
 */
import type * as work from "../work/index";
import * as resources from "./resources";
import type * as types from "./types";

/** A worker and its free resources within the pass. */
export interface Host {
    readonly worker: types.PlaceableWorker;
    /** Index among the workers of the pass; breaks ties between equal hosts, the lowest first. */
    readonly order: number;
    /** Modified only by `Fleet.updateFree`, which keeps the index consistent. */
    readonly free: resources.MutableResources;
    readonly rack: Rack;
    /** Index of its speed class; set when the classes are first needed. */
    speedClass: number;
}

/** The hosts of one service in one rack. */
export interface Rack {
    readonly name: string;
    readonly hosts: readonly Host[];
    /** Incremented whenever the free resources of one of its hosts change. */
    getVersion(): number;
    /** Sum of the free scores of all hosts. */
    getFreeScore(): number;
    /** Number of members with these needs that fit in the free resources of its hosts. */
    countFits(needs: work.Resources): number;
    /** Number of members with these needs that would fit if its hosts were empty. */
    countFitsWhenEmpty(needs: work.Resources): number;
}

/** The hosts of one service. */
export interface Pool {
    /** Whether less than half of the cores and less than half of the accelerators were in use when the pass began. */
    isMostlyFree(): boolean;
    /** Racks by their name. */
    readonly racks: ReadonlyMap<string, Rack>;
    /** Hosts that may fit such a member, the fullest first. May include a few that do not fit. */
    iterateFullestFirst(needs: work.Resources): Iterable<Host>;
}

/** The hosts of one service whose speeds are similar. */
export interface SpeedClass {
    readonly minSpeed: number;
    readonly maxSpeed: number;
    readonly pool: Pool;
}

/** All workers of a pass. */
export interface Fleet {
    readonly hosts: readonly Host[];
    getPool(service: string): Pool;
    /** The speed classes of a service, the fastest first; empty if all its workers are equally fast. */
    getSpeedClasses(service: string): readonly SpeedClass[];
    getHost(workerId: string): Host | undefined;
    /** Modifies the free resources of a host by `apply` and updates the index. */
    updateFree(host: Host, apply: (free: resources.MutableResources) => void): void;
}

/** Creates a fleet; `getFree` returns the initial free resources of each worker. */
export function createFleet(
    workers: readonly types.PlaceableWorker[],
    getFree: (worker: types.PlaceableWorker, order: number) => resources.MutableResources,
): Fleet {
    const pools = new Map<string, MutablePool>();
    const hosts = workers.map((worker, order) => {
        const pool = getOrCreate(pools, worker.service, createPool);
        return pool.add(worker, order, getFree(worker, order));
    });
    let hostsById: Map<string, Host> | undefined;
    return {
        hosts,
        getPool: service => getOrCreate(pools, service, createPool),
        getSpeedClasses: service => getOrCreate(pools, service, createPool).getSpeedClasses(),
        getHost: workerId => {
            hostsById ??= new Map(hosts.map(host => [host.worker.id, host]));
            return hostsById.get(workerId);
        },
        updateFree: (host, apply) => pools.get(host.worker.service)!.updateFree(host, apply),
    };
}

/** Free resources as one number. Accelerators dominate, as the scarcest resource; cores break ties. */
export function getFreeScore(free: resources.MutableResources): number {
    return free.accelerators + free.cpuMillis / CPU_TIE_SCALE;
}

/** Exceeds the millicores of any worker, so that cores never outweigh an accelerator. */
const CPU_TIE_SCALE = 1e6;

/** The speed of a worker relative to the typical one. */
export function getSpeed(worker: types.PlaceableWorker): number {
    return worker.speed ?? 1;
}

/** Just below the step of 15% to which measured speeds are rounded; smaller differences make no class. */
const MAX_SPEED_RATIO = 1.14;

interface MutablePool extends Pool {
    add(worker: types.PlaceableWorker, order: number, free: resources.MutableResources): Host;
    updateFree(host: Host, apply: (free: resources.MutableResources) => void): void;
    getSpeedClasses(): readonly SpeedClass[];
}

/** The hosts of a speed class, sorted by their free resources. */
interface Part extends SpeedClass {
    readonly index: HostIndex;
    /** Must be called when the free resources of a host in that rack have changed. */
    invalidateRack(name: string): void;
}

function createPool(): MutablePool {
    const racks = new Map<string, MutableRack>();
    const hosts: Host[] = [];
    let mostlyFree: boolean | undefined;
    const isMostlyFree = () => mostlyFree ??= isHalfFree(hosts);
    let parts: readonly Part[] | undefined;
    const getParts = () => parts ??= createParts(hosts, isMostlyFree);
    return {
        racks,
        isMostlyFree,
        add: (worker, order, free) => {
            const rack = getOrCreate(racks, worker.rack, () => createRack(worker.rack));
            const host = { worker, order, free, rack, speedClass: 0 };
            rack.add(host);
            hosts.push(host);
            return host;
        },
        updateFree: (host, apply) => {
            const { index, invalidateRack } = getParts()[host.speedClass]!;
            index.remove(host);
            apply(host.free);
            index.insert(host);
            (host.rack as MutableRack).invalidate();
            invalidateRack(host.worker.rack);
        },
        iterateFullestFirst: needs => {
            const all = getParts();
            return all.length === 1 ? all[0]!.index.iterate(needs) : mergeFullestFirst(all, needs);
        },
        getSpeedClasses: () => getParts().length > 1 ? getParts() : [],
    };
}

/** Splits hosts by speed class, the fastest first; one part if all are similar. */
function createParts(hosts: readonly Host[], isMostlyFree: () => boolean): readonly Part[] {
    const speeds = new Set<number>();
    for (const { worker } of hosts) {
        speeds.add(getSpeed(worker));
    }
    /** Highest speed of each class. */
    const tops: number[] = [];
    for (const speed of [...speeds].sort((a, b) => b - a)) {
        if (tops.length === 0 || tops.at(-1)! > MAX_SPEED_RATIO * speed) {
            tops.push(speed);
        }
    }
    if (tops.length <= 1) {
        return [createPart(hosts, isMostlyFree)];
    }
    const members = tops.map((): Host[] => []);
    for (const host of hosts) {
        const speed = getSpeed(host.worker);
        while (speed <= (tops[host.speedClass + 1] ?? -Infinity)) {
            host.speedClass++;
        }
        members[host.speedClass]!.push(host);
    }
    return members.map(list => createPart(list, isMostlyFree));
}

function createPart(hosts: readonly Host[], isMostlyFree: () => boolean): Part {
    const index = createHostIndex(hosts);
    let racks: ReadonlyMap<string, MutableRack> | undefined;
    const createRacks = () => {
        const created = new Map<string, MutableRack>();
        for (const host of hosts) {
            getOrCreate(created, host.worker.rack, () => createRack(host.worker.rack)).add(host);
        }
        return created;
    };
    let minSpeed = Infinity;
    let maxSpeed = 0;
    for (const { worker } of hosts) {
        minSpeed = Math.min(minSpeed, getSpeed(worker));
        maxSpeed = Math.max(maxSpeed, getSpeed(worker));
    }
    return {
        index,
        minSpeed,
        maxSpeed,
        pool: {
            isMostlyFree,
            get racks() {
                return racks ??= createRacks();
            },
            iterateFullestFirst: index.iterate,
        },
        invalidateRack: name => racks?.get(name)?.invalidate(),
    };
}

function* mergeFullestFirst(parts: readonly Part[], needs: work.Resources): Iterable<Host> {
    const iterators = parts.map(({ index }) => index.iterate(needs)[Symbol.iterator]());
    const heads = iterators.map(iterator => iterator.next());
    for (;;) {
        let first = -1;
        heads.forEach((head, number) => {
            if (!head.done && (first < 0 || compareFullestFirst(head.value, heads[first]!.value as Host) < 0)) {
                first = number;
            }
        });
        if (first < 0) {
            return;
        }
        yield heads[first]!.value as Host;
        heads[first] = iterators[first]!.next();
    }
}

function compareFullestFirst(a: Host, b: Host): number {
    return a.free.accelerators - b.free.accelerators || compareHosts(a, b);
}

/** Hosts sorted by their free resources. */
interface HostIndex {
    /** Removes a host until `insert`, since its free resources are about to change. */
    remove(host: Host): void;
    insert(host: Host): void;
    /** Hosts that may fit such a member, the fullest first. */
    iterate(needs: work.Resources): Iterable<Host>;
}

function createHostIndex(hosts: readonly Host[]): HostIndex {
    /** Hosts by number of free accelerators; each list is sorted by free cores, then by order. */
    const lists = new Map<number, Host[]>();
    /** Keys of `lists`, ascending. */
    let levels: number[] = [];
    const getList = (accelerators: number) =>
        getOrCreate(lists, accelerators, () => {
            levels = [...levels, accelerators].sort((a, b) => a - b);
            return [];
        });
    hosts.forEach(host => getList(host.free.accelerators).push(host));
    lists.forEach(list => list.sort(compareHosts));
    return {
        remove: host => {
            const list = lists.get(host.free.accelerators)!;
            list.splice(findPosition(list, host.free.cpuMillis, host.order), 1);
        },
        insert: host => {
            const list = getList(host.free.accelerators);
            list.splice(findPosition(list, host.free.cpuMillis, host.order), 0, host);
        },
        *iterate(needs) {
            for (const level of levels) {
                if (needs.accelerators > 0 && level < needs.accelerators) {
                    continue;
                }
                const list = lists.get(level)!;
                const from = needs.cpuMillis > 0 ? findPosition(list, needs.cpuMillis, 0) : 0;
                for (let position = from; position < list.length; position++) {
                    yield list[position]!;
                }
            }
        },
    };
}

function isHalfFree(hosts: readonly Host[]): boolean {
    const dimensions = ["cpuMillis", "accelerators"] as const;
    return dimensions.every(dimension =>
        2 * sum(hosts, host => host.worker.used[dimension]) < sum(hosts, host => host.worker.capacity[dimension])
    );
}

function compareHosts(a: Host, b: Host): number {
    return a.free.cpuMillis - b.free.cpuMillis || a.order - b.order;
}

/** Lower bound: the first position in a sorted list whose host does not sort before `cpuMillis` and `order`. */
function findPosition(list: readonly Host[], cpuMillis: number, order: number): number {
    let low = 0;
    let high = list.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        const host = list[middle]!;
        const before = host.free.cpuMillis < cpuMillis || (host.free.cpuMillis === cpuMillis && host.order < order);
        if (before) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

interface MutableRack extends Rack {
    add(host: Host): void;
    invalidate(): void;
}

function createRack(name: string): MutableRack {
    const hosts: Host[] = [];
    const capacities = createMemo(needs => sum(hosts, host => resources.countFits(host.worker.capacity, needs)));
    const fits = createMemo(needs => sum(hosts, host => resources.countFits(host.free, needs)));
    let version = 0;
    let freeScore: number | undefined;
    return {
        name,
        hosts,
        getVersion: () => version,
        getFreeScore: () => freeScore ??= sum(hosts, host => getFreeScore(host.free)),
        countFits: fits.get,
        countFitsWhenEmpty: capacities.get,
        add: host => {
            hosts.push(host);
        },
        invalidate: () => {
            version++;
            freeScore = undefined;
            fits.clear();
        },
    };
}

/** Caches a count by needs, of which the units of a pass have few distinct ones. */
function createMemo(count: (needs: work.Resources) => number) {
    const counts = new Map<string, number>();
    return {
        get: (needs: work.Resources) => getOrCreate(counts, resources.getResourcesKey(needs), () => count(needs)),
        clear: () => counts.clear(),
    };
}

function sum<T>(items: readonly T[], measure: (item: T) => number): number {
    return items.reduce((total, item) => total + measure(item), 0);
}

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
    }
    return value;
}

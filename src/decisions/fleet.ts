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

/** Interference between tasks explains smaller differences, so they do not make another class. */
const MAX_SPEED_RATIO = 1.15;

interface MutablePool extends Pool {
    add(worker: types.PlaceableWorker, order: number, free: resources.MutableResources): Host;
    /** Adds a host of another pool. */
    include(host: Host): void;
    /** Removes a host from the index until `insert`, since its free resources are about to change. */
    remove(host: Host): void;
    insert(host: Host): void;
    updateFree(host: Host, apply: (free: resources.MutableResources) => void): void;
    getSpeedClasses(): readonly SpeedClass[];
    getHosts(): readonly Host[];
}

interface MutableSpeedClass extends SpeedClass {
    readonly pool: MutablePool;
}

function createSpeedClasses(hosts: readonly Host[]): readonly MutableSpeedClass[] {
    if (hosts.every(({ worker }) => getSpeed(worker) === 1)) {
        return [];
    }
    const fastestFirst = [...hosts].sort((a, b) => getSpeed(b.worker) - getSpeed(a.worker) || a.order - b.order);
    const members: Host[][] = [];
    for (const host of fastestFirst) {
        const current = members.at(-1);
        if (current && getSpeed(current[0]!.worker) <= MAX_SPEED_RATIO * getSpeed(host.worker)) {
            current.push(host);
        }
        else {
            members.push([host]);
        }
    }
    return members.length < 2 ? [] : members.map(list => {
        const pool = createPool();
        list.forEach(pool.include);
        return { minSpeed: getSpeed(list.at(-1)!.worker), maxSpeed: getSpeed(list[0]!.worker), pool };
    });
}

function createPool(): MutablePool {
    const racks = new Map<string, MutableRack>();
    const hosts: Host[] = [];
    let mostlyFree: boolean | undefined;
    /** Hosts by number of free accelerators; each list is sorted by free cores, then by order. */
    const lists = new Map<number, Host[]>();
    let sorted = true;
    /** Keys of `lists`, ascending. */
    let levels: number[] = [];

    const sort = () => {
        if (!sorted) {
            lists.forEach(list => list.sort(compareHosts));
            sorted = true;
        }
    };
    const getList = (accelerators: number) =>
        getOrCreate(lists, accelerators, () => {
            levels = [...levels, accelerators].sort((a, b) => a - b);
            return [];
        });
    const getRack = (name: string) => getOrCreate(racks, name, () => createRack(name));
    let classes: readonly MutableSpeedClass[] | undefined;
    let poolByHost: ReadonlyMap<Host, MutablePool> | undefined;
    const include = (host: Host) => {
        getRack(host.worker.rack).add(host);
        hosts.push(host);
        getList(host.free.accelerators).push(host);
        sorted = false;
    };
    const remove = (host: Host) => {
        sort();
        const list = lists.get(host.free.accelerators)!;
        list.splice(findPosition(list, host.free.cpuMillis, host.order), 1);
    };
    const insert = (host: Host) => {
        const list = getList(host.free.accelerators);
        list.splice(findPosition(list, host.free.cpuMillis, host.order), 0, host);
        getRack(host.worker.rack).invalidate();
    };
    return {
        racks,
        isMostlyFree: () => mostlyFree ??= isHalfFree(hosts),
        add: (worker, order, free) => {
            const host = { worker, order, free, rack: getRack(worker.rack) };
            include(host);
            return host;
        },
        include,
        remove,
        insert,
        updateFree: (host, apply) => {
            const ofClass = poolByHost?.get(host);
            remove(host);
            ofClass?.remove(host);
            apply(host.free);
            insert(host);
            ofClass?.insert(host);
        },
        getSpeedClasses: () => {
            if (!classes) {
                classes = createSpeedClasses(hosts);
                poolByHost = classes.length === 0
                    ? undefined
                    : new Map(classes.flatMap(({ pool }) => pool.getHosts().map(host => [host, pool] as const)));
            }
            return classes;
        },
        getHosts: () => hosts,
        *iterateFullestFirst(needs) {
            sort();
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

/**
 * The workers of one pass, indexed by the room that is left on them.
 *
 * Looking at every worker for every waiting unit takes most of a leader's time on a large site. The index finds the
 * fullest worker that fits by two binary searches, and skips a rack that cannot hold a gang by one comparison.
 */
import type * as work from "../work/index";
import * as rooms from "./resources";
import type * as types from "./types";

/** A worker and what is left of its room. */
export interface Host {
    readonly worker: types.PlaceableWorker;
    /** Its place among the workers of the pass; of equal hosts the first one goes first. */
    readonly order: number;
    /** Changed by `Fleet.change` only. */
    readonly room: rooms.MutableResources;
    readonly rack: Rack;
}

/** The hosts of one service in one rack. */
export interface Rack {
    readonly name: string;
    readonly hosts: readonly Host[];
    /** Rises whenever the room of one of its hosts changes. */
    getVersion(): number;
    /** Room left on all hosts together, as `getLeftover` measures it. */
    getFreeScore(): number;
    /** Members with these needs that its hosts hold now. */
    countFits(needs: work.Resources): number;
    /** Members with these needs that its hosts would hold with nothing else on them. */
    countFitsWhenEmpty(needs: work.Resources): number;
}

/** The hosts of one service. */
export interface Pool {
    /** Whether under half of the processors and of the accelerators were in use when the pass began. */
    isMostlyFree(): boolean;
    readonly racks: ReadonlyMap<string, Rack>;
    /** Hosts that may hold such a member, the fullest first; a few that cannot may be among them. */
    iterateFullestFirst(needs: work.Resources): Iterable<Host>;
}

export interface Fleet {
    readonly hosts: readonly Host[];
    getPool(service: string): Pool;
    getHost(workerId: string): Host | undefined;
    updateFree(host: Host, apply: (room: rooms.MutableResources) => void): void;
}

/** A fleet in which `getRoom` says what is left on each worker at first. */
export function createFleet(
    workers: readonly types.PlaceableWorker[],
    getRoom: (worker: types.PlaceableWorker, order: number) => rooms.MutableResources,
): Fleet {
    const pools = new Map<string, MutablePool>();
    const hosts = workers.map((worker, order) => {
        const pool = getOrCreate(pools, worker.service, createPool);
        return pool.add(worker, order, getRoom(worker, order));
    });
    let hostsById: Map<string, Host> | undefined;
    return {
        hosts,
        getPool: service => getOrCreate(pools, service, createPool),
        getHost: workerId => {
            hostsById ??= new Map(hosts.map(host => [host.worker.id, host]));
            return hostsById.get(workerId);
        },
        updateFree: (host, apply) => pools.get(host.worker.service)!.change(host, apply),
    };
}

/** Accelerators first, since they bind; processors break ties. */
export function getFreeScore(room: rooms.MutableResources): number {
    return room.accelerators + room.cpuMillis / CPU_TIE_SCALE;
}

/** Above any worker's thousandths of cores, so that processors never outweigh an accelerator. */
const CPU_TIE_SCALE = 1e6;

interface MutablePool extends Pool {
    add(worker: types.PlaceableWorker, order: number, room: rooms.MutableResources): Host;
    change(host: Host, apply: (room: rooms.MutableResources) => void): void;
}

function createPool(): MutablePool {
    const racks = new Map<string, MutableRack>();
    const hosts: Host[] = [];
    let mostlyFree: boolean | undefined;
    /** Hosts by free accelerators, each list by free processors and then by order. */
    const lists = new Map<number, Host[]>();
    let sorted = true;
    /** Free accelerators that occur, ascending. */
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
    return {
        racks,
        isMostlyFree: () => mostlyFree ??= isHalfFree(hosts),
        add: (worker, order, room) => {
            const rack = getOrCreate(racks, worker.rack, () => createRack(worker.rack));
            const host = { worker, order, room, rack };
            rack.add(host);
            hosts.push(host);
            getList(room.accelerators).push(host);
            sorted = false;
            return host;
        },
        change: (host, apply) => {
            sort();
            const before = lists.get(host.room.accelerators)!;
            before.splice(findPosition(before, host.room.cpuMillis, host.order), 1);
            apply(host.room);
            const after = getList(host.room.accelerators);
            after.splice(findPosition(after, host.room.cpuMillis, host.order), 0, host);
            (host.rack as MutableRack).touch();
        },
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
    const kinds = ["cpuMillis", "accelerators"] as const;
    return kinds.every(kind =>
        2 * sum(hosts, host => host.worker.used[kind]) < sum(hosts, host => host.worker.capacity[kind])
    );
}

function compareHosts(a: Host, b: Host): number {
    return a.room.cpuMillis - b.room.cpuMillis || a.order - b.order;
}

/** The first position in a sorted list whose host does not come before one with these processors and this order. */
function findPosition(list: readonly Host[], cpuMillis: number, order: number): number {
    let low = 0;
    let high = list.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        const host = list[middle]!;
        const before = host.room.cpuMillis < cpuMillis || (host.room.cpuMillis === cpuMillis && host.order < order);
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
    touch(): void;
}

function createRack(name: string): MutableRack {
    const hosts: Host[] = [];
    const capacities = createMemo(needs => sum(hosts, host => rooms.countFits(host.worker.capacity, needs)));
    const fits = createMemo(needs => sum(hosts, host => rooms.countFits(host.room, needs)));
    let version = 0;
    let leftover: number | undefined;
    return {
        name,
        hosts,
        getVersion: () => version,
        getFreeScore: () => leftover ??= sum(hosts, host => getFreeScore(host.room)),
        countFits: fits.get,
        countFitsWhenEmpty: capacities.get,
        add: host => {
            hosts.push(host);
        },
        touch: () => {
            version++;
            leftover = undefined;
            fits.clear();
        },
    };
}

/** Counts by needs: the units of a pass have few different ones. */
function createMemo(count: (needs: work.Resources) => number) {
    const counts = new Map<string, number>();
    return {
        get: (needs: work.Resources) => getOrCreate(counts, rooms.getResourcesKey(needs), () => count(needs)),
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

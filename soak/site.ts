/**
 * A site of real processes: instances of the program, each behind a link of its own to the store and to its callers;
 * emulated workers behind links; and a store in memory, all on loopback addresses of one block.
 */
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as standin from "../platform/standin/index";
import type * as catalogs from "../src/catalog/index";
import * as clocks from "../src/clock/index";
import * as emulator from "../src/emulator/index";
import * as leader from "../src/leader/index";
import * as instances from "./instance";
import * as links from "./link";

export interface SiteOptions {
    readonly instances: number;
    readonly workers: number;
    /** Second number of the loopback addresses: sites that run side by side need different ones. */
    readonly addressBlock: number;
    /** What each connection to the store carries, but the first instance's; absent: no limit. */
    readonly storeBytesPerSecond?: number;
    readonly storeFaults: emulator.StoreFaults;
    readonly workerFaults: emulator.WorkerFaults;
    readonly jobs: ReadonlyMap<string, emulator.EmulatedJob>;
    /** Whether a worker that was lost starts again under its id. */
    restartsUnderSameId(): boolean;
}

/** One address at which workers live, one after another. */
export interface WorkerHost {
    readonly link: links.Link;
    /** The worker that lives there now. */
    getWorkerId(): string | undefined;
    /** Of the life that goes on there now. */
    getIncarnationId(): string | undefined;
    drain(remainingMs: number): void;
    /** Changes the capacity of the life there to that share of what its place has; the directory learns of it later. */
    resize(share: number): void;
    /** Ends the life there; `tell` says whether the directory learns of it at once. */
    killWorker(tell: boolean): void;
    /** Begins a new life, if none is going on. */
    startWorker(): void;
}

export interface Site {
    readonly folder: string;
    readonly instances: readonly instances.Instance[];
    readonly storeLinks: readonly links.Link[];
    readonly callerLinks: readonly links.Link[];
    /** `IP:PORT` at which callers reach each instance. */
    readonly callerAddresses: readonly string[];
    readonly workerHosts: readonly WorkerHost[];
    readonly store: emulator.EmulatedStore;
    readonly workers: emulator.EmulatedWorkers;
    /** Number of the instance that holds the lead, if one does. */
    getLeader(): number | undefined;
    configure(config: catalogs.Catalog): void;
    close(): Promise<void>;
}

const ZONES = ["a", "b", "c"];
const WORKERS_PER_RACK = 3;
const CAPACITY = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 };
const MAX_LEASE_MS = 6_000;
const STOP_MS = 200;
const RESTART_MS = 2_500;
const GANG_TIMEOUT_MS = 3_000;
const STORE_LATENCY_MS = 4;
const WORKER_LATENCY_MS = 1;
const STORE_PORT = 7_100;
const WORKER_PORT = 9_000;
const ENTRY_PORT = 8_521;
/** What each kind of address has as its third number. */
const Block = { Instance: 1, StoreServer: 2, StoreLink: 3, EntryLink: 4, WorkerServer: 5, WorkerLink: 6 } as const;

export async function createSite(options: SiteOptions): Promise<Site> {
    const time = clocks.createSystemClock();
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "plantainchute-soak-"));
    const getAddress = (block: number, number: number) => `127.${options.addressBlock}.${block}.${number + 1}`;
    const store = emulator.createEmulatedStore({
        clock: time,
        latencyMs: STORE_LATENCY_MS,
        faults: options.storeFaults,
    });
    const workers = emulator.createEmulatedWorkers({
        clock: time,
        latencyMs: WORKER_LATENCY_MS,
        maxLeaseMs: MAX_LEASE_MS,
        stopMs: STOP_MS,
        gangTimeoutMs: GANG_TIMEOUT_MS,
        faults: options.workerFaults,
        getModel: task => emulator.createTaskModel(options.jobs, task),
        onCrash: id => crash(id),
    });
    const closers: Array<() => void> = [];
    const openLink = async (listen: string, target: string) => {
        const link = await links.createLink({ listen, target });
        closers.push(link.close);
        return link;
    };
    const openServer = async (server: standin.StandinServer, address: string) => {
        await server.listen(address);
        closers.push(server.close);
    };

    const openPlace = async (number: number): Promise<WorkerHost> => {
        const server = `${getAddress(Block.WorkerServer, number)}:${WORKER_PORT}`;
        const address = `${getAddress(Block.WorkerLink, number)}:${WORKER_PORT}`;
        let lives = 0;
        let info: leader.WorkerInfo | undefined;
        let lastId: string | undefined;
        const tellDirectory = ({ id }: leader.WorkerInfo) =>
            store.put(standin.encodeWorkerRow(workers.getInfo(id), workers.getBornAt(id)));
        await openServer(
            standin.createWorkerServer({ port: workers.port, getWorkerId: () => info?.id }),
            server,
        );
        const link = await openLink(address, server);
        const place: WorkerHost = {
            link,
            getWorkerId: () => info?.id,
            getIncarnationId: () =>
                info && leader.getIncarnationId({ name: info.id, startedAt: workers.getBornAt(info.id) }),
            drain: remainingMs => {
                if (info && !info.draining) {
                    workers.drain(info.id, remainingMs);
                    info = workers.getInfo(info.id);
                    tellDirectory(info);
                }
            },
            killWorker: tell => {
                if (!info) {
                    return;
                }
                const { id } = info;
                info = undefined;
                workers.kill(id, false);
                const forget = () => {
                    if (info?.id !== id) {
                        store.remove(standin.getWorkerRowKey(id));
                    }
                };
                time.setTimer(tell ? 0 : DIRECTORY_SILENCE_MS, forget);
            },
            resize: share => {
                if (info) {
                    workers.resize(info.id, scale(CAPACITY, share));
                }
            },
            startWorker: () => {
                if (info) {
                    return;
                }
                if (lastId !== undefined && options.restartsUnderSameId()) {
                    workers.restart(lastId);
                    info = workers.getInfo(lastId);
                }
                else {
                    lives++;
                    info = createWorker(number, lives, address);
                    workers.add(info);
                }
                lastId = info.id;
                tellDirectory(info);
            },
        };
        place.startWorker();
        const report = () => {
            if (info) {
                info = workers.getInfo(info.id);
                tellDirectory(info);
            }
        };
        const reporting = setInterval(report, REPORT_EVERY_MS);
        closers.push(() => clearInterval(reporting));
        return place;
    };
    /** A task has taken the worker down; another life begins there some seconds later. */
    const crash = (id: string) => {
        const place = places.find(candidate => candidate.getWorkerId() === id);
        place?.killWorker(false);
        time.setTimer(RESTART_MS, () => place?.startWorker());
    };
    const places: readonly WorkerHost[] = await Promise.all(range(options.workers).map(openPlace));

    const openInstance = async (number: number) => {
        const name = `instance-${number}`;
        await checkFree(`${getAddress(Block.Instance, number)}:${ENTRY_PORT}`);
        const server = `${getAddress(Block.StoreServer, number)}:${STORE_PORT}`;
        const storeAddress = `${getAddress(Block.StoreLink, number)}:${STORE_PORT}`;
        const entry = `${getAddress(Block.EntryLink, number)}:${ENTRY_PORT}`;
        await openServer(standin.createStoreServer(store.open(name)), server);
        const storeLink = await openLink(storeAddress, server);
        if (options.storeBytesPerSecond !== undefined && number > 0) {
            storeLink.setRate(options.storeBytesPerSecond);
        }
        const instance = instances.createInstance({
            name,
            zone: ZONES[number % ZONES.length]!,
            address: getAddress(Block.Instance, number),
            store: storeAddress,
            folder,
            maxLeaseMs: MAX_LEASE_MS,
        });
        return { instance, storeLink, entry, entryLink: await openLink(entry, instance.callerAddress) };
    };
    const opened = await Promise.all(range(options.instances).map(openInstance));

    return {
        folder,
        instances: opened.map(item => item.instance),
        storeLinks: opened.map(item => item.storeLink),
        callerLinks: opened.map(item => item.entryLink),
        callerAddresses: opened.map(item => item.entry),
        workerHosts: places,
        store,
        workers,
        getLeader: () => findLeader(store, opened.map(item => item.instance.name)),
        configure: config => store.put(standin.encodeConfigurationRow(config)),
        close: async () => {
            await Promise.all(opened.map(item => item.instance.killAndWait()));
            closers.forEach(close => close());
        },
    };
}

/** What an earlier soak left behind would be taken for this one's instances. */
function checkFree(address: string): Promise<void> {
    const separator = address.lastIndexOf(":");
    const socket = net.connect(Number(address.slice(separator + 1)), address.slice(0, separator));
    return new Promise((resolve, reject) => {
        socket.once("error", () => resolve());
        socket.once("connect", () => {
            socket.destroy();
            reject(new Error(`somebody listens on ${address}: another soak with the same --block?`));
        });
    });
}

/** A worker tells of itself so often; a capacity that has changed shows then. */
const REPORT_EVERY_MS = 1_500;
/** A worker that falls silent leaves the directory after three of its heartbeats. */
const DIRECTORY_SILENCE_MS = 4_500;

/** The holder as the row of the lease names it. */
function findLeader(store: emulator.EmulatedStore, names: readonly string[]): number | undefined {
    const lease = store.getRows("lead").find(row => row.key === "lease");
    const holder = lease && (JSON.parse(lease.value) as { instance: string; }).instance;
    const number = names.findIndex(name => name === holder);
    return number < 0 ? undefined : number;
}

function createWorker(number: number, life: number, address: string): leader.WorkerInfo {
    const rack = `r${Math.floor(number / WORKERS_PER_RACK)}`;
    return {
        id: `worker-${number}-${life}`,
        address,
        zone: ZONES[number % ZONES.length]!,
        service: "service",
        rack,
        labels: ["a", rack],
        capacity: CAPACITY,
        draining: false,
        remainingMs: 0,
    };
}

function scale(capacity: typeof CAPACITY, share: number): typeof CAPACITY {
    return {
        cpuMillis: Math.floor(capacity.cpuMillis * share),
        memoryMb: Math.floor(capacity.memoryMb * share),
        accelerators: Math.floor(capacity.accelerators * share),
    };
}

function range(count: number): number[] {
    return Array.from({ length: count }, (_, number) => number);
}

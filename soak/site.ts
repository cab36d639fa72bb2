/**
 * A site of real processes: instances of the program, each with a link of its own to the store and to its callers;
 * emulated workers behind links; and an in-memory store. All addresses are in one block of loopback addresses.
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
    /** Second octet of the loopback addresses; sites that run concurrently need different blocks. */
    readonly addressBlock: number;
    /** Bandwidth of each connection to the store, except the first instance's; absent: no limit. */
    readonly storeBytesPerSecond?: number;
    readonly storeFaults: emulator.StoreFaults;
    readonly workerFaults: emulator.WorkerFaults;
    /** How many times as long tasks take on each host's workers, besides faults. */
    readonly slowdowns: readonly number[];
    readonly jobs: ReadonlyMap<string, emulator.EmulatedJob>;
    /** Decides whether the worker that replaces a lost one has the same id. */
    restartsUnderSameId(): boolean;
}

/** An address at which one worker runs at a time. */
export interface WorkerHost {
    readonly link: links.Link;
    /** Returns the id of the current worker, if one runs. */
    getWorkerId(): string | undefined;
    /** Returns the id of the current worker's incarnation, if one runs. */
    getIncarnationId(): string | undefined;
    drain(remainingMs: number): void;
    /**
     * Sets the current worker's capacity to this share of the host's; the directory learns of it with the next report.
     */
    resize(share: number): void;
    /** Kills the current worker; `notifyDirectory` removes it from the directory at once, not after its expiry. */
    killWorker(notifyDirectory: boolean): void;
    /** Starts a worker unless one is running. */
    startWorker(): void;
}

export interface Site {
    readonly folder: string;
    readonly instances: readonly instances.Instance[];
    readonly storeLinks: readonly links.Link[];
    readonly callerLinks: readonly links.Link[];
    /** `IP:PORT` of each instance for callers. */
    readonly callerAddresses: readonly string[];
    readonly workerHosts: readonly WorkerHost[];
    readonly store: emulator.EmulatedStore;
    readonly workers: emulator.EmulatedWorkers;
    /** Returns the index of the leader among the instances, if there is one. */
    getLeader(): number | undefined;
    configure(catalog: catalogs.Catalog): void;
    evacuate(zone: string): void;
    restore(zone: string): void;
    close(): Promise<void>;
}

export const ZONES: readonly string[] = ["a", "b", "c"];
const WORKERS_PER_RACK = 3;
const CAPACITY = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 };
const MAX_LEASE_MS = 6_000;
const TASK_STOP_MS = 200;
const CRASH_RESTART_DELAY_MS = 2_500;
const GANG_TIMEOUT_MS = 3_000;
const STORE_LATENCY_MS = 4;
const WORKER_LATENCY_MS = 1;
const STORE_PORT = 7_100;
const WORKER_PORT = 9_000;
const CALLER_PORT = 8_521;
/** Third octet of each kind of loopback address. */
const AddressBlock = {
    Instance: 1,
    StoreServer: 2,
    StoreLink: 3,
    CallerLink: 4,
    WorkerServer: 5,
    WorkerLink: 6,
} as const;

export async function createSite(options: SiteOptions): Promise<Site> {
    const time = clocks.createSystemClock();
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "plantainchute-soak-"));
    const getIp = (block: number, number: number) => `127.${options.addressBlock}.${block}.${number + 1}`;
    const store = emulator.createEmulatedStore({
        clock: time,
        latencyMs: STORE_LATENCY_MS,
        faults: options.storeFaults,
    });
    const workers = emulator.createEmulatedWorkers({
        clock: time,
        latencyMs: WORKER_LATENCY_MS,
        maxLeaseMs: MAX_LEASE_MS,
        stopMs: TASK_STOP_MS,
        gangTimeoutMs: GANG_TIMEOUT_MS,
        faults: {
            ...options.workerFaults,
            getSlowdown: id => (options.workerFaults.getSlowdown?.(id) ?? 1) * getNaturalSlowdown(id),
        },
        getModel: task => emulator.createTaskModel(options.jobs, task),
        onCrash: id => handleCrash(id),
    });
    const getNaturalSlowdown = (id: string) =>
        options.slowdowns[workerHosts.findIndex(host => host.getWorkerId() === id)] ?? 1;
    const cleanups: Array<() => void> = [];
    const openLink = async (listen: string, target: string) => {
        const link = await links.createLink({ listen, target });
        cleanups.push(link.close);
        return link;
    };
    const openServer = async (server: standin.StandinServer, address: string) => {
        await server.listen(address);
        cleanups.push(server.close);
    };

    const createWorkerHost = async (number: number): Promise<WorkerHost> => {
        const server = `${getIp(AddressBlock.WorkerServer, number)}:${WORKER_PORT}`;
        const address = `${getIp(AddressBlock.WorkerLink, number)}:${WORKER_PORT}`;
        let incarnations = 0;
        let worker: leader.WorkerInfo | undefined;
        let lastId: string | undefined;
        const updateDirectory = ({ id }: leader.WorkerInfo) =>
            store.put(standin.encodeWorkerRow(workers.getInfo(id), workers.getStartedAt(id)));
        await openServer(
            standin.createWorkerServer({ port: workers.port, getWorkerId: () => worker?.id }),
            server,
        );
        const link = await openLink(address, server);
        const host: WorkerHost = {
            link,
            getWorkerId: () => worker?.id,
            getIncarnationId: () =>
                worker && leader.getIncarnationId({ name: worker.id, startedAt: workers.getStartedAt(worker.id) }),
            drain: remainingMs => {
                if (worker && !worker.draining) {
                    workers.drain(worker.id, remainingMs);
                    worker = workers.getInfo(worker.id);
                    updateDirectory(worker);
                }
            },
            killWorker: notifyDirectory => {
                if (!worker) {
                    return;
                }
                const { id } = worker;
                worker = undefined;
                workers.kill(id, false);
                const removeFromDirectory = () => {
                    if (worker?.id !== id) {
                        store.remove(standin.getWorkerRowKey(id));
                    }
                };
                time.setTimer(notifyDirectory ? 0 : DIRECTORY_EXPIRY_MS, removeFromDirectory);
            },
            resize: share => {
                if (worker) {
                    workers.resize(worker.id, scale(CAPACITY, share));
                }
            },
            startWorker: () => {
                if (worker) {
                    return;
                }
                if (lastId !== undefined && options.restartsUnderSameId()) {
                    workers.restart(lastId);
                    worker = workers.getInfo(lastId);
                }
                else {
                    incarnations++;
                    worker = createWorker(number, incarnations, address);
                    workers.add(worker);
                }
                lastId = worker.id;
                updateDirectory(worker);
            },
        };
        host.startWorker();
        const reportWorker = () => {
            if (worker) {
                worker = workers.getInfo(worker.id);
                updateDirectory(worker);
            }
        };
        const reportTimer = setInterval(reportWorker, REPORT_INTERVAL_MS);
        cleanups.push(() => clearInterval(reportTimer));
        return host;
    };
    /** Handles a worker that was crashed by a task: the host starts another one some seconds later. */
    const handleCrash = (id: string) => {
        const host = workerHosts.find(candidate => candidate.getWorkerId() === id);
        host?.killWorker(false);
        time.setTimer(CRASH_RESTART_DELAY_MS, () => host?.startWorker());
    };
    const workerHosts: readonly WorkerHost[] = await Promise.all(range(options.workers).map(createWorkerHost));

    const openInstance = async (number: number) => {
        const name = `instance-${number}`;
        await assertNotListening(`${getIp(AddressBlock.Instance, number)}:${CALLER_PORT}`);
        const server = `${getIp(AddressBlock.StoreServer, number)}:${STORE_PORT}`;
        const storeAddress = `${getIp(AddressBlock.StoreLink, number)}:${STORE_PORT}`;
        const callerAddress = `${getIp(AddressBlock.CallerLink, number)}:${CALLER_PORT}`;
        await openServer(standin.createStoreServer(store.open(name)), server);
        const storeLink = await openLink(storeAddress, server);
        if (options.storeBytesPerSecond !== undefined && number > 0) {
            storeLink.setRate(options.storeBytesPerSecond);
        }
        const instance = instances.createInstance({
            name,
            zone: ZONES[number % ZONES.length]!,
            address: getIp(AddressBlock.Instance, number),
            store: storeAddress,
            folder,
            maxLeaseMs: MAX_LEASE_MS,
        });
        return {
            instance,
            storeLink,
            callerAddress,
            callerLink: await openLink(callerAddress, instance.callerAddress),
        };
    };
    const opened = await Promise.all(range(options.instances).map(openInstance));

    return {
        folder,
        instances: opened.map(item => item.instance),
        storeLinks: opened.map(item => item.storeLink),
        callerLinks: opened.map(item => item.callerLink),
        callerAddresses: opened.map(item => item.callerAddress),
        workerHosts,
        store,
        workers,
        getLeader: () => findLeader(store, opened.map(item => item.instance.name)),
        configure: catalog => store.put(standin.encodeConfigurationRow(catalog)),
        evacuate: zone => store.put(standin.encodeEvacuationRow(zone)),
        restore: zone => store.remove(standin.encodeEvacuationRow(zone)),
        close: async () => {
            await Promise.all(opened.map(item => item.instance.killAndWait()));
            cleanups.forEach(close => close());
        },
    };
}

/** Rejects if a process listens on the address; a leftover of an earlier run would be mistaken for an instance. */
function assertNotListening(address: string): Promise<void> {
    const separator = address.lastIndexOf(":");
    const socket = net.connect(Number(address.slice(separator + 1)), address.slice(0, separator));
    return new Promise((resolve, reject) => {
        socket.once("error", () => resolve());
        socket.once("connect", () => {
            socket.destroy();
            reject(new Error(`${address} is in use, perhaps by another soak run with the same --block`));
        });
    });
}

/** Interval of a worker's reports to the directory, which carry its capacity. */
const REPORT_INTERVAL_MS = 1_500;
/** The directory removes a worker after three missed heartbeats. */
const DIRECTORY_EXPIRY_MS = 4_500;

/** Returns the index of the instance that the row of the leader lease names as its holder. */
function findLeader(store: emulator.EmulatedStore, names: readonly string[]): number | undefined {
    const lease = store.getRows("lead").find(row => row.key === "lease");
    const holder = lease && (JSON.parse(lease.value) as { instance: string; }).instance;
    const number = names.findIndex(name => name === holder);
    return number < 0 ? undefined : number;
}

function createWorker(number: number, incarnation: number, address: string): leader.WorkerInfo {
    const rack = `r${Math.floor(number / WORKERS_PER_RACK)}`;
    return {
        id: `worker-${number}-${incarnation}`,
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

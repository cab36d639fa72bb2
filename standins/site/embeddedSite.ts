/** A whole site in one process: stand-in platform and workers on loopback ports, and instances that use real TCP. */
import * as net from "node:net";
import type * as clock from "../../src/clock/index";
import type * as configuration from "../../src/configuration/index";
import * as instanceModule from "../../src/instance/index";
import * as random from "../../src/random/index";
import * as settings from "../../src/settings/index";
import type * as httpServer from "../httpServer";
import * as platform from "../platform/index";
import * as stoppableClock from "../stoppableClock";
import * as worker from "../worker/index";

export interface EmbeddedWorker {
    readonly id: string;
    readonly core: worker.WorkerCore;
    readonly faults: worker.WorkerFaultSwitch;
}

export interface EmbeddedInstance {
    readonly instance: instanceModule.Instance;
    readonly zone: string;
    readonly callersOrigin: string;
    readonly operatorsOrigin: string;
}

export interface EmbeddedSite {
    readonly clock: clock.Clock;
    readonly platform: platform.EmbeddedPlatform;
    readonly workers: readonly EmbeddedWorker[];
    readonly instances: readonly EmbeddedInstance[];
    readonly journal: worker.Journal;
    readonly site: configuration.Site;
    /** Starts another instance in the zone, as for a replacement. */
    addInstance(zone: string): Promise<EmbeddedInstance>;
    /** Stops an instance gracefully or kills it. */
    removeInstance(item: EmbeddedInstance, how: "stop" | "kill"): Promise<void>;
    /** Partitions a zone from the other zones, or ends the partition. */
    setPartitioned(zone: string, partitioned: boolean): void;
    /** Waits until every rack has an owner with all its workers; false after the timeout. */
    waitUntilReady(timeoutMs: number): Promise<boolean>;
    stop(): Promise<void>;
}

export interface EmbeddedSiteOptions {
    readonly site: configuration.Site;
    readonly instances: number;
    readonly seed: number;
    readonly logLevel?: "silent" | "error" | "warn" | "info";
    /** Overrides of the instances' settings, by group. */
    readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
}

const HOST = "127.0.0.1";
const MEMBERSHIP_LAG_MS = 1000;
const MEMBERSHIP_EXPIRY_MS = 4000;
const CHECKPOINT_MS = 100;
const READY_POLL_MS = 50;

export async function startEmbeddedSite(options: EmbeddedSiteOptions): Promise<EmbeddedSite> {
    const time = stoppableClock.createStoppableClock();
    const rng = random.createRandom(options.seed);
    const embeddedPlatform = platform.createEmbeddedPlatform({
        clock: time,
        rng,
        lagMs: MEMBERSHIP_LAG_MS,
        expiryMs: MEMBERSHIP_EXPIRY_MS,
    });
    const journal = worker.createJournal();
    const servers: httpServer.StandinServer[] = [await platform.startPlatformServer(HOST, 0, embeddedPlatform)];
    const origin = `http://${HOST}:${servers[0]!.port}`;
    const workers: EmbeddedWorker[] = [];
    const partitionedZones = new Set<string>();
    const instances: EmbeddedInstance[] = [];
    let startedInstances = 0;

    const startWorker = async (id: string, capacity: configuration.Capacity): Promise<string> => {
        const faults = worker.createFaultSwitch();
        const core = worker.createWorkerCore({
            id,
            clock: time,
            capacity,
            incarnation: 1,
            journal,
            checkpointMs: CHECKPOINT_MS,
            shouldFailTasks: () => faults.get().failTasks,
        });
        const server = await worker.startWorkerServer(HOST, 0, { clock: time, rng, core, faults });
        servers.push(server);
        workers.push({ id, core, faults });
        return `${HOST}:${server.port}`;
    };

    const racks: configuration.Topology["racks"] = [];
    for (const rack of options.site.topology.racks) {
        const rackWorkers = [];
        for (const item of rack.workers) {
            rackWorkers.push({
                id: item.id,
                address: await startWorker(item.id, rack.capacity ?? options.site.topology.capacity),
            });
        }
        racks.push({ ...rack, workers: rackWorkers });
    }
    const site: configuration.Site = { ...options.site, topology: { ...options.site.topology, racks } };

    const addInstance = async (zone: string): Promise<EmbeddedInstance> => {
        startedInstances++;
        const ports = await findFreePorts(3);
        const cfg = settings.instanceSettingsSchema.parse({
            instance: { id: `${zone}-${startedInstances}`, zone },
            listen: { callers: `${HOST}:${ports[0]}`, operators: `${HOST}:${ports[1]}`, peers: `${HOST}:${ports[2]}` },
            platform: { origin },
            log: { level: options.logLevel ?? "warn" },
            ...options.settings,
        });
        const instance = instanceModule.createInstance({
            settings: cfg,
            bootstrapSite: site,
            seed: options.seed + startedInstances,
            isLinkUp: target => target === zone || (!partitionedZones.has(zone) && !partitionedZones.has(target)),
        });
        await instance.start();
        const item: EmbeddedInstance = {
            instance,
            zone,
            callersOrigin: `http://${cfg.listen.callers}`,
            operatorsOrigin: `http://${cfg.listen.operators}`,
        };
        instances.push(item);
        return item;
    };

    const isReady = () => {
        const usable = instances.flatMap(item => item.instance.getStatus().racks).reduce(
            (sum, rack) => sum + rack.usableWorkers,
            0,
        );
        const queues = instances.flatMap(item => item.instance.getStatus().queues);
        const listed = embeddedPlatform.members.getSnapshot().instances.length;
        return usable === workers.length && queues.length === site.topology.zones.length && listed >= instances.length;
    };

    for (let index = 0; index < options.instances; index++) {
        await addInstance(site.topology.zones[index % site.topology.zones.length]!);
    }

    return {
        clock: time,
        platform: embeddedPlatform,
        workers,
        instances,
        journal,
        site,
        addInstance,
        removeInstance: async (item, how) => {
            instances.splice(instances.indexOf(item), 1);
            await item.instance[how]();
        },
        setPartitioned: (zone, partitioned) => {
            if (partitioned) {
                partitionedZones.add(zone);
            }
            else {
                partitionedZones.delete(zone);
            }
        },
        waitUntilReady: async timeoutMs => {
            const deadline = time.now() + timeoutMs;
            while (!isReady() && time.now() < deadline) {
                await time.sleep(READY_POLL_MS);
            }
            return isReady();
        },
        stop: async () => {
            await Promise.all(instances.map(item => item.instance.kill()));
            await Promise.all(servers.map(server => server.close()));
            time.stop();
        },
    };
}

/**
 * Ports below the system's ephemeral port range. The system assigns ports of that range to outgoing connections and to
 * listeners on port 0, so a port that was free there may be in use by the time that it is listened on.
 */
const FIRST_PORT = 12_000;
const PORTS_PER_PROCESS = 100;
/** Processes of one test run have process ids close to each other, so that each gets a block of its own. */
const PORT_BLOCKS = 200;
let nextPortIndex = 0;

/** Returns free ports. A port is not returned again until all others of the process's block have been tried. */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    for (let attempt = 0; ports.length < count; attempt++) {
        if (attempt === PORTS_PER_PROCESS) {
            throw new Error(`fewer than ${count} ports are free in the block that starts at port ${getPort(0)}`);
        }
        const port = getPort(nextPortIndex);
        nextPortIndex++;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

function getPort(index: number): number {
    return FIRST_PORT + process.pid % PORT_BLOCKS * PORTS_PER_PROCESS + index % PORTS_PER_PROCESS;
}

function isFree(port: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", (err: NodeJS.ErrnoException) => err.code === "EADDRINUSE" ? resolve(false) : reject(err));
        server.listen(port, HOST, () => server.close(() => resolve(true)));
    });
}

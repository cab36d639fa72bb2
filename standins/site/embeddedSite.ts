/** A whole site in one process: stand-in platform and workers on loopback ports, and real instances over real TCP. */
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
    /** Starts one more instance in the zone, as a replacement does. */
    addInstance(zone: string): Promise<EmbeddedInstance>;
    removeInstance(item: EmbeddedInstance, how: "stop" | "kill"): Promise<void>;
    /** Cuts a zone off from the other zones, or joins it again. */
    setPartitioned(zone: string, cut: boolean): void;
    /** Resolves once every rack has an owner with all its workers. */
    waitUntilReady(timeoutMs: number): Promise<boolean>;
    stop(): Promise<void>;
}

export interface EmbeddedSiteOptions {
    readonly site: configuration.Site;
    readonly instances: number;
    readonly seed: number;
    readonly logLevel?: "silent" | "error" | "warn" | "info";
    /** Changes to the instances' settings, by group. */
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
    const embedded = platform.createEmbeddedPlatform({
        clock: time,
        rng,
        lagMs: MEMBERSHIP_LAG_MS,
        expiryMs: MEMBERSHIP_EXPIRY_MS,
    });
    const journal = worker.createJournal();
    const servers: httpServer.StandinServer[] = [await platform.startPlatformServer(HOST, 0, embedded)];
    const origin = `http://${HOST}:${servers[0]!.port}`;
    const workers: EmbeddedWorker[] = [];
    const cutZones = new Set<string>();
    const instances: EmbeddedInstance[] = [];
    let started = 0;

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
        started++;
        const ports = await findFreePorts(3);
        const cfg = settings.instanceSettingsSchema.parse({
            instance: { id: `${zone}-${started}`, zone },
            listen: { callers: `${HOST}:${ports[0]}`, operators: `${HOST}:${ports[1]}`, peers: `${HOST}:${ports[2]}` },
            platform: { origin },
            log: { level: options.logLevel ?? "warn" },
            ...options.settings,
        });
        const instance = instanceModule.createInstance({
            settings: cfg,
            bootstrapSite: site,
            seed: options.seed + started,
            isLinkUp: target => target === zone || (!cutZones.has(zone) && !cutZones.has(target)),
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
        const listed = embedded.members.getSnapshot().instances.length;
        return usable === workers.length && queues.length === site.topology.zones.length && listed >= instances.length;
    };

    for (let index = 0; index < options.instances; index++) {
        await addInstance(site.topology.zones[index % site.topology.zones.length]!);
    }

    return {
        clock: time,
        platform: embedded,
        workers,
        instances,
        journal,
        site,
        addInstance,
        removeInstance: async (item, how) => {
            instances.splice(instances.indexOf(item), 1);
            await item.instance[how]();
        },
        setPartitioned: (zone, cut) => {
            if (cut) {
                cutZones.add(zone);
            }
            else {
                cutZones.delete(zone);
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
 * Ports below the range from which the system takes the ports of outgoing connections and of listeners that ask for
 * any port: a port of that range that was free a moment ago may be another connection's by the time it is listened on.
 */
const FIRST_PORT = 12_000;
const PORTS_OF_PROCESS = 100;
/** Processes of one test run have numbers close to each other, so each gets a block of its own. */
const PROCESS_BLOCKS = 200;
let portsTried = 0;

/** Ports that are free; a port is not returned again until all others of this process have been. */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    for (let tries = 0; ports.length < count; tries++) {
        if (tries === PORTS_OF_PROCESS) {
            throw new Error(`fewer than ${count} free ports from ${getPort(0)} on`);
        }
        const port = getPort(portsTried);
        portsTried++;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

function getPort(index: number): number {
    return FIRST_PORT + process.pid % PROCESS_BLOCKS * PORTS_OF_PROCESS + index % PORTS_OF_PROCESS;
}

function isFree(port: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", (err: NodeJS.ErrnoException) => err.code === "EADDRINUSE" ? resolve(false) : reject(err));
        server.listen(port, HOST, () => server.close(() => resolve(true)));
    });
}

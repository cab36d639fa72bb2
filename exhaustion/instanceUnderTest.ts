/** One real process of the program with low limits, its store in memory, and what the process uses. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as standin from "../platform/standin/index";
import * as instances from "../soak/instance";
import type * as catalogs from "../src/catalog/index";
import * as clocks from "../src/clock/index";
import * as emulator from "../src/emulator/index";

/** Limits of the machine that the process believes to run on. */
export interface MachineLimits {
    readonly memoryMb: number;
    readonly heapMb: number;
    readonly descriptors: number;
}

/** Peaks since the start of the process. */
export interface Usage {
    /** Resident memory and the bytes that lie unread in the process's connections. */
    readonly memoryBytes: number;
    readonly descriptors: number;
}

export interface InstanceUnderTest {
    readonly instance: instances.Instance;
    readonly metricsAddress: string;
    /** Whether the process has run without interruption since its start. */
    isAlive(): boolean;
    getPeakUsage(): Usage;
    close(): Promise<void>;
}

export const QUEUE: catalogs.Queue = {
    name: "queue",
    host: "jobs.example",
    pathPrefix: "/q/",
    service: "service",
    priority: 1,
    maxAttempts: 3,
    stretch: 2,
    objectiveMs: 1_000,
    needsKey: true,
};
export const KEY = "key";
/** Limits of requests as they are where the operator sets none. */
export const REQUEST_LIMITS: catalogs.RequestLimits = {
    headerBytes: 16_384,
    bodyBytes: 262_144,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

const CATALOG: catalogs.Catalog = {
    version: 1,
    queues: [QUEUE],
    services: [{ name: "service", refusesOverload: false, spare: false }],
    accounts: [{ name: "account", keys: [KEY], guaranteedAccelerators: 0 }],
    limits: REQUEST_LIMITS,
};
const PROGRAM = path.join(__dirname, "../target/platform/main.js");
const ADDRESS = "127.47.1.1";
const STORE_ADDRESS = "127.47.2.1:7100";
const METRICS_PORT = 9_464;
const STORE_LATENCY_MS = 4;
const MAX_LEASE_MS = 6_000;
const SAMPLE_MS = 50;
const READY_CHECK_MS = 100;

/** Starts the process and resolves when it is ready. */
export async function startInstance(limits: MachineLimits): Promise<InstanceUnderTest> {
    const time = clocks.createSystemClock();
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "plantainchute-exhaustion-"));
    const store = emulator.createEmulatedStore({ clock: time, latencyMs: STORE_LATENCY_MS });
    store.put(standin.encodeConfigurationRow(CATALOG));
    const storeServer = standin.createStoreServer(store.open("instance"));
    await storeServer.listen(STORE_ADDRESS);
    const instance = instances.createInstance({
        name: "instance",
        zone: "a",
        address: ADDRESS,
        store: STORE_ADDRESS,
        folder,
        maxLeaseMs: MAX_LEASE_MS,
        program: PROGRAM,
        heapMb: limits.heapMb,
        limits: { memoryMb: limits.memoryMb, descriptors: limits.descriptors },
    });
    instance.start();
    const client = standin.createCallerClient({ timeoutMs: 1_000, maxConnections: 1 });
    while (instance.isRunning() && !await isServing(client, instance)) {
        await time.sleep(READY_CHECK_MS);
    }
    client.close();
    const usage = { memoryBytes: 0, descriptors: 0 };
    const sampling = setInterval(() => {
        const sample = instance.isRunning() ? sampleUsage(instance.getPid()!) : undefined;
        usage.memoryBytes = Math.max(usage.memoryBytes, sample?.memoryBytes ?? 0);
        usage.descriptors = Math.max(usage.descriptors, sample?.descriptors ?? 0);
    }, SAMPLE_MS);
    return {
        instance,
        metricsAddress: `${ADDRESS}:${METRICS_PORT}`,
        isAlive: instance.isRunning,
        getPeakUsage: () => ({ ...usage }),
        close: async () => {
            clearInterval(sampling);
            await instance.killAndWait();
            storeServer.close();
            fs.rmSync(folder, { recursive: true, force: true });
        },
    };
}

async function isServing(client: standin.CallerClient, instance: instances.Instance): Promise<boolean> {
    return (await client.countWaiting(instance.callerAddress, QUEUE, KEY)).kind === "waiting";
}

/** Returns `undefined` if the process has just exited. */
function sampleUsage(pid: number): Usage | undefined {
    try {
        const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
        const residentKb = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
        return {
            memoryBytes: residentKb * 1_024 + getUnreadBytes(pid),
            descriptors: fs.readdirSync(`/proc/${pid}/fd`).length,
        };
    }
    catch {
        return undefined;
    }
}

/** Sums up what connections to the process's address have received and not read. */
function getUnreadBytes(pid: number): number {
    const localAddress = Buffer.from(ADDRESS.split(".").map(Number).reverse()).toString("hex").toUpperCase();
    const listening = "0A";
    return fs.readFileSync(`/proc/${pid}/net/tcp`, "utf8").split("\n").slice(1)
        .map(line => line.trim().split(/\s+/))
        .filter(([, local, , state]) => local?.startsWith(`${localAddress}:`) && state !== listening)
        .reduce((sum, fields) => sum + parseInt(fields[4]!.split(":")[1]!, 16), 0);
}

/**
 * Starts a whole site as separate processes on loopback, for benchmarks. Benchmarks may start processes; the software
 * itself never does.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as toml from "smol-toml";
import * as undici from "undici";
import type * as configuration from "../src/configuration/index";
import * as settings from "../src/settings/index";
import * as site from "../standins/site/index";

export interface SiteProcess {
    readonly name: string;
    readonly child: childProcess.ChildProcess;
}

export interface ProcessInstance extends SiteProcess {
    readonly zone: string;
    readonly callersOrigin: string;
    readonly operatorsOrigin: string;
}

export interface ProcessSite {
    readonly platformOrigin: string;
    readonly instances: ProcessInstance[];
    readonly workers: ReadonlyArray<{ readonly id: string; readonly zone: string; readonly origin: string; }>;
    startInstance(zone: string): Promise<ProcessInstance>;
    /** Kills the processes that were started here and removes their files. */
    stop(): Promise<void>;
}

export interface ProcessSiteOptions {
    readonly deployment: site.DeploymentName;
    readonly instances: number;
    /** Overrides of the instances' settings, by group. */
    readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
}

const HOST = "127.0.0.1";
const MAIN = path.join(__dirname, "..", "bin", "plantainchute.js");
const READY_TIMEOUT_MS = 30_000;
export const OPERATOR_KEY = "example-operator-key";

export async function startProcessSite(options: ProcessSiteOptions): Promise<ProcessSite> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "plantainchute-bench-"));
    const siteConfig = settings.readSiteFile(site.getSiteFile(options.deployment));
    const children: childProcess.ChildProcess[] = [];
    const instances: ProcessInstance[] = [];
    let startedInstances = 0;

    const startProcess = (name: string, args: readonly string[]): SiteProcess => {
        const logFd = fs.openSync(path.join(folder, `${name}.log`), "a");
        const child = childProcess.spawn(process.execPath, [MAIN, ...args], { stdio: ["ignore", "ignore", logFd] });
        children.push(child);
        return { name, child };
    };
    const writeSettings = (name: string, value: object): string => {
        const file = path.join(folder, name);
        fs.writeFileSync(file, toml.stringify(value as Record<string, unknown>));
        return file;
    };

    const [platformPort] = await site.findFreePorts(1);
    startProcess("platform", [
        "standin",
        "platform",
        "--config",
        writeSettings("platform.toml", { listen: `${HOST}:${platformPort}`, lagMs: 1000, expiryMs: 4000 }),
    ]);
    const platformOrigin = `http://${HOST}:${platformPort}`;

    const workersWithZones = siteConfig.topology.racks.flatMap(rack =>
        rack.workers.map(worker => ({ id: worker.id, zone: rack.zone }))
    );
    const ports = await site.findFreePorts(workersWithZones.length);
    const workers = workersWithZones.map((item, index) => ({
        ...item,
        origin: `http://${HOST}:${ports[index]}`,
        listen: `${HOST}:${ports[index]}`,
    }));
    for (const zone of siteConfig.topology.zones) {
        const zoneWorkers = workers.filter(worker => worker.zone === zone);
        startProcess(`workers-${zone}`, [
            "standin",
            "worker",
            "--config",
            writeSettings(`workers-${zone}.toml`, {
                capacity: siteConfig.topology.capacity,
                platform: platformOrigin,
                workers: zoneWorkers.map(({ id, listen }) => ({ id, zone, listen })),
            }),
        ]);
    }
    const addresses = new Map(workers.map(worker => [worker.id, worker.listen]));
    const racks: configuration.Topology["racks"] = siteConfig.topology.racks.map(rack => ({
        ...rack,
        workers: rack.workers.map(worker => ({ ...worker, address: addresses.get(worker.id)! })),
    }));
    // The rate limits of accounts are lifted, as benchmarks measure the limits of the machine.
    const accounts = siteConfig.accounts.map(account => ({ ...account, ratePerSecond: 1e6, burst: 1e6 }));
    const siteFile = writeSettings("site.toml", {
        ...siteConfig,
        accounts,
        topology: { ...siteConfig.topology, racks },
    });
    await waitFor(() => isUp(`${platformOrigin}/statistics`));

    const startInstance = async (zone: string): Promise<ProcessInstance> => {
        startedInstances++;
        const id = `${zone}-${startedInstances}`;
        const [callers, operators, peers] = await site.findFreePorts(3);
        const file = writeSettings(`${id}.toml`, {
            instance: { id, zone },
            listen: { callers: `${HOST}:${callers}`, operators: `${HOST}:${operators}`, peers: `${HOST}:${peers}` },
            platform: { origin: platformOrigin },
            site: { bootstrapFile: siteFile },
            log: { level: "warn" },
            ...options.settings,
        });
        const item: ProcessInstance = {
            ...startProcess(id, ["serve", "--config", file]),
            zone,
            callersOrigin: `http://${HOST}:${callers}`,
            operatorsOrigin: `http://${HOST}:${operators}`,
        };
        instances.push(item);
        return item;
    };

    for (let index = 0; index < options.instances; index++) {
        await startInstance(siteConfig.topology.zones[index % siteConfig.topology.zones.length]!);
    }
    const result: ProcessSite = {
        platformOrigin,
        instances,
        workers,
        startInstance,
        stop: async () => {
            for (const child of children) {
                child.kill("SIGKILL");
            }
            await Promise.all(children.map(waitForExit));
            fs.rmSync(folder, { recursive: true, force: true });
        },
    };
    await waitFor(() => isReady(result));
    return result;
}

/** Reads the status of an instance; `undefined` if it does not answer. */
export async function readStatus(
    item: ProcessInstance,
): Promise<import("../src/instance/index").InstanceStatus | undefined> {
    try {
        const res = await undici.request(`${item.operatorsOrigin}/v1/status`, {
            headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        });
        return res.statusCode === 200
            ? await res.body.json() as import("../src/instance/index").InstanceStatus
            : (await res.body.dump(), undefined);
    }
    catch {
        return undefined;
    }
}

/** Resolves when the process has exited. */
export function waitForExit(child: childProcess.ChildProcess): Promise<void> {
    return new Promise(resolve => {
        if (typeof child.exitCode === "number" || typeof child.signalCode === "string") {
            resolve();
            return;
        }
        child.once("exit", () => resolve());
    });
}

/** Polls the condition until it is true; rejects after the timeout. */
export async function waitFor(condition: () => Promise<boolean>, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    while (!await condition()) {
        if (Date.now() > deadline) {
            throw new Error("the site did not become ready");
        }
        await sleep(50);
    }
}

export function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function isUp(url: string): Promise<boolean> {
    try {
        const res = await undici.request(url);
        await res.body.dump();
        return res.statusCode === 200;
    }
    catch {
        return false;
    }
}

async function isReady(item: ProcessSite): Promise<boolean> {
    const statuses = await Promise.all(item.instances.map(readStatus));
    const usableWorkers = statuses.flatMap(status => status?.racks ?? []).reduce(
        (sum, rack) => sum + rack.usableWorkers,
        0,
    );
    const hasAllPeers = statuses.every(status => status && status.peers.length >= item.instances.length - 1);
    return usableWorkers === item.workers.length && hasAllPeers;
}

/** Runs one instance of the program as a child process and sends it signals. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as toml from "smol-toml";

export interface InstanceOptions {
    readonly name: string;
    readonly zone: string;
    /** Loopback address on which the instance listens. */
    readonly address: string;
    /** `IP:PORT` of the store. */
    readonly store: string;
    /** Directory for the settings file and the log file. */
    readonly folder: string;
    /** Longest lease of a task on a worker. */
    readonly maxLeaseMs: number;
    /** Compiled entry point, by default the one that was compiled together with this module. */
    readonly program?: string;
    /** Maximum size of the process's heap. */
    readonly heapMb?: number;
    /** Limits of the machine, as its settings state them. */
    readonly limits?: { readonly memoryMb: number; readonly descriptors: number; };
}

export interface Instance {
    readonly name: string;
    /** `IP:PORT` of the server on which other instances watch this one. */
    readonly watchAddress: string;
    /** `IP:PORT` of the server for calls of other instances. */
    readonly peersAddress: string;
    /** Process id of the latest start. */
    getPid(): number | undefined;
    /** `IP:PORT` that callers connect to. */
    readonly callerAddress: string;
    /** `IP:PORT` of the readiness check. */
    readonly readinessAddress: string;
    /** Counts the starts of the process. */
    getIncarnation(): number;
    isRunning(): boolean;
    start(): void;
    kill(): void;
    /** Sends SIGTERM, and SIGKILL after the grace period. */
    terminate(): void;
    pause(): void;
    resume(): void;
    /** Kills the process and resolves when it has exited. */
    killAndWait(): Promise<void>;
}

const PROGRAM = path.join(__dirname, "../platform/main.js");
const CALLERS_PORT = 8_521;
const READINESS_PORT = 8_523;
const WATCH_PORT = 7_000;
const PEERS_PORT = 7_001;
const SHUTDOWN_GRACE_S = 6;
const UPKEEP_S = 2;
const STATUS_S = 120;
const DEFAULT_HEAP_MB = 160;
const CONTACT_MS = 3_000;
const REPORT_MS = 1_500;
const CONFIGURATION_MS = 2_000;
/** Longest time from an evacuation until nothing starts in the zone. */
export const EVACUATION_MS = 5_000;

/** Kills the instances when the soak test exits early, so that no process is left behind. */
const killOnExit = new Set<() => void>();
process.once("exit", () => killOnExit.forEach(kill => kill()));

export function createInstance(options: InstanceOptions): Instance {
    const settingsFile = path.join(options.folder, `${options.name}.toml`);
    const logFile = path.join(options.folder, `${options.name}.log`);
    const callers = `${options.address}:${CALLERS_PORT}`;
    const readiness = `${options.address}:${READINESS_PORT}`;
    const watch = `${options.address}:${WATCH_PORT}`;
    const peers = `${options.address}:${PEERS_PORT}`;
    fs.writeFileSync(
        settingsFile,
        toml.stringify({
            instance: options.name,
            zone: options.zone,
            address: options.address,
            callers,
            readiness,
            watch,
            peers,
            store: options.store,
            ...options.limits && { limits: options.limits },
            bounds: {
                maxLeaseMs: options.maxLeaseMs,
                graceSeconds: SHUTDOWN_GRACE_S,
                upkeepSeconds: UPKEEP_S,
                statusSeconds: STATUS_S,
                configurationMs: CONFIGURATION_MS,
                evacuationMs: EVACUATION_MS,
                contactMs: CONTACT_MS,
                reportMs: REPORT_MS,
            },
        }),
    );
    let child: childProcess.ChildProcess | undefined;
    let incarnation = 0;

    const isRunning = () =>
        child !== undefined && typeof child.exitCode !== "number" && typeof child.signalCode !== "string";
    const signal = (name: NodeJS.Signals) => {
        if (isRunning()) {
            child!.kill(name);
        }
    };
    // SIGKILL also ends a paused process; SIGTERM would stay pending.
    const kill = () => signal("SIGKILL");
    killOnExit.add(kill);
    return {
        name: options.name,
        callerAddress: callers,
        readinessAddress: readiness,
        watchAddress: watch,
        peersAddress: peers,
        getPid: () => child?.pid,
        getIncarnation: () => incarnation,
        isRunning,
        start: () => {
            if (isRunning()) {
                return;
            }
            incarnation++;
            const logFd = fs.openSync(logFile, "a");
            const heapMb = options.heapMb ?? DEFAULT_HEAP_MB;
            const program = options.program ?? PROGRAM;
            child = childProcess.spawn(process.execPath, [`--max-old-space-size=${heapMb}`, program], {
                env: { PLANTAINCHUTE_CONFIG: settingsFile, PATH: process.env["PATH"] },
                stdio: ["ignore", logFd, logFd],
            });
            fs.closeSync(logFd);
        },
        kill,
        terminate: () => {
            const terminatedChild = child;
            signal("SIGTERM");
            setTimeout(() => {
                if (terminatedChild === child) {
                    kill();
                }
            }, SHUTDOWN_GRACE_S * 1_000).unref();
        },
        pause: () => signal("SIGSTOP"),
        resume: () => signal("SIGCONT"),
        killAndWait: async () => {
            kill();
            if (isRunning()) {
                await new Promise<void>(resolve => child!.once("exit", () => resolve()));
            }
            killOnExit.delete(kill);
        },
    };
}

/** One instance of the program as a process of its own, and the signals that it gets. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as toml from "smol-toml";

export interface InstanceOptions {
    readonly name: string;
    readonly zone: string;
    /** Loopback address of the instance's own interfaces. */
    readonly address: string;
    /** `IP:PORT` at which it finds the store. */
    readonly store: string;
    /** For settings and output. */
    readonly folder: string;
    /** Longest lease of what runs on a worker. */
    readonly maxLeaseMs: number;
}

export interface Instance {
    readonly name: string;
    /** `IP:PORT` for callers, and of the readiness check. */
    readonly callerAddress: string;
    readonly readinessAddress: string;
    /** Rises with each start. */
    getIncarnation(): number;
    isRunning(): boolean;
    start(): void;
    kill(): void;
    /** Asks the process to end, and kills it after the grace. */
    terminate(): void;
    pause(): void;
    resume(): void;
    /** Resolves when no process is left. */
    killAndWait(): Promise<void>;
}

const PROGRAM = path.join(__dirname, "../platform/main.js");
const CALLERS_PORT = 8_521;
const READINESS_PORT = 8_523;
const WATCH_PORT = 7_000;
const PEERS_PORT = 7_001;
const GRACE_S = 6;
const UPKEEP_S = 2;
const STATUS_S = 120;
const CONTACT_MS = 3_000;
const REPORT_MS = 1_500;
const CONFIGURATION_MS = 2_000;

/** A soak that is ended early leaves no process behind. */
const atExit = new Set<() => void>();
process.once("exit", () => atExit.forEach(kill => kill()));

export function createInstance(options: InstanceOptions): Instance {
    const settings = path.join(options.folder, `${options.name}.toml`);
    const output = path.join(options.folder, `${options.name}.log`);
    const callers = `${options.address}:${CALLERS_PORT}`;
    const readiness = `${options.address}:${READINESS_PORT}`;
    fs.writeFileSync(
        settings,
        toml.stringify({
            instance: options.name,
            zone: options.zone,
            address: options.address,
            callers,
            readiness,
            watch: `${options.address}:${WATCH_PORT}`,
            peers: `${options.address}:${PEERS_PORT}`,
            store: options.store,
            bounds: {
                maxLeaseMs: options.maxLeaseMs,
                graceSeconds: GRACE_S,
                upkeepSeconds: UPKEEP_S,
                statusSeconds: STATUS_S,
                configurationMs: CONFIGURATION_MS,
                contactMs: CONTACT_MS,
                reportMs: REPORT_MS,
            },
        }),
    );
    let child: childProcess.ChildProcess | undefined;
    let life = 0;

    const isRunning = () =>
        child !== undefined && typeof child.exitCode !== "number" && typeof child.signalCode !== "string";
    const signal = (name: NodeJS.Signals) => {
        if (isRunning()) {
            child!.kill(name);
        }
    };
    // A paused process dies of this signal too.
    const kill = () => signal("SIGKILL");
    atExit.add(kill);
    return {
        name: options.name,
        callerAddress: callers,
        readinessAddress: readiness,
        getIncarnation: () => life,
        isRunning,
        start: () => {
            if (isRunning()) {
                return;
            }
            life++;
            const log = fs.openSync(output, "a");
            child = childProcess.spawn(process.execPath, ["--max-old-space-size=160", PROGRAM], {
                env: { PLANTAINCHUTE_CONFIG: settings, PATH: process.env["PATH"] },
                stdio: ["ignore", log, log],
            });
            fs.closeSync(log);
        },
        kill,
        terminate: () => {
            const ending = child;
            signal("SIGTERM");
            setTimeout(() => {
                if (ending === child) {
                    kill();
                }
            }, GRACE_S * 1_000).unref();
        },
        pause: () => signal("SIGSTOP"),
        resume: () => signal("SIGCONT"),
        killAndWait: async () => {
            kill();
            if (isRunning()) {
                await new Promise<void>(resolve => child!.once("exit", () => resolve()));
            }
            atExit.delete(kill);
        },
    };
}

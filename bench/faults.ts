/**
 * Injects faults into a site of separate processes under load and counts violations from workers' and callers' records.
 */
import * as undici from "undici";
import * as async from "../src/async/index";
import * as clock from "../src/clock/index";
import * as load from "../src/load/index";
import * as random from "../src/random/index";
import * as siteModule from "../standins/site/index";
import type * as worker from "../standins/worker/index";
import * as processes from "./processes";

interface FaultCase {
    readonly name: string;
    /** Injects the fault and ends it while the load continues. */
    readonly run: (site: processes.ProcessSite) => Promise<void>;
}

interface FaultResult extends siteModule.ViolationCounts {
    readonly fault: string;
    readonly sent: number;
    readonly completed: number;
    readonly notRun: number;
    /** Completed interactive requests per second during the fault, divided by those before it. */
    readonly interactiveGoodput: number;
}

const BASELINE_MS = 6000;
const RECOVERY_MS = 8000;
const CALLER_PATIENCE_MS = 60_000;
const LOAD_SCALE = 0.5;

async function post(url: string, body: unknown): Promise<unknown> {
    const res = await undici.request(url, { method: "POST", body: JSON.stringify(body) });
    return res.body.json();
}

async function setPlatformFaults(site: processes.ProcessSite, faults: object): Promise<void> {
    await post(`${site.platformOrigin}/faults`, faults);
}

async function stopAndReplace(site: processes.ProcessSite, signal: "SIGKILL" | "SIGTERM"): Promise<void> {
    const victim = site.instances.shift()!;
    victim.child.kill(signal);
    await site.startInstance(victim.zone);
    await processes.waitForExit(victim.child);
}

const CASES: readonly FaultCase[] = [
    { name: "instance killed", run: site => stopAndReplace(site, "SIGKILL") },
    {
        name: "all instances of a zone killed",
        run: async site => {
            const { zone } = site.instances[0]!;
            const victims = site.instances.filter(item => item.zone === zone);
            for (const victim of victims) {
                site.instances.splice(site.instances.indexOf(victim), 1);
                victim.child.kill("SIGKILL");
            }
            await processes.sleep(10_000);
            await site.startInstance(zone);
        },
    },
    {
        name: "instance paused past its leases",
        run: async site => {
            const victim = site.instances.shift()!;
            victim.child.kill("SIGSTOP");
            await processes.sleep(8000);
            victim.child.kill("SIGCONT");
            await processes.sleep(2000);
            site.instances.push(victim);
        },
    },
    {
        name: "store down 15 s",
        run: async site => {
            await setPlatformFaults(site, { down: true });
            await processes.sleep(15_000);
            await setPlatformFaults(site, { down: false });
        },
    },
    {
        name: "store loses a third of its answers",
        run: async site => {
            await setPlatformFaults(site, { loseAnswers: 0.33 });
            await processes.sleep(8000);
            await setPlatformFaults(site, { loseAnswers: 0 });
        },
    },
    {
        name: "worker fails every task",
        run: async site => {
            await post(`${site.workers[0]!.origin}/faults`, { failTasks: true });
            await processes.sleep(8000);
            await post(`${site.workers[0]!.origin}/faults`, { failTasks: false });
        },
    },
    {
        name: "workers lose a tenth of their answers",
        run: async site => {
            const faulty = site.workers.slice(0, 10);
            await Promise.all(faulty.map(item => post(`${item.origin}/faults`, { loseAnswers: 0.1 })));
            await processes.sleep(8000);
            await Promise.all(faulty.map(item => post(`${item.origin}/faults`, { loseAnswers: 0 })));
        },
    },
    {
        name: "rolling replacement of all",
        run: async site => {
            for (let count = site.instances.length; count > 0; count--) {
                await stopAndReplace(site, "SIGTERM");
            }
        },
    },
    {
        name: "store down and instance killed",
        run: async site => {
            await setPlatformFaults(site, { down: true });
            await processes.sleep(3000);
            site.instances.shift()!.child.kill("SIGKILL");
            await processes.sleep(5000);
            await setPlatformFaults(site, { down: false });
        },
    },
];

async function runCase(item: FaultCase, seed: number): Promise<FaultResult> {
    const site = await processes.startProcessSite({ deployment: "cedarflue", instances: 7 });
    try {
        const time = clock.createSystemClock();
        const rng = random.createRandom(seed);
        const log = load.createCallerLog();
        const client = load.createCallersClient(() => rng.pick(site.instances).callersOrigin, 32);
        const loadGenerator = load.createLoad({ clock: time, rng, client, log, patienceMs: CALLER_PATIENCE_MS });
        const stopped = async.createAbortController();
        const running = loadGenerator.run(siteModule.getDemoStreams("cedarflue", LOAD_SCALE), stopped.signal);
        const startedAt = time.now();
        await processes.sleep(BASELINE_MS);
        const faultAt = time.now();
        await item.run(site);
        const endedAt = time.now();
        await processes.sleep(RECOVERY_MS);
        stopped.abort();
        await running;
        await client.close();
        const journal = await readJournal(site);
        const summary = log.summarize();
        const getRate = (from: number, to: number) =>
            log.getRecords().filter(record =>
                record.jobClass === "interactive" && record.outcome === "done" && record.submittedAt >= from
                && record.submittedAt < to
            ).length / (to - from);
        return {
            fault: item.name,
            sent: summary.sent,
            completed: summary.completed,
            notRun: summary.notRun,
            interactiveGoodput: getRate(faultAt, Math.max(endedAt, faultAt + 1000))
                / getRate(startedAt + 1000, faultAt),
            ...siteModule.countViolations(log.getRecords(), journal, Infinity),
        };
    }
    finally {
        await site.stop();
    }
}

/** Reads the journals. The workers of one process share one, and there is one process per zone. */
async function readJournal(site: processes.ProcessSite): Promise<worker.JournalEntry[]> {
    const zones = [...new Set(site.workers.map(item => item.zone))];
    const origins = zones.map(zone => site.workers.find(item => item.zone === zone)!.origin);
    const journals = await Promise.all(
        origins.map(origin => post(`${origin}/journal`, {}) as Promise<worker.JournalEntry[]>),
    );
    return journals.flat();
}

async function main(): Promise<void> {
    const nameFilter = process.argv.find(argument => argument.startsWith("--only="))?.slice("--only=".length);
    const json = process.argv.includes("--json");
    let violations = 0;
    for (const [index, item] of CASES.entries()) {
        if (nameFilter !== undefined && !item.name.includes(nameFilter)) {
            continue;
        }
        const result = await runCase(item, index + 1);
        violations += result.lost + result.duplicated + result.crossed + result.partialGangs + result.falseNotRun;
        process.stdout.write(json ? `${JSON.stringify(result)}\n` : `${format(result)}\n`);
    }
    process.exit(violations === 0 ? 0 : 1);
}

function format(result: FaultResult): string {
    const { fault, interactiveGoodput, ...counts } = result;
    const rest = Object.entries(counts).map(([key, value]) => `${key} ${value}`).join(", ");
    return `${fault}: interactive goodput ${interactiveGoodput.toFixed(2)}; ${rest}`;
}

void main();

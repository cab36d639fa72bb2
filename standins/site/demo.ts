/** The demo: an embedded site of a deployment's real size under a mixed load, with a count of violations. */
import * as path from "node:path";
import * as async from "../../src/async/index";
import * as load from "../../src/load/index";
import * as placement from "../../src/placement/index";
import * as random from "../../src/random/index";
import * as settings from "../../src/settings/index";
import * as demoLoad from "./demoLoad";
import * as embeddedSite from "./embeddedSite";
import * as violations from "./violations";

export interface DemoOptions {
    readonly deployment: demoLoad.DeploymentName;
    readonly seconds: number;
    readonly seed: number;
    readonly scale: number;
    readonly onProgress: (line: string) => void;
}

export interface DemoSummary extends load.LoadSummary, violations.ViolationCounts {
    readonly deployment: string;
    readonly workers: number;
    readonly instances: number;
    /** Mean over time of 1 − (accelerators free in whole workers ÷ all free accelerators), read from the workers. */
    readonly fragmentation: number;
    /** Mean share of the accelerators in use, from 0 to 1. */
    readonly utilisation: number;
    readonly tableRowsWritten: number;
    readonly memoryMb: number;
}

const INSTANCES = 7;
const READY_TIMEOUT_MS = 20_000;
const CALLER_PATIENCE_MS = 40_000;
const SAMPLE_INTERVAL_MS = 100;
const PROGRESS_INTERVAL_MS = 1000;

/** Returns the path of a deployment's site file. */
export function getSiteFile(deployment: demoLoad.DeploymentName): string {
    return path.join(findPackageRoot(), "deployments", deployment, "site.toml");
}

/** The sources and their compiled form are at different depths below the package root. */
function findPackageRoot(): string {
    const root = path.resolve(__dirname, "..", "..");
    return path.basename(root) === "dist" ? path.dirname(root) : root;
}

export async function runDemo(options: DemoOptions): Promise<DemoSummary> {
    const site = settings.readSiteFile(getSiteFile(options.deployment));
    options.onProgress(`starting ${INSTANCES} instances and their site ...`);
    const embedded = await embeddedSite.startEmbeddedSite({ site, instances: INSTANCES, seed: options.seed });
    if (!await embedded.waitUntilReady(READY_TIMEOUT_MS)) {
        throw new Error("the site did not become ready");
    }
    const rng = random.createRandom(options.seed);
    const time = embedded.clock;
    const log = load.createCallerLog();
    const client = load.createCallersClient(() => rng.pick(embedded.instances).callersOrigin, 32);
    const loadGenerator = load.createLoad({ clock: time, rng, client, log, patienceMs: CALLER_PATIENCE_MS });
    const stopped = async.createAbortController();
    const samples = sample(embedded, stopped.signal);
    const progress = reportProgress(embedded, log, options, stopped.signal);
    const stopTimer = time.sleep(options.seconds * 1000).then(() => stopped.abort());
    await loadGenerator.run(demoLoad.getDemoStreams(options.deployment, options.scale), stopped.signal);
    await Promise.all([stopTimer, progress]);
    const { fragmentation, utilisation } = await samples;
    const summary: DemoSummary = {
        deployment: options.deployment,
        workers: embedded.workers.length,
        instances: embedded.instances.length,
        ...log.summarize(),
        ...violations.countViolations(log.getRecords(), embedded.journal.getEntries(), time.now()),
        fragmentation,
        utilisation,
        tableRowsWritten: embedded.platform.store.getRowsWritten(),
        memoryMb: Math.round(process.memoryUsage().rss / 1_048_576),
    };
    await client.close();
    await embedded.stop();
    return summary;
}

/** Means over time of fragmentation and utilisation, read from the workers. */
async function sample(
    embedded: embeddedSite.EmbeddedSite,
    signal: AbortSignal,
): Promise<{ fragmentation: number; utilisation: number; }> {
    const capacity = embedded.site.topology.capacity.accelerators;
    let fragmentation = 0;
    let utilisation = 0;
    let count = 0;
    while (!signal.aborted) {
        const free = embedded.workers.map(worker => worker.core.getFreeResources().accelerators);
        const total = free.reduce((sum, value) => sum + value, 0);
        const whole = free.filter(value => value === capacity).length * capacity;
        fragmentation += placement.getFragmentation(total, whole);
        utilisation += 1 - total / (capacity * free.length);
        count++;
        await embedded.clock.sleep(SAMPLE_INTERVAL_MS, signal);
    }
    return { fragmentation: fragmentation / Math.max(1, count), utilisation: utilisation / Math.max(1, count) };
}

async function reportProgress(
    embedded: embeddedSite.EmbeddedSite,
    log: load.CallerLog,
    options: DemoOptions,
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted) {
        await embedded.clock.sleep(PROGRESS_INTERVAL_MS, signal);
        const summary = log.summarize();
        options.onProgress(
            `sent ${summary.sent}, completed ${summary.completed}, open ${summary.open}, not run ${summary.notRun}, `
                + `p50 ${summary.p50Ms.toFixed(1)} ms, p99 ${summary.p99Ms.toFixed(1)} ms`,
        );
    }
}

/** Whether the run had no violations. */
export function hasNoViolations(summary: DemoSummary): boolean {
    return summary.lost + summary.duplicated + summary.crossed + summary.partialGangs + summary.falseNotRun === 0;
}

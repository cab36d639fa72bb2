/** Compares the scheduling policies by simulated days of both deployments, for each workload mix and several seeds. */
import * as workerThreads from "node:worker_threads";
import * as configuration from "../src/configuration/index";
import * as settings from "../src/settings/index";
import * as site from "../standins/site/index";
import * as simulation from "./policy/simulateDay";
import * as workload from "./policy/workload";

interface Trial {
    readonly deployment: site.DeploymentName;
    readonly mix: workload.Mix;
    readonly policy: configuration.Policy["kind"];
    readonly seed: number;
}

interface TrialResult extends Trial {
    readonly meanCompletionMs: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly urgentP99Ms: number;
    readonly largeWaitP50Ms: number;
    readonly largeWaitP99Ms: number;
    readonly fragmentation: number;
    readonly utilisation: number;
    readonly lostWorkHours: number;
    readonly evictions: number;
    readonly reclaims: number;
    readonly reclaimsWithinGrace: number;
    readonly interactiveP99Ms: number;
    readonly unfinished: number;
    readonly byAccount: Readonly<Record<string, number>>;
}

const POLICIES = ["fifoFirstFit", "bestFit", "guaranteed"] as const;
const DEPLOYMENTS = ["cedarflue", "breizh"] as const;
const SEEDS = [1, 2, 3, 4, 5];
const LARGE_JOB_ACCELERATORS = 16;
const HOUR_MS = 3_600_000;
const THREADS = 6;

function runTrial(trial: Trial): TrialResult {
    const siteConfig = settings.readSiteFile(site.getSiteFile(trial.deployment));
    const { topology } = siteConfig;
    const contracts = configuration.contractsSchema.parse({
        accounts: siteConfig.accounts,
        operators: siteConfig.operators,
        presets: siteConfig.presets,
        policy: siteConfig.policy,
        limits: siteConfig.limits,
    });
    const preset = trial.mix === "peak" || trial.mix === "maintenance" ? trial.mix : "ordinary";
    const policy: configuration.Policy = trial.policy === "guaranteed" ? contracts.policy : { kind: trial.policy };
    const current: configuration.Configuration = {
        head: { revision: 1, preset, contractsDigest: "", topologyDigest: "", effectiveAtMs: 0, operationId: "" },
        contracts: { ...contracts, policy },
        topology,
    };
    const failingUntilMs = new Map(
        trial.mix === "failingWorkers"
            ? topology.racks.map(rack => [rack.workers[0]!.id, 12 * HOUR_MS] as const).slice(0, 3)
            : [],
    );
    const result = simulation.simulateDay({
        current,
        jobs: workload.createWorkload(trial.deployment, trial.mix, trial.seed),
        seed: trial.seed,
        failingUntilMs,
        measureFromMs: 0,
        endMs: 3 * workload.DAY_MS,
    });
    const completions = result.completions.map(item => item.completionMs);
    const large = result.completions.filter(item => item.accelerators >= LARGE_JOB_ACCELERATORS).map(item =>
        item.waitMs
    );
    const urgent = result.completions.filter(item => item.jobClass === "urgent").map(item => item.completionMs);
    const graceMs = contracts.limits.reclaimGraceMs;
    return {
        ...trial,
        meanCompletionMs: mean(completions),
        p50Ms: getPercentile(completions, 0.5),
        p99Ms: getPercentile(completions, 0.99),
        urgentP99Ms: getPercentile(urgent, 0.99),
        largeWaitP50Ms: getPercentile(large, 0.5),
        largeWaitP99Ms: getPercentile(large, 0.99),
        fragmentation: result.fragmentation,
        utilisation: result.utilisation,
        lostWorkHours: result.lostWorkMs / HOUR_MS,
        evictions: result.evictions,
        reclaims: result.reclaimDelaysMs.length,
        reclaimsWithinGrace: result.reclaimDelaysMs.filter(ms => ms <= graceMs).length,
        interactiveP99Ms: getPercentile(result.interactiveLatenciesMs, 0.99),
        unfinished: result.unfinished,
        byAccount: Object.fromEntries(contracts.accounts.map(account => [
            account.name,
            mean(result.completions.filter(item => item.account === account.name).map(item => item.completionMs)),
        ])),
    };
}

function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function median(values: readonly number[]): number {
    return getPercentile(values, 0.5);
}

function getPercentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

async function runAll(trials: readonly Trial[]): Promise<TrialResult[]> {
    const results: TrialResult[] = [];
    let nextIndex = 0;
    const runThread = () =>
        new Promise<void>((resolve, reject) => {
            const thread = new workerThreads.Worker(__filename);
            const runNextTrial = () =>
                nextIndex < trials.length
                    ? thread.postMessage(trials[nextIndex++])
                    : void thread.terminate().then(() => resolve());
            thread.on("message", (result: TrialResult) => {
                results.push(result);
                runNextTrial();
            });
            thread.on("error", reject);
            runNextTrial();
        });
    await Promise.all(Array.from({ length: THREADS }, runThread));
    return results;
}

interface Row extends Record<string, string | number> {}

/** Medians over the seeds; ratios are relative to the result of "fifoFirstFit" with the same seed. */
function summarize(results: readonly TrialResult[]): Row[] {
    const rows: Row[] = [];
    for (const deployment of DEPLOYMENTS) {
        for (const mix of workload.MIXES) {
            if (!results.some(item => item.mix === mix)) {
                continue;
            }
            for (const policy of POLICIES) {
                const ownResults = SEEDS.map(seed =>
                    results.find(item =>
                        item.deployment === deployment && item.mix === mix && item.policy === policy
                        && item.seed === seed
                    )!
                );
                const baselineResults = SEEDS.map(seed =>
                    results.find(item =>
                        item.deployment === deployment && item.mix === mix && item.policy === "fifoFirstFit"
                        && item.seed === seed
                    )!
                );
                const ratio = (key: "meanCompletionMs" | "largeWaitP99Ms" | "fragmentation" | "interactiveP99Ms") =>
                    median(ownResults.map((item, index) => item[key] / Math.max(1e-9, baselineResults[index]![key])));
                const medianOf = (
                    key:
                        | "meanCompletionMs"
                        | "p50Ms"
                        | "p99Ms"
                        | "urgentP99Ms"
                        | "largeWaitP50Ms"
                        | "largeWaitP99Ms"
                        | "fragmentation"
                        | "utilisation"
                        | "lostWorkHours"
                        | "evictions",
                ) => median(ownResults.map(item => item[key]));
                rows.push({
                    deployment,
                    mix,
                    policy,
                    meanMin: round(medianOf("meanCompletionMs") / 60_000),
                    meanRatio: round(ratio("meanCompletionMs")),
                    p50Min: round(medianOf("p50Ms") / 60_000),
                    p99Min: round(medianOf("p99Ms") / 60_000),
                    urgentP99Min: round(medianOf("urgentP99Ms") / 60_000),
                    largeWaitP99Min: round(medianOf("largeWaitP99Ms") / 60_000),
                    largeRatio: round(ratio("largeWaitP99Ms")),
                    frag: round(medianOf("fragmentation")),
                    fragRatio: round(ratio("fragmentation")),
                    util: round(medianOf("utilisation")),
                    evictions: medianOf("evictions"),
                    lostHours: round(medianOf("lostWorkHours")),
                    reclaimOk: `${ownResults.reduce((sum, item) => sum + item.reclaimsWithinGrace, 0)}/${
                        ownResults.reduce((sum, item) => sum + item.reclaims, 0)
                    }`,
                    unfinished: ownResults.reduce((sum, item) => sum + item.unfinished, 0),
                });
            }
        }
    }
    return rows;
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}

async function main(): Promise<void> {
    const mixFilter = process.argv.find(argument => argument.startsWith("--mix="))?.slice("--mix=".length);
    const trials = DEPLOYMENTS.flatMap(deployment =>
        workload.MIXES.flatMap(mix =>
            POLICIES.flatMap(policy => SEEDS.map(seed => ({ deployment, mix, policy, seed })))
        )
    ).filter(trial => mixFilter === undefined || trial.mix === mixFilter);
    const results = await runAll(trials);
    const rows = summarize(results);
    if (process.argv.includes("--json")) {
        process.stdout.write(`${JSON.stringify({ rows, results })}\n`);
        return;
    }
    const columns = Object.keys(rows[0]!);
    const widths = columns.map(column => Math.max(column.length, ...rows.map(row => String(row[column]).length)));
    for (const cells of [columns, ...rows.map(row => columns.map(column => String(row[column])))]) {
        process.stdout.write(`${cells.map((cell, index) => cell.padEnd(widths[index]!)).join(" ")}\n`);
    }
}

if (workerThreads.isMainThread) {
    void main();
}
else {
    workerThreads.parentPort!.on("message", (trial: Trial) => workerThreads.parentPort!.postMessage(runTrial(trial)));
}

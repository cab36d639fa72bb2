/** Compares the policies over both deployments' days: all mixes, several seeds, every policy in one run. */
import * as workerThreads from "node:worker_threads";
import * as configuration from "../src/configuration/index";
import * as settings from "../src/settings/index";
import * as site from "../standins/site/index";
import * as day from "./policy/simulateDay";
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
const LARGE = 16;
const HOUR_MS = 3_600_000;
const THREADS = 6;

function runTrial(trial: Trial): TrialResult {
    const file = settings.readSiteFile(site.getSiteFile(trial.deployment));
    const { topology } = file;
    const contracts = configuration.contractsSchema.parse({
        accounts: file.accounts,
        operators: file.operators,
        presets: file.presets,
        policy: file.policy,
        limits: file.limits,
    });
    const preset = trial.mix === "peak" || trial.mix === "maintenance" ? trial.mix : "ordinary";
    const policy: configuration.Policy = trial.policy === "guaranteed" ? contracts.policy : { kind: trial.policy };
    const current: configuration.Configuration = {
        head: { revision: 1, preset, contractsDigest: "", topologyDigest: "", effectiveAtMs: 0, operationId: "" },
        contracts: { ...contracts, policy },
        topology,
    };
    const failing = new Map(
        trial.mix === "failingWorkers"
            ? topology.racks.map(rack => [rack.workers[0]!.id, 12 * HOUR_MS] as const).slice(0, 3)
            : [],
    );
    const result = day.simulateDay({
        current,
        jobs: workload.createWorkload(trial.deployment, trial.mix, trial.seed),
        seed: trial.seed,
        failingUntilMs: failing,
        measureFromMs: 0,
        endMs: 3 * workload.DAY_MS,
    });
    const completions = result.completions.map(item => item.completionMs);
    const large = result.completions.filter(item => item.accelerators >= LARGE).map(item => item.waitMs);
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
    let next = 0;
    const runThread = () =>
        new Promise<void>((resolve, reject) => {
            const thread = new workerThreads.Worker(__filename);
            const feed = () =>
                next < trials.length
                    ? thread.postMessage(trials[next++])
                    : void thread.terminate().then(() => resolve());
            thread.on("message", (result: TrialResult) => {
                results.push(result);
                feed();
            });
            thread.on("error", reject);
            feed();
        });
    await Promise.all(Array.from({ length: THREADS }, runThread));
    return results;
}

interface Row extends Record<string, string | number> {}

/** Medians over the seeds, ours as ratios to the baseline of the same seed. */
function summarize(results: readonly TrialResult[]): Row[] {
    const rows: Row[] = [];
    for (const deployment of DEPLOYMENTS) {
        for (const mix of workload.MIXES) {
            if (!results.some(item => item.mix === mix)) {
                continue;
            }
            for (const policy of POLICIES) {
                const own = SEEDS.map(seed =>
                    results.find(item =>
                        item.deployment === deployment && item.mix === mix && item.policy === policy
                        && item.seed === seed
                    )!
                );
                const base = SEEDS.map(seed =>
                    results.find(item =>
                        item.deployment === deployment && item.mix === mix && item.policy === "fifoFirstFit"
                        && item.seed === seed
                    )!
                );
                const ratio = (key: "meanCompletionMs" | "largeWaitP99Ms" | "fragmentation" | "interactiveP99Ms") =>
                    median(own.map((item, index) => item[key] / Math.max(1e-9, base[index]![key])));
                const pick = (
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
                ) => median(own.map(item => item[key]));
                rows.push({
                    deployment,
                    mix,
                    policy,
                    meanMin: round(pick("meanCompletionMs") / 60_000),
                    meanRatio: round(ratio("meanCompletionMs")),
                    p50Min: round(pick("p50Ms") / 60_000),
                    p99Min: round(pick("p99Ms") / 60_000),
                    urgentP99Min: round(pick("urgentP99Ms") / 60_000),
                    largeWaitP99Min: round(pick("largeWaitP99Ms") / 60_000),
                    largeRatio: round(ratio("largeWaitP99Ms")),
                    frag: round(pick("fragmentation")),
                    fragRatio: round(ratio("fragmentation")),
                    util: round(pick("utilisation")),
                    evictions: pick("evictions"),
                    lostHours: round(pick("lostWorkHours")),
                    reclaimOk: `${own.reduce((sum, item) => sum + item.reclaimsWithinGrace, 0)}/${
                        own.reduce((sum, item) => sum + item.reclaims, 0)
                    }`,
                    unfinished: own.reduce((sum, item) => sum + item.unfinished, 0),
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
    const only = process.argv.find(argument => argument.startsWith("--mix="))?.slice("--mix=".length);
    const trials = DEPLOYMENTS.flatMap(deployment =>
        workload.MIXES.flatMap(mix =>
            POLICIES.flatMap(policy => SEEDS.map(seed => ({ deployment, mix, policy, seed })))
        )
    ).filter(trial => only === undefined || trial.mix === only);
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

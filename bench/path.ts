/**
 * Measures latency and throughput of interactive requests, and the latency added to a direct call to the same workers.
 */
import * as undici from "undici";
import * as observe from "../src/observe/index";
import * as processes from "./processes";

const WARM_UP_CALLERS = 16;
const WARM_UP_CALLS = 1000;
const SAMPLES = 1500;
const ROUNDS = 3;
const THROUGHPUT_MS = 5000;
const CONCURRENCY = 64;
const ACCOUNT_KEY = "example-key-of-front-desk";

interface Latency {
    readonly p50Ms: number;
    readonly p99Ms: number;
}

async function main(): Promise<void> {
    const json = process.argv.includes("--json");
    const site = await processes.startProcessSite({ deployment: "cedarflue", instances: 7 });
    try {
        await processes.sleep(2000);
        const agent = new undici.Agent({ connections: 128 });
        const direct = createDirectCall(site, agent);
        const repeatable = createSchedulerCall(site, agent, true);
        const once = createSchedulerCall(site, agent, false);
        for (const call of [direct, repeatable, once]) {
            await Promise.all(Array.from({ length: WARM_UP_CALLERS }, () => measure(call, WARM_UP_CALLS)));
        }
        const rounds: Array<Record<"direct" | "repeatable" | "once", Latency>> = [];
        for (let round = 0; round < ROUNDS; round++) {
            rounds.push({
                direct: await measure(direct, SAMPLES),
                repeatable: await measure(repeatable, SAMPLES),
                once: await measure(once, SAMPLES),
            });
        }
        const pick = (name: "direct" | "repeatable" | "once", key: keyof Latency) =>
            median(rounds.map(round => round[name][key]));
        const throughput = await measureThroughput(repeatable);
        const throughputOnce = await measureThroughput(once);
        const statuses = await Promise.all(site.instances.map(processes.readStatus));
        const summary = {
            directP50Ms: pick("direct", "p50Ms"),
            directP99Ms: pick("direct", "p99Ms"),
            repeatableP50Ms: pick("repeatable", "p50Ms"),
            repeatableP99Ms: pick("repeatable", "p99Ms"),
            onceP50Ms: pick("once", "p50Ms"),
            onceP99Ms: pick("once", "p99Ms"),
            addedP50Ms: pick("repeatable", "p50Ms") - pick("direct", "p50Ms"),
            addedP99Ms: pick("repeatable", "p99Ms") - pick("direct", "p99Ms"),
            addedOnceP99Ms: pick("once", "p99Ms") - pick("direct", "p99Ms"),
            ratioP50: pick("repeatable", "p50Ms") / pick("direct", "p50Ms"),
            ratioP99: pick("repeatable", "p99Ms") / pick("direct", "p99Ms"),
            requestsPerSecond: throughput,
            onceRequestsPerSecond: throughputOnce,
            instanceMemoryMb: median(statuses.map(status => status?.memoryMb ?? 0)),
        };
        process.stdout.write(json ? `${JSON.stringify(summary)}\n` : `${formatSummary(summary)}\n`);
    }
    finally {
        await site.stop();
    }
}

type Call = () => Promise<void>;

function createDirectCall(site: processes.ProcessSite, agent: undici.Agent): Call {
    const body = JSON.stringify({ runMs: 0, mark: "direct" });
    let next = 0;
    return async () => {
        const { origin } = site.workers[next++ % site.workers.length]!;
        const res = await undici.request(`${origin}/direct`, { dispatcher: agent, method: "POST", body });
        await res.body.arrayBuffer();
    };
}

function createSchedulerCall(site: processes.ProcessSite, agent: undici.Agent, repeatable: boolean): Call {
    const body = JSON.stringify({ class: "interactive", repeatable, payload: JSON.stringify({ runMs: 0, mark: "m" }) });
    const headers = { "authorization": `Bearer ${ACCOUNT_KEY}`, "content-type": "application/json" };
    let next = 0;
    return async () => {
        const { callersOrigin } = site.instances[next++ % site.instances.length]!;
        const res = await undici.request(`${callersOrigin}/v1/jobs`, {
            dispatcher: agent,
            method: "POST",
            headers,
            body,
        });
        const answer = await res.body.text();
        if (res.statusCode !== 200) {
            throw new Error(`interactive request failed: ${answer}`);
        }
    };
}

async function measure(call: Call, count: number): Promise<Latency> {
    const histograms = observe.createHistograms();
    for (let index = 0; index < count; index++) {
        const startedAt = performance.now();
        await call();
        histograms.record("bench", "call", performance.now() - startedAt);
    }
    const { p50Ms, p99Ms } = histograms.getSummaries()[0]!;
    return { p50Ms, p99Ms };
}

async function measureThroughput(call: Call): Promise<number> {
    const deadline = performance.now() + THROUGHPUT_MS;
    let completed = 0;
    const loop = async () => {
        while (performance.now() < deadline) {
            await call();
            completed++;
        }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, loop));
    return completed / (THROUGHPUT_MS / 1000);
}

function median(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[values.length >> 1]!;
}

function formatSummary(summary: Readonly<Record<string, number>>): string {
    return Object.entries(summary).map(([key, value]) => `${key.padEnd(24)} ${value.toFixed(3)}`).join("\n");
}

void main().then(() => process.exit(0), err => {
    process.stderr.write(`${String(err)}\n`);
    process.exit(1);
});

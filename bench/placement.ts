/**
 * Measures decisions per second of the scheduler for zones of several sizes, and the time to compute a guarantee plan.
 */
import type * as clock from "../src/clock/index";
import * as configuration from "../src/configuration/index";
import * as placement from "../src/placement/index";
import * as queue from "../src/queue/index";
import * as random from "../src/random/index";

const WORKER_COUNTS = [30, 300, 4800];
const ACCOUNT_COUNT = 200;
const QUEUED_JOBS = 10_000;
const ROUNDS = 5;
const MIN_DECISIONS = 20_000;

interface Measurement {
    readonly workers: number;
    readonly decisionsPerSecond: number;
    readonly microseconds: number;
    readonly planMs: number;
}

function createSite(workerCount: number): configuration.Site {
    const createKey = (text: string) => ({ sha256: configuration.hashKey(text) });
    const names = Array.from({ length: ACCOUNT_COUNT }, (_, index) => `account-${index}`);
    return configuration.siteSchema.parse({
        preset: "ordinary",
        topology: {
            zones: ["zone-a"],
            capacity: { accelerators: 8, slots: 8, cpus: 32, memoryMb: 65_536 },
            racks: Array.from({ length: Math.ceil(workerCount / 8) }, (_, rack) => ({
                id: `r${rack}`,
                zone: "zone-a",
                workers: Array.from({ length: 8 }).map((_unused, index) => ({
                    id: `r${rack}w${index}`,
                    address: `h${rack}-${index}:1`,
                })),
            })),
        },
        accounts: names.map(name => ({ name, keys: [createKey(name)] })),
        operators: [{ name: "operator", keys: [createKey("operator")] }],
        presets: [{
            name: "ordinary",
            kind: "ordinary",
            guarantees: names.slice(0, Math.min(ACCOUNT_COUNT, workerCount / 2)).map(account => ({
                account,
                blocks: Math.max(1, Math.floor(workerCount / ACCOUNT_COUNT / 2)),
                acceleratorsPerBlock: 8,
                adjacency: "worker",
            })),
        }],
    });
}

function measure(workerCount: number, seed: number): Measurement {
    const rng = random.createRandom(seed);
    const site = createSite(workerCount);
    const current: configuration.Configuration = {
        head: {
            revision: 1,
            preset: "ordinary",
            contractsDigest: "",
            topologyDigest: "",
            effectiveAtMs: 0,
            operationId: "",
        },
        contracts: site,
        topology: site.topology,
    };
    let now = 0;
    const time: clock.Clock = {
        now: () => now,
        wallTime: () => now,
        setTimer: () => () => undefined,
        sleep: () => Promise.resolve(),
    };
    const planStartedAt = performance.now();
    const plan = placement.createPlan(site.presets[0]!, site.topology, new Set());
    const planMs = performance.now() - planStartedAt;
    const scheduler = queue.createScheduler(time, queue.getShapes(current, "zone-a"));
    scheduler.setConfig({ policy: site.policy, accounts: site.accounts, homes: plan.parts, drained: new Set() });
    let nextId = 0;
    const addJob = () => {
        nextId++;
        scheduler.add({
            jobId: `j${nextId}`,
            account: `account-${rng.nextInt(ACCOUNT_COUNT)}`,
            jobClass: "batch",
            accelerators: rng.pick([1, 1, 2, 4, 8]),
            adjacency: "any",
            cpusPerAccelerator: 1,
            memoryMbPerAccelerator: 256,
            repeatable: true,
            declaredMs: 600_000,
            queuedAt: now,
            startBy: undefined,
            savedMs: 0,
            attempt: 0,
            failedWorkers: new Set(),
            failures: 0,
            failedAt: undefined,
        });
    };
    for (let count = 0; count < QUEUED_JOBS; count++) {
        addJob();
    }
    const running: string[] = [];
    const runPass = () => {
        let started = 0;
        for (const decision of scheduler.decide()) {
            if (decision.kind === "start") {
                running.push(decision.job.jobId);
                started++;
            }
            else {
                scheduler.end(decision.jobId, undefined);
            }
        }
        return started;
    };
    runPass();
    let decisions = 0;
    const startedAt = performance.now();
    while (decisions < MIN_DECISIONS) {
        now += 50;
        // As in an instance, one pass handles all jobs that end within a few milliseconds.
        const ends = Math.min(running.length, Math.max(4, Math.floor(running.length / 10)));
        for (let count = 0; count < ends; count++) {
            const index = rng.nextInt(running.length);
            scheduler.end(running[index]!, 500_000);
            running[index] = running.at(-1)!;
            running.pop();
            addJob();
        }
        decisions += Math.max(1, runPass());
    }
    const elapsedMs = performance.now() - startedAt;
    return {
        workers: workerCount,
        decisionsPerSecond: decisions / elapsedMs * 1000,
        microseconds: elapsedMs * 1000 / decisions,
        planMs,
    };
}

function median(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[values.length >> 1]!;
}

const rows = WORKER_COUNTS.map(size => {
    const rounds = Array.from({ length: ROUNDS }, (_, round) => measure(size, round + 1));
    return {
        workers: size,
        decisionsPerSecond: Math.round(median(rounds.map(item => item.decisionsPerSecond))),
        microseconds: Number(median(rounds.map(item => item.microseconds)).toFixed(1)),
        planMs: Number(median(rounds.map(item => item.planMs)).toFixed(1)),
    };
});
process.stdout.write(
    process.argv.includes("--json")
        ? `${JSON.stringify(rows)}\n`
        : `${
            rows.map(row =>
                `${row.workers} workers: ${row.decisionsPerSecond} decisions/s, ${row.microseconds} us each, plan ${row.planMs} ms`
            ).join("\n")
        }\n`,
);

/** Decisions a second of the scheduler at several sizes of one zone, and the time to compute a guarantee plan. */
import type * as clock from "../src/clock/index";
import * as configuration from "../src/configuration/index";
import * as placement from "../src/placement/index";
import * as queue from "../src/queue/index";
import * as random from "../src/random/index";

const SIZES = [30, 300, 4800];
const ACCOUNTS = 200;
const QUEUED = 10_000;
const ROUNDS = 5;
const DECISIONS = 20_000;

interface Measured {
    readonly workers: number;
    readonly decisionsPerSecond: number;
    readonly microseconds: number;
    readonly planMs: number;
}

function createSite(workerCount: number): configuration.Site {
    const key = (text: string) => ({ sha256: configuration.hashKey(text) });
    const names = Array.from({ length: ACCOUNTS }, (_, index) => `account-${index}`);
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
        accounts: names.map(name => ({ name, keys: [key(name)] })),
        operators: [{ name: "operator", keys: [key("operator")] }],
        presets: [{
            name: "ordinary",
            kind: "ordinary",
            guarantees: names.slice(0, Math.min(ACCOUNTS, workerCount / 2)).map(account => ({
                account,
                blocks: Math.max(1, Math.floor(workerCount / ACCOUNTS / 2)),
                acceleratorsPerBlock: 8,
                adjacency: "worker",
            })),
        }],
    });
}

function measure(workerCount: number, seed: number): Measured {
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
    scheduler.setTerms({ policy: site.policy, accounts: site.accounts, homes: plan.parts, drained: new Set() });
    let nextId = 0;
    const add = () => {
        nextId++;
        scheduler.add({
            jobId: `j${nextId}`,
            account: `account-${rng.nextInt(ACCOUNTS)}`,
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
    for (let count = 0; count < QUEUED; count++) {
        add();
    }
    const running: string[] = [];
    const pass = () => {
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
    pass();
    let decisions = 0;
    const startedAt = performance.now();
    while (decisions < DECISIONS) {
        now += 50;
        // As in an instance: the ends of a few milliseconds share one pass.
        const ends = Math.min(running.length, Math.max(4, Math.floor(running.length / 10)));
        for (let count = 0; count < ends; count++) {
            const index = rng.nextInt(running.length);
            scheduler.end(running[index]!, 500_000);
            running[index] = running.at(-1)!;
            running.pop();
            add();
        }
        decisions += Math.max(1, pass());
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

const rows = SIZES.map(size => {
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

/** Runs a scenario: the real queue owner, scheduler and job store with fake racks and a fake table, on a manual clock. */
import * as async from "../async/index";
import * as platform from "../backing/index";
import * as clock from "../clock/index";
import * as configuration from "../configuration/index";
import * as jobs from "../jobs/index";
import * as observe from "../observe/index";
import * as placement from "../placement/index";
import * as queue from "../queue/index";
import * as random from "../random/index";
import * as fakeRacks from "./fakeRacks";
import * as fakeTable from "./fakeTable";
import type * as schema from "./schema";

/** One `[[expect]]` of a scenario. */
export type Expectation = schema.Scenario["expect"][number];

/** An expectation that did not hold. */
export interface Failure {
    /** Index of the expectation in the scenario. */
    readonly index: number;
    /** Time since the start of the scenario. */
    readonly atMs: number;
    readonly expected: string;
    readonly seen: string;
}

/** Result of a run; `counters` are those of the queue owners and the store. */
export interface ScenarioResult {
    readonly failures: readonly Failure[];
    readonly counters: Readonly<Record<string, number>>;
}

/** Options of a run. The same options always give the same result. */
export interface ScenarioOptions {
    /** Overrides the policy of the scenario. */
    readonly policy?: configuration.Policy["kind"];
    readonly seed: number;
}

/** An instance that owns the zone's queue. */
interface Owner {
    readonly queue: queue.ZoneQueue;
    readonly stop: () => void;
}

const ZONE = "zone-a";
const LEASES = { controlMs: 3000, taskMs: 15_000, marginMs: 500, syncMs: 900 };
/** Failover takes about as long as the detection that the old owner does not respond. */
const FAILOVER_MS = 2000;
/** A gang that runs incomplete for longer than this counts as partial. */
const PARTIAL_GANG_GRACE_MS = 6000;

/** Runs a scenario to its end and checks its expectations. Throws if the guarantees do not fit on the site. */
export async function runScenario(scenario: schema.Scenario, options: ScenarioOptions): Promise<ScenarioResult> {
    const time = clock.createManualClock();
    const rng = random.createRandom(options.seed);
    const counters = observe.createCounters({ instance: "scenario" });
    const table = fakeTable.createFakeTable(rng);
    const retry = platform.createRetryPolicy(100, 2000, rng);
    const guardedTable = platform.createGuardedTable({
        table,
        clock: time,
        counters,
        retry,
        writesPerSecond: 2000,
        readsPerSecond: 5000,
        maxConsecutiveFailures: 3,
        maxWaitMs: 2000,
    });
    const store = jobs.createJobStore({ table: guardedTable, clock: time, retry, resolveTimeoutMs: 3000 });
    const site = createSite(scenario, options.policy);
    let preset = site.preset;
    let revision = 1;
    const getConfiguration = (): configuration.Configuration => ({
        head: { revision, preset, contractsDigest: "", topologyDigest: "", effectiveAtMs: 0, operationId: "" },
        contracts: site,
        topology: site.topology,
    });
    const shapes = queue.getShapes(getConfiguration(), ZONE);
    const racks = fakeRacks.createFakeRacks(time, rng, ZONE, shapes);
    let owner: Owner | undefined;
    const jobIds = new Map<string, string>();
    const submittedAt = new Map<string, number>();

    const startOwner = () => {
        const stopped = async.createAbortController();
        const zoneQueue = queue.createZoneQueue({
            zone: ZONE,
            clock: time,
            counters,
            histograms: observe.createHistograms(),
            log: observe.createLog({ instance: "scenario", level: "silent" }),
            retry,
            leases: LEASES,
            store,
            getConfiguration,
            isLeaving: () => false,
            // The commands of a killed owner are dropped.
            command: command => stopped.signal.aborted ? Promise.resolve(undefined) : racks.command(command),
            findOtherZone: () => undefined,
            notifyMoved: () => undefined,
        });
        racks.setReceiver(report => stopped.signal.aborted ? undefined : zoneQueue.handleReport(report));
        void zoneQueue.run(stopped.signal);
        owner = { queue: zoneQueue, stop: () => stopped.abort() };
    };

    const submit = async (job: schema.Scenario["job"][number], name: string): Promise<void> => {
        const jobId = jobs.getJobId(job.account, name);
        jobIds.set(name, jobId);
        submittedAt.set(name, time.now());
        const spec: jobs.JobSpec = {
            jobClass: job.class,
            accelerators: job.accelerators,
            adjacency: job.adjacency,
            cpusPerAccelerator: 1,
            memoryMbPerAccelerator: 1,
            declaredMs: job.declared ?? job.runs,
            repeatable: job.repeatable,
            payload: JSON.stringify({ runMs: job.runs, fails: job.fails }),
        };
        const row: jobs.JobRow = {
            jobId,
            account: job.account,
            requestId: name,
            specDigest: "",
            zone: ZONE,
            spec,
            acceptedAt: time.wallTime(),
            startBy: job.startBy === undefined ? undefined : time.wallTime() + job.startBy,
            state: "queued",
            attempt: 0,
            members: [],
            savedMs: 0,
            failedWorkers: [],
            writeId: "",
        };
        // A caller retries with the same request id if its submission was refused or the response was lost.
        for (let attempt = 1;; attempt++) {
            const written = await store.create(row);
            if (written.kind === "written" || (written.kind === "conflict" && written.found)) {
                break;
            }
            await time.sleep(retry.getDelay(attempt));
        }
        await owner?.queue.handleNotice({ jobId, zone: ZONE, kind: "submitted", waitMs: 0 });
    };

    const schedule = (at: number, run: () => void) => time.setTimer(Math.max(1, at), run);

    for (const job of scenario.job) {
        for (let count = 0; count < job.count; count++) {
            const name = job.count === 1 ? job.id : `${job.id}-${count}`;
            schedule(job.at + count * job.every, () => void submit(job, name));
            if (job.cancelAt !== undefined) {
                schedule(job.cancelAt, () => {
                    const notice = { jobId: jobIds.get(name) ?? "", zone: ZONE, kind: "cancel", waitMs: 0 };
                    void owner?.queue.handleNotice(notice);
                });
            }
        }
    }

    const applyFault = (fault: schema.Scenario["fault"][number], on: boolean) => {
        switch (fault.kind) {
            case "storeDown":
                table.setDown(on);
                return;
            case "storeLosesAnswers":
                table.setDropsResponses(on);
                return;
            case "workerLost":
                racks.setLost(fault.target, on);
                return;
            case "workerFailsTasks":
                racks.setFailing(fault.target, on);
                return;
            case "rackSilent":
                racks.setSilent(fault.target, on);
                return;
            case "rackLosesAnswers":
                racks.setDropsResponses(fault.target, on);
                return;
            case "ownerKilled":
                if (on) {
                    owner?.stop();
                    owner = undefined;
                    time.setTimer(FAILOVER_MS, startOwner);
                }
                return;
            case "presetUsed":
                preset = fault.target;
                revision++;
                return;
        }
    };
    for (const fault of scenario.fault) {
        schedule(fault.at, () => applyFault(fault, true));
        if (fault.until !== undefined) {
            schedule(fault.until, () => applyFault(fault, false));
        }
    }

    const view: ScenarioView = {
        time,
        racks,
        getRow: name => {
            const value = table.read(jobs.getJobKey(jobIds.get(name) ?? ""));
            return value === undefined ? undefined : jobs.jobRowSchema.parse(JSON.parse(value));
        },
        getNames: pattern =>
            pattern.endsWith("*")
                ? [...jobIds.keys()].filter(name => name.startsWith(pattern.slice(0, -1)))
                : [pattern],
        jobIds,
        submittedAt,
        counters,
        getFragmentation: () => owner?.queue.getStatus().fragmentation ?? 0,
    };
    startOwner();
    const failures: Failure[] = [];
    const expectations = [...scenario.expect.entries()].sort(([, a], [, b]) => a.at - b.at);
    for (const [index, expectation] of expectations) {
        await time.advance(Math.max(0, expectation.at - time.now()));
        failures.push(
            ...checkExpectation(expectation, view).map(mismatch => ({ index, atMs: time.now(), ...mismatch })),
        );
    }
    await time.advance(Math.max(0, scenario.until - time.now()));
    owner?.stop();
    return { failures, counters: counters.getAll() };
}

/** What the expectations look at. Jobs are found by their names in the scenario. */
interface ScenarioView {
    readonly time: clock.Clock;
    readonly racks: fakeRacks.FakeRacks;
    readonly getRow: (name: string) => jobs.JobRow | undefined;
    readonly getNames: (pattern: string) => string[];
    readonly jobIds: ReadonlyMap<string, string>;
    readonly submittedAt: ReadonlyMap<string, number>;
    readonly counters: observe.Counters;
    readonly getFragmentation: () => number;
}

interface Mismatch {
    readonly expected: string;
    readonly seen: string;
}

function checkExpectation(expectation: Expectation, view: ScenarioView): Mismatch[] {
    const mismatches: Mismatch[] = [];
    const compare = (
        what: string,
        expected: number | undefined,
        seen: number,
        holds: (seen: number, expected: number) => boolean,
    ) => {
        if (expected !== undefined && !holds(seen, expected)) {
            mismatches.push({ expected: `${what} ${expected}`, seen: String(seen) });
        }
    };
    const isAtMost = (seen: number, expected: number) => seen <= expected;
    const isEqual = (seen: number, expected: number) => seen === expected;
    const evictions = Object.entries(view.counters.getAll())
        .filter(([name]) => name.startsWith("jobs.evicted."))
        .reduce((sum, [, value]) => sum + value, 0);
    compare("partial gangs", expectation.partialGangs, countPartialGangs(view), isEqual);
    compare("double starts", expectation.doubleStarts, countDoubleStarts(view), isEqual);
    compare("overbooked accelerators", expectation.overbooked, view.racks.getMaxOverbooking(), isEqual);
    compare(
        "unfinished jobs",
        expectation.unfinished,
        [...view.jobIds.keys()].filter(name => getState(view, name).match(/queued|placed|none/)).length,
        isEqual,
    );
    compare("fragmentation at most", expectation.fragmentationAtMost, view.getFragmentation(), isAtMost);
    compare("evictions at most", expectation.evictionsAtMost, evictions, isAtMost);
    compare("evictions at least", expectation.evictionsAtLeast, evictions, (seen, expected) => seen >= expected);
    for (const name of expectation.job === undefined ? [] : view.getNames(expectation.job)) {
        mismatches.push(...checkJob(expectation, view, name));
    }
    if (expectation.job !== undefined && view.getNames(expectation.job).length === 0) {
        mismatches.push({ expected: `a job ${expectation.job}`, seen: "none" });
    }
    return mismatches;
}

function checkJob(expectation: Expectation, view: ScenarioView, name: string): Mismatch[] {
    const mismatches: Mismatch[] = [];
    const runs = view.racks.records.filter(record => record.jobId === view.jobIds.get(name));
    const state = getState(view, name);
    if (expectation.state !== undefined && state !== expectation.state) {
        mismatches.push({ expected: `${name} ${expectation.state}`, seen: state });
    }
    const starts = runs.filter(record => record.index === 0).length;
    if (expectation.startsAtMost !== undefined && starts > expectation.startsAtMost) {
        mismatches.push({
            expected: `${name} started at most ${expectation.startsAtMost} times`,
            seen: String(starts),
        });
    }
    if (expectation.waitAtMost !== undefined) {
        const waitedMs = (runs[0]?.startedAt ?? view.time.now()) - (view.submittedAt.get(name) ?? 0);
        if (waitedMs > expectation.waitAtMost) {
            mismatches.push({
                expected: `${name} waited at most ${expectation.waitAtMost} ms`,
                seen: `${Math.round(waitedMs)} ms`,
            });
        }
    }
    const latestAttempt = Math.max(0, ...runs.map(record => record.attempt));
    const workerIds = [
        ...new Set(runs.filter(record => record.attempt === latestAttempt).map(record => record.workerId)),
    ]
        .sort();
    if (
        expectation.ranOn !== undefined && JSON.stringify(workerIds) !== JSON.stringify([...expectation.ranOn].sort())
    ) {
        mismatches.push({ expected: `${name} on ${expectation.ranOn.join(", ")}`, seen: workerIds.join(", ") });
    }
    return mismatches;
}

function getState(view: ScenarioView, name: string): string {
    const row = view.getRow(name);
    return row?.outcome?.kind ?? row?.state ?? "none";
}

/** Attempts of gangs that started only a part of their members and ran longer than the grace period. */
function countPartialGangs(view: ScenarioView): number {
    const attempts = new Map<string, fakeRacks.RunRecord[]>();
    for (const record of view.racks.records) {
        if (record.members > 1) {
            const key = `${record.jobId}.${record.attempt}`;
            attempts.set(key, [...attempts.get(key) ?? [], record]);
        }
    }
    return [...attempts.values()].filter(records => {
        const longestMs = Math.max(...records.map(record => (record.endedAt ?? view.time.now()) - record.startedAt));
        return records.length < records[0]!.members && longestMs > PARTIAL_GANG_GRACE_MS;
    }).length;
}

/** Jobs that are not repeatable and were started more than once. */
function countDoubleStarts(view: ScenarioView): number {
    return [...view.jobIds].filter(([name, jobId]) => {
        const row = view.getRow(name);
        const starts = view.racks.records.filter(record => record.jobId === jobId && record.index === 0);
        return row && !row.spec.repeatable && starts.length > 1;
    }).length;
}

/** Throws if a guarantee of a preset does not fit on the site. */
function createSite(scenario: schema.Scenario, policy: configuration.Policy["kind"] | undefined): configuration.Site {
    const { site } = scenario;
    const createKey = (text: string) => ({ sha256: configuration.hashKey(text) });
    const parsedSite = configuration.siteSchema.parse({
        preset: scenario.preset[0]!.name,
        topology: {
            zones: [ZONE],
            capacity: { accelerators: site.accelerators, slots: site.slots, cpus: 64, memoryMb: 65_536 },
            racks: Array.from({ length: site.racks }, (_, rack) => ({
                id: `r${rack + 1}`,
                zone: ZONE,
                workers: Array.from({ length: site.workersPerRack }).map((_unused, worker) => ({
                    id: `r${rack + 1}-w${worker + 1}`,
                    address: `10.0.${rack}.${worker}:1`,
                })),
            })),
        },
        accounts: site.accounts.map(name => ({ name, keys: [createKey(name)] })),
        operators: [{ name: "operator", keys: [createKey("operator")] }],
        presets: scenario.preset.map(item => ({
            name: item.name,
            kind: "ordinary",
            guarantees: item.guarantees.map(guarantee => ({
                account: guarantee.account,
                blocks: guarantee.blocks,
                acceleratorsPerBlock: guarantee.accelerators,
                adjacency: guarantee.adjacency,
            })),
            spareWorkersPerZone: item.spares,
            drainedWorkers: item.drained,
        })),
        policy: { kind: policy ?? site.policy },
        limits: { reclaimGraceMs: site.graceMs, maxFailures: site.maxFailures },
    });
    const unplaced = parsedSite.presets.flatMap(item =>
        placement.createPlan(item, parsedSite.topology, new Set()).unplaced.map(block =>
            placement.describeUnplaced(item, block)
        )
    );
    if (unplaced.length > 0) {
        throw new Error(unplaced[0]);
    }
    return parsedSite;
}

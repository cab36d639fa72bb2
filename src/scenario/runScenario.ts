/** Runs one scenario: the real queue owner, scheduler, attempts and job store, on a manual clock over fakes. */
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

export type Expectation = schema.Scenario["expect"][number];

export interface Failure {
    /** Position among the scenario's expectations. */
    readonly index: number;
    readonly atMs: number;
    readonly expected: string;
    readonly seen: string;
}

export interface ScenarioResult {
    readonly failures: readonly Failure[];
    readonly counters: Readonly<Record<string, number>>;
}

export interface ScenarioOptions {
    readonly policy?: configuration.Policy["kind"];
    readonly seed: number;
}

interface Owner {
    readonly queue: queue.ZoneQueue;
    readonly stop: () => void;
}

const ZONE = "zone-a";
const LEASES = { controlMs: 3000, taskMs: 15_000, marginMs: 500, syncMs: 900 };
/** Failing over to the next owner takes about as long as noticing that the old one is silent. */
const TAKEOVER_MS = 2000;
const GANG_GRACE_MS = 6000;

export async function runScenario(scenario: schema.Scenario, options: ScenarioOptions): Promise<ScenarioResult> {
    const time = clock.createManualClock();
    const rng = random.createRandom(options.seed);
    const counters = observe.createCounters({ instance: "scenario" });
    const table = fakeTable.createFakeTable(rng);
    const retry = platform.createRetryPolicy(100, 2000, rng);
    const guarded = platform.createGuardedTable({
        table,
        clock: time,
        counters,
        retry,
        writesPerSecond: 2000,
        readsPerSecond: 5000,
        breakerFailures: 3,
        maxWaitMs: 2000,
    });
    const store = jobs.createJobStore({ table: guarded, clock: time, retry, resolveMs: 3000 });
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
            // A killed owner's commands go nowhere.
            command: command => stopped.signal.aborted ? Promise.resolve(undefined) : racks.command(command),
            findOtherZone: () => undefined,
            notifyMoved: () => undefined,
        });
        racks.setReceiver(report => stopped.signal.aborted ? undefined : zoneQueue.handleReport(report));
        void zoneQueue.own(stopped.signal);
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
        // A caller whose submission was refused, or whose answer was lost, submits again under the same request id.
        for (let attempt = 1;; attempt++) {
            const written = await store.create(row);
            if (written.kind === "written" || (written.kind === "conflict" && written.found)) {
                break;
            }
            await time.sleep(retry.getDelay(attempt));
        }
        await owner?.queue.handleNotice({ jobId, zone: ZONE, kind: "submitted", waitMs: 0 });
    };

    const plan = (at: number, run: () => void) => time.setTimer(Math.max(1, at), run);

    for (const job of scenario.job) {
        for (let count = 0; count < job.count; count++) {
            const name = job.count === 1 ? job.id : `${job.id}-${count}`;
            plan(job.at + count * job.every, () => void submit(job, name));
            if (job.cancelAt !== undefined) {
                plan(job.cancelAt, () => {
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
                    time.setTimer(TAKEOVER_MS, startOwner);
                }
                return;
            case "presetUsed":
                preset = fault.target;
                revision++;
                return;
        }
    };
    for (const fault of scenario.fault) {
        plan(fault.at, () => applyFault(fault, true));
        if (fault.until !== undefined) {
            plan(fault.until, () => applyFault(fault, false));
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
    const inOrder = [...scenario.expect.entries()].sort(([, a], [, b]) => a.at - b.at);
    for (const [index, expectation] of inOrder) {
        await time.advance(Math.max(0, expectation.at - time.now()));
        failures.push(...check(expectation, view).map(found => ({ index, atMs: time.now(), ...found })));
    }
    await time.advance(Math.max(0, scenario.until - time.now()));
    owner?.stop();
    return { failures, counters: counters.getAll() };
}

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

function check(expectation: Expectation, view: ScenarioView): Mismatch[] {
    const found: Mismatch[] = [];
    const compare = (
        what: string,
        wanted: number | undefined,
        seen: number,
        holds: (seen: number, wanted: number) => boolean,
    ) => {
        if (wanted !== undefined && !holds(seen, wanted)) {
            found.push({ expected: `${what} ${wanted}`, seen: String(seen) });
        }
    };
    const atMost = (seen: number, wanted: number) => seen <= wanted;
    const equal = (seen: number, wanted: number) => seen === wanted;
    const evictions = Object.entries(view.counters.getAll())
        .filter(([name]) => name.startsWith("jobs.evicted."))
        .reduce((sum, [, value]) => sum + value, 0);
    compare("partial gangs", expectation.partialGangs, countPartialGangs(view), equal);
    compare("double starts", expectation.doubleStarts, countDoubleStarts(view), equal);
    compare("overbooked accelerators", expectation.overbooked, view.racks.getMaxOverbooking(), equal);
    compare(
        "unfinished jobs",
        expectation.unfinished,
        [...view.jobIds.keys()].filter(name => getState(view, name).match(/queued|placed|none/)).length,
        equal,
    );
    compare("fragmentation at most", expectation.fragmentationAtMost, view.getFragmentation(), atMost);
    compare("evictions at most", expectation.evictionsAtMost, evictions, atMost);
    compare("evictions at least", expectation.evictionsAtLeast, evictions, (seen, wanted) => seen >= wanted);
    for (const name of expectation.job === undefined ? [] : view.getNames(expectation.job)) {
        found.push(...checkJob(expectation, view, name));
    }
    if (expectation.job !== undefined && view.getNames(expectation.job).length === 0) {
        found.push({ expected: `a job ${expectation.job}`, seen: "none" });
    }
    return found;
}

function checkJob(expectation: Expectation, view: ScenarioView, name: string): Mismatch[] {
    const found: Mismatch[] = [];
    const runs = view.racks.records.filter(record => record.jobId === view.jobIds.get(name));
    const state = getState(view, name);
    if (expectation.state !== undefined && state !== expectation.state) {
        found.push({ expected: `${name} ${expectation.state}`, seen: state });
    }
    const starts = runs.filter(record => record.index === 0).length;
    if (expectation.startsAtMost !== undefined && starts > expectation.startsAtMost) {
        found.push({ expected: `${name} started at most ${expectation.startsAtMost} times`, seen: String(starts) });
    }
    if (expectation.waitAtMost !== undefined) {
        const waited = (runs[0]?.startedAt ?? view.time.now()) - (view.submittedAt.get(name) ?? 0);
        if (waited > expectation.waitAtMost) {
            found.push({
                expected: `${name} waited at most ${expectation.waitAtMost} ms`,
                seen: `${Math.round(waited)} ms`,
            });
        }
    }
    const last = Math.max(0, ...runs.map(record => record.attempt));
    const workerIds = [...new Set(runs.filter(record => record.attempt === last).map(record => record.workerId))]
        .sort();
    if (
        expectation.ranOn !== undefined && JSON.stringify(workerIds) !== JSON.stringify([...expectation.ranOn].sort())
    ) {
        found.push({ expected: `${name} on ${expectation.ranOn.join(", ")}`, seen: workerIds.join(", ") });
    }
    return found;
}

function getState(view: ScenarioView, name: string): string {
    const row = view.getRow(name);
    return row?.outcome?.kind ?? row?.state ?? "none";
}

function countPartialGangs(view: ScenarioView): number {
    const attempts = new Map<string, fakeRacks.RunRecord[]>();
    for (const record of view.racks.records) {
        if (record.members > 1) {
            const key = `${record.jobId}.${record.attempt}`;
            attempts.set(key, [...attempts.get(key) ?? [], record]);
        }
    }
    return [...attempts.values()].filter(records => {
        const longest = Math.max(...records.map(record => (record.endedAt ?? view.time.now()) - record.startedAt));
        return records.length < records[0]!.members && longest > GANG_GRACE_MS;
    }).length;
}

/** Jobs that may run once and were started more often, and jobs whose work ran to its end more than once. */
function countDoubleStarts(view: ScenarioView): number {
    return [...view.jobIds].filter(([name, jobId]) => {
        const row = view.getRow(name);
        const starts = view.racks.records.filter(record => record.jobId === jobId && record.index === 0);
        return row && !row.spec.repeatable && starts.length > 1;
    }).length;
}

function createSite(scenario: schema.Scenario, policy: configuration.Policy["kind"] | undefined): configuration.Site {
    const { site } = scenario;
    const key = (text: string) => ({ sha256: configuration.hashKey(text) });
    const built = configuration.siteSchema.parse({
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
        accounts: site.accounts.map(name => ({ name, keys: [key(name)] })),
        operators: [{ name: "operator", keys: [key("operator")] }],
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
    const unplaced = built.presets.flatMap(item =>
        placement.createPlan(item, built.topology, new Set()).unplaced.map(block =>
            placement.describeUnplaced(item, block)
        )
    );
    if (unplaced.length > 0) {
        throw new Error(unplaced[0]);
    }
    return built;
}

/**
 * Chaos test of a whole site: random jobs, and faults of store, workers and instances in overlapping time windows, all
 * derived from one seed. After the last fault the site must recover and every job must end.
 */
import type * as catalogs from "../catalog/index";
import * as clocks from "../clock/index";
import type * as leader from "../leader/index";
import type * as observe from "../observe/index";
import * as random from "../random/index";
import * as telemetry from "../telemetry/index";
import * as contentions from "./contention";
import * as workerHazards from "./hazards";
import type * as jobModel from "./jobModel";
import * as randomJob from "./randomJob";
import * as sites from "./site";
import type * as stores from "./store";
import * as unusualJob from "./unusualJob";
import type * as workerOrders from "./workerOrders";
import * as emulatedWorkers from "./workers";
import * as zoneEvacuations from "./zoneEvacuations";

/** Result of one chaos run. */
export interface ChaosReport {
    readonly seed: number;
    /** Descriptions of invariant violations. */
    readonly violations: readonly string[];
    /** Number of jobs that could have completed but failed because workers had crashed under one of their tasks. */
    readonly wronglyFailedJobs: number;
    /** Log lines of all instances, in order. */
    readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

const INSTANCES = 3;
const WORKERS = 6;
const WORKERS_PER_RACK = 3;
const JOBS = 14;
/** Faults begin and end within this time, apart from those that `shiftMs` moves. */
const FAULTS_MS = 25_000;
/** Time for recovery after the faults. */
const RECOVERY_MS = 70_000;
const STEP_MS = 50;
/** Maximum time from an evacuation until nothing starts in the zone. */
const EVACUATION_MS = 5_000;
/**
 * Time after the faults within which the tasks of cancelled jobs must have stopped. The last order may be carried out
 * 6.3 s late, a new leader is elected within 2 s, and a worker that was unreachable answers and gets its stop orders
 * within another 2 s.
 */
const MAX_STOP_MS = 10_000;

/** Time window in which calls to `target` fail with the given probability; an empty target means all. */
interface Window<T> {
    readonly from: number;
    readonly to: number;
    readonly probability: number;
    readonly fault: T;
    readonly target: string;
}

/**
 * Runs a random site until it has recovered from its faults.
 *
 * With `slowStore` the store is also slow for a while, and carries out the transactions of a part one at a time. With
 * `hazards` tasks crash their workers, workers crash and come back, and capacities change. With `restarts` workers
 * restart under the same ids. With `evacuations` zones are evacuated and restored. With `contention` accounts compete,
 * workers are uneven, and groups of them leave at short notice. With `unusualJobs`
 * some jobs have many dependencies, tasks or overdue occurrences. `shiftMs` delays faults and events, so that they
 * coincide with other timers of the leader.
 */
export async function runChaos(
    seed: number,
    {
        slowStore = false,
        hazards: withHazards = false,
        restarts: withRestarts = false,
        evacuations: withEvacuations = false,
        contention: withContention = false,
        unusualJobs: withUnusualJobs = false,
        shiftMs = 0,
    } = {},
): Promise<ChaosReport> {
    const source = random.createRandom(seed);
    const time = clocks.createManualClock(1_700_000_000_000);
    const lines: Array<Record<string, unknown>> = [];
    const storeWindows = createWindows<stores.StoreFault>(source, 4, [
        "refuse",
        "loseAnswer",
        "late",
        "silent",
    ], ["", ...range(INSTANCES).map(sites.getInstanceName)]).map(window => shift(window, shiftMs));
    const workerWindows = createWindows<workerOrders.OrderFault>(source, 5, [
        "loseAnswer",
        "late",
        "cut",
        "unwell",
    ], ["", ...range(WORKERS).map(getWorkerId)]).map(window => shift(window, shiftMs));
    const slowWorkerUntil = source.nextInt(FAULTS_MS);
    const slowWindow = slowStore ? createSlowWindow(seed) : undefined;
    const hazards = withHazards
        ? workerHazards.createHazards({ seed, durationMs: FAULTS_MS, clock: time, racks: RACKS })
        : undefined;
    const restarts = withRestarts
        ? workerHazards.createRestarts({ seed, durationMs: FAULTS_MS, racks: RACKS })
        : undefined;
    const evacuations = withEvacuations
        ? zoneEvacuations.createEvacuations({
            seed,
            durationMs: FAULTS_MS,
            clock: time,
            zones: RACKS.map((_, rack) => getZone(rack)),
            instances: range(INSTANCES).map(sites.getInstanceName),
        })
        : undefined;
    const contention = withContention
        ? contentions.createContention({
            seed,
            durationMs: FAULTS_MS,
            workerIds: range(WORKERS).map(getWorkerId),
            accounts: ACCOUNTS.map(account => account.name),
        })
        : undefined;
    const site = sites.createSite({
        clock: time,
        restartsUnderSameId: restarts?.restartsUnderSameId,
        workerRestartMs: hazards?.workerRestartMs,
        isDirectoryUnreachable: hazards?.isDirectoryUnreachable,
        log: createLog(time, lines),
        ...telemetry.createMetrics(),
        instances: INSTANCES,
        workers: range(WORKERS).map(createWorker),
        catalog: createCatalog(),
        storeFaults: {
            decide: caller => pickFault(source, storeWindows, time.now(), caller) ?? "none",
            lateMs: 300 + source.nextInt(3_000),
            getSlowdown: () =>
                slowWindow && time.now() >= slowWindow.from && time.now() < slowWindow.to ? slowWindow.slowdown : 1,
        },
        evacuations: evacuations && {
            evacuationMs: EVACUATION_MS,
            faults: {
                decide: caller =>
                    evacuations.isUnreadable(caller)
                        ? "silent"
                        : pickFault(evacuations.source, storeWindows, time.now(), caller) ?? "none",
                lateMs: 0,
            },
        },
        storePartBusyMs: slowWindow ? PART_BUSY_MS : undefined,
        workerFaults: {
            decide: worker => pickFault(source, workerWindows, time.now(), worker) ?? "none",
            lateMs: 300 + source.nextInt(6_000),
            isLateOrderKept: true,
            getSlowdown: worker =>
                (worker === getWorkerId(0) && time.now() < slowWorkerUntil ? 20 : 1)
                * (contention?.getSlowdown(sites.getFirstWorkerId(worker)) ?? 1),
        },
    });
    const randomJobs = range(JOBS).map(number => randomJob.createRandomJob(source, number));
    const accountJobs = contention ? randomJobs.map(contention.withRandomAccount) : randomJobs;
    const ordinaryJobs = hazards ? accountJobs.map(hazards.withRandomCrashes) : accountJobs;
    const jobs = [...ordinaryJobs, ...(withUnusualJobs ? createUnusualJobs(seed, time.wallTime()) : [])];
    const cancelled = new Set<string>();
    const accepted = new Set<string>();
    const acknowledged = new Set<string>();
    const runningAfterCancel = new Set<string>();
    const events = createEvents(source, site, jobs, { accepted, cancelled, acknowledged });
    const parts = [hazards, restarts, evacuations, contention];
    for (const { at, act } of parts.flatMap(part => part?.events ?? [])) {
        events.push({ at, act: () => act(site), done: false });
    }
    events.forEach(event => event.at += shiftMs);
    const recoveryMs = RECOVERY_MS * (contention ? contentions.MAX_SLOWDOWN : 1);
    while (time.now() < FAULTS_MS + recoveryMs) {
        for (const event of events.filter(candidate => candidate.at <= time.now() && !candidate.done)) {
            event.done = true;
            event.act();
        }
        if (time.now() >= FAULTS_MS + MAX_STOP_MS) {
            site.workers.getRunningTasks()
                .filter(task => acknowledged.has(task.split(".", 1)[0]!))
                .forEach(task => runningAfterCancel.add(task));
        }
        await time.advance(STEP_MS);
    }
    const violations = [...emulatedWorkers.listViolations(site.workers)];
    runningAfterCancel.forEach(task => violations.push(`${task} still runs after its job was cancelled`));
    let wronglyFailedJobs = 0;
    for (const job of jobs) {
        const state = await getFinalState(time, site, job);
        const expected = cancelled.has(job.jobId)
            ? ["cancelled", "completed", "failed"]
            : randomJob.getExpectedStates(job);
        if (
            state === "failed" && !expected.includes(state) && randomJob.mayFailByCrashes(job, site.workers.lossCounts)
        ) {
            wronglyFailedJobs++;
        }
        else if (accepted.has(job.jobId) && !expected.includes(state)) {
            violations.push(`job ${job.jobId} is ${state}; expected ${expected.join(" or ")}`);
        }
    }
    site.close();
    return { seed, violations, wronglyFailedJobs, lines };
}

interface ChaosEvent {
    at: number;
    readonly act: () => void;
    done: boolean;
}

/** Ids of jobs that were accepted, whose cancellation was sent, and whose cancellation was acknowledged. */
interface JobSets {
    readonly accepted: Set<string>;
    readonly cancelled: Set<string>;
    readonly acknowledged: Set<string>;
}

function createEvents(
    source: random.Random,
    site: sites.Site,
    jobs: readonly jobModel.EmulatedJob[],
    { accepted, cancelled, acknowledged }: JobSets,
): ChaosEvent[] {
    const events: ChaosEvent[] = [];
    const add = (at: number, act: () => void) => events.push({ at, act, done: false });
    const downInstances = new Set<number>();
    for (const job of jobs) {
        const submit = (retries: number) => {
            // A caller retries, at a random instance, until its job is accepted.
            void site.submit(job, source.nextInt(INSTANCES)).then(reply => {
                if (reply.kind === "accepted") {
                    accepted.add(job.jobId);
                }
                else if (retries > 0) {
                    submit(retries - 1);
                }
            });
        };
        add(500 + source.nextInt(FAULTS_MS - 5_000), () => submit(5));
        if (source.nextInt(6) === 0) {
            add(4_000 + source.nextInt(FAULTS_MS), () => {
                if (accepted.has(job.jobId)) {
                    cancelled.add(job.jobId);
                    void site.cancel(job.jobId, source.nextInt(INSTANCES)).then(reply => {
                        if (reply.kind === "cancelled") {
                            acknowledged.add(job.jobId);
                        }
                    });
                }
            });
        }
    }
    for (let kill = source.nextInt(5); kill > 0; kill--) {
        const instance = source.nextInt(INSTANCES);
        const at = 1_000 + source.nextInt(FAULTS_MS - 2_000);
        const isPowerFailure = source.nextInt(2) === 0;
        add(at, () => {
            if (downInstances.has(instance)) {
                return;
            }
            downInstances.add(instance);
            if (isPowerFailure) {
                site.powerOff(instance);
            }
            else {
                site.kill(instance);
            }
        });
        add(at + 200 + source.nextInt(4_000), () => {
            if (downInstances.delete(instance)) {
                site.restart(instance);
            }
        });
    }
    for (let freeze = source.nextInt(4); freeze > 0; freeze--) {
        const ms = 500 + source.nextInt(7_000);
        const suspended = source.nextInt(2) === 0;
        // Freezes the leader if there is one, since only the leader issues orders.
        add(1_500 + source.nextInt(FAULTS_MS - 2_000), () => site.freeze(site.getLeader() ?? 0, ms, suspended));
    }
    if (source.nextInt(2) === 0) {
        const worker = getWorkerId(source.nextInt(WORKERS));
        add(2_000 + source.nextInt(FAULTS_MS), () => {
            site.workers.kill(worker, false);
            site.workers.add({ ...createWorker(0), id: `${worker}-new`, address: `${worker}-new` });
        });
    }
    return events;
}

function createUnusualJobs(seed: number, wallNow: number): jobModel.EmulatedJob[] {
    const source = random.createRandom(seed + UNUSUAL_JOBS_SEED_OFFSET);
    return range(UNUSUAL_JOBS).map(number => unusualJob.createUnusualJob(source, number, wallNow));
}

const UNUSUAL_JOBS = 4;
/** Keeps the derived seeds apart from the seeds of sites. */
const UNUSUAL_JOBS_SEED_OFFSET = 19_000_000;

/** Uses a random source of its own, so that a seed gives the same jobs and faults with and without `slowStore`. */
function createSlowWindow(seed: number) {
    const source = random.createRandom(seed + SLOW_STORE_SEED_OFFSET);
    const from = source.nextInt(FAULTS_MS);
    const to = Math.min(FAULTS_MS, from + 500 + source.nextInt(6_000));
    return { from, to, slowdown: 10 + source.nextInt(110) };
}

/** Keeps the derived seeds apart from the seeds of sites. */
const SLOW_STORE_SEED_OFFSET = 9_000_000;
/** A part carries out 200 transactions per second. */
const PART_BUSY_MS = 5;

function createWindows<T>(
    source: random.Random,
    maxCount: number,
    faults: readonly T[],
    targets: readonly string[],
): Array<Window<T>> {
    return range(source.nextInt(maxCount + 1)).map(() => {
        const from = source.nextInt(FAULTS_MS);
        return {
            from,
            to: Math.min(FAULTS_MS, from + 300 + source.nextInt(9_000)),
            probability: 0.1 + 0.9 * source.nextFloat(),
            fault: source.pick(faults),
            target: source.pick(targets),
        };
    });
}

function shift<T>(window: Window<T>, byMs: number): Window<T> {
    return { ...window, from: window.from + byMs, to: window.to + byMs };
}

function pickFault<T>(
    source: random.Random,
    windows: ReadonlyArray<Window<T>>,
    now: number,
    target: string,
): T | undefined {
    const open = windows.find(window =>
        now >= window.from && now < window.to && (window.target === "" || window.target === target)
    );
    return open && source.nextFloat() < open.probability ? open.fault : undefined;
}

async function getFinalState(time: clocks.ManualClock, site: sites.Site, job: jobModel.EmulatedJob): Promise<string> {
    const reply = site.getState(job.jobId, site.getLeader() ?? 0);
    let answer: string | undefined;
    void reply.then(value => {
        answer = value.kind === "state" ? value.state : value.kind;
    });
    while (answer === undefined) {
        await time.advance(STEP_MS);
    }
    return answer;
}

function createCatalog(): catalogs.Catalog {
    const queue = (name: string, priority: number): catalogs.Queue => ({
        name,
        host: "example",
        pathPrefix: `/${name}/`,
        service: "service",
        priority,
        // Allows for random failures of runs beside those of a job that always fails.
        maxAttempts: 4,
        stretch: 3,
        objectiveMs: 1_000,
        needsKey: true,
    });
    return {
        version: 1,
        queues: [queue("urgent", 0), queue("plan", 1), queue("batch", 2)],
        services: [{ name: "service", refusesOverload: false, spare: false }],
        accounts: ACCOUNTS,
        limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** Jobs belong to the first account, unless accounts compete. */
const ACCOUNTS: readonly catalogs.Account[] = [
    { name: "office", keys: [], guaranteedAccelerators: 16 },
    { name: "branch", keys: [], guaranteedAccelerators: 4 },
    { name: "guest", keys: [], guaranteedAccelerators: 0 },
];

const RACKS = range(WORKERS / WORKERS_PER_RACK).map(rack =>
    range(WORKERS_PER_RACK).map(number => getWorkerId(rack * WORKERS_PER_RACK + number))
);

/** Each rack has a zone of its own. */
function getZone(rack: number): string {
    return `zone-${rack}`;
}

function getWorkerId(number: number): string {
    return `worker-${number}`;
}

function createWorker(number: number): leader.WorkerInfo {
    const rack = `r${Math.floor(number / WORKERS_PER_RACK)}`;
    return {
        id: getWorkerId(number),
        address: `worker-${number}`,
        zone: getZone(Math.floor(number / WORKERS_PER_RACK)),
        service: "service",
        rack,
        labels: ["a", rack],
        capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 },
        draining: false,
        remainingMs: 0,
    };
}

function createLog(time: clocks.Clock, lines: Array<Record<string, unknown>>): observe.Log {
    const createWriter = (level: string) => (event: string, fields?: Readonly<Record<string, unknown>>) => {
        lines.push({ at: Math.round(time.now()), level, event, ...fields });
    };
    return { info: createWriter("info"), warn: createWriter("warn"), error: createWriter("error") };
}

function range(count: number): number[] {
    return Array.from({ length: count }, (_, number) => number);
}

/**
 * A random site: jobs, and faults of store, workers and instances in windows that overlap, all from one seed. After
 * the faults everything heals, and every job must come to its end.
 */
import type * as catalogs from "../catalog/index";
import * as clocks from "../clock/index";
import type * as leader from "../leader/index";
import type * as observe from "../observe/index";
import * as random from "../random/index";
import * as telemetry from "../telemetry/index";
import * as hazardsOfWorkers from "./hazards";
import type * as jobModel from "./jobModel";
import * as randomJob from "./randomJob";
import * as sites from "./site";
import type * as stores from "./store";
import type * as workerOrders from "./workerOrders";
import * as workersInMemory from "./workers";

export interface ChaosReport {
    readonly seed: number;
    /** Broken promises, in words; empty when all were kept. */
    readonly violations: readonly string[];
    /** Jobs that could be done and were given up, since workers had crashed under one of their tasks. */
    readonly wronglyFailedJobs: number;
    /** Log lines of all instances, in order. */
    readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

const INSTANCES = 3;
const WORKERS = 6;
const WORKERS_PER_RACK = 3;
const JOBS = 14;
/** Faults begin and end within this time; then the site has the rest to recover. */
const TROUBLE_MS = 25_000;
const RECOVERY_MS = 70_000;
const STEP_MS = 50;
/**
 * After the faults: an order that is carried out 6.3 s late may be the last of them, a leader is found anew within 2 s,
 * and a worker that was out of reach is heard again and told to stop within another.
 */
const STOP_WITHIN_MS = 10_000;

interface Window<T> {
    readonly from: number;
    readonly to: number;
    readonly share: number;
    readonly fault: T;
    readonly target: string;
}

/**
 * With `slowStore` the store is also slow for a while, and then takes the transactions of a part one by one; with
 * `hazards` tasks take workers down, workers crash and come back, and capacities change; with `restarts` workers start
 * again under their ids. `shiftMs` later than the seed says, faults and events meet the leader's timers at other moments.
 */
export async function runChaos(
    seed: number,
    { slowStore = false, hazards: withHazards = false, restarts: withRestarts = false, shiftMs = 0 } = {},
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
    const slowUntil = source.nextInt(TROUBLE_MS);
    const slowSpell = slowStore ? drawSlowSpell(seed) : undefined;
    const hazards = withHazards
        ? hazardsOfWorkers.drawHazards({ seed, forMs: TROUBLE_MS, clock: time, racks: RACKS })
        : undefined;
    const restarts = withRestarts
        ? hazardsOfWorkers.drawRestarts({ seed, forMs: TROUBLE_MS, racks: RACKS })
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
            decide: caller => pick(source, storeWindows, time.now(), caller) ?? "none",
            lateMs: 300 + source.nextInt(3_000),
            getSlowdown: () =>
                slowSpell && time.now() >= slowSpell.from && time.now() < slowSpell.to ? slowSpell.times : 1,
        },
        storePartBusyMs: slowSpell ? PART_MS : undefined,
        workerFaults: {
            decide: worker => pick(source, workerWindows, time.now(), worker) ?? "none",
            lateMs: 300 + source.nextInt(6_000),
            getSlowdown: worker => worker === getWorkerId(0) && time.now() < slowUntil ? 20 : 1,
        },
    });
    const drawn = range(JOBS).map(number => randomJob.createRandomJob(source, number));
    const jobs = hazards ? drawn.map(hazards.withRandomCrashes) : drawn;
    const cancelled = new Set<string>();
    const accepted = new Set<string>();
    const acknowledged = new Set<string>();
    const runOn = new Set<string>();
    const events = createEvents(source, site, jobs, { accepted, cancelled, acknowledged });
    for (const { at, act } of [...hazards?.events ?? [], ...restarts?.events ?? []]) {
        events.push({ at, act: () => act(site), done: false });
    }
    events.forEach(event => event.at += shiftMs);
    while (time.now() < TROUBLE_MS + RECOVERY_MS) {
        for (const event of events.filter(candidate => candidate.at <= time.now() && !candidate.done)) {
            event.done = true;
            event.act();
        }
        if (time.now() >= TROUBLE_MS + STOP_WITHIN_MS) {
            site.workers.getRunningTasks()
                .filter(task => acknowledged.has(task.split(".", 1)[0]!))
                .forEach(task => runOn.add(task));
        }
        await time.advance(STEP_MS);
    }
    const breaches = [...workersInMemory.listViolations(site.workers)];
    runOn.forEach(task => breaches.push(`${task} runs on though its job was cancelled`));
    let soundGivenUp = 0;
    for (const job of jobs) {
        const state = await ask(time, site, job);
        const expected = cancelled.has(job.jobId)
            ? ["cancelled", "completed", "failed"]
            : randomJob.getExpectedStates(job);
        if (
            state === "failed" && !expected.includes(state) && randomJob.mayFailByCrashes(job, site.workers.lossCounts)
        ) {
            soundGivenUp++;
        }
        else if (accepted.has(job.jobId) && !expected.includes(state)) {
            breaches.push(`job ${job.jobId} is ${state}, not ${expected.join(" or ")}`);
        }
    }
    site.close();
    return { seed, violations: breaches, wronglyFailedJobs: soundGivenUp, lines };
}

interface ChaosEvent {
    at: number;
    readonly act: () => void;
    done: boolean;
}

/** Ids of the jobs that were accepted, of those whose cancellation was sent, and of those for which it was acknowledged. */
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
    const down = new Set<number>();
    for (const job of jobs) {
        const handIn = (tries: number) => {
            // A caller comes back, at another instance, until it is told.
            void site.submit(job, source.nextInt(INSTANCES)).then(reply => {
                if (reply.kind === "accepted") {
                    accepted.add(job.jobId);
                }
                else if (tries > 0) {
                    handIn(tries - 1);
                }
            });
        };
        add(500 + source.nextInt(TROUBLE_MS - 5_000), () => handIn(5));
        if (source.nextInt(6) === 0) {
            add(4_000 + source.nextInt(TROUBLE_MS), () => {
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
        const at = 1_000 + source.nextInt(TROUBLE_MS - 2_000);
        const silent = source.nextInt(2) === 0;
        add(at, () => {
            if (down.has(instance)) {
                return;
            }
            down.add(instance);
            if (silent) {
                site.powerOff(instance);
            }
            else {
                site.kill(instance);
            }
        });
        add(at + 200 + source.nextInt(4_000), () => {
            if (down.delete(instance)) {
                site.restart(instance);
            }
        });
    }
    for (let freeze = source.nextInt(4); freeze > 0; freeze--) {
        const ms = 500 + source.nextInt(7_000);
        const suspended = source.nextInt(2) === 0;
        // The leader if there is one: the others have nothing to do wrong.
        add(1_500 + source.nextInt(TROUBLE_MS - 2_000), () => site.freeze(site.getLeader() ?? 0, ms, suspended));
    }
    if (source.nextInt(2) === 0) {
        const worker = getWorkerId(source.nextInt(WORKERS));
        add(2_000 + source.nextInt(TROUBLE_MS), () => {
            site.workers.kill(worker, false);
            site.workers.add({ ...createWorker(0), id: `${worker}-new`, address: `${worker}-new` });
        });
    }
    return events;
}

/** Drawn apart from all else, so that a seed plays the same jobs and faults with and without it. */
function drawSlowSpell(seed: number) {
    const source = random.createRandom(seed + FIRST_SLOW_SEED);
    const from = source.nextInt(TROUBLE_MS);
    const to = Math.min(TROUBLE_MS, from + 500 + source.nextInt(6_000));
    return { from, to, times: 10 + source.nextInt(110) };
}

/** Far from the seeds of sites. */
const FIRST_SLOW_SEED = 9_000_000;
/** A part takes 200 transactions a second. */
const PART_MS = 5;

function createWindows<T>(
    source: random.Random,
    most: number,
    faults: readonly T[],
    targets: readonly string[],
): Array<Window<T>> {
    return range(source.nextInt(most + 1)).map(() => {
        const from = source.nextInt(TROUBLE_MS);
        return {
            from,
            to: Math.min(TROUBLE_MS, from + 300 + source.nextInt(9_000)),
            share: 0.1 + 0.9 * source.nextFloat(),
            fault: source.pick(faults),
            target: source.pick(targets),
        };
    });
}

function shift<T>(window: Window<T>, byMs: number): Window<T> {
    return { ...window, from: window.from + byMs, to: window.to + byMs };
}

function pick<T>(source: random.Random, windows: ReadonlyArray<Window<T>>, now: number, target: string): T | undefined {
    const open = windows.find(window =>
        now >= window.from && now < window.to && (window.target === "" || window.target === target)
    );
    return open && source.nextFloat() < open.share ? open.fault : undefined;
}

async function ask(time: clocks.ManualClock, site: sites.Site, job: jobModel.EmulatedJob): Promise<string> {
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
        // Room for the random failures of a run beside a poisoned job's.
        maxAttempts: 4,
        stretch: 3,
        objectiveMs: 1_000,
        needsKey: true,
    });
    return {
        version: 1,
        queues: [queue("urgent", 0), queue("plan", 1), queue("batch", 2)],
        services: [{ name: "service", refusesOverload: false, spare: false }],
        accounts: [{ name: "office", keys: [], guaranteedAccelerators: 16 }],
        limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

const RACKS = range(WORKERS / WORKERS_PER_RACK).map(rack =>
    range(WORKERS_PER_RACK).map(number => getWorkerId(rack * WORKERS_PER_RACK + number))
);

function getWorkerId(number: number): string {
    return `worker-${number}`;
}

function createWorker(number: number): leader.WorkerInfo {
    const rack = `r${Math.floor(number / WORKERS_PER_RACK)}`;
    return {
        id: getWorkerId(number),
        address: `worker-${number}`,
        zone: "a",
        service: "service",
        rack,
        labels: ["a", rack],
        capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 },
        draining: false,
        remainingMs: 0,
    };
}

function createLog(time: clocks.Clock, lines: Array<Record<string, unknown>>): observe.Log {
    const keep = (level: string) => (event: string, fields?: Readonly<Record<string, unknown>>) => {
        lines.push({ at: Math.round(time.now()), level, event, ...fields });
    };
    return { info: keep("info"), warn: keep("warn"), error: keep("error") };
}

function range(count: number): number[] {
    return Array.from({ length: count }, (_, number) => number);
}

/** One run: a site starts, serves while troubles come and go, serves in calm, and has to bring every job to its end. */
import * as events from "node:events";
import * as clocks from "../src/clock/index";
import type * as emulator from "../src/emulator/index";
import * as random from "../src/random/index";
import * as callersOfSite from "./callers";
import * as troubles from "./faultInjection";
import * as balancers from "./loadBalancer";
import * as operators from "./operator";
import * as sites from "./site";
import * as verdict from "./violations";

export interface RunOptions {
    readonly seed: number;
    readonly instances: number;
    readonly workers: number;
    /** How long troubles come. */
    readonly faultPhaseMs: number;
    readonly faultCount: number;
    readonly jobsPerSecond: number;
    readonly addressBlock: number;
    /** Queues of the configuration beside those that callers use. */
    readonly otherQueues: number;
    /** What each connection to the store carries, but the first instance's; absent: no limit. */
    readonly storeBytesPerSecond?: number;
    onProgress(line: string): void;
}

export interface RunReport {
    readonly seed: number;
    readonly violations: readonly string[];
    readonly jobs: number;
    readonly accepted: number;
    readonly starts: number;
    /** Settings and output of the processes. */
    readonly folder: string;
}

/** Of the whole site, and for each instance: one takes 0.2 s of processor time, beside whatever else runs. */
const START_WITHIN_MS = 20_000;
const START_EACH_MS = 500;
/** A trouble's effects are over this long after its end, when it counts for promises with a time bound. */
const AFTERMATH_MS = 5_000;
/** Callers come on for so long after the last trouble's aftermath. */
const CALM_MS = 6_000;
/** Within this time every job has to end. */
const FINISH_WITHIN_MS = 60_000;
const POLL_MS = 100;

export async function runSoak(options: RunOptions): Promise<RunReport> {
    const parts = await openParts(options);
    const { site, callers, balancer } = parts;
    const over = createController();
    const breaches = await play(parts, options, over.signal);
    over.abort();
    callers.close();
    balancer.close();
    await site.close();
    return {
        seed: options.seed,
        violations: breaches,
        jobs: callers.records.length,
        accepted: callers.records.filter(record => record.acceptedAt !== undefined).length,
        starts: site.workers.starts.length,
        folder: site.folder,
    };
}

interface Parts {
    readonly time: clocks.Clock;
    readonly plan: readonly troubles.ScheduledFault[];
    readonly board: troubles.FaultInjector;
    readonly site: sites.Site;
    readonly operator: operators.Operator;
    readonly balancer: balancers.LoadBalancer;
    readonly callers: callersOfSite.Callers;
}

async function openParts(options: RunOptions): Promise<Parts> {
    const time = clocks.createSystemClock();
    // Callers, operator and faults draw from sources of their own, so that the plan depends on the seed alone.
    const createSource = (part: number) => random.createRandom(options.seed * SOURCES + part);
    const troubleOptions = {
        instances: options.instances,
        workers: options.workers,
        lastMs: options.faultPhaseMs,
        count: options.faultCount,
    };
    const plan = [
        ...troubles.createFaultSchedule(random.createRandom(options.seed), troubleOptions),
        ...troubles.createCapacityReductions(createSource(6), troubleOptions),
    ];
    const board = troubles.createFaultInjector(createSource(1));
    const jobs = new Map<string, emulator.EmulatedJob>();
    const idSource = createSource(0);
    const comesBackUnderId = () => idSource.nextInt(2) === 0;
    const site = await sites.createSite({ ...options, ...board, jobs, restartsUnderSameId: comesBackUnderId });
    const operator = operators.createOperator(site, time, createSource(2), options.otherQueues);
    const balancer = balancers.createLoadBalancer(site, time, createSource(3));
    const callers = callersOfSite.createCallers({
        clock: time,
        source: createSource(4),
        jobSource: createSource(5),
        poisonSource: createSource(7),
        balancer,
        workers: site.workers,
        queues: operator.queues,
        key: operator.key,
        jobs,
    });
    return { time, plan, board, site, operator, balancer, callers };
}

/** Sources of random numbers that a run uses. */
const SOURCES = 8;

/** Returns what broke a promise. */
async function play(parts: Parts, options: RunOptions, signal: AbortSignal): Promise<string[]> {
    const { time, plan, site, operator, balancer, callers } = parts;
    const slow: string[] = [];
    const waitFor = async (what: string, withinMs: number, holds: () => boolean) => {
        const until = time.now() + withinMs;
        while (!holds() && time.now() < until) {
            await time.sleep(POLL_MS);
        }
        if (!holds()) {
            slow.push(`${what} took longer than ${withinMs} ms`);
        }
    };
    site.instances.forEach(instance => instance.start());
    const startWithinMs = START_WITHIN_MS + options.instances * START_EACH_MS;
    await waitFor("the start of the site", startWithinMs, () => balancer.countReady() === options.instances);

    const calm = createCalm(plan, time.now());
    const callersStop = createController();
    void operator.run(signal, calm);
    void callers.run(options.jobsPerSecond, callersStop.signal);
    await playTroubles(parts, options.onProgress);
    await time.sleep(AFTERMATH_MS);
    const drains = drainOne(site, time);
    await time.sleep(CALM_MS);
    callersStop.abort();
    await waitFor("the end of the last jobs", FINISH_WITHIN_MS, callers.isDone);
    return [
        ...slow,
        ...callers.violations,
        ...operator.violations,
        ...verdict.findViolations({ jobs: callers.records, workers: site.workers, drains, faultFreeTimes: calm }),
    ];
}

/** Its signal has a listener for each caller and watcher: more than the default that is warned of. */
function createController(): AbortController {
    const controller = new AbortController();
    events.setMaxListeners(0, controller.signal);
    return controller;
}

async function playTroubles({ plan, site, board, time }: Parts, say: (line: string) => void): Promise<void> {
    const startedAt = time.now();
    const running = plan.map(async ({ at, forMs, trouble }) => {
        await time.sleep(at);
        say(`${Math.round(time.now() - startedAt)} ms: ${JSON.stringify(trouble)} for ${forMs} ms`);
        const end = troubles.injectFault(trouble, site, board);
        await time.sleep(forMs);
        end();
    });
    const restarting = restartEnded(site, time, Math.max(...plan.map(item => item.at + item.forMs)));
    await Promise.all([...running, restarting]);
}

/** The platform starts an ended process again after a while. */
async function restartEnded(site: sites.Site, time: clocks.Clock, forMs: number): Promise<void> {
    const until = time.now() + forMs;
    const start = () => site.instances.filter(instance => !instance.isRunning()).forEach(instance => instance.start());
    while (time.now() < until) {
        await time.sleep(RESTART_EVERY_MS);
        start();
    }
    start();
}

const RESTART_EVERY_MS = 1_500;

/** A worker that drains in calm shows whether anything is started there later. */
function drainOne(site: sites.Site, time: clocks.Clock): Array<{ lifeId: string; at: number; }> {
    const place = site.workerHosts.at(-1)!;
    const lifeId = place.getIncarnationId();
    place.drain(CALM_MS);
    return lifeId === undefined ? [] : [{ lifeId, at: time.now() }];
}

function createCalm(plan: readonly troubles.ScheduledFault[], startedAt: number): verdict.FaultFreeTimes {
    const spans = plan.map(({ at, forMs }) => ({
        from: startedAt + at,
        to: startedAt + at + forMs + AFTERMATH_MS,
    }));
    return { isFaultFree: (from, to) => spans.every(span => span.to <= from || span.from > to) };
}

/**
 * One soak run: starts a site, loads it while faults are injected and afterwards, and waits until every job has ended.
 */
import * as events from "node:events";
import * as clocks from "../src/clock/index";
import type * as emulator from "../src/emulator/index";
import * as random from "../src/random/index";
import * as simulatedCallers from "./callers";
import * as contention from "./contention";
import * as evacuations from "./evacuations";
import * as faultInjection from "./faultInjection";
import * as loadBalancers from "./loadBalancer";
import * as operators from "./operator";
import * as sites from "./site";
import * as violationChecks from "./violations";

export interface RunOptions {
    readonly seed: number;
    readonly instances: number;
    readonly workers: number;
    /** Length of the phase in which faults are injected. */
    readonly faultPhaseMs: number;
    readonly faultCount: number;
    readonly jobsPerSecond: number;
    readonly addressBlock: number;
    /** Whether callers also submit jobs of unusual shapes. */
    readonly unusualJobs: boolean;
    /** Number of queues in the configuration that no caller uses. */
    readonly otherQueues: number;
    /** Bandwidth of each connection to the store, except the first instance's; absent: no limit. */
    readonly storeBytesPerSecond?: number;
    onProgress(line: string): void;
}

export interface RunReport {
    readonly seed: number;
    readonly violations: readonly string[];
    readonly jobs: number;
    readonly accepted: number;
    readonly starts: number;
    /** Directory with the settings files and the log files of the processes. */
    readonly folder: string;
}

/**
 * Time for the whole site to start, and more for each instance: one start takes 0.2 s of CPU time on a shared machine.
 */
const BASE_START_TIMEOUT_MS = 20_000;
const START_TIMEOUT_PER_INSTANCE_MS = 500;
/** A fault may still have effects for this long after its end; checks with a time limit skip this time as well. */
const FAULT_AFTERMATH_MS = 5_000;
/** Callers go on submitting jobs for this long after the aftermath of the last fault. */
const FAULT_FREE_PHASE_MS = 6_000;
/** Every job has to end within this time after the last submission, 60 s on workers of usual speed. */
const FINISH_TIMEOUT_MS = 60_000 * contention.MAX_SLOWDOWN;
const POLL_INTERVAL_MS = 100;

export async function runSoak(options: RunOptions): Promise<RunReport> {
    const components = await createComponents(options);
    const { site, callers, balancer } = components;
    const ended = createAbortController();
    const violations = await runPhases(components, options, ended.signal);
    ended.abort();
    callers.close();
    balancer.close();
    await site.close();
    return {
        seed: options.seed,
        violations,
        jobs: callers.records.length,
        accepted: callers.records.filter(record => record.acceptedAt !== undefined).length,
        starts: site.workers.starts.length,
        folder: site.folder,
    };
}

interface Components {
    readonly time: clocks.Clock;
    readonly schedule: readonly faultInjection.ScheduledFault[];
    readonly injector: faultInjection.FaultInjector;
    readonly site: sites.Site;
    readonly operator: operators.Operator;
    readonly balancer: loadBalancers.LoadBalancer;
    readonly callers: simulatedCallers.Callers;
    readonly evacuator: evacuations.Evacuator;
}

async function createComponents(options: RunOptions): Promise<Components> {
    const time = clocks.createSystemClock();
    // Callers, operator and faults have random sources of their own, so that the schedule depends on the seed alone.
    const createSource = (index: number) => random.createRandom(options.seed * SOURCE_COUNT + index);
    const scheduleOptions = {
        instances: options.instances,
        workers: options.workers,
        windowMs: options.faultPhaseMs,
        count: options.faultCount,
    };
    const contentionSource = random.createRandom(options.seed + CONTENTION_SEED_OFFSET);
    const schedule = [
        ...faultInjection.createFaultSchedule(random.createRandom(options.seed), scheduleOptions),
        ...faultInjection.createCapacityReductions(createSource(6), scheduleOptions),
        ...contention.createContention(contentionSource, scheduleOptions),
    ];
    const injector = faultInjection.createFaultInjector(createSource(1));
    const jobs = new Map<string, emulator.EmulatedJob>();
    const restartSource = createSource(0);
    const restartsUnderSameId = () => restartSource.nextInt(2) === 0;
    const slowdowns = contention.drawSlowdowns(contentionSource, options.workers);
    const site = await sites.createSite({ ...options, ...injector, slowdowns, jobs, restartsUnderSameId });
    const operator = operators.createOperator(site, time, createSource(2), options.otherQueues);
    const balancer = loadBalancers.createLoadBalancer(site, time, createSource(3));
    const callers = simulatedCallers.createCallers({
        clock: time,
        source: createSource(4),
        jobSource: createSource(5),
        crashSource: createSource(7),
        unusualJobSource: options.unusualJobs ? createSource(8) : undefined,
        balancer,
        workers: site.workers,
        queues: operator.queues,
        key: operator.key,
        jobs,
    });
    const evacuationSource = random.createRandom(options.seed + EVACUATION_SEED_OFFSET);
    const evacuator = evacuations.createEvacuator(site, time, evacuationSource);
    return { time, schedule, injector, site, operator, balancer, callers, evacuator };
}

/** Keeps the source of evacuations apart from the others, so that they don't change a seed's faults. */
const EVACUATION_SEED_OFFSET = 29_000_000;
/** Keeps the source of contention apart from the others. */
const CONTENTION_SEED_OFFSET = 37_000_000;
/** Number of random sources of a run. */
const SOURCE_COUNT = 8;

/** Runs all phases and returns the violations. */
async function runPhases(components: Components, options: RunOptions, signal: AbortSignal): Promise<string[]> {
    const { time, schedule, site, operator, balancer, callers, evacuator } = components;
    const timeouts: string[] = [];
    const waitFor = async (activity: string, timeoutMs: number, condition: () => boolean) => {
        const deadline = time.now() + timeoutMs;
        while (!condition() && time.now() < deadline) {
            await time.sleep(POLL_INTERVAL_MS);
        }
        if (!condition()) {
            timeouts.push(`${activity} took longer than ${timeoutMs} ms`);
        }
    };
    site.instances.forEach(instance => instance.start());
    const startTimeoutMs = BASE_START_TIMEOUT_MS + options.instances * START_TIMEOUT_PER_INSTANCE_MS;
    await waitFor("the start of the site", startTimeoutMs, () => balancer.countReady() === options.instances);

    const faultFreeTimes = createFaultFreeTimes(schedule, time.now());
    const callersStopped = createAbortController();
    void operator.run(signal, faultFreeTimes);
    void callers.run(options.jobsPerSecond, callersStopped.signal);
    evacuator.runRandom(options.faultPhaseMs);
    await injectFaults(components, options.onProgress);
    const restore = evacuator.evacuate(sites.ZONES[0]!);
    await time.sleep(FAULT_AFTERMATH_MS);
    const drains = drainOneWorker(site, time);
    await time.sleep(FAULT_FREE_PHASE_MS);
    callersStopped.abort();
    restore();
    await waitFor("the end of the last jobs", FINISH_TIMEOUT_MS, callers.isDone);
    return [
        ...timeouts,
        ...callers.violations,
        ...operator.violations,
        ...violationChecks.findViolations({
            jobs: callers.records,
            workers: site.workers,
            drains,
            evacuations: evacuator.evacuations,
            faultFreeTimes,
        }),
    ];
}

/** Creates a controller whose signal may have more listeners (callers, polls) than Node.js allows without a warning. */
function createAbortController(): AbortController {
    const controller = new AbortController();
    events.setMaxListeners(0, controller.signal);
    return controller;
}

async function injectFaults(
    { schedule, site, injector, time }: Components,
    onProgress: (line: string) => void,
): Promise<void> {
    const startedAt = time.now();
    const injections = schedule.map(async ({ startAfterMs, durationMs, fault }) => {
        await time.sleep(startAfterMs);
        onProgress(`${Math.round(time.now() - startedAt)} ms: ${JSON.stringify(fault)} for ${durationMs} ms`);
        const end = faultInjection.injectFault(fault, site, injector);
        await time.sleep(durationMs);
        end();
    });
    const restarting = restartExitedInstances(
        site,
        time,
        Math.max(...schedule.map(item => item.startAfterMs + item.durationMs)),
    );
    await Promise.all([...injections, restarting]);
}

/** Restarts exited instances periodically, as the platform does. */
async function restartExitedInstances(site: sites.Site, time: clocks.Clock, durationMs: number): Promise<void> {
    const deadline = time.now() + durationMs;
    const startExited = () =>
        site.instances.filter(instance => !instance.isRunning()).forEach(instance => instance.start());
    while (time.now() < deadline) {
        await time.sleep(RESTART_INTERVAL_MS);
        startExited();
    }
    startExited();
}

const RESTART_INTERVAL_MS = 1_500;

/** Drains one worker while no fault is active, so that a task that starts there too late is a violation. */
function drainOneWorker(site: sites.Site, time: clocks.Clock): Array<{ incarnationId: string; at: number; }> {
    const workerHost = site.workerHosts.at(-1)!;
    const incarnationId = workerHost.getIncarnationId();
    workerHost.drain(FAULT_FREE_PHASE_MS);
    return incarnationId === undefined ? [] : [{ incarnationId, at: time.now() }];
}

function createFaultFreeTimes(
    schedule: readonly faultInjection.ScheduledFault[],
    startedAt: number,
): violationChecks.FaultFreeTimes {
    const windows = schedule.map(({ startAfterMs, durationMs }) => ({
        from: startedAt + startAfterMs,
        to: startedAt + startAfterMs + durationMs + FAULT_AFTERMATH_MS,
    }));
    return { isFaultFree: (from, to) => windows.every(window => window.to <= from || window.from > to) };
}

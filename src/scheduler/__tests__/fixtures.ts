/** Emulated sites, jobs and workers for tests of the scheduler. */
import type * as catalogs from "../../catalog/index";
import * as clocks from "../../clock/index";
import type * as decisions from "../../decisions/index";
import * as emulator from "../../emulator/index";
import type * as leader from "../../leader/index";
import * as telemetry from "../../telemetry/index";
import * as work from "../../work/index";

/** Creates worker `worker-N`; `perRack` consecutive workers share a rack. */
export function createWorkerInfo(number: number, perRack = 4): leader.WorkerInfo {
    const rack = `r${Math.floor(number / perRack)}`;
    return {
        id: `worker-${number}`,
        address: `10.0.0.${number}:1`,
        zone: "a",
        service: "booking",
        rack,
        labels: ["a", rack],
        capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 },
        draining: false,
        remainingMs: 0,
    };
}

function createQueue(name: string, priority: number, maxAttempts: number): catalogs.Queue {
    return {
        name,
        host: "example",
        pathPrefix: `/${name}/`,
        service: "booking",
        priority,
        maxAttempts,
        stretch: 3,
        objectiveMs: 1_000,
        needsKey: true,
    };
}

/** Three queues on one service, and an account with a guarantee of 16 accelerators. */
export const CATALOG: catalogs.Catalog = {
    version: 1,
    queues: [createQueue("urgent", 0, 2), createQueue("plan", 1, 2), createQueue("batch", 2, 4)],
    services: [{ name: "booking", refusesOverload: false, spare: false }],
    accounts: [{ name: "office", keys: ["key"], guaranteedAccelerators: 16 }],
    limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** Creates a step of one task on one accelerator; `fields` override its fields. */
export function createStep(fields: Partial<work.StepSpec> = {}): work.StepSpec {
    return {
        ...work.DEFAULT_STEP,
        count: 1,
        needs: { cpuMillis: 2_000, memoryMb: 4_096, accelerators: 1 },
        estimateMs: 2_000,
        ...fields,
    };
}

/** Creates a job of one step; `fields` override fields of the step, `job` those of the job. */
export function createJob(
    number: number,
    fields: Partial<work.StepSpec> = {},
    job: Partial<emulator.EmulatedJob> = {},
): emulator.EmulatedJob {
    const step = createStep(fields);
    return {
        jobId: number.toString(16).padStart(16, "0"),
        queue: "plan",
        account: "office",
        spec: { payload: "p", steps: [step], repeats: 0, firstDueAt: 0, periodMs: 0 },
        durationsMs: [step.estimateMs],
        ...job,
    };
}

/** An emulated site on a manual clock that collects log lines and metrics. */
export interface TestSite extends emulator.Site {
    readonly clock: clocks.ManualClock;
    readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
    /** Metrics shared by all instances. */
    readonly metrics: telemetry.Metrics;
}

/** Opens a site; by default with two instances and four workers, without faults. */
export function openSite(options: {
    readonly instances?: number;
    readonly workers?: number;
    readonly catalog?: catalogs.Catalog;
    readonly retentionMs?: number;
    readonly workerRestartMs?: number;
    readonly isDirectoryUnreachable?: (time: clocks.Clock) => boolean;
    readonly policy?: decisions.Policy;
    readonly adviser?: leader.Adviser;
    /** Machines `m0`, `m1` … host the workers of the same numbers. */
    readonly machines?: (time: clocks.Clock) => emulator.EmulatedMachines;
    readonly storeFaults?: (time: clocks.Clock) => Parameters<typeof emulator.createSite>[0]["storeFaults"];
    readonly storePartMs?: number;
    readonly workerFaults?: (time: clocks.Clock) => Parameters<typeof emulator.createSite>[0]["workerFaults"];
    /** Lets operators evacuate zones; each rack is then a zone of the same name. */
    readonly evacuations?: (time: clocks.Clock) => Parameters<typeof emulator.createSite>[0]["evacuations"];
    readonly workersPerRack?: number;
    readonly maxLeaseMs?: number;
}): TestSite {
    const time = clocks.createManualClock(1_000_000);
    const metrics = telemetry.createMetrics();
    const lines: Array<Record<string, unknown>> = [];
    const recordLine = (level: string) => (event: string, fields?: Readonly<Record<string, unknown>>) => {
        lines.push({ at: Math.round(time.now()), level, event, ...fields });
    };
    const machines = options.machines?.(time);
    const workers = Array.from({ length: options.workers ?? 4 }, (_, number) => {
        const info = createWorkerInfo(number, options.workersPerRack);
        return options.evacuations ? { ...info, zone: info.rack } : info;
    });
    const site = emulator.createSite({
        clock: time,
        log: { info: recordLine("info"), warn: recordLine("warn"), error: recordLine("error") },
        meter: metrics.meter,
        instances: options.instances ?? 2,
        workers,
        catalog: options.catalog ?? CATALOG,
        retentionMs: options.retentionMs,
        workerRestartMs: options.workerRestartMs,
        isDirectoryUnreachable: () => options.isDirectoryUnreachable?.(time) ?? false,
        policy: options.policy,
        adviser: options.adviser,
        machines: machines?.service,
        waves: machines?.wavePort,
        storeFaults: options.storeFaults?.(time),
        storePartBusyMs: options.storePartMs,
        workerFaults: options.workerFaults?.(time),
        evacuations: options.evacuations?.(time),
        maxLeaseMs: options.maxLeaseMs,
    });
    workers.forEach((info, number) => machines?.addMachine(`m${number}`, info, site.workers));
    return { ...site, clock: time, lines, metrics };
}

/** Opens a site, waits for the election of a leader, and submits the jobs. */
export async function openSiteWithJobs(
    options: Parameters<typeof openSite>[0],
    jobs: readonly emulator.EmulatedJob[],
): Promise<TestSite> {
    const site = openSite(options);
    await site.clock.advance(1_000);
    for (const job of jobs) {
        await advanceUntilSettled(site.clock, site.submit(job, 1));
    }
    return site;
}

/** Returns the starts of a job's tasks on workers, in order. */
export function getStarts(site: TestSite, job: emulator.EmulatedJob) {
    return site.workers.starts.filter(start => start.task.startsWith(job.jobId));
}

/** Advances the clock until the promise settles, by at most `ms` milliseconds, and returns the promise. */
export async function advanceUntilSettled<T>(time: clocks.ManualClock, promise: Promise<T>, ms = 5_000): Promise<T> {
    let settled = false;
    void promise.then(() => {
        settled = true;
    });
    for (let waited = 0; waited < ms && !settled; waited += 5) {
        await time.advance(5);
    }
    return promise;
}

/** Opens a site of one worker, which an urgent job of 1 s has filled every 2 s for 20 s, and no longer does. */
export async function openSiteWithUrgentWaves(options: Parameters<typeof openSite>[0] = {}): Promise<TestSite> {
    const site = openSite({ workers: 1, ...options });
    await site.clock.advance(1_000);
    const needs = { cpuMillis: 8_000, memoryMb: 8_192, accelerators: 8 };
    for (let number = 100; number < 110; number++) {
        const job = createJob(number, { estimateMs: 1_000, needs }, { queue: "urgent" });
        await advanceUntilSettled(site.clock, site.submit(job, 1));
        await site.clock.advance(2_000);
    }
    return site;
}

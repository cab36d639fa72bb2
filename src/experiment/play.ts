/** Plays a load through the real scheduler against emulated workers on a manual clock. */
import type * as catalogs from "../catalog/index";
import * as clocks from "../clock/index";
import * as decisions from "../decisions/index";
import * as emulator from "../emulator/index";
import type * as leader from "../leader/index";
import * as telemetry from "../telemetry/index";
import * as generate from "./generate";
import type * as loads from "./load";
import * as troubles from "./troubles";

/** What became of a job. Times are milliseconds from its arrival. */
export interface JobOutcome {
    readonly planned: generate.PlannedJob;
    /** Of its callers. */
    readonly zone: string;
    readonly accepted: boolean;
    readonly firstStartMs: number | undefined;
    readonly end: { readonly state: string; readonly afterMs: number; } | undefined;
}

/** How full the site was at one moment. */
export interface Sample {
    readonly atMs: number;
    /** Share of the accelerators of living workers in use. */
    readonly utilisation: number;
    /** Share of the free accelerators that lie on workers which are not free as a whole. */
    readonly fragmentation: number;
    readonly waitingJobs: number;
}

export interface Played {
    readonly jobs: readonly JobOutcome[];
    readonly samples: readonly Sample[];
    /** Core-seconds of runs that were stopped, broken or lapsed and not saved. */
    readonly thrownAwayCoreSeconds: number;
    readonly stoppedRuns: number;
    /** The same by why: core-seconds thrown away. */
    readonly lossByReason: Readonly<Record<string, number>>;
    /** Looks and orders. */
    readonly workerCalls: number;
    /** Broken promises, in words. */
    readonly breaches: readonly string[];
    readonly simulatedMs: number;
}

export interface PlayOptions {
    readonly load: loads.Load;
    readonly seed: number;
    readonly policy: decisions.Policy;
}

/** The instances find a leader, and the leader its workers, before jobs come. */
const LEAD_MS = 2_000;
const STEP_MS = 50;
const SAMPLE_MS = 500;
/** After the last arrival: what is not done then counts as not served. */
const FINISH_MS = 40_000;

export async function play(options: PlayOptions): Promise<Played> {
    const { load } = options;
    const source = generate.createSource(options.seed);
    const planned = generate.generateJobs(load, source);
    const time = clocks.createManualClock(1_700_000_000_000);
    const startAt = time.now() + LEAD_MS;
    const record = createRecord(planned, () => time.now() - startAt);
    const workers = Array.from({ length: load.workers }, (_, number) => createWorker(number, load));
    const affected = troubles.createTroubles(load, workers, source, () => time.now() - startAt);
    const site = emulator.createSite({
        clock: time,
        log: record.log,
        ...telemetry.createMetrics(),
        instances: load.instances,
        workers,
        catalog: createCatalog(load),
        workerFaults: affected.faults,
        storeFaults: affected.storeFaults,
        policy: options.policy,
    });
    affected.failOn(site.workers, planned);
    const samples: Sample[] = [];
    await time.advance(LEAD_MS);
    let next = 0;
    let sampleAt = 0;
    for (let at = 0; at < load.forMs + FINISH_MS && record.isOpen(); at += STEP_MS) {
        for (; next < planned.length && planned[next]!.arrivesAt <= at; next++) {
            handIn(planned[next]!, { site, load, record, time });
        }
        affected.apply(site, at);
        if (at >= sampleAt) {
            samples.push(takeSample(site.workers, workers, at, record.countWaiting()));
            sampleAt = at + SAMPLE_MS;
        }
        await time.advance(STEP_MS);
    }
    site.close();
    return {
        jobs: record.getOutcomes(),
        samples,
        ...record.getLosses(),
        workerCalls: affected.countWorkerCalls(),
        breaches: site.workers.breaches,
        simulatedMs: time.now() - startAt,
    };
}

interface Playing {
    readonly site: emulator.Site;
    readonly load: loads.Load;
    readonly record: JobRecord;
    readonly time: clocks.ManualClock;
}

/** A caller that is refused comes back this often, each time after a pause, as long as it has patience. */
const MOST_TRIES = 4;
const LEAST_PAUSE_MS = 500;
const MORE_PAUSE_MS = 150;
const PATIENCE_MS = 3_000;

function handIn(planned: generate.PlannedJob, playing: Playing): void {
    const { site, load, record, time } = playing;
    const { job } = planned;
    const startedAt = time.now();
    const send = (tries: number) => {
        const instance = chooseInstance(planned.zone + tries * load.zones, playing);
        void site.submit(job, instance).then(reply => {
            if (reply.kind === "accepted") {
                record.accept(job.jobId);
                if (planned.cancelAfterMs !== undefined) {
                    time.setTimer(planned.cancelAfterMs, () => void site.cancel(job.jobId, instance));
                }
                return;
            }
            const pauseMs = LEAST_PAUSE_MS + tries * MORE_PAUSE_MS;
            if (tries < MOST_TRIES && time.now() + pauseMs - startedAt < PATIENCE_MS) {
                time.setTimer(pauseMs, () => send(tries + 1));
                return;
            }
            record.giveUp(job.jobId);
        });
    };
    send(0);
}

/** The balancer's choice: the instance of that number, or the next one that is there. */
function chooseInstance(wanted: number, { site, load }: Playing): number {
    const candidates = Array.from({ length: load.instances }, (_, next) => (wanted + next) % load.instances);
    return candidates.find(site.isAlive) ?? candidates[0]!;
}

/** What the instances log of the jobs, as it comes. */
interface JobRecord {
    readonly log: Parameters<typeof emulator.createSite>[0]["log"];
    accept(jobId: string): void;
    /** Its caller does not come back. */
    giveUp(jobId: string): void;
    /** Whether jobs are still to come or to end. */
    isOpen(): boolean;
    countWaiting(): number;
    getOutcomes(): JobOutcome[];
    getLosses(): Pick<Played, "thrownAwayCoreSeconds" | "stoppedRuns" | "lossByReason">;
}

/** Follows the jobs by what the instances log. */
function createRecord(planned: readonly generate.PlannedJob[], now: () => number): JobRecord {
    interface Entry {
        readonly planned: generate.PlannedJob;
        accepted: boolean;
        firstStartAt: number | undefined;
        end: { state: string; at: number; } | undefined;
    }
    const entries = new Map(planned.map((item): [string, Entry] => [
        item.job.jobId,
        { planned: item, accepted: false, firstStartAt: undefined, end: undefined },
    ]));
    let thrownAwayCoreSeconds = 0;
    let stoppedRuns = 0;
    const lossByReason: Record<string, number> = {};
    const findEntry = (name: unknown) => entries.get(String(name).split(".", 1)[0]!);
    const take = (event: string, fields: Readonly<Record<string, unknown>> = {}) => {
        switch (event) {
            case "placed": {
                const entry = findEntry(fields["unit"]);
                if (entry && entry.firstStartAt === undefined) {
                    entry.firstStartAt = now();
                }
                break;
            }
            case "runEnded": {
                const entry = findEntry(fields["task"]);
                stoppedRuns++;
                // What its caller has cancelled is not thrown away by a decision.
                if (entry && fields["saved"] !== true && fields["reason"] !== "jobCancelled") {
                    const step = entry.planned.job.spec.steps[0]!;
                    const cores = step.needs.cpuMillis / 1_000
                        + generate.CORES_PER_ACCELERATOR * step.needs.accelerators;
                    const loss = Number(fields["ranMs"]) / 1_000 * cores;
                    const reason = String(fields["reason"] ?? fields["how"]).split(" for ", 1)[0]!;
                    thrownAwayCoreSeconds += loss;
                    lossByReason[reason] = (lossByReason[reason] ?? 0) + loss;
                }
                break;
            }
            case "jobEnded": {
                const entry = findEntry(fields["job"]);
                if (entry) {
                    entry.end ??= { state: String(fields["state"]), at: now() };
                }
                break;
            }
        }
    };
    return {
        log: { info: take, warn: take, error: take },
        accept: jobId => {
            entries.get(jobId)!.accepted = true;
        },
        giveUp: jobId => {
            const entry = entries.get(jobId)!;
            entry.end ??= { state: "refused", at: now() };
        },
        isOpen: () => [...entries.values()].some(entry => !entry.end),
        countWaiting: () =>
            [...entries.values()].filter(entry => entry.accepted && entry.firstStartAt === undefined && !entry.end)
                .length,
        getOutcomes: () =>
            [...entries.values()].map(entry => ({
                planned: entry.planned,
                zone: `zone-${entry.planned.zone}`,
                accepted: entry.accepted,
                firstStartMs: entry.firstStartAt === undefined
                    ? undefined
                    : entry.firstStartAt - entry.planned.arrivesAt,
                end: entry.end && { state: entry.end.state, afterMs: entry.end.at - entry.planned.arrivesAt },
            })),
        getLosses: () => ({ thrownAwayCoreSeconds, stoppedRuns, lossByReason }),
    };
}

function takeSample(
    workers: emulator.EmulatedWorkers,
    infos: readonly leader.WorkerInfo[],
    atMs: number,
    waitingJobs: number,
): Sample {
    let total = 0;
    let used = 0;
    let freeWhole = 0;
    for (const info of infos) {
        const taken = workers.getUsed(info.id);
        if (taken) {
            total += info.capacity.accelerators;
            used += taken.accelerators;
            freeWhole += taken.accelerators === 0 ? info.capacity.accelerators : 0;
        }
    }
    const free = total - used;
    return {
        atMs,
        utilisation: total > 0 ? used / total : 0,
        fragmentation: free > 0 ? 1 - freeWhole / free : 0,
        waitingJobs,
    };
}

const SERVICE = "service";

function createWorker(number: number, load: loads.Load): leader.WorkerInfo {
    const rack = generate.getRackName(number, load);
    return {
        id: `worker-${number}`,
        address: `worker-${number}`,
        zone: `zone-${Math.floor(number / load.workersPerRack) % load.zones}`,
        service: SERVICE,
        rack,
        labels: ["a", rack],
        capacity: load.capacity,
        draining: false,
        remainingMs: 0,
    };
}

function createCatalog(load: loads.Load): catalogs.Catalog {
    const total = load.workers * load.capacity.accelerators * load.guaranteed;
    const weights = Array.from({ length: load.accounts }, (_, number) => load.skew ** number);
    const sum = weights.reduce((all, weight) => all + weight, 0);
    return {
        version: 1,
        queues: load.classes.map(item => ({
            name: item.name,
            host: "example",
            pathPrefix: `/${item.name}/`,
            service: SERVICE,
            priority: item.priority,
            maxAttempts: item.maxAttempts,
            stretch: item.stretch,
            objectiveMs: item.objectiveMs,
            needsKey: true,
        })),
        services: [{ name: SERVICE, refusesOverload: false, spare: false }],
        accounts: weights.map((weight, number) => ({
            name: generate.getAccountName(number),
            keys: [],
            guaranteedAccelerators: Math.floor(total * weight / sum),
        })),
        limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

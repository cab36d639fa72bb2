/** Discrete-event simulation of one day of a site with the real admission, schedulers and worker health. */
import * as heapJs from "heap-js";
import type * as clock from "../../src/clock/index";
import type * as configuration from "../../src/configuration/index";
import * as entry from "../../src/entry/index";
import * as placement from "../../src/placement/index";
import * as queue from "../../src/queue/index";
import * as random from "../../src/random/index";
import * as workers from "../../src/workers/index";
import type * as workload from "./workload";

export interface DayResult {
    readonly completions: readonly Completion[];
    readonly unfinished: number;
    readonly fragmentation: number;
    readonly utilisation: number;
    /** Accelerator milliseconds that evictions cost: saving a checkpoint and restoring it. */
    readonly lostWorkMs: number;
    readonly evictions: number;
    /** Time from each decision to reclaim until the guaranteed job started. */
    readonly reclaimDelaysMs: readonly number[];
    readonly interactiveLatenciesMs: readonly number[];
    readonly decisions: number;
}

export interface Completion {
    readonly account: string;
    readonly jobClass: string;
    readonly accelerators: number;
    readonly waitMs: number;
    readonly completionMs: number;
}

export interface DayOptions {
    readonly current: configuration.Configuration;
    readonly jobs: readonly workload.WorkloadJob[];
    readonly seed: number;
    /** Time until which a worker fails every task, by worker id. */
    readonly failingUntilMs: ReadonlyMap<string, number>;
    /** Jobs that arrive earlier are run but not measured, as the site starts empty. */
    readonly measureFromMs: number;
    readonly endMs: number;
    readonly onEvict?: (cause: string, jobId: string) => void;
}

interface DayJob {
    readonly spec: workload.WorkloadJob;
    readonly queued: queue.QueuedJob;
    zone: string;
    firstStartAt: number | undefined;
    startedAt: number;
    startCount: number;
}

interface Event {
    readonly at: number;
    readonly run: () => void;
}

const SAMPLE_INTERVAL_MS = 60_000;
const TICK_INTERVAL_MS = 10_000;
/** Time to save a checkpoint. */
const CHECKPOINT_MS = 2000;
/** Time that a job needs to restore a checkpoint. */
const RESTORE_MS = 20_000;
const FAILURE_DELAY_MS = 2000;
const MEAN_INTERACTIVE_GAP_MS = 2000;
const MEAN_INTERACTIVE_RUN_MS = 60;
const MIN_WAIT_BEFORE_MOVE_MS = 2000;

/** Runs all events up to `endMs`. */
export function simulateDay(options: DayOptions): DayResult {
    const { current } = options;
    const rng = random.createRandom(options.seed);
    const events = new heapJs.Heap<Event>((a, b) => a.at - b.at);
    let now = 0;
    const time: clock.Clock = {
        now: () => now,
        wallTime: () => now,
        setTimer: (ms, run) => {
            events.push({ at: now + ms, run });
            return () => undefined;
        },
        sleep: () => Promise.reject(new Error("the simulated clock does not support sleep")),
    };
    const preset = current.contracts.presets.find(item => item.name === current.head.preset)!;
    const drained = new Set(preset.drainedWorkers);
    const zones = current.topology.zones.map(zone => {
        const scheduler = queue.createScheduler(time, queue.getShapes(current, zone));
        const health = workers.createWorkerHealth({ clock: time, workerCount: scheduler.fleet.workers.size });
        for (const workerId of drained) {
            if (scheduler.fleet.workers.has(workerId)) {
                scheduler.fleet.setUsable(workerId, false);
            }
        }
        return { zone, scheduler, health };
    });
    const jobs = new Map<string, DayJob>();
    const completions: Completion[] = [];
    const reclaimDelaysMs: number[] = [];
    const reclaimedAt = new Map<string, number>();
    const interactiveLatenciesMs: number[] = [];
    let lostWorkMs = 0;
    let evictions = 0;
    let decisions = 0;
    const sums = { fragmentation: 0, utilisation: 0, samples: 0 };
    const zonesToSchedule = new Set<string>();

    const getZone = (zone: string) => zones.find(item => item.zone === zone)!;

    const updateTerms = () => {
        const lost = new Set(zones.flatMap(item => item.health.getQuarantined()));
        const plan = placement.createPlan(preset, current.topology, lost);
        for (const { scheduler } of zones) {
            scheduler.setConfig({
                policy: current.contracts.policy,
                accounts: current.contracts.accounts,
                homes: plan.parts,
                drained,
            });
        }
    };
    updateTerms();

    const getLoads = () =>
        zones.map(({ zone, scheduler }) => {
            let waitingWorkMs = 0;
            for (const job of scheduler.queue.getJobs()) {
                waitingWorkMs += scheduler.predictor.predict(job.account, job.jobClass, job.declaredMs)
                    * job.accelerators;
            }
            return {
                zone,
                freeAccelerators: scheduler.fleet.getFreeAccelerators(),
                largestFreeBlock: scheduler.fleet.getLargestFreeBlock(),
                largestHole: scheduler.fleet.getLargestHole(),
                waitingWorkMs,
                unfinished: {},
                waiting: {},
                freeGuaranteed: Object.fromEntries(
                    current.contracts.accounts.map(
                        item => [item.name, scheduler.fleet.getLargestFreeGuaranteed(item.name)],
                    ),
                ),
            };
        });
    const admission = entry.createJobAdmission({
        ownZone: current.topology.zones[0]!,
        getConfiguration: () => current,
        getZoneLoads: getLoads,
    });

    const submitJob = (spec: workload.WorkloadJob, index: number) => {
        const account = current.contracts.accounts.find(item => item.name === spec.account)!;
        const zone = admission.chooseZone(account, {
            jobClass: spec.jobClass,
            accelerators: spec.accelerators,
            adjacency: spec.adjacency,
            cpusPerAccelerator: 1,
            memoryMbPerAccelerator: 256,
            repeatable: spec.repeatable,
            payload: "",
        }, undefined);
        if (!zone.ok) {
            throw new Error(zone.refusal.message);
        }
        const jobId = `j${index}`;
        const queued: queue.QueuedJob = {
            jobId,
            account: spec.account,
            jobClass: spec.jobClass,
            accelerators: spec.accelerators,
            adjacency: spec.adjacency,
            cpusPerAccelerator: 1,
            memoryMbPerAccelerator: 256,
            repeatable: spec.repeatable,
            declaredMs: spec.declaredMs,
            queuedAt: now,
            startBy: undefined,
            savedMs: 0,
            attempt: 0,
            failedWorkers: new Set(),
            failures: 0,
            failedAt: undefined,
        };
        jobs.set(jobId, { spec, queued, zone: zone.value, firstStartAt: undefined, startedAt: 0, startCount: 0 });
        getZone(zone.value).scheduler.add(queued);
        zonesToSchedule.add(zone.value);
    };

    const finishJob = (job: DayJob) => {
        const { scheduler, health } = getZone(job.zone);
        const ended = scheduler.end(job.queued.jobId, now - job.startedAt)!;
        for (const member of ended.members) {
            health.recordSuccess(member.workerId);
        }
        zonesToSchedule.add(job.zone);
        jobs.delete(job.queued.jobId);
        if (job.spec.arrivesAt >= options.measureFromMs) {
            completions.push({
                account: job.spec.account,
                jobClass: job.spec.jobClass,
                accelerators: job.spec.accelerators,
                waitMs: job.firstStartAt! - job.spec.arrivesAt,
                completionMs: now - job.spec.arrivesAt,
            });
        }
    };

    const failJob = (job: DayJob, workerId: string) => {
        const { scheduler, health } = getZone(job.zone);
        scheduler.end(job.queued.jobId, undefined);
        health.recordFailure(workerId, job.queued.jobId);
        job.queued.failedWorkers.add(workerId);
        job.queued.failures++;
        job.queued.failedAt = now;
        scheduler.add(job.queued);
        updateTerms();
        zonesToSchedule.add(job.zone);
    };

    const startJob = (job: DayJob, members: readonly placement.Member[]) => {
        job.startedAt = now;
        job.firstStartAt ??= now;
        job.startCount++;
        const { startCount } = job;
        const reclaimStartedAt = reclaimedAt.get(job.queued.jobId);
        if (reclaimStartedAt !== undefined) {
            reclaimDelaysMs.push(now - reclaimStartedAt);
            reclaimedAt.delete(job.queued.jobId);
        }
        const faulty = members.find(member => (options.failingUntilMs.get(member.workerId) ?? 0) > now);
        const restoreMs = job.queued.savedMs > 0 ? RESTORE_MS : 0;
        const remainingMs = faulty ? FAILURE_DELAY_MS : job.spec.runMs - job.queued.savedMs + restoreMs;
        time.setTimer(remainingMs, () => {
            if (job.startCount !== startCount) {
                return;
            }
            if (faulty) {
                failJob(job, faulty.workerId);
                return;
            }
            finishJob(job);
        });
    };

    const evictJob = (job: DayJob, cause: string) => {
        evictions++;
        options.onEvict?.(cause, job.queued.jobId);
        const { scheduler } = getZone(job.zone);
        if (cause === "reclaim") {
            for (const item of scheduler.getHolds()) {
                if (!reclaimedAt.has(item.jobId) && item.kind === "reclaim") {
                    reclaimedAt.set(item.jobId, now);
                }
            }
        }
        job.startCount++;
        time.setTimer(CHECKPOINT_MS, () => {
            scheduler.end(job.queued.jobId, undefined);
            const restoreMs = job.queued.savedMs > 0 ? RESTORE_MS : 0;
            const ranMs = Math.max(0, now - job.startedAt - CHECKPOINT_MS - restoreMs);
            job.queued.savedMs = Math.min(job.spec.runMs, job.queued.savedMs + ranMs);
            lostWorkMs += (CHECKPOINT_MS + RESTORE_MS) * job.spec.accelerators;
            scheduler.add(job.queued);
            zonesToSchedule.add(job.zone);
        });
    };

    const schedule = (zone: string) => {
        for (const decision of getZone(zone).scheduler.decide()) {
            decisions++;
            if (decision.kind === "start") {
                startJob(jobs.get(decision.job.jobId)!, decision.members);
            }
            else {
                evictJob(jobs.get(decision.jobId)!, decision.cause);
            }
        }
    };

    const moveWaitingJobs = () => {
        for (const { zone, scheduler } of zones) {
            for (const queued of [...scheduler.queue.getJobs()]) {
                const mayMove = now - queued.queuedAt > MIN_WAIT_BEFORE_MOVE_MS && !scheduler.isPlaceHeld(queued.jobId);
                const target = mayMove ? admission.findZoneWithRoom(queued, zone) : undefined;
                if (target !== undefined && scheduler.remove(queued.jobId)) {
                    getZone(target).scheduler.add(queued);
                    jobs.get(queued.jobId)!.zone = target;
                    zonesToSchedule.add(target);
                    break;
                }
            }
        }
    };

    const refreshHealth = () => {
        for (const { scheduler, health, zone } of zones) {
            for (const worker of scheduler.fleet.workers.values()) {
                const usable = health.isUsable(worker.id) && !drained.has(worker.id);
                if (usable !== worker.usable) {
                    scheduler.fleet.setUsable(worker.id, usable);
                    zonesToSchedule.add(zone);
                }
            }
        }
    };

    const sample = () => {
        let free = 0;
        let whole = 0;
        let total = 0;
        for (const { scheduler } of zones) {
            for (const worker of scheduler.fleet.workers.values()) {
                if (drained.has(worker.id)) {
                    continue;
                }
                total += worker.capacity.accelerators;
                free += worker.free.accelerators;
                whole += placement.isFullyFree(worker) ? worker.free.accelerators : 0;
            }
        }
        sums.samples++;
        sums.fragmentation += placement.getFragmentation(free, whole);
        sums.utilisation += 1 - free / total;
    };

    /** Simulates an interactive request, which takes a slot of the reserve or one that queued jobs leave free. */
    const simulateInteractiveRequest = () => {
        const { scheduler } = rng.pick(zones);
        const reserve = current.contracts.limits.interactiveReserve;
        const slots = [...scheduler.fleet.workers.values()].reduce(
            (sum, worker) => sum + worker.free.slots + reserve.slots,
            0,
        );
        const serviceMs = rng.nextExponential(MEAN_INTERACTIVE_RUN_MS);
        interactiveLatenciesMs.push(slots > 0 ? serviceMs : serviceMs + MEAN_INTERACTIVE_RUN_MS);
        time.setTimer(rng.nextExponential(MEAN_INTERACTIVE_GAP_MS), simulateInteractiveRequest);
    };

    for (const [index, spec] of options.jobs.entries()) {
        events.push({ at: spec.arrivesAt, run: () => submitJob(spec, index) });
    }
    const every = (ms: number, run: () => void) => {
        time.setTimer(ms, () => {
            run();
            every(ms, run);
        });
    };
    every(
        SAMPLE_INTERVAL_MS,
        () => now >= options.measureFromMs && now <= options.measureFromMs + 24 * 3_600_000 && sample(),
    );
    every(TICK_INTERVAL_MS, () => {
        refreshHealth();
        moveWaitingJobs();
        zones.forEach(item => zonesToSchedule.add(item.zone));
    });
    time.setTimer(0, simulateInteractiveRequest);

    for (let event = events.pop(); event && event.at <= options.endMs; event = events.pop()) {
        now = event.at;
        event.run();
        while ((events.peek()?.at ?? Infinity) <= now) {
            events.pop()!.run();
        }
        const due = [...zonesToSchedule];
        zonesToSchedule.clear();
        due.forEach(schedule);
    }

    return {
        completions,
        unfinished: [...jobs.values()].filter(job => job.spec.arrivesAt >= options.measureFromMs).length,
        fragmentation: sums.fragmentation / sums.samples,
        utilisation: sums.utilisation / sums.samples,
        lostWorkMs,
        evictions,
        reclaimDelaysMs,
        interactiveLatenciesMs,
        decisions,
    };
}

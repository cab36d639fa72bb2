/** One day of a site: real admission, schedulers and health, on a clock that jumps from event to event. */
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
    /** Accelerator milliseconds that were run and have to be run again. */
    readonly lostWorkMs: number;
    readonly evictions: number;
    /** Milliseconds from each decision to reclaim until the guaranteed job started. */
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
    /** Workers that fail every task, and until when. */
    readonly failingUntilMs: ReadonlyMap<string, number>;
    /** Jobs that arrive before are run but not counted: the site starts empty. */
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
    epoch: number;
}

interface Event {
    readonly at: number;
    readonly run: () => void;
}

const SAMPLE_MS = 60_000;
const TICK_MS = 10_000;
/** How long saving a checkpoint takes, and what restoring it costs the job. */
const CHECKPOINT_MS = 2000;
const RESTORE_MS = 20_000;
const FAIL_AFTER_MS = 2000;
const INTERACTIVE_GAP_MS = 2000;
const INTERACTIVE_RUN_MS = 60;
const MOVE_AFTER_MS = 2000;

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
        sleep: () => Promise.reject(new Error("the day has no loops")),
    };
    const preset = current.contracts.presets.find(item => item.name === current.head.preset)!;
    const drained = new Set(preset.drainedWorkers);
    const zones = current.topology.zones.map(zone => {
        const scheduler = queue.createScheduler(time, queue.getShapes(current, zone));
        const health = workers.createWorkerHealth({ clock: time, workerCount: scheduler.books.workers.size });
        for (const workerId of drained) {
            if (scheduler.books.workers.has(workerId)) {
                scheduler.books.setUsable(workerId, false);
            }
        }
        return { zone, scheduler, health };
    });
    const all = new Map<string, DayJob>();
    const completions: Completion[] = [];
    const reclaims: number[] = [];
    const reclaimAt = new Map<string, number>();
    const interactiveMs: number[] = [];
    let lostWorkMs = 0;
    let evictions = 0;
    let decisions = 0;
    const sums = { fragmentation: 0, utilisation: 0, samples: 0 };
    const passDue = new Set<string>();

    const getZone = (zone: string) => zones.find(item => item.zone === zone)!;

    const refreshTerms = () => {
        const lost = new Set(zones.flatMap(item => item.health.getSetAside()));
        const plan = placement.createPlan(preset, current.topology, lost);
        for (const { scheduler } of zones) {
            scheduler.setTerms({
                policy: current.contracts.policy,
                accounts: current.contracts.accounts,
                homes: plan.parts,
                drained,
            });
        }
    };
    refreshTerms();

    const getLoads = () =>
        zones.map(({ zone, scheduler }) => {
            let waitingWorkMs = 0;
            for (const job of scheduler.queue.getJobs()) {
                waitingWorkMs += scheduler.predictor.predict(job.account, job.jobClass, job.declaredMs)
                    * job.accelerators;
            }
            return {
                zone,
                freeAccelerators: scheduler.books.getFreeAccelerators(),
                largestFreeBlock: scheduler.books.getLargestFreeBlock(),
                largestHole: scheduler.books.getLargestHole(),
                waitingWorkMs,
                unfinished: {},
                waiting: {},
                freeGuaranteed: Object.fromEntries(
                    current.contracts.accounts.map(
                        item => [item.name, scheduler.books.getLargestFreeGuaranteed(item.name)],
                    ),
                ),
            };
        });
    const admission = entry.createJobAdmission({
        ownZone: current.topology.zones[0]!,
        getConfiguration: () => current,
        getZoneLoads: getLoads,
    });

    const arrive = (spec: workload.WorkloadJob, index: number) => {
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
        all.set(jobId, { spec, queued, zone: zone.value, firstStartAt: undefined, startedAt: 0, epoch: 0 });
        getZone(zone.value).scheduler.add(queued);
        passDue.add(zone.value);
    };

    const finish = (job: DayJob) => {
        const { scheduler, health } = getZone(job.zone);
        const ended = scheduler.end(job.queued.jobId, now - job.startedAt)!;
        for (const member of ended.members) {
            health.recordSuccess(member.workerId);
        }
        passDue.add(job.zone);
        all.delete(job.queued.jobId);
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

    const fail = (job: DayJob, workerId: string) => {
        const { scheduler, health } = getZone(job.zone);
        scheduler.end(job.queued.jobId, undefined);
        health.recordFailure(workerId, job.queued.jobId);
        job.queued.failedWorkers.add(workerId);
        job.queued.failures++;
        job.queued.failedAt = now;
        scheduler.add(job.queued);
        refreshTerms();
        passDue.add(job.zone);
    };

    const start = (job: DayJob, members: readonly placement.Member[]) => {
        job.startedAt = now;
        job.firstStartAt ??= now;
        job.epoch++;
        const { epoch } = job;
        const reclaimed = reclaimAt.get(job.queued.jobId);
        if (reclaimed !== undefined) {
            reclaims.push(now - reclaimed);
            reclaimAt.delete(job.queued.jobId);
        }
        const faulty = members.find(member => (options.failingUntilMs.get(member.workerId) ?? 0) > now);
        const restoreMs = job.queued.savedMs > 0 ? RESTORE_MS : 0;
        const leftMs = faulty ? FAIL_AFTER_MS : job.spec.runMs - job.queued.savedMs + restoreMs;
        time.setTimer(leftMs, () => {
            if (job.epoch !== epoch) {
                return;
            }
            if (faulty) {
                fail(job, faulty.workerId);
                return;
            }
            finish(job);
        });
    };

    const evict = (job: DayJob, cause: string) => {
        evictions++;
        options.onEvict?.(cause, job.queued.jobId);
        const { scheduler } = getZone(job.zone);
        if (cause === "reclaim") {
            for (const item of scheduler.getHeld()) {
                if (!reclaimAt.has(item.jobId) && item.kind === "reclaim") {
                    reclaimAt.set(item.jobId, now);
                }
            }
        }
        job.epoch++;
        time.setTimer(CHECKPOINT_MS, () => {
            scheduler.end(job.queued.jobId, undefined);
            const restoreMs = job.queued.savedMs > 0 ? RESTORE_MS : 0;
            const ran = Math.max(0, now - job.startedAt - CHECKPOINT_MS - restoreMs);
            job.queued.savedMs = Math.min(job.spec.runMs, job.queued.savedMs + ran);
            lostWorkMs += (CHECKPOINT_MS + RESTORE_MS) * job.spec.accelerators;
            scheduler.add(job.queued);
            passDue.add(job.zone);
        });
    };

    const pass = (zone: string) => {
        for (const decision of getZone(zone).scheduler.decide()) {
            decisions++;
            if (decision.kind === "start") {
                start(all.get(decision.job.jobId)!, decision.members);
            }
            else {
                evict(all.get(decision.jobId)!, decision.cause);
            }
        }
    };

    const moveWaiting = () => {
        for (const { zone, scheduler } of zones) {
            for (const queued of [...scheduler.queue.getJobs()]) {
                const mayMove = now - queued.queuedAt > MOVE_AFTER_MS && !scheduler.isPlaceKept(queued.jobId);
                const target = mayMove ? admission.findZoneWithRoom(queued, zone) : undefined;
                if (target !== undefined && scheduler.remove(queued.jobId)) {
                    getZone(target).scheduler.add(queued);
                    all.get(queued.jobId)!.zone = target;
                    passDue.add(target);
                    break;
                }
            }
        }
    };

    const refreshHealth = () => {
        for (const { scheduler, health, zone } of zones) {
            for (const worker of scheduler.books.workers.values()) {
                const usable = health.isUsable(worker.id) && !drained.has(worker.id);
                if (usable !== worker.usable) {
                    scheduler.books.setUsable(worker.id, usable);
                    passDue.add(zone);
                }
            }
        }
    };

    const sample = () => {
        let free = 0;
        let whole = 0;
        let total = 0;
        for (const { scheduler } of zones) {
            for (const worker of scheduler.books.workers.values()) {
                if (drained.has(worker.id)) {
                    continue;
                }
                total += worker.capacity.accelerators;
                free += worker.free.accelerators;
                whole += placement.isWhole(worker) ? worker.free.accelerators : 0;
            }
        }
        sums.samples++;
        sums.fragmentation += placement.getFragmentation(free, whole);
        sums.utilisation += 1 - free / total;
    };

    /** An interactive request takes a slot of the reserve, or one that queued work leaves free. */
    const interactive = () => {
        const { scheduler } = rng.pick(zones);
        const reserve = current.contracts.limits.interactiveReserve;
        const slots = [...scheduler.books.workers.values()].reduce(
            (sum, worker) => sum + worker.free.slots + reserve.slots,
            0,
        );
        const serviceMs = rng.nextExponential(INTERACTIVE_RUN_MS);
        interactiveMs.push(slots > 0 ? serviceMs : serviceMs + INTERACTIVE_RUN_MS);
        time.setTimer(rng.nextExponential(INTERACTIVE_GAP_MS), interactive);
    };

    for (const [index, spec] of options.jobs.entries()) {
        events.push({ at: spec.arrivesAt, run: () => arrive(spec, index) });
    }
    const every = (ms: number, run: () => void) => {
        time.setTimer(ms, () => {
            run();
            every(ms, run);
        });
    };
    every(SAMPLE_MS, () => now >= options.measureFromMs && now <= options.measureFromMs + 24 * 3_600_000 && sample());
    every(TICK_MS, () => {
        refreshHealth();
        moveWaiting();
        zones.forEach(item => passDue.add(item.zone));
    });
    time.setTimer(0, interactive);

    for (let event = events.pop(); event && event.at <= options.endMs; event = events.pop()) {
        now = event.at;
        event.run();
        while ((events.peek()?.at ?? Infinity) <= now) {
            events.pop()!.run();
        }
        const due = [...passDue];
        passDue.clear();
        due.forEach(pass);
    }

    return {
        completions,
        unfinished: [...all.values()].filter(job => job.spec.arrivesAt >= options.measureFromMs).length,
        fragmentation: sums.fragmentation / sums.samples,
        utilisation: sums.utilisation / sums.samples,
        lostWorkMs,
        evictions,
        reclaimDelaysMs: reclaims,
        interactiveLatenciesMs: interactiveMs,
        decisions,
    };
}

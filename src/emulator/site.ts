/** A site in memory: instances of the real scheduler over an emulated store and workers, on a manual clock. */
import * as events from "node:events";
import type * as catalogs from "../catalog/index";
import type * as clock from "../clock/index";
import * as decisions from "../decisions/index";
import type * as intakes from "../intake/index";
import type * as leader from "../leader/index";
import type * as observe from "../observe/index";
import * as schedulers from "../scheduler/index";
import * as freezers from "./freezer";
import * as jobModel from "./jobModel";
import * as stores from "./store";
import type * as workerOrders from "./workerOrders";
import * as workersInMemory from "./workers";

export interface SiteOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly instances: number;
    /** Processor time of each instance, in cores; by default one. */
    getPower?(instance: number): number;
    readonly workers: readonly leader.WorkerInfo[];
    readonly catalog: catalogs.Catalog;
    readonly storeFaults?: stores.StoreFaults;
    /** How long a transaction holds its part of the store; by default parts are never busy. */
    readonly storePartBusyMs?: number;
    readonly workerFaults?: workerOrders.WorkerFaults;
    readonly adviser?: leader.Adviser;
    readonly machines?: leader.MachineService;
    readonly waves?: leader.WavePort;
    readonly policy?: decisions.Policy;
    /** Longest lease of what runs on a worker. */
    readonly maxLeaseMs?: number;
    /** How long rows of ended jobs stay. */
    readonly retentionMs?: number;
    /** Whether nobody reaches the directory, neither workers nor instances. */
    isDirectoryUnreachable?(): boolean;
    /** How long a worker is down that a task has taken down. */
    readonly workerRestartMs?: number;
    /** Whether such a worker starts again under its id; by default none does. */
    restartsUnderSameId?(): boolean;
}

export interface Site {
    readonly store: stores.EmulatedStore;
    readonly workers: workersInMemory.EmulatedWorkers;
    /** Lets a job be asked for that is not handed in. */
    registerJob(job: jobModel.EmulatedJob): void;
    submit(job: jobModel.EmulatedJob, instance: number): Promise<intakes.IntakeReply>;
    cancel(jobId: string, instance: number): Promise<intakes.IntakeReply>;
    getState(jobId: string, instance: number): Promise<intakes.IntakeReply>;
    countWaiting(queue: string, instance: number): Promise<intakes.IntakeReply>;
    /** Puts a configuration in force at all instances. */
    applyCatalog(catalog: catalogs.Catalog): void;
    /** The instance that leads, if one does. */
    getLeader(): number | undefined;
    isAlive(instance: number): boolean;
    /** Ends an instance without a word. */
    kill(instance: number): void;
    /** Ends a worker's life; another one begins at its address some seconds later, as a rule under another id. */
    crashWorker(id: string): void;
    /** Ends a worker's life; the next one begins under its id `afterMs` later. */
    restartWorker(id: string, afterMs: number): void;
    /** Ends an instance as a loss of power does: nobody is told. */
    powerOff(instance: number): void;
    /** Lets an instance stand still, and wake up in the middle of what it was doing. */
    freeze(instance: number, ms: number, suspended: boolean): void;
    /** Starts a killed instance again, as a new life. */
    restart(instance: number): void;
    /** Stops an instance in good order. */
    stop(instance: number): Promise<void>;
    close(): void;
}

const STORE_LATENCY_MS = 5;
const WORKER_LATENCY_MS = 1;
const WORKER_RESTART_MS = 3_000;
const DEFAULT_MAX_LEASE_MS = 6_000;
const STOP_MS = 200;
const HEARTBEAT_MS = 200;
const CALLER_PATIENCE_MS = 3_000;
const UPKEEP_MS = 2_000;
const CONFIGURATION_MS = 2_000;
const CAPACITY_MS = 4_500;
const ROW_BYTES = 65_536;
const DEFAULT_RETENTION_MS = 600_000;
const NO_ADVISER: leader.Adviser = {
    advise: async () => ({ kind: "unavailable", message: "emulated: none" }),
};
const NO_MACHINES: leader.MachineService = {
    list: async () => ({ kind: "unavailable", message: "emulated: none" }),
    beginUpkeep: async () => ({ kind: "unknown", message: "emulated: none" }),
};
const NO_WAVES: leader.WavePort = { getIncomplete: () => [], reportState: async () => true };

export function createSite(options: SiteOptions): Site {
    const { clock: time } = options;
    const jobs = new Map<string, jobModel.EmulatedJob>();
    const store = stores.createEmulatedStore({
        clock: time,
        latencyMs: STORE_LATENCY_MS,
        partBusyMs: options.storePartBusyMs,
        faults: options.storeFaults,
    });
    const maxLeaseMs = options.maxLeaseMs ?? DEFAULT_MAX_LEASE_MS;
    const workers = workersInMemory.createEmulatedWorkers({
        clock: time,
        latencyMs: WORKER_LATENCY_MS,
        maxLeaseMs,
        stopMs: STOP_MS,
        faults: options.workerFaults,
        getModel: task =>
            jobModel.createTaskModel(
                jobs,
                task,
                queue => options.catalog.queues.find(({ name }) => name === queue)?.maxAttempts,
            ),
        onCrash: id => crashWorker(id),
        canReport: () => !options.isDirectoryUnreachable?.(),
    });
    options.workers.forEach(workers.add);
    const restartWorker = (id: string, afterMs: number) => {
        workers.kill(id, true);
        time.setTimer(afterMs, () => workers.restart(id));
    };
    /** The worker is silent for some seconds, and then another life of it begins at its address. */
    const crashWorker = (id: string) => {
        if (options.restartsUnderSameId?.()) {
            restartWorker(id, options.workerRestartMs ?? WORKER_RESTART_MS);
            return;
        }
        const info = { ...workers.getInfo(id), id: `${id}${NEXT_ID_SUFFIX}`, draining: false, remainingMs: 0 };
        workers.kill(id, true);
        time.setTimer(options.workerRestartMs ?? WORKER_RESTART_MS, () => {
            workers.kill(id, false);
            workers.addSuccessor(id, info);
        });
    };

    interface Instance {
        readonly scheduler: schedulers.Scheduler;
        readonly controller: AbortController;
        readonly freezer: freezers.Freezer;
    }
    let lives = 0;
    let current = options.catalog;
    const open = (number: number): Instance => {
        const controller = new AbortController();
        events.setMaxListeners(0, controller.signal);
        const freezer = freezers.createFreezer(time);
        // Reports are as old by the instance's clock, which does not count its suspensions.
        const toOwnTime = (worker: leader.ListedWorker): leader.ListedWorker => ({
            ...worker,
            reportedAt: freezer.clock.now() - (time.now() - worker.reportedAt),
        });
        const isOther = (name: string) => name !== getInstanceName(number);
        const scheduler = schedulers.createScheduler({
            instance: getInstanceName(number),
            incarnation: `life-${++lives}`,
            power: options.getPower?.(number) ?? 1,
            watchAddress: getInstanceName(number),
            peerAddress: getInstanceName(number),
            watchProcess: (address, onGone) => {
                const controller = instances.find((_, other) => getInstanceName(other) === address)?.controller;
                const tell = () => {
                    if (!silenced.has(address)) {
                        time.setTimer(WORKER_LATENCY_MS, onGone);
                    }
                };
                controller?.signal.addEventListener("abort", tell);
                return {
                    ...watchHeartbeats(address),
                    end: () => controller?.signal.removeEventListener("abort", tell),
                };
            },
            handover: {
                getCandidates: () => instances.map((_, other) => getInstanceName(other)).filter(isOther),
                queryCandidate: async (candidate, offer) => {
                    await time.sleep(WORKER_LATENCY_MS);
                    return findAlive(candidate)?.scheduler.handover.answer(offer);
                },
                notifySuccessor: async (candidate, offer) => {
                    await time.sleep(WORKER_LATENCY_MS);
                    findAlive(candidate)?.scheduler.handover.take(offer);
                },
            },
            store: freezer.wrapStore(store.open(getInstanceName(number))),
            directory: {
                follow: (signal, onWorkers) =>
                    workers.directory.follow(signal, listed => {
                        if (!options.isDirectoryUnreachable?.()) {
                            onWorkers(listed.map(toOwnTime));
                        }
                    }),
            },
            workers: freezer.wrapWorkers(workers.port),
            adviser: options.adviser ?? NO_ADVISER,
            machines: options.machines ?? NO_MACHINES,
            waves: options.waves ?? NO_WAVES,
            policy: options.policy ?? decisions.POLICIES.worth,
            getSettings: () => ({
                maxLeaseMs,
                upkeepMs: UPKEEP_MS,
                retentionMs: options.retentionMs ?? DEFAULT_RETENTION_MS,
                rowBytes: ROW_BYTES,
                configurationMs: CONFIGURATION_MS,
                capacityMs: CAPACITY_MS,
            }),
            // Its instances are told of each configuration without the store.
            getConfigurationAgeMs: () => 0,
            clock: freezer.clock,
            log: options.log,
            meter: options.meter,
            signal: controller.signal,
        });
        scheduler.catalog.applyIfNewer(current);
        return { scheduler, controller, freezer };
    };
    /** Heartbeats of an instance, as long as its present life goes on. */
    const watchHeartbeats = (address: string) => {
        const watched = findAlive(address);
        let heartbeatAt = time.now();
        const takeHeartbeat = () => {
            if (watched && !watched.controller.signal.aborted) {
                heartbeatAt = watched.freezer.isFrozen() ? heartbeatAt : time.now();
                time.setTimer(HEARTBEAT_MS, takeHeartbeat);
            }
        };
        takeHeartbeat();
        return { getHeartbeatAgeMs: () => time.now() - heartbeatAt };
    };
    const findAlive = (name: string) =>
        instances.find((instance, other) => getInstanceName(other) === name && !instance.controller.signal.aborted);
    const silenced = new Set<string>();
    const instances: Instance[] = [];
    for (let number = 0; number < options.instances; number++) {
        instances.push(open(number));
    }
    const callerOf = (instance: number, queueName: string, account: string): intakes.Caller => ({
        requestId: "",
        queue: instances[instance]!.scheduler.catalog.getQueue(queueName)!,
        account,
        deadlineAt: instances[instance]!.freezer.clock.now() + CALLER_PATIENCE_MS,
    });
    const callerOfJob = (instance: number, jobId: string) => {
        const job = jobs.get(jobId)!;
        return callerOf(instance, job.queue, job.account);
    };
    return {
        store,
        workers,
        registerJob: job => void jobs.set(job.jobId, job),
        submit: (job, instance) => {
            jobs.set(job.jobId, job);
            return instances[instance]!.scheduler.intake.submit(callerOfJob(instance, job.jobId), job.jobId, job.spec);
        },
        cancel: (jobId, instance) => instances[instance]!.scheduler.intake.cancel(callerOfJob(instance, jobId), jobId),
        getState: (jobId, instance) =>
            instances[instance]!.scheduler.intake.getState(callerOfJob(instance, jobId), jobId),
        countWaiting: (queue, instance) => instances[instance]!.scheduler.intake.count(callerOf(instance, queue, "")),
        applyCatalog: catalog => {
            current = catalog;
            instances.forEach(instance => instance.scheduler.catalog.applyIfNewer(catalog));
        },
        getLeader: () => {
            const number = instances.findIndex(instance =>
                !instance.controller.signal.aborted && instance.scheduler.isLeading()
            );
            return number < 0 ? undefined : number;
        },
        isAlive: number => !instances[number]!.controller.signal.aborted,
        kill: number => instances[number]!.controller.abort(),
        crashWorker,
        restartWorker,
        freeze: (number, ms, suspended) => instances[number]!.freezer.freeze(ms, suspended),
        powerOff: number => {
            silenced.add(getInstanceName(number));
            instances[number]!.controller.abort();
        },
        restart: number => {
            instances[number] = open(number);
        },
        stop: async number => {
            await instances[number]!.scheduler.release();
            instances[number]!.controller.abort();
        },
        close: () => instances.forEach(instance => instance.controller.abort()),
    };
}

const NEXT_ID_SUFFIX = "-again";

/** The id of the first worker at the address of that one, before crashes brought others. */
export function getFirstWorkerId(id: string): string {
    return id.split(NEXT_ID_SUFFIX)[0]!;
}

export function getInstanceName(number: number): string {
    return `instance-${number}`;
}

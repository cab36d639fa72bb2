/** An in-memory site: instances of the real scheduler with an emulated store and workers, on a manual clock. */
import * as events from "node:events";
import type * as catalogs from "../catalog/index";
import type * as clock from "../clock/index";
import * as decisions from "../decisions/index";
import type * as evacuation from "../evacuation/index";
import type * as intakes from "../intake/index";
import type * as leader from "../leader/index";
import type * as observe from "../observe/index";
import * as schedulers from "../scheduler/index";
import * as freezers from "./freezer";
import * as jobModel from "./jobModel";
import * as operatorTables from "./operators";
import * as stores from "./store";
import type * as workerOrders from "./workerOrders";
import * as emulatedWorkers from "./workers";

/** Configuration of an emulated site. */
export interface SiteOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Number of scheduler instances. */
    readonly instances: number;
    /** CPU cores available to the instance; 1 by default. */
    getPower?(instance: number): number;
    readonly workers: readonly leader.WorkerInfo[];
    readonly catalog: catalogs.Catalog;
    readonly storeFaults?: stores.StoreFaults;
    /** How long a transaction occupies its part of the store; by default parts are never busy. */
    readonly storePartBusyMs?: number;
    readonly workerFaults?: workerOrders.WorkerFaults;
    readonly adviser?: leader.Adviser;
    readonly machines?: leader.MachineService;
    readonly waves?: leader.WavePort;
    /** Settings of evacuations; without them no zone can be evacuated. */
    readonly evacuations?: Pick<operatorTables.OperatorsOptions, "evacuationMs" | "faults">;
    readonly policy?: decisions.Policy;
    /** Maximum duration of the lease under which tasks run on a worker. */
    readonly maxLeaseMs?: number;
    /** How long rows of ended jobs are kept. */
    readonly retentionMs?: number;
    /** Whether the directory is unreachable for both workers and instances; by default it never is. */
    isDirectoryUnreachable?(): boolean;
    /** How long a worker stays down after a task has crashed it. */
    readonly workerRestartMs?: number;
    /** Whether a worker that a task has crashed restarts under the same id; by default it gets a new one. */
    restartsUnderSameId?(): boolean;
}

/** An emulated site. Instances are addressed by their number, from 0. */
export interface Site {
    readonly store: stores.EmulatedStore;
    readonly workers: emulatedWorkers.EmulatedWorkers;
    /** The operators, if the site has `evacuations`. */
    readonly operators: operatorTables.Operators | undefined;
    /** Makes a job known to the emulator without submitting it, so that its state can be queried. */
    registerJob(job: jobModel.EmulatedJob): void;
    /** Submits a job to an instance. */
    submit(job: jobModel.EmulatedJob, instance: number): Promise<intakes.IntakeReply>;
    /** Cancels a registered or submitted job through an instance. */
    cancel(jobId: string, instance: number): Promise<intakes.IntakeReply>;
    /** Queries the state of a registered or submitted job through an instance. */
    getState(jobId: string, instance: number): Promise<intakes.IntakeReply>;
    /** Queries the number of waiting jobs of a queue through an instance. */
    countWaiting(queue: string, instance: number): Promise<intakes.IntakeReply>;
    /** Applies a configuration on all instances. */
    applyCatalog(catalog: catalogs.Catalog): void;
    /** The number of the instance that leads, or `undefined` if none does. */
    getLeader(): number | undefined;
    /** Whether the process of the instance runs. */
    isAlive(instance: number): boolean;
    /** Ends the process of an instance; its peers see the closed connection. */
    kill(instance: number): void;
    /** Crashes a worker; a successor starts at its address some seconds later, under a new id unless configured otherwise. */
    crashWorker(id: string): void;
    /** Ends a worker as after its notice; a successor starts at its address, under a new id, `afterMs` later. */
    leaveWorker(id: string, afterMs: number): void;
    /** Ends a worker's incarnation; the next one starts under the same id `afterMs` later. */
    restartWorker(id: string, afterMs: number): void;
    /** Ends an instance as a power failure does: no connection is closed, so its peers are not notified. */
    powerOff(instance: number): void;
    /** Pauses an instance for `ms`; `suspended` also stops its monotonic clock. */
    freeze(instance: number, ms: number, suspended: boolean): void;
    /** Starts a killed instance again, as a new incarnation. */
    restart(instance: number): void;
    /** Shuts an instance down gracefully. */
    stop(instance: number): Promise<void>;
    /** Ends all instances. */
    close(): void;
}

const STORE_LATENCY_MS = 5;
const WORKER_LATENCY_MS = 1;
const WORKER_RESTART_MS = 3_000;
const DEFAULT_MAX_LEASE_MS = 6_000;
const STOP_MS = 200;
const HEARTBEAT_MS = 200;
const CALLER_TIMEOUT_MS = 3_000;
const UPKEEP_MS = 2_000;
const CONFIGURATION_MS = 2_000;
const CAPACITY_MS = 4_500;
const MAX_ROW_BYTES = 65_536;
const DEFAULT_RETENTION_MS = 600_000;
const NO_ADVISER: leader.Adviser = {
    advise: async () => ({ kind: "unavailable", message: "emulated: no adviser" }),
};
const NO_MACHINES: leader.MachineService = {
    list: async () => ({ kind: "unavailable", message: "emulated: no machine service" }),
    beginUpkeep: async () => ({ kind: "unknown", message: "emulated: no machine service" }),
};
const NO_EVACUATIONS: evacuation.Evacuations = {
    applySnapshot: () => undefined,
    applyChanges: () => undefined,
    mayStartIn: () => true,
    isEvacuated: () => false,
    list: () => [],
    getAgeMs: () => 0,
};
const NO_WAVES: leader.WavePort = { getIncomplete: () => [], reportState: async () => true };

/** Creates a site and starts its instances. */
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
    const operators = options.evacuations
        && operatorTables.createOperators({ clock: time, latencyMs: STORE_LATENCY_MS, ...options.evacuations });
    const workers = emulatedWorkers.createEmulatedWorkers({
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
        isZoneClosed: operators?.isClosed,
    });
    options.workers.forEach(workers.add);
    const restartWorker = (id: string, afterMs: number) => {
        workers.kill(id, true);
        time.setTimer(afterMs, () => workers.restart(id));
    };
    /** The worker is unreachable until it restarts, under its own id or as a successor at the same address. */
    const crashWorker = (id: string) => {
        if (options.restartsUnderSameId?.()) {
            restartWorker(id, options.workerRestartMs ?? WORKER_RESTART_MS);
            return;
        }
        workers.kill(id, true);
        startSuccessor(id, options.workerRestartMs ?? WORKER_RESTART_MS);
    };
    const startSuccessor = (id: string, afterMs: number) => {
        const info = { ...workers.getInfo(id), id: `${id}${NEXT_ID_SUFFIX}`, draining: false, remainingMs: 0 };
        time.setTimer(afterMs, () => {
            workers.kill(id, false);
            workers.addSuccessor(id, info);
        });
    };

    interface Instance {
        readonly scheduler: schedulers.Scheduler;
        readonly controller: AbortController;
        readonly freezer: freezers.Freezer;
    }
    let incarnationCount = 0;
    let currentCatalog = options.catalog;
    const startInstance = (number: number): Instance => {
        const controller = new AbortController();
        events.setMaxListeners(0, controller.signal);
        const freezer = freezers.createFreezer(time);
        // Preserves the age of a report on the instance's clock, which does not count its suspensions.
        const toInstanceTime = (worker: leader.ListedWorker): leader.ListedWorker => ({
            ...worker,
            reportedAt: freezer.clock.now() - (time.now() - worker.reportedAt),
        });
        const isOther = (name: string) => name !== getInstanceName(number);
        const scheduler = schedulers.createScheduler({
            instance: getInstanceName(number),
            incarnationId: `life-${++incarnationCount}`,
            power: options.getPower?.(number) ?? 1,
            watchAddress: getInstanceName(number),
            peerAddress: getInstanceName(number),
            watchProcess: (address, onExit) => {
                const controller = instances.find((_, other) => getInstanceName(other) === address)?.controller;
                const notifyExit = () => {
                    if (!poweredOff.has(address)) {
                        time.setTimer(WORKER_LATENCY_MS, onExit);
                    }
                };
                controller?.signal.addEventListener("abort", notifyExit);
                return {
                    ...watchHeartbeats(address),
                    end: () => controller?.signal.removeEventListener("abort", notifyExit),
                };
            },
            handover: {
                getCandidates: () => instances.map((_, other) => getInstanceName(other)).filter(isOther),
                queryCandidate: async (candidate, offer) => {
                    await time.sleep(WORKER_LATENCY_MS);
                    return findAlive(candidate)?.scheduler.handover.answerOffer(offer);
                },
                notifySuccessor: async (candidate, offer) => {
                    await time.sleep(WORKER_LATENCY_MS);
                    findAlive(candidate)?.scheduler.handover.acceptHandover(offer);
                },
            },
            store: freezer.wrapStore(store.open(getInstanceName(number))),
            directory: {
                follow: (signal, onWorkers) =>
                    workers.directory.follow(signal, listed => {
                        if (!options.isDirectoryUnreachable?.()) {
                            onWorkers(listed.map(toInstanceTime));
                        }
                    }),
            },
            workers: freezer.wrapWorkers(workers.port),
            adviser: options.adviser ?? NO_ADVISER,
            machines: options.machines ?? NO_MACHINES,
            waves: options.waves ?? NO_WAVES,
            evacuations: operators?.follow({
                name: getInstanceName(number),
                freezer,
                log: options.log,
                meter: options.meter,
                signal: controller.signal,
            }) ?? NO_EVACUATIONS,
            policy: options.policy ?? decisions.POLICIES.worth,
            getSettings: () => ({
                maxLeaseMs,
                upkeepMs: UPKEEP_MS,
                retentionMs: options.retentionMs ?? DEFAULT_RETENTION_MS,
                rowBytes: MAX_ROW_BYTES,
                configurationMs: CONFIGURATION_MS,
                capacityMs: CAPACITY_MS,
            }),
            // `applyCatalog` updates the instances directly, so their configuration is never stale.
            getConfigurationAgeMs: () => 0,
            clock: freezer.clock,
            log: options.log,
            meter: options.meter,
            signal: controller.signal,
        });
        scheduler.catalog.applyIfNewer(currentCatalog);
        return { scheduler, controller, freezer };
    };
    /** Watches the heartbeats of the instance's current incarnation. */
    const watchHeartbeats = (address: string) => {
        const watched = findAlive(address);
        let heartbeatAt = time.now();
        const recordHeartbeat = () => {
            if (watched && !watched.controller.signal.aborted) {
                heartbeatAt = watched.freezer.isFrozen() ? heartbeatAt : time.now();
                time.setTimer(HEARTBEAT_MS, recordHeartbeat);
            }
        };
        recordHeartbeat();
        return { getHeartbeatAgeMs: () => time.now() - heartbeatAt };
    };
    const findAlive = (name: string) =>
        instances.find((instance, other) => getInstanceName(other) === name && !instance.controller.signal.aborted);
    const poweredOff = new Set<string>();
    const instances: Instance[] = [];
    for (let number = 0; number < options.instances; number++) {
        instances.push(startInstance(number));
    }
    const createCaller = (instance: number, queueName: string, account: string): intakes.Caller => ({
        requestId: "",
        queue: instances[instance]!.scheduler.catalog.getQueue(queueName)!,
        account,
        deadlineAt: instances[instance]!.freezer.clock.now() + CALLER_TIMEOUT_MS,
    });
    const createCallerOfJob = (instance: number, jobId: string) => {
        const job = jobs.get(jobId)!;
        return createCaller(instance, job.queue, job.account);
    };
    return {
        store,
        workers,
        operators,
        registerJob: job => void jobs.set(job.jobId, job),
        submit: (job, instance) => {
            jobs.set(job.jobId, job);
            return instances[instance]!.scheduler.intake.submit(
                createCallerOfJob(instance, job.jobId),
                job.jobId,
                job.spec,
            );
        },
        cancel: (jobId, instance) =>
            instances[instance]!.scheduler.intake.cancel(createCallerOfJob(instance, jobId), jobId),
        getState: (jobId, instance) =>
            instances[instance]!.scheduler.intake.getState(createCallerOfJob(instance, jobId), jobId),
        countWaiting: (queue, instance) =>
            instances[instance]!.scheduler.intake.count(createCaller(instance, queue, "")),
        applyCatalog: catalog => {
            currentCatalog = catalog;
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
        leaveWorker: (id, afterMs) => {
            if (workers.getUsedResources(id) === undefined) {
                // It has crashed since its notice, and has a successor already.
                return;
            }
            workers.kill(id, false);
            startSuccessor(id, afterMs);
        },
        restartWorker,
        freeze: (number, ms, suspended) => instances[number]!.freezer.freeze(ms, suspended),
        powerOff: number => {
            poweredOff.add(getInstanceName(number));
            instances[number]!.controller.abort();
        },
        restart: number => {
            instances[number] = startInstance(number);
        },
        stop: async number => {
            await instances[number]!.scheduler.release();
            instances[number]!.controller.abort();
        },
        close: () => instances.forEach(instance => instance.controller.abort()),
    };
}

const NEXT_ID_SUFFIX = "-again";

/** Returns the id of the first worker at the same address, before crashes gave it successors. */
export function getFirstWorkerId(id: string): string {
    return id.split(NEXT_ID_SUFFIX)[0]!;
}

/** Returns the name of an instance, which is also its address. */
export function getInstanceName(number: number): string {
    return `instance-${number}`;
}

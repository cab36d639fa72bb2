/** The racks and queues that this instance owns, and calls to the owners of all racks and queues. */
import * as crypto from "node:crypto";
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import * as configuration from "../configuration/index";
import type * as jobs from "../jobs/index";
import type * as membership from "../membership/index";
import type * as observe from "../observe/index";
import * as ownership from "../ownership/index";
import type * as peer from "../peer/index";
import * as queue from "../queue/index";
import type * as settings from "../settings/index";
import * as workers from "../workers/index";

type PeerCalls = ReturnType<peer.PeerConnections["get"]>;

/** Options of `createOwnedRoles`. */
export interface OwnedRolesOptions {
    readonly cfg: settings.InstanceSettings;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly histograms: observe.Histograms;
    readonly log: observe.Log;
    readonly retry: platform.RetryPolicy;
    readonly store: jobs.JobStore;
    readonly objects: platform.ObjectStore;
    readonly view: membership.MembershipView;
    readonly owners: ownership.Ownership;
    readonly reader: configuration.ConfigurationReader;
    readonly createClient: workers.RackOwnerOptions["createClient"];
    /** Calls another instance; resolves to `undefined` if it is unknown or there was no reply. */
    readonly callPeer: <T>(
        instanceId: string,
        call: (calls: PeerCalls) => Promise<T | undefined>,
    ) => Promise<T | undefined>;
    /** Service of this instance, used for calls to itself. */
    readonly getLocal: () => peer.PeerService;
    /** Finds a zone other than `from` with enough free accelerators for the job. */
    readonly findOtherZone: (
        job: { readonly account: string; readonly accelerators: number; },
        from: string,
    ) => string | undefined;
}

/** State of a worker as reported to operators. */
export interface WorkerView {
    readonly worker: string;
    readonly rack: string;
    readonly zone: string;
    readonly usable: boolean;
    /** Why no commands can be sent to the worker; otherwise empty. */
    readonly reason: string;
    /** Number of interactive requests. */
    readonly interactive: number;
    /** Number of running tasks of jobs. */
    readonly tasks: number;
    /** Accelerators of the running tasks. */
    readonly accelerators: number;
}

/** Racks and queues of this instance. */
export interface OwnedRoles {
    /** The rack, if this instance owns it. */
    getRack(rackId: string): workers.RackOwner | undefined;
    /** The queue of the zone, if this instance owns it. */
    getQueue(zone: string): queue.ZoneQueue | undefined;
    getRackLoads(): peer.RackLoad[];
    getZoneLoads(): peer.ZoneLoad[];
    getQueueStatus(): queue.ZoneStatus[];
    getWorkerViews(): WorkerView[];
    /** Acquires and releases racks and queues according to the current membership and configuration. */
    adjust(): void;
    /** Calls the owner of a rack, which may be this instance; resolves to `undefined` if there was no reply. */
    callRackOwner<T>(rackId: string, call: (calls: PeerCalls) => Promise<T | undefined>): Promise<T | undefined>;
    /** Calls the owner of a zone's queue, which may be this instance; resolves to `undefined` if there was no reply. */
    callQueueOwner<T>(zone: string, call: (calls: PeerCalls) => Promise<T | undefined>): Promise<T | undefined>;
    /** Releases all racks and queues and waits for their loops to end. */
    close(): Promise<void>;
    /** Stops without releasing leases, as in a crash. */
    abandon(): void;
}

const REPORT_TIMEOUT_MS = 1500;
const COMMAND_TIMEOUT_MS = 4000;

/** Creates the roles of an instance; it owns none until `adjust` is called. */
export function createOwnedRoles(options: OwnedRolesOptions): OwnedRoles {
    const { cfg, clock: time, counters, log, owners, reader, view } = options;
    let abandoned = false;
    let closing = false;

    const getCurrent = (): configuration.Configuration => reader.getCurrent()!;

    const isDrained = (workerId: string): boolean => {
        const current = reader.getCurrent();
        const preset = current && configuration.getPresetInForce(current);
        return view.isWorkerLeaving(workerId) || (preset?.drainedWorkers.includes(workerId) ?? false);
    };

    /** Calls to this instance have the same interface as calls to others, but do not use the network. */
    const localCalls: PeerCalls = {
        heartbeat: req => options.getLocal().heartbeat(req),
        run: req => options.getLocal().run(req),
        command: req => options.getLocal().command(req),
        reportRack: req => options.getLocal().reportRack(req),
        notifyJob: req => options.getLocal().notifyJob(req),
        getConfiguration: req => options.getLocal().getConfiguration(req),
    };

    const callOwner = <T>(ownerId: string | undefined, call: (calls: PeerCalls) => Promise<T | undefined>) => {
        if (ownerId === undefined || abandoned) {
            return Promise.resolve(undefined);
        }
        return ownerId === cfg.instance.id ? call(localCalls) : options.callPeer(ownerId, call);
    };

    /**
     * Calls the instance whose heartbeat says that it holds the rack, since a new owner may not have taken over yet;
     * without such a heartbeat, calls the owner by hashing.
     */
    const callRackOwner: OwnedRoles["callRackOwner"] = (rackId, call) => {
        if (getRack(rackId)) {
            return call(localCalls);
        }
        const holder = view.getHeartbeats().find(heartbeat => heartbeat.racks.some(load => load.rackId === rackId));
        return callOwner(holder?.instanceId ?? owners.getRackOwner(rackId), call);
    };

    const callQueueOwner: OwnedRoles["callQueueOwner"] = (zone, call) => {
        if (getQueue(zone)) {
            return call(localCalls);
        }
        return callOwner(owners.getQueueOwner(zone), call);
    };

    const racks = ownership.createOwnedItems<workers.RackOwner>({
        log,
        create: key => {
            const { topology } = getCurrent();
            const rack = topology.racks.find(item => item.id === getRoleName(key))!;
            return workers.createRackOwner({
                rack,
                capacity: rack.capacity ?? topology.capacity,
                instanceId: `${cfg.instance.id}/${crypto.randomUUID().slice(0, 8)}`,
                clock: time,
                counters,
                log,
                retry: options.retry,
                leases: cfg.leases,
                objects: options.objects,
                createClient: options.createClient,
                getLimits: () => getCurrent().contracts.limits,
                isDrained,
                isAbandoned: () => abandoned,
                sendReport: report => callQueueOwner(report.zone, calls => calls.reportRack(report, REPORT_TIMEOUT_MS)),
            });
        },
        run: (rack, signal) => rack.own(signal),
    });

    const queues = ownership.createOwnedItems<queue.ZoneQueue>({
        log,
        create: key =>
            queue.createZoneQueue({
                zone: getRoleName(key),
                clock: time,
                counters,
                histograms: options.histograms,
                log,
                retry: options.retry,
                leases: cfg.leases,
                store: options.store,
                getConfiguration: getCurrent,
                isLeaving: view.isWorkerLeaving,
                command: command => callRackOwner(command.rackId, calls => calls.command(command, COMMAND_TIMEOUT_MS)),
                findOtherZone: job => options.findOtherZone(job, getRoleName(key)),
                notifyMoved: (zone, jobId) => {
                    const notice = { jobId, zone, kind: "submitted", waitMs: 0 };
                    // An owner that misses the notice finds the job when it next scans its queue.
                    callQueueOwner(zone, calls => calls.notifyJob(notice, REPORT_TIMEOUT_MS)).catch((err: unknown) => {
                        log.info("noticeNotSent", { job: jobId, zone, why: String(err) });
                    });
                },
            }),
        run: (item, signal) => item.run(signal),
    });

    /** Keys of the roles to own. Each includes a hash of the role's configuration, so a change recreates the role. */
    const getWantedKeys = () => {
        const { topology, contracts } = getCurrent();
        const rackKeys = topology.racks
            .filter(rack => owners.getRackOwner(rack.id) === cfg.instance.id)
            .map(rack => createRoleKey(rack.id, [rack, topology.capacity]));
        const queueKeys = topology.zones
            .filter(zone => owners.getQueueOwner(zone) === cfg.instance.id)
            .map(zone =>
                createRoleKey(zone, [
                    topology.racks.filter(rack => rack.zone === zone),
                    topology.capacity,
                    contracts.limits.interactiveReserve,
                ])
            );
        return { rackKeys: new Set(rackKeys), queueKeys: new Set(queueKeys) };
    };

    const getRack = (rackId: string) => racks.getAll().find(rack => rack.rackId === rackId);
    const getQueue = (zone: string) => queues.getAll().find(item => item.zone === zone);

    return {
        getRack,
        getQueue,
        getRackLoads: () => racks.getAll().map(rack => rack.getLoad()),
        getZoneLoads: () => queues.getAll().map(item => item.getLoad()),
        getQueueStatus: () => queues.getAll().map(item => item.getStatus()),
        getWorkerViews: () =>
            racks.getAll().flatMap(rack => {
                const report = rack.getReport();
                return report.workers.map(worker => {
                    const tasks = report.tasks.filter(task =>
                        task.workerId === worker.workerId && task.state === "running"
                    );
                    return {
                        worker: worker.workerId,
                        rack: report.rackId,
                        zone: report.zone,
                        usable: worker.usable,
                        reason: worker.reason,
                        interactive: worker.interactiveSlots,
                        tasks: tasks.length,
                        accelerators: tasks.reduce((sum, task) => sum + (task.needs?.accelerators ?? 0), 0),
                    };
                });
            }),
        adjust: () => {
            if (!reader.getCurrent() || closing || abandoned) {
                return;
            }
            const wanted = getWantedKeys();
            racks.reconcile(wanted.rackKeys);
            queues.reconcile(wanted.queueKeys);
        },
        callRackOwner,
        callQueueOwner,
        close: async () => {
            closing = true;
            await Promise.all([queues.close(), racks.close()]);
        },
        abandon: () => {
            abandoned = true;
            closing = true;
            Promise.all([queues.close(), racks.close()]).catch((err: unknown) => {
                log.warn("rolesNotClosed", { why: String(err) });
            });
        },
    };
}

function createRoleKey(name: string, shape: unknown): string {
    return `${name}@${crypto.createHash("md5").update(JSON.stringify(shape)).digest("hex")}`;
}

function getRoleName(key: string): string {
    return key.slice(0, key.indexOf("@"));
}

/** Assembles the components of an instance, and starts and stops it. */
import * as crypto from "node:crypto";
import * as async from "../async/index";
import * as platform from "../backing/index";
import * as broker from "../broker/index";
import * as clock from "../clock/index";
import * as configuration from "../configuration/index";
import * as entry from "../entry/index";
import * as jobs from "../jobs/index";
import * as membership from "../membership/index";
import * as observe from "../observe/index";
import * as operator from "../operator/index";
import * as ownership from "../ownership/index";
import * as peer from "../peer/index";
import type * as queue from "../queue/index";
import * as random from "../random/index";
import * as result from "../result/index";
import type * as settings from "../settings/index";
import * as workers from "../workers/index";
import * as heartbeats from "./heartbeats";
import * as ownedRoles from "./ownedRoles";
import * as peerService from "./peerService";

/** One instance of the system. */
export interface Instance {
    readonly id: string;
    /** Opens the listeners, joins the other instances and starts to own racks and queues. */
    start(): Promise<void>;
    /** Finishes requests in progress, releases racks and queues, and stops. */
    stop(): Promise<void>;
    /** Stops immediately, as in a crash: requests are not finished and leases are not released. */
    kill(): Promise<void>;
    /** Status of the instance for operators. */
    getStatus(): InstanceStatus;
}

/** Status of an instance as reported to operators. */
export interface InstanceStatus {
    readonly instance: string;
    readonly zone: string;
    readonly leaving: boolean;
    /** Revision of the configuration in use; 0 without one. */
    readonly revision: number;
    /** Newest known revision, which may not be in force yet. */
    readonly newestRevision: number;
    readonly preset: string;
    /** Milliseconds since the table service last confirmed the revision; -1 if it never did. */
    readonly unconfirmedMs: number;
    /** Whether the revision has been unconfirmed for so long that other instances may use a newer one. */
    readonly mayBeBehind: boolean;
    readonly storeAvailable: boolean;
    readonly racks: readonly peer.RackLoad[];
    readonly queues: readonly queue.ZoneStatus[];
    readonly peers: ReadonlyArray<{ readonly id: string; readonly zone: string; readonly heard: boolean; }>;
    /** Resident memory in mebibytes. */
    readonly memoryMb: number;
    readonly counters: Readonly<Record<string, number>>;
    readonly histograms: readonly observe.HistogramSummary[];
}

/** Options of `createInstance`. */
export interface InstanceOptions {
    readonly settings: settings.InstanceSettings;
    /** Configuration that becomes revision 1 if the table service holds none. */
    readonly bootstrapSite?: configuration.Site;
    readonly clock?: clock.Clock;
    /** Replaces the HTTP client of the platform. */
    readonly platform?: platform.Platform;
    /** Whether the network connects this instance to another zone; tests simulate partitions with it. */
    readonly isLinkUp?: (zone: string) => boolean;
    /** Replaces the HTTP client of workers. */
    readonly createWorkerClient?: workers.RackOwnerOptions["createClient"];
    /** Seed of the random numbers; random by default. */
    readonly seed?: number;
}

const MEMBERSHIP_POLL_INTERVAL_MS = 1000;
/** Time in which the outcome of an unanswered write is determined. */
const RESOLVE_TIMEOUT_MS = 3000;
/** Time without confirmation after which an instance reports that its configuration may be outdated. */
const MAX_UNCONFIRMED_MS = 7000;
const IDLE_POLL_INTERVAL_MS = 20;
/** Maximum time that a new instance waits until the platform lists it. */
const MAX_SETTLE_MS = 6000;

/** Creates an instance; `start` opens its listeners. */
export function createInstance(options: InstanceOptions): Instance {
    const { settings: cfg } = options;
    const time = options.clock ?? clock.createSystemClock();
    const id = cfg.instance.id;
    const { zone } = cfg.instance;
    const self: membership.Peer = { id, zone, peerAddress: cfg.listen.peers };
    const incarnation = time.wallTime();
    const rng = random.createRandom(options.seed ?? crypto.randomInt(2 ** 31));
    const counters = observe.createCounters({ instance: id, statsd: cfg.metrics.statsd });
    const histograms = observe.createHistograms();
    const log = observe.createLog({ instance: id, level: cfg.log.level });
    const retry = platform.createRetryPolicy(100, 2000, rng);
    const httpPlatform = options.platform ? undefined : platform.createHttpPlatform(cfg.platform);
    const services: platform.Platform = options.platform ?? httpPlatform!;
    const table = platform.createGuardedTable({
        table: services.table,
        clock: time,
        counters,
        retry,
        writesPerSecond: cfg.platform.writesPerSecond,
        readsPerSecond: cfg.platform.readsPerSecond,
        maxConsecutiveFailures: 3,
        maxWaitMs: 2000,
    });
    const store = jobs.createJobStore({ table, clock: time, retry, resolveTimeoutMs: RESOLVE_TIMEOUT_MS });
    const configurationStore = configuration.createConfigurationStore({
        table,
        clock: time,
        retry,
        leadMs: cfg.site.leadMs,
        resolveTimeoutMs: RESOLVE_TIMEOUT_MS,
    });
    const reader = configuration.createConfigurationReader({
        store: configurationStore,
        clock: time,
        counters,
        log,
        pollMs: cfg.site.pollMs,
    });
    const credentials = peer.createPeerCredentials(cfg.tls);
    const connections = peer.createPeerConnections({
        credentials,
        counters,
        isLinkUp: options.isLinkUp ?? (() => true),
    });
    const view = membership.createMembershipView({ self, clock: time, failAfterMs: cfg.heartbeat.failAfterMs });
    const owners = ownership.createOwnership({
        getTopology: () => reader.getCurrent()?.topology,
        getOwners: view.getOwners,
    });
    const running = async.createAbortController();
    const loops: Array<Promise<void>> = [];
    let leaving = false;
    let refusing = false;
    let settled = false;
    const startedAt = time.now();
    let peerServer: peer.PeerServer | undefined;

    const roles = ownedRoles.createOwnedRoles({
        cfg,
        clock: time,
        counters,
        histograms,
        log,
        retry,
        store,
        objects: services.objects,
        view,
        owners,
        reader,
        createClient: options.createWorkerClient ?? (worker =>
            workers.createHttpWorker({
                id: worker.id,
                address: worker.address,
                connections: cfg.workers.connections,
                timeoutMs: cfg.workers.timeoutMs,
                maxAnswerBytes: cfg.workers.maxAnswerBytes,
            })),
        callPeer: (instanceId, call) => {
            const member = view.getPeer(instanceId);
            return member ? call(connections.get(member)) : Promise.resolve(undefined);
        },
        getLocal: () => local,
        findOtherZone: (job, from) => admission.findZoneWithRoom(job, from),
    });

    const createHeartbeat = (): peer.HeartbeatMessage => ({
        instanceId: id,
        zone,
        incarnation,
        leaving,
        newestRevision: reader.getNewestRevision(),
        currentRevision: reader.getCurrent()?.head.revision ?? 0,
        racks: roles.getRackLoads(),
        zones: roles.getZoneLoads(),
    });

    const local = peerService.createPeerService({
        view,
        reader,
        getRack: roles.getRack,
        getQueue: roles.getQueue,
        createHeartbeat,
    });

    const getLoads = <T>(pick: (heartbeat: peer.HeartbeatMessage) => readonly T[]): T[] =>
        [createHeartbeat(), ...view.getHeartbeats()].flatMap(pick);

    const admission = entry.createJobAdmission({
        ownZone: zone,
        getConfiguration: () => reader.getCurrent(),
        getZoneLoads: () => getLoads(heartbeat => heartbeat.zones),
    });

    const homes = entry.createHomes(() => reader.getCurrent()?.topology);
    const router = entry.createInteractiveRouter({
        zone,
        clock: time,
        rng,
        counters,
        homes,
        getTopology: () => reader.getCurrent()?.topology,
        isOwnRack: rackId => roles.getRack(rackId) !== undefined,
        getRackLoad: rackId =>
            roles.getRack(rackId)?.getLoad()
                ?? view.getHeartbeat(owners.getRackOwner(rackId) ?? "")?.racks.find(load => load.rackId === rackId),
        send: (rackId, req, timeoutMs) => roles.callRackOwner(rackId, service => service.run(req, timeoutMs)),
        claimRow: entry.createRowClaims(table),
    });

    const callers = entry.createCallersApi({
        clock: time,
        log,
        counters,
        histograms,
        store,
        objects: services.objects,
        router,
        admission,
        rateLimit: entry.createRateLimit(time),
        getRateShare: () => 1 / (1 + view.getPeers().length),
        defaultDeadlineMs: cfg.callers.defaultDeadlineMs,
        isLeaving: () => refusing,
        notifyJob: (notice, timeoutMs) =>
            roles.callQueueOwner(notice.zone, service => service.notifyJob(notice, timeoutMs)),
    });

    const keyrings = entry.createKeyrings(() => reader.getCurrent()?.contracts);
    const activity = entry.createActivity();
    const serviceBroker = broker.createBroker(id);
    const callersSchema = broker.createHttpService({
        name: "callers",
        address: cfg.listen.callers,
        maxBodyBytes: cfg.callers.maxBodyBytes,
        maxConnections: cfg.callers.maxConnections,
        routes: entry.createCallersHttp({
            api: callers,
            activity,
            authenticate: key => keyrings.findAccount(key, time.wallTime()),
        }),
    });
    const operatorsSchema = broker.createHttpService({
        name: "operators",
        address: cfg.listen.operators,
        maxBodyBytes: MAX_OPERATOR_BODY_BYTES,
        maxConnections: cfg.callers.maxConnections,
        routes: operator.createOperatorsHttp({
            reader,
            store: configurationStore,
            getStatus: () => getStatus(),
            getWorkers: roles.getWorkerViews,
            authenticate: key => keyrings.findOperator(key, time.wallTime()),
        }),
    });

    const getStatus = (): InstanceStatus => {
        const current = reader.getCurrent();
        const unconfirmedMs = reader.getStalenessMs();
        return {
            instance: id,
            zone,
            leaving,
            revision: current?.head.revision ?? 0,
            newestRevision: reader.getNewestRevision(),
            preset: current?.head.preset ?? "",
            unconfirmedMs: Number.isFinite(unconfirmedMs) ? Math.round(unconfirmedMs) : -1,
            mayBeBehind: unconfirmedMs > MAX_UNCONFIRMED_MS,
            storeAvailable: table.isAvailable(),
            racks: roles.getRackLoads(),
            queues: roles.getQueueStatus(),
            peers: view.getPeers().map(item => ({ id: item.id, zone: item.zone, heard: !!view.getHeartbeat(item.id) })),
            memoryMb: Math.round(process.memoryUsage().rss / 1_048_576),
            counters: counters.getAll(),
            histograms: histograms.getSummaries(),
        };
    };

    /**
     * Waits until the platform lists this instance, which is when it also knows the others. Without the wait a new
     * instance would consider itself the only one and take all racks and queues. That would overload the workers and
     * the table service at each start and raise `racks.taken` above the instance's share. If the platform is down, the
     * instance relies on heartbeats after `MAX_SETTLE_MS`.
     */
    const adjustRoles = () => {
        if (settled || time.now() - startedAt > MAX_SETTLE_MS) {
            roles.adjust();
        }
    };

    const pollMembership = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            // Announces the instance at each poll, so that its entry does not expire.
            await services.membership.announce({ ...self, state: leaving ? "leaving" : "live" });
            const snapshot = await services.membership.list();
            if (snapshot) {
                view.applySnapshot(snapshot);
                settled = settled || snapshot.instances.some(item => item.id === id);
                adjustRoles();
            }
            await time.sleep(MEMBERSHIP_POLL_INTERVAL_MS, signal);
        }
    };

    const bootstrap = async () => {
        const site = options.bootstrapSite;
        const head = await configurationStore.readHead();
        if (!site || head.kind !== "read" || head.value) {
            return;
        }
        const { topology, preset, ...contracts } = site;
        const operationId = `bootstrap-${crypto.randomUUID()}`;
        const changed = await configurationStore.change({
            operationId,
            expectedRevision: 0,
            contracts,
            topology,
            preset,
        });
        log.info("site bootstrapped", { won: changed.ok });
    };

    const startLoop = (work: Promise<void>) => {
        loops.push(work.catch(err => log.error("loop failed", { cause: result.getErrorMessage(err) })));
    };

    const waitUntilIdle = async () => {
        const deadline = time.now() + cfg.shutdown.drainMs;
        while (!activity.isIdle() && time.now() < deadline) {
            await time.sleep(IDLE_POLL_INTERVAL_MS);
        }
    };

    const closeNetwork = async () => {
        connections.close();
        await httpPlatform?.close();
        counters.close();
    };

    return {
        id,
        start: async () => {
            peerServer = await peer.startPeerServer(cfg.listen.peers, local, credentials);
            await bootstrap();
            reader.registerListener(adjustRoles);
            startLoop(reader.run(running.signal));
            startLoop(pollMembership(running.signal));
            const heartbeatOptions: heartbeats.HeartbeatOptions = {
                self,
                clock: time,
                view,
                connections,
                reader,
                intervalMs: cfg.heartbeat.intervalMs,
                createHeartbeat,
                onChange: adjustRoles,
            };
            const peers = ownership.createOwnedItems<string>({
                log,
                create: key => key,
                run: (key, signal) => heartbeats.exchangeHeartbeats(heartbeatOptions, key, signal),
            });
            startLoop(heartbeats.runHeartbeats(heartbeatOptions, peers, running.signal));
            serviceBroker.createService(callersSchema);
            serviceBroker.createService(operatorsSchema);
            await serviceBroker.start();
            log.info("instance started", { zone, callers: cfg.listen.callers, peers: cfg.listen.peers });
        },
        stop: async () => {
            log.info("instance leaving");
            leaving = true;
            view.setLeaving();
            await services.membership.announce({ ...self, state: "leaving" });
            roles.adjust();
            // Load balancers and callers learn of it late; requests that still arrive go to the racks' next owners.
            await time.sleep(cfg.shutdown.noticeMs);
            refusing = true;
            await waitUntilIdle();
            await serviceBroker.stop();
            await roles.close();
            running.abort();
            await Promise.all(loops);
            await peerServer?.close(cfg.shutdown.drainMs);
            await closeNetwork();
            log.info("instance stopped");
        },
        kill: async () => {
            running.abort();
            roles.abandon();
            await peerServer?.close(0);
            await serviceBroker.stop();
            await closeNetwork();
        },
        getStatus,
    };
}

/** Maximum size of an operator's request body. */
const MAX_OPERATOR_BODY_BYTES = 4 * 1_048_576;

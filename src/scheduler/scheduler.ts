/**
 * Assembles one instance of the scheduler from its ports: the intake of caller requests, the leader lease, and the term
 * while the instance leads.
 */
import * as admission from "../admission/index";
import * as catalogs from "../catalog/index";
import type * as clock from "../clock/index";
import type * as decisions from "../decisions/index";
import type * as evacuation from "../evacuation/index";
import * as intakes from "../intake/index";
import * as leader from "../leader/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";

/** Identity, ports and settings of an instance. */
export interface SchedulerOptions {
    /** Name of the instance, the same after a restart. */
    readonly instance: string;
    /** Id of this run of the process; differs after each restart. */
    readonly incarnationId: string;
    /** CPU time available to this instance, in cores. */
    readonly power: number;
    /** Address on which other instances watch this process; empty if it offers none. */
    readonly watchAddress: string;
    /** Address on which this instance accepts forwarded requests; empty if it accepts none. */
    readonly peerAddress: string;
    /** Watches another instance's process. Calls `onExit` once it has certainly ended. */
    watchProcess(address: string, onExit: () => void): leader.ProcessWatch;
    readonly handover: leader.HandoverPort;
    readonly store: rows.RowStore;
    readonly directory: leader.WorkerDirectory;
    readonly workers: leader.WorkerPort;
    readonly adviser: leader.Adviser;
    readonly machines: leader.MachineService;
    readonly waves: leader.WavePort;
    readonly evacuations: evacuation.Evacuations;
    readonly policy: decisions.Policy;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Read at the start of each term, for each submission, and for each check of the configuration's age. */
    getSettings(): SchedulerSettings;
    /** Milliseconds since the configuration was certainly current; `Infinity` before the first read. */
    getConfigurationAgeMs(): number;
    readonly signal: AbortSignal;
}

/** Settings that may change while the instance runs. */
export interface SchedulerSettings {
    /** Maximum lease that a worker grants to a running task. */
    readonly maxLeaseMs: number;
    /** How long a machine is down for maintenance. */
    readonly upkeepMs: number;
    /** How long the state of an ended job can be queried. */
    readonly retentionMs: number;
    /** Maximum size of a row's value in the store, in bytes. */
    readonly rowBytes: number;
    /** Maximum time from the confirmation of a configuration until every instance uses it. */
    readonly configurationMs: number;
    /** Maximum time after a worker's capacity has shrunk for which a start may still rely on the old capacity. */
    readonly capacityMs: number;
}

/** A running instance of the scheduler. */
export interface Scheduler {
    readonly catalog: catalogs.CurrentCatalog;
    readonly intake: intakes.Intake;
    /** The store for other readers in this instance: each of their calls also updates its health. */
    readonly store: rows.RowStore;
    /** Whether this instance can serve callers now: it has a current configuration and reaches the store. */
    isReady(): boolean;
    isLeading(): boolean;
    isStoreUnreachable(): boolean;
    /** Whether the configuration in force is recent enough to serve callers. */
    isConfigurationFresh(): boolean;
    /** Address on which the leader accepts forwarded requests; `undefined` if unknown or if this instance leads. */
    getLeaderAddress(): string | undefined;
    /** Handles handover requests of an instance that can no longer lead. */
    readonly handover: Pick<leader.Handover, "answerOffer" | "acceptHandover">;
    /** Releases the leader lease, so that another instance need not wait for its expiry. */
    release(): Promise<void>;
}

/** Creates an instance, which runs until `signal` is aborted. */
export function createScheduler(options: SchedulerOptions): Scheduler {
    const { clock: time, log, meter } = options;
    const { disabledMechanisms } = options.policy;
    const catalog = catalogs.createCurrentCatalog();
    const health = rows.createStoreHealth({
        store: rows.createInstrumentedStore(options.store, meter),
        clock: time,
        signal: options.signal,
        probe: { table: work.Table.LeaderLease, part: work.LEADER_PART },
        onUnreachable: why => {
            log.warn("storeLost", { why });
            offerTerm();
        },
        onReachable: unreachableMs => log.info("storeRegained", { awayMs: Math.round(unreachableMs) }),
    });
    const { store } = health;

    let term: leader.Term | undefined;
    const openTerm = (leadership: leader.Leadership) => {
        const started = leader.createTerm({
            ...options,
            ...options.getSettings(),
            store,
            catalog,
            leadership: disabledMechanisms.has("prolonging")
                ? { ...leadership, mayExtendTaskLeases: leadership.mayIssueOrders }
                : leadership,
            onSuperseded: reason => lease.endTerm(reason),
        });
        term = started;
        leadership.signal.addEventListener("abort", () => {
            if (term === started) {
                term = undefined;
            }
        });
    };
    const lease = leader.createLease({
        store,
        clock: time,
        log,
        meter,
        instance: options.instance,
        incarnationId: options.incarnationId,
        watchAddress: options.watchAddress,
        peerAddress: options.peerAddress,
        watchHolder: (address, onExit) => {
            const watch = options.watchProcess(address, onExit);
            return disabledMechanisms.has("heartbeats") ? { ...watch, getHeartbeatAgeMs: () => undefined } : watch;
        },
        signal: options.signal,
        power: options.power,
        getWaitingCounts: () => term?.getWaitingCounts(),
        getLoad: () => term?.getLoad(),
        onRenewalOverdue: () => offerTerm(),
        onElected: openTerm,
    });
    const isStoreUnreachable = () => health.getUnreachableMs() !== undefined;
    const handover = leader.createHandover({
        ...options,
        port: options.handover,
        lease,
        store,
        isStoreUnreachable,
    });
    const offerTerm = () => {
        if (!disabledMechanisms.has("handover")) {
            void handover.offerLeadership();
        }
    };
    const getLoadView = admission.createLoadView({
        clock: time,
        log,
        meter,
        getObservedRow: () => {
            const observed = lease.getObservation();
            return observed && { version: observed.version, load: observed.record.load, seenAt: observed.seenAt };
        },
    });
    const intake = intakes.createIntake({
        store,
        health,
        clock: time,
        log,
        meter,
        getMaxRowBytes: () => options.getSettings().rowBytes,
        getLoadView: disabledMechanisms.has("admission") ? undefined : getLoadView,
        getPublishedCounts: () => {
            const observed = lease.getObservation();
            const counts = observed?.record.waiting;
            return observed && counts && {
                counts,
                complete: !observed.record.othersWait,
                ageMs: time.now() - observed.seenAt,
            };
        },
    });
    const { isFresh } = catalogs.createFreshness({
        log,
        getVersion: () => catalog.get()?.version,
        getAgeMs: options.getConfigurationAgeMs,
        getMaxAgeMs: () => options.getSettings().configurationMs,
    });
    const isReady = () => catalog.get() !== undefined && isFresh() && !isStoreUnreachable();
    meter.registerGauges(() => [
        { metric: "ready", value: Number(isReady()) },
        { metric: "configuration_version", value: catalog.get()?.version ?? 0 },
        { metric: "configuration_fresh", value: Number(isFresh()) },
        { metric: "store_reachable", value: Number(!isStoreUnreachable()) },
        { metric: "leading", value: Number(lease.isLeading()) },
    ]);
    return {
        catalog,
        intake,
        store,
        handover,
        isReady,
        isLeading: lease.isLeading,
        isStoreUnreachable,
        isConfigurationFresh: isFresh,
        getLeaderAddress: () => {
            const address = lease.getObservation()?.record.peerAddress;
            return address === options.peerAddress ? undefined : address || undefined;
        },
        release: lease.release,
    };
}

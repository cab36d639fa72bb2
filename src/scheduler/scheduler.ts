/** One instance of the scheduler, whatever it is connected to: the entry, the lease, and the term while it leads. */
import * as catalogs from "../catalog/index";
import type * as clock from "../clock/index";
import type * as decisions from "../decisions/index";
import * as intakes from "../intake/index";
import * as leader from "../leader/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";

export interface SchedulerOptions {
    readonly instance: string;
    /** Unique to this life of the instance. */
    readonly incarnation: string;
    /** Processor time that this instance gets, in cores. */
    readonly power: number;
    /** Where other instances watch this process; empty: nowhere. */
    readonly watchAddress: string;
    /** Where this instance takes requests that others pass on; empty: nowhere. */
    readonly peerAddress: string;
    /** Watches another instance's process; `onGone`: it is gone for certain. */
    watchProcess(address: string, onGone: () => void): leader.ProcessWatch;
    readonly handover: leader.HandoverPort;
    readonly store: rows.RowStore;
    readonly directory: leader.WorkerDirectory;
    readonly workers: leader.WorkerPort;
    readonly adviser: leader.Adviser;
    readonly machines: leader.MachineService;
    readonly waves: leader.WavePort;
    readonly policy: decisions.Policy;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Asked at the beginning of each term, and for each submission. */
    getSettings(): SchedulerSettings;
    /** Milliseconds since the moment as of which the configuration is known for certain; `Infinity`: not read yet. */
    getConfigurationAgeMs(): number;
    readonly signal: AbortSignal;
}

export interface SchedulerSettings {
    /** Longest lease that a worker grants to what runs there. */
    readonly maxLeaseMs: number;
    /** How long a machine is down for its upkeep. */
    readonly upkeepMs: number;
    /** How long the state of an ended job can be asked for. */
    readonly retentionMs: number;
    /** The longest value of a row in the store. */
    readonly rowBytes: number;
    /** How long after its confirmation a configuration may take to be in force everywhere. */
    readonly configurationMs: number;
    /** How long after a worker's capacity has shrunk a start may count on what it was. */
    readonly capacityMs: number;
}

export interface Scheduler {
    readonly catalog: catalogs.CurrentCatalog;
    readonly intake: intakes.Intake;
    /** The store, for what else this instance reads there: each call tells whether it can be reached. */
    readonly store: rows.RowStore;
    /** Whether this instance can serve callers now. */
    isReady(): boolean;
    isLeading(): boolean;
    isStoreUnreachable(): boolean;
    /** Whether callers may be served under the configuration in force here. */
    isConfigurationFresh(): boolean;
    /** Where the leader takes requests that are passed on; `undefined` where it is this instance or not known. */
    getLeaderAddress(): string | undefined;
    /** What other instances ask when they cannot lead any more. */
    readonly handover: Pick<leader.Handover, "answer" | "take">;
    /** Hands the lead over. */
    release(): Promise<void>;
}

export function createScheduler(options: SchedulerOptions): Scheduler {
    const { clock: time, log, meter } = options;
    const { disabledMechanisms: leftOut } = options.policy;
    const current = catalogs.createCurrentCatalog();
    const health = rows.createStoreHealth({
        store: rows.createInstrumentedStore(options.store, meter),
        clock: time,
        signal: options.signal,
        probe: { table: work.Table.LeaderLease, part: work.LEADER_PART },
        onUnreachable: why => {
            log.warn("storeLost", { why });
            offerTerm();
        },
        onReachable: awayMs => log.info("storeRegained", { awayMs: Math.round(awayMs) }),
    });
    const { store } = health;

    let term: leader.Term | undefined;
    const openTerm = (leadership: leader.Leadership) => {
        const started = leader.createTerm({
            ...options,
            ...options.getSettings(),
            store,
            catalog: current,
            leadership: leftOut.has("prolonging")
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
        life: options.incarnation,
        watchAddress: options.watchAddress,
        peerAddress: options.peerAddress,
        watchHolder: (address, onGone) => {
            const watch = options.watchProcess(address, onGone);
            return leftOut.has("heartbeats") ? { ...watch, getHeartbeatAgeMs: () => undefined } : watch;
        },
        signal: options.signal,
        power: options.power,
        getWaitingCounts: () => term?.getWaitingCounts(),
        onRenewalOverdue: () => offerTerm(),
        onElected: openTerm,
    });
    const isStoreAway = () => health.getAwayMs() !== undefined;
    const handover = leader.createHandover({
        ...options,
        port: options.handover,
        lease,
        store,
        isStoreUnreachable: isStoreAway,
    });
    const offerTerm = () => {
        if (!leftOut.has("handover")) {
            void handover.offerLeadership();
        }
    };
    const intake = intakes.createIntake({
        store,
        health,
        clock: time,
        log,
        meter,
        getMaxRowBytes: () => options.getSettings().rowBytes,
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
        getVersion: () => current.get()?.version,
        getAgeMs: options.getConfigurationAgeMs,
        getMaxAgeMs: () => options.getSettings().configurationMs,
    });
    const isReady = () => current.get() !== undefined && isFresh() && !isStoreAway();
    meter.registerGauges(() => [
        { metric: "ready", value: Number(isReady()) },
        { metric: "configuration_version", value: current.get()?.version ?? 0 },
        { metric: "configuration_fresh", value: Number(isFresh()) },
        { metric: "store_reachable", value: Number(!isStoreAway()) },
        { metric: "leading", value: Number(lease.isLeading()) },
    ]);
    return {
        catalog: current,
        intake,
        store,
        handover,
        isReady,
        isLeading: lease.isLeading,
        isStoreUnreachable: isStoreAway,
        isConfigurationFresh: isFresh,
        getLeaderAddress: () => {
            const address = lease.getObservation()?.record.peerAddress;
            return address === options.peerAddress ? undefined : address || undefined;
        },
        release: lease.release,
    };
}

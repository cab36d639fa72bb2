/** One instance of the scheduler, whatever it is connected to: the entry, the lease, and the term while it leads. */
import * as catalogs from "../catalog/index";
import type * as clock from "../clock/index";
import * as intakes from "../intake/index";
import * as leader from "../leader/index";
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";

export interface SchedulerOptions {
    readonly instance: string;
    /** Unique to this life of the instance. */
    readonly life: string;
    readonly store: rows.RowStore;
    readonly directory: leader.WorkerDirectory;
    readonly workers: leader.WorkerPort;
    readonly adviser: leader.Adviser;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly counters: observe.Counters;
    readonly histograms: observe.Histograms;
    /** Longest lease that a worker grants to what runs there. */
    readonly maxLeaseMs: number;
    readonly signal: AbortSignal;
}

export interface Scheduler {
    readonly catalog: catalogs.CurrentCatalog;
    readonly intake: intakes.Intake;
    /** Each answer of the store, and each call that failed, by whichever part made it. */
    readonly onStoreContact: () => void;
    readonly onStoreLoss: (why: string) => void;
    /** Whether this instance can serve callers now. */
    isReady(): boolean;
    isLeading(): boolean;
    /** Hands the lead over. */
    release(): Promise<void>;
}

/** Without an answer of the store for this long, an instance asks not to be given callers. */
const READY_CONTACT_MS = 1_900;

export function createScheduler(options: SchedulerOptions): Scheduler {
    const { clock: time, log } = options;
    const current = catalogs.createCurrentCatalog();
    let contactAt: number | undefined;
    let inContact = false;
    const onStoreContact = () => {
        contactAt = time.now();
        if (!inContact) {
            inContact = true;
            log.info("storeRegained", {});
        }
    };
    const onStoreLoss = (why: string) => {
        if (inContact) {
            inContact = false;
            log.warn("storeLost", { why });
        }
    };

    let term: leader.Term | undefined;
    const openTerm = (leadership: leader.Leadership) => {
        const started = leader.createTerm({
            ...options,
            catalog: current,
            leadership,
            onDeposed: reason => lease.depose(reason),
        });
        term = started;
        leadership.signal.addEventListener("abort", () => {
            if (term === started) {
                term = undefined;
            }
        });
    };
    const lease = leader.createLease({
        store: options.store,
        clock: time,
        log,
        instance: options.instance,
        life: options.life,
        signal: options.signal,
        getWaiting: () => term?.getWaiting() ?? {},
        onContact: onStoreContact,
        onLoss: onStoreLoss,
        onElected: openTerm,
    });
    const intake = intakes.createIntake({
        store: options.store,
        clock: time,
        log,
        counters: options.counters,
        histograms: options.histograms,
        getWaiting: () => {
            const observed = lease.getObservation();
            return observed && { counts: observed.record.waiting, ageMs: time.now() - observed.seenAt };
        },
    });
    return {
        catalog: current,
        intake,
        onStoreContact,
        onStoreLoss,
        isReady: () =>
            current.get() !== undefined && contactAt !== undefined && time.now() - contactAt < READY_CONTACT_MS,
        isLeading: lease.isLeading,
        release: lease.release,
    };
}

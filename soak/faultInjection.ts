/**
 * Fault injection on a schedule that depends on one seed: signals to processes, links that are held, delayed or reset,
 * faults of the store and of workers, and workers that drain, crash and restart. Faults overlap, and all of them end.
 */
import type * as emulator from "../src/emulator/index";
import type * as random from "../src/random/index";
import * as work from "../src/work/index";
import * as links from "./link";
import type * as sites from "./site";

/** Target of a fault: one instance or worker by index, the current leader, or all. */
type Target = number | "leader" | "all";

export type InjectedFault =
    /** The process exits; it is restarted within seconds, see run.ts. */
    | { readonly kind: "kill" | "terminate"; readonly target: Target; }
    | { readonly kind: "pause"; readonly target: Target; }
    | { readonly kind: "storeLink" | "entryLink"; readonly target: Target; readonly state: links.LinkState; }
    | { readonly kind: "workerLink"; readonly target: Target; readonly state: links.LinkState; }
    | { readonly kind: "slowStore" | "slowWorker"; readonly target: Target; readonly delayMs: number; }
    | {
        readonly kind: "storeFault";
        readonly target: Target;
        readonly share: number;
        readonly fault: emulator.StoreFault;
    }
    | {
        readonly kind: "workerFault";
        readonly target: Target;
        readonly share: number;
        readonly fault: emulator.OrderFault;
    }
    | { readonly kind: "forgetHistory"; }
    /** Overwrites what a leader has stored of its measurements. */
    | { readonly kind: "damageLearnedState"; readonly value: string; }
    /** The worker's tasks take `factor` times as long. */
    | { readonly kind: "slowTasks"; readonly target: Target; readonly factor: number; }
    /**
     * The worker dies; its host starts another one at the end of the fault. `told`: the directory learns of it at once.
     */
    | { readonly kind: "loseWorker"; readonly target: Target; readonly told: boolean; }
    /** The worker's capacity is reduced to this share. */
    | { readonly kind: "shrink"; readonly target: Target; readonly share: number; }
    /** The worker drains until the end of the fault and is then replaced. */
    | { readonly kind: "drain"; readonly target: Target; };

export interface ScheduledFault {
    /** Milliseconds from the start of the run. */
    readonly startAfterMs: number;
    readonly durationMs: number;
    readonly fault: InjectedFault;
}

/** Longest duration of a fault: more than the longest lease of a worker. */
const MAX_DURATION_MS = 8_000;
const STORE_FAULTS: readonly emulator.StoreFault[] = ["refuse", "loseAnswer", "late", "silent"];
const ORDER_FAULTS: readonly emulator.OrderFault[] = ["loseAnswer", "late", "cut", "unwell"];
const LINK_FAULTS: readonly links.LinkState[] = ["reset", "silent", "requestsHeld", "answersHeld"];
/** One in this many faults hits all instances or workers at once. */
const ALL_TARGETS_ONE_IN = 6;

export interface FaultScheduleOptions {
    readonly instances: number;
    readonly workers: number;
    /** All faults begin and end within this time from the start of the run. */
    readonly windowMs: number;
    readonly count: number;
}

export function createFaultSchedule(source: random.Random, options: FaultScheduleOptions): ScheduledFault[] {
    const { windowMs } = options;
    return Array.from({ length: options.count }, () => {
        const startAfterMs = source.nextInt(windowMs - 1_000);
        const durationMs = Math.min(windowMs - startAfterMs, 300 + source.nextInt(MAX_DURATION_MS - 300));
        return { startAfterMs, durationMs, fault: createRandomFault(source, options) };
    }).sort((a, b) => a.startAfterMs - b.startAfterMs);
}

function createRandomFault(source: random.Random, options: FaultScheduleOptions): InjectedFault {
    const instance = (): Target => {
        if (source.nextInt(ALL_TARGETS_ONE_IN) === 0) {
            return "all";
        }
        return source.nextInt(2) === 0 ? "leader" : source.nextInt(options.instances);
    };
    const worker = (): Target => source.nextInt(ALL_TARGETS_ONE_IN) === 0 ? "all" : source.nextInt(options.workers);
    const share = () => 0.1 + 0.9 * source.nextFloat();
    const kinds: ReadonlyArray<() => InjectedFault> = [
        () => ({ kind: "kill", target: instance() }),
        () => ({ kind: "terminate", target: instance() }),
        () => ({ kind: "pause", target: instance() }),
        () => ({ kind: "storeLink", target: instance(), state: source.pick(LINK_FAULTS) }),
        () => ({ kind: "entryLink", target: instance(), state: source.pick(LINK_FAULTS) }),
        () => ({ kind: "workerLink", target: worker(), state: source.pick(LINK_FAULTS) }),
        () => ({ kind: "slowStore", target: instance(), delayMs: 20 + source.nextInt(600) }),
        () => ({ kind: "slowWorker", target: worker(), delayMs: 20 + source.nextInt(600) }),
        () => ({ kind: "storeFault", target: instance(), share: share(), fault: source.pick(STORE_FAULTS) }),
        () => ({ kind: "workerFault", target: worker(), share: share(), fault: source.pick(ORDER_FAULTS) }),
        () => ({ kind: "forgetHistory" }),
        () => ({ kind: "slowTasks", target: worker(), factor: source.pick([4, 20, Infinity]) }),
        () => ({ kind: "loseWorker", target: source.nextInt(options.workers), told: source.nextInt(2) === 0 }),
        () => ({ kind: "drain", target: source.nextInt(options.workers) }),
    ];
    return source.pick(kinds)();
}

/**
 * Reductions of workers' capacity. They have a random source of their own, so that they don't change a seed's other
 * faults.
 */
export function createCapacityReductions(
    source: random.Random,
    { workers, windowMs }: FaultScheduleOptions,
): ScheduledFault[] {
    return Array.from({ length: source.nextInt(MAX_CAPACITY_REDUCTIONS + 1) }, () => ({
        startAfterMs: source.nextInt(windowMs - 1_000),
        durationMs: 1_000 + source.nextInt(MAX_DURATION_MS - 1_000),
        fault: { kind: "shrink", target: source.nextInt(workers), share: source.pick([0, 0.25, 0.5]) },
    }));
}

const MAX_CAPACITY_REDUCTIONS = 3;

/** Holds the active faults of the store and of workers. */
export interface FaultInjector {
    readonly storeFaults: emulator.StoreFaults;
    readonly workerFaults: emulator.WorkerFaults;
    /** Activates a fault and returns the function that ends it, as the next two methods do. */
    addStoreFault(caller: string, share: number, fault: emulator.StoreFault): () => void;
    addWorkerFault(workerId: string, share: number, fault: emulator.OrderFault): () => void;
    addSlowdown(workerId: string, factor: number): () => void;
}

/** A call with the fault "late" is executed up to this long after its caller has timed out. */
const MAX_DELAY_AFTER_TIMEOUT_MS = 2_500;

export function createFaultInjector(source: random.Random): FaultInjector {
    const store = createActiveFaults<emulator.StoreFault>(source);
    const workers = createActiveFaults<emulator.OrderFault>(source);
    const slowdowns = new Map<string, number[]>();
    return {
        storeFaults: { decide: caller => store.decide(caller) ?? "none", lateMs: MAX_DELAY_AFTER_TIMEOUT_MS },
        workerFaults: {
            decide: workerId => workers.decide(workerId) ?? "none",
            lateMs: MAX_DELAY_AFTER_TIMEOUT_MS,
            getSlowdown: workerId => Math.max(1, ...(slowdowns.get(workerId) ?? [])),
        },
        addStoreFault: store.add,
        addWorkerFault: workers.add,
        addSlowdown: (workerId, factor) => {
            const factors = slowdowns.get(workerId) ?? [];
            slowdowns.set(workerId, [...factors, factor]);
            return () => {
                const remaining = slowdowns.get(workerId)!;
                remaining.splice(remaining.indexOf(factor), 1);
            };
        },
    };
}

function createActiveFaults<T>(source: random.Random) {
    interface ActiveFault {
        readonly target: string;
        readonly share: number;
        readonly fault: T;
    }
    const active = new Set<ActiveFault>();
    return {
        decide: (target: string): T | undefined =>
            [...active].find(item => item.target === target && source.nextFloat() < item.share)?.fault,
        add: (target: string, share: number, fault: T) => {
            const item = { target, share, fault };
            active.add(item);
            return () => void active.delete(item);
        },
    };
}

/** Injects the fault and returns the function that ends it, which is to be called once. */
export function injectFault(fault: InjectedFault, site: sites.Site, injector: FaultInjector): () => void {
    switch (fault.kind) {
        case "kill":
        case "terminate":
            return applyToAll(pickInstances(site, fault.target), number => {
                const instance = site.instances[number]!;
                if (fault.kind === "kill") {
                    instance.kill();
                }
                else {
                    instance.terminate();
                }
                return () => undefined;
            });
        case "pause":
            return applyToAll(pickInstances(site, fault.target), number => {
                site.instances[number]!.pause();
                return () => site.instances[number]!.resume();
            });
        case "storeLink":
            return applyToAll(
                pickInstances(site, fault.target),
                number => setLinkFault(site.storeLinks[number]!, fault.state),
            );
        case "entryLink":
            return applyToAll(
                pickInstances(site, fault.target),
                number => setLinkFault(site.callerLinks[number]!, fault.state),
            );
        case "workerLink":
            return applyToAll(
                pickWorkers(site, fault.target),
                number => setLinkFault(site.workerHosts[number]!.link, fault.state),
            );
        case "slowStore":
            return applyToAll(
                pickInstances(site, fault.target),
                number => setLinkDelay(site.storeLinks[number]!, fault.delayMs),
            );
        case "slowWorker":
            return applyToAll(
                pickWorkers(site, fault.target),
                number => setLinkDelay(site.workerHosts[number]!.link, fault.delayMs),
            );
        case "storeFault":
            return applyToAll(
                pickInstances(site, fault.target),
                number => injector.addStoreFault(site.instances[number]!.name, fault.share, fault.fault),
            );
        case "workerFault":
            return applyToAll(
                pickWorkerIds(site, fault.target),
                id => injector.addWorkerFault(id, fault.share, fault.fault),
            );
        case "forgetHistory":
            site.store.discardHistory();
            return () => undefined;
        case "damageLearnedState":
            for (const row of site.store.getRows(work.Table.Learned)) {
                site.store.put({ ...row, value: fault.value });
            }
            return () => undefined;
        case "slowTasks":
            return applyToAll(pickWorkerIds(site, fault.target), id => injector.addSlowdown(id, fault.factor));
        case "loseWorker":
            return applyToAll(pickWorkers(site, fault.target), number => {
                site.workerHosts[number]!.killWorker(fault.told);
                return () => site.workerHosts[number]!.startWorker();
            });
        case "shrink":
            return applyToAll(pickWorkers(site, fault.target), number => {
                site.workerHosts[number]!.resize(fault.share);
                return () => site.workerHosts[number]!.resize(1);
            });
        case "drain":
            return applyToAll(pickWorkers(site, fault.target), number => {
                const host = site.workerHosts[number]!;
                const id = host.getWorkerId();
                host.drain(DRAIN_REMAINING_MS);
                return () => {
                    if (host.getWorkerId() === id) {
                        host.killWorker(true);
                        host.startWorker();
                    }
                };
            });
    }
}

/** Shortest remaining time that a draining worker reports. */
const DRAIN_REMAINING_MS = 1_000;

function applyToAll<T>(targets: readonly T[], apply: (target: T) => () => void): () => void {
    const ends = targets.map(apply);
    return () => ends.forEach(end => end());
}

function setLinkFault(link: links.Link, state: links.LinkState): () => void {
    link.setState(state);
    return () => link.setState("open");
}

function setLinkDelay(link: links.Link, delayMs: number): () => void {
    link.setDelay(delayMs);
    return () => link.setDelay(0);
}

function pickInstances(site: sites.Site, target: Target): number[] {
    if (target === "leader") {
        return [site.getLeader() ?? 0];
    }
    return target === "all" ? site.instances.map((_, number) => number) : [target];
}

function pickWorkers(site: sites.Site, target: Target): number[] {
    return typeof target === "number" ? [target] : site.workerHosts.map((_, number) => number);
}

function pickWorkerIds(site: sites.Site, target: Target): string[] {
    return pickWorkers(site, target).map(number => site.workerHosts[number]!.getWorkerId()).filter(id =>
        id !== undefined
    );
}

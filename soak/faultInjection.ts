/**
 * What goes wrong and when, all from one seed: signals to processes, links that are cut, delayed or reset, a store
 * and workers that misbehave, workers that drain, die and come anew. Troubles overlap, and all of them end.
 */
import type * as emulator from "../src/emulator/index";
import type * as random from "../src/random/index";
import * as links from "./link";
import type * as sites from "./site";

/** A trouble's target: one instance or worker by number, whoever leads, or all. */
type Target = number | "leader" | "all";

export type InjectedFault =
    /** The process dies and is started again after `forMs`. */
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
    /** The worker's tasks take `factor` times as long. */
    | { readonly kind: "slowTasks"; readonly target: Target; readonly factor: number; }
    /** The worker's life ends; the next one begins after `forMs`. */
    | { readonly kind: "loseWorker"; readonly target: Target; readonly told: boolean; }
    /** The worker's capacity is that share of what it was. */
    | { readonly kind: "shrink"; readonly target: Target; readonly share: number; }
    /** The worker drains for `forMs`, and is then replaced. */
    | { readonly kind: "drain"; readonly target: Target; };

export interface ScheduledFault {
    /** Milliseconds from the start of the run. */
    readonly at: number;
    readonly forMs: number;
    readonly trouble: InjectedFault;
}

/** Longest trouble: beyond the longest lease of a worker. */
const LONGEST_MS = 8_000;
const STORE_FAULTS: readonly emulator.StoreFault[] = ["refuse", "loseAnswer", "late", "silent"];
const ORDER_FAULTS: readonly emulator.OrderFault[] = ["loseAnswer", "late", "cut", "unwell"];
const CUTS: readonly links.LinkState[] = ["reset", "silent", "requestsHeld", "answersHeld"];
/** One of so many troubles strikes all at once. */
const ALL_EVERY = 6;

export interface FaultScheduleOptions {
    readonly instances: number;
    readonly workers: number;
    /** Troubles begin and end within this time. */
    readonly lastMs: number;
    readonly count: number;
}

export function createFaultSchedule(source: random.Random, options: FaultScheduleOptions): ScheduledFault[] {
    const { lastMs } = options;
    return Array.from({ length: options.count }, () => {
        const at = source.nextInt(lastMs - 1_000);
        const forMs = Math.min(lastMs - at, 300 + source.nextInt(LONGEST_MS - 300));
        return { at, forMs, trouble: createTrouble(source, options) };
    }).sort((a, b) => a.at - b.at);
}

function createTrouble(source: random.Random, options: FaultScheduleOptions): InjectedFault {
    const instance = (): Target => {
        if (source.nextInt(ALL_EVERY) === 0) {
            return "all";
        }
        return source.nextInt(2) === 0 ? "leader" : source.nextInt(options.instances);
    };
    const worker = (): Target => source.nextInt(ALL_EVERY) === 0 ? "all" : source.nextInt(options.workers);
    const share = () => 0.1 + 0.9 * source.nextFloat();
    const kinds: ReadonlyArray<() => InjectedFault> = [
        () => ({ kind: "kill", target: instance() }),
        () => ({ kind: "terminate", target: instance() }),
        () => ({ kind: "pause", target: instance() }),
        () => ({ kind: "storeLink", target: instance(), state: source.pick(CUTS) }),
        () => ({ kind: "entryLink", target: instance(), state: source.pick(CUTS) }),
        () => ({ kind: "workerLink", target: worker(), state: source.pick(CUTS) }),
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

/** Workers that shrink; drawn apart, so that the other troubles of a seed stay as they were. */
export function createCapacityReductions(
    source: random.Random,
    { workers, lastMs }: FaultScheduleOptions,
): ScheduledFault[] {
    return Array.from({ length: source.nextInt(MOST_SHRINKS + 1) }, () => ({
        at: source.nextInt(lastMs - 1_000),
        forMs: 1_000 + source.nextInt(LONGEST_MS - 1_000),
        trouble: { kind: "shrink", target: source.nextInt(workers), share: source.pick([0, 0.25, 0.5]) },
    }));
}

const MOST_SHRINKS = 3;

/** Faults of store and workers that are in force. */
export interface FaultInjector {
    readonly storeFaults: emulator.StoreFaults;
    readonly workerFaults: emulator.WorkerFaults;
    /** Each returns what ends the fault. */
    addStoreFault(caller: string, share: number, fault: emulator.StoreFault): () => void;
    addWorkerFault(workerId: string, share: number, fault: emulator.OrderFault): () => void;
    addSlowness(workerId: string, factor: number): () => void;
}

/** Calls that are carried out late: up to this long after their caller has given up. */
const LATE_MS = 2_500;

export function createFaultInjector(source: random.Random): FaultInjector {
    const store = createFaults<emulator.StoreFault>(source);
    const workers = createFaults<emulator.OrderFault>(source);
    const slowness = new Map<string, number[]>();
    return {
        storeFaults: { decide: caller => store.decide(caller) ?? "none", lateMs: LATE_MS },
        workerFaults: {
            decide: workerId => workers.decide(workerId) ?? "none",
            lateMs: LATE_MS,
            getSlowdown: workerId => Math.max(1, ...(slowness.get(workerId) ?? [])),
        },
        addStoreFault: store.add,
        addWorkerFault: workers.add,
        addSlowness: (workerId, factor) => {
            const factors = slowness.get(workerId) ?? [];
            slowness.set(workerId, [...factors, factor]);
            return () => {
                const left = slowness.get(workerId)!;
                left.splice(left.indexOf(factor), 1);
            };
        },
    };
}

function createFaults<T>(source: random.Random) {
    interface Fault {
        readonly target: string;
        readonly share: number;
        readonly fault: T;
    }
    const inForce = new Set<Fault>();
    return {
        decide: (target: string): T | undefined =>
            [...inForce].find(item => item.target === target && source.nextFloat() < item.share)?.fault,
        add: (target: string, share: number, fault: T) => {
            const item = { target, share, fault };
            inForce.add(item);
            return () => void inForce.delete(item);
        },
    };
}

/** Begins the trouble; returns what ends it, to be called once. */
export function injectFault(trouble: InjectedFault, site: sites.Site, board: FaultInjector): () => void {
    switch (trouble.kind) {
        case "kill":
        case "terminate":
            return forEach(pickInstances(site, trouble.target), number => {
                const instance = site.instances[number]!;
                if (trouble.kind === "kill") {
                    instance.kill();
                }
                else {
                    instance.terminate();
                }
                return () => undefined;
            });
        case "pause":
            return forEach(pickInstances(site, trouble.target), number => {
                site.instances[number]!.pause();
                return () => site.instances[number]!.resume();
            });
        case "storeLink":
            return forEach(pickInstances(site, trouble.target), number => cut(site.storeLinks[number]!, trouble.state));
        case "entryLink":
            return forEach(
                pickInstances(site, trouble.target),
                number => cut(site.callerLinks[number]!, trouble.state),
            );
        case "workerLink":
            return forEach(
                pickWorkers(site, trouble.target),
                number => cut(site.workerHosts[number]!.link, trouble.state),
            );
        case "slowStore":
            return forEach(
                pickInstances(site, trouble.target),
                number => slow(site.storeLinks[number]!, trouble.delayMs),
            );
        case "slowWorker":
            return forEach(
                pickWorkers(site, trouble.target),
                number => slow(site.workerHosts[number]!.link, trouble.delayMs),
            );
        case "storeFault":
            return forEach(
                pickInstances(site, trouble.target),
                number => board.addStoreFault(site.instances[number]!.name, trouble.share, trouble.fault),
            );
        case "workerFault":
            return forEach(
                pickWorkerIds(site, trouble.target),
                id => board.addWorkerFault(id, trouble.share, trouble.fault),
            );
        case "forgetHistory":
            site.store.discardHistory();
            return () => undefined;
        case "slowTasks":
            return forEach(pickWorkerIds(site, trouble.target), id => board.addSlowness(id, trouble.factor));
        case "loseWorker":
            return forEach(pickWorkers(site, trouble.target), number => {
                site.workerHosts[number]!.killWorker(trouble.told);
                return () => site.workerHosts[number]!.startWorker();
            });
        case "shrink":
            return forEach(pickWorkers(site, trouble.target), number => {
                site.workerHosts[number]!.resize(trouble.share);
                return () => site.workerHosts[number]!.resize(1);
            });
        case "drain":
            return forEach(pickWorkers(site, trouble.target), number => {
                const place = site.workerHosts[number]!;
                const id = place.getWorkerId();
                place.drain(DRAIN_REMAINING_MS);
                return () => {
                    if (place.getWorkerId() === id) {
                        place.killWorker(true);
                        place.startWorker();
                    }
                };
            });
    }
}

/** Least time that a draining worker says is left. */
const DRAIN_REMAINING_MS = 1_000;

function forEach<T>(targets: readonly T[], start: (target: T) => () => void): () => void {
    const ends = targets.map(start);
    return () => ends.forEach(end => end());
}

function cut(link: links.Link, state: links.LinkState): () => void {
    link.setState(state);
    return () => link.setState("open");
}

function slow(link: links.Link, delayMs: number): () => void {
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

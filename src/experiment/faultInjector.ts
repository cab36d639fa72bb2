/** Injects a load's faults into a simulated site. */
import * as emulator from "../emulator/index";
import type * as leader from "../leader/index";
import type * as random from "../random/index";
import type * as work from "../work/index";
import type * as loads from "./load";
import * as simulatedSite from "./simulatedSite";

/** The faults of one simulation. */
export interface FaultInjector {
    readonly workerFaults: emulator.WorkerFaults;
    /** Number of calls to workers so far. */
    countWorkerCalls(): number;
    readonly storeFaults: emulator.StoreFaults;
    /** Applies the faults that are due at `atMs` (from the start of the load), and ends those that are over. */
    apply(site: emulator.Site, atMs: number): void;
}

/** Downtime of a worker that restarts with the same id. */
const RESTART_MS = 1_000;

interface ScheduledFault {
    readonly fault: loads.Fault;
    readonly workerIds: ReadonlySet<string>;
    applied: boolean;
}

export function createFaultInjector(
    load: loads.Load,
    workers: readonly leader.WorkerInfo[],
    options: {
        readonly source: random.Random;
        /** Relative speed of each worker without faults. */
        readonly speeds: readonly number[];
        /** Milliseconds from the start of the load. */
        now(): number;
    },
): FaultInjector {
    const { source, now } = options;
    const speedById = new Map(workers.map((worker, number) => [worker.id, options.speeds[number]!]));
    const scheduled = load.faults.map((fault): ScheduledFault => ({
        fault,
        workerIds: new Set(selectWorkerIds(fault, workers, source)),
        applied: false,
    }));
    let workerCalls = 0;
    /** Instances without power, and when each restarts. */
    const poweredOff = new Map<number, number>();
    /** Workers with reduced capacity, and until when. */
    const shrunk: Array<{ readonly addresses: readonly string[]; readonly untilMs: number; }> = [];
    /** Workers that leave, when each is gone, and when its successor starts. */
    const leaving: Array<{ readonly id: string; readonly goneAt: number; readonly replacedAfterMs: number; }> = [];
    const getAddresses = (ids: ReadonlySet<string>) =>
        workers.filter(worker => ids.has(worker.id)).map(worker => worker.address);
    const findActive = (kind: loads.Fault["kind"], workerId: string, at: number) =>
        scheduled.find(({ fault, workerIds }) =>
            fault.kind === kind && workerIds.has(emulator.getFirstWorkerId(workerId)) && "durationMs" in fault
            && isActive(fault, at)
        );
    return {
        workerFaults: {
            decide: workerId => {
                workerCalls++;
                return findActive("cut", workerId, now()) || findActive("zoneCut", workerId, now()) ? "cut" : "none";
            },
            lateMs: 0,
            getSlowdown: workerId => {
                if (findActive("hang", workerId, now())) {
                    return Infinity;
                }
                const slow = findActive("slow", workerId, now())?.fault;
                return (slow?.kind === "slow" ? slow.factor : 1) / speedById.get(emulator.getFirstWorkerId(workerId))!;
            },
            isFailing: workerId => findActive("fail", workerId, now()) !== undefined,
        },
        countWorkerCalls: () => workerCalls,
        storeFaults: {
            decide: () =>
                scheduled.some(({ fault }) => fault.kind === "storeUnreachable" && isActive(fault, now()))
                    ? "refuse"
                    : "none",
            lateMs: 0,
        },
        apply: (site, atMs) => {
            const emulatedWorkers = site.workers;
            for (const [instance, restartsAt] of poweredOff) {
                if (restartsAt <= atMs) {
                    poweredOff.delete(instance);
                    site.restart(instance);
                }
            }
            for (const item of shrunk.splice(0)) {
                if (item.untilMs > atMs) {
                    shrunk.push(item);
                    continue;
                }
                item.addresses.forEach(address =>
                    withWorkerAt(emulatedWorkers, address, id => emulatedWorkers.resize(id, load.capacity))
                );
            }
            for (const item of leaving.splice(0)) {
                if (item.goneAt > atMs) {
                    leaving.push(item);
                    continue;
                }
                site.leaveWorker(item.id, item.replacedAfterMs);
            }
            for (const item of scheduled) {
                const { fault, workerIds } = item;
                if (item.applied || fault.atMs > atMs) {
                    continue;
                }
                item.applied = true;
                if (fault.kind === "restart") {
                    const restart = fault.keepsId
                        ? (id: string) => site.restartWorker(id, RESTART_MS)
                        : site.crashWorker;
                    getAddresses(workerIds).forEach(address => withWorkerAt(emulatedWorkers, address, restart));
                }
                if (fault.kind === "shrink") {
                    getAddresses(workerIds).forEach(address =>
                        withWorkerAt(
                            emulatedWorkers,
                            address,
                            id => emulatedWorkers.resize(id, scaleResources(load.capacity, fault.remainingShare)),
                        )
                    );
                    shrunk.push({ addresses: getAddresses(workerIds), untilMs: atMs + fault.durationMs });
                }
                if (fault.kind === "crash") {
                    workerIds.forEach(id => emulatedWorkers.kill(id, false));
                }
                if (fault.kind === "leaderLost") {
                    const instance = site.getLeader() ?? 0;
                    poweredOff.set(instance, atMs + fault.durationMs);
                    site.powerOff(instance);
                }
                if (fault.kind === "leave") {
                    const { remainingMs, replacedAfterMs } = fault;
                    const drain = (id: string) => {
                        emulatedWorkers.drain(id, remainingMs);
                        if (replacedAfterMs !== undefined) {
                            leaving.push({ id, goneAt: atMs + remainingMs, replacedAfterMs });
                        }
                    };
                    getAddresses(workerIds).forEach(address => withWorkerAt(emulatedWorkers, address, drain));
                }
            }
        },
    };
}

function selectWorkerIds(
    fault: loads.Fault,
    workers: readonly leader.WorkerInfo[],
    source: random.Random,
): readonly string[] {
    if (fault.kind === "zoneCut") {
        const zone = simulatedSite.getZoneName(fault.zone);
        return workers.filter(worker => worker.zone === zone).map(worker => worker.id);
    }
    if (fault.kind === "restart" && fault.wholeRacks) {
        const racks = [...new Set(workers.map(worker => worker.rack))];
        const selected = new Set(
            Array.from({ length: Math.max(1, Math.round(racks.length * fault.share)) }, () => source.pick(racks)),
        );
        return workers.filter(worker => selected.has(worker.rack)).map(worker => worker.id);
    }
    return "share" in fault ? pickIds(workers, fault.share, source) : [];
}

function withWorkerAt(emulatedWorkers: emulator.EmulatedWorkers, address: string, act: (id: string) => void): void {
    const id = emulatedWorkers.findByAddress(address);
    if (id !== undefined) {
        act(id);
    }
}

function scaleResources(capacity: work.Resources, share: number): work.Resources {
    return {
        cpuMillis: Math.floor(capacity.cpuMillis * share),
        memoryMb: Math.floor(capacity.memoryMb * share),
        accelerators: Math.floor(capacity.accelerators * share),
    };
}

function pickIds(workers: readonly leader.WorkerInfo[], share: number, source: random.Random): string[] {
    const remaining = workers.map(worker => worker.id);
    const picked: string[] = [];
    while (picked.length < Math.round(workers.length * share)) {
        picked.push(...remaining.splice(source.nextInt(remaining.length), 1));
    }
    return picked;
}

function isActive(fault: { readonly atMs: number; readonly durationMs: number; }, at: number): boolean {
    return at >= fault.atMs && at < fault.atMs + fault.durationMs;
}

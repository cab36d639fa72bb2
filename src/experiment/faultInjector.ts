/** Which workers a load's troubles strike, and how. */
import * as emulator from "../emulator/index";
import type * as leader from "../leader/index";
import type * as random from "../random/index";
import type * as work from "../work/index";
import type * as loads from "./load";
import * as siteOfLoad from "./simulatedSite";

export interface FaultInjector {
    readonly workerFaults: emulator.WorkerFaults;
    /** Calls to workers so far. */
    countWorkerCalls(): number;
    readonly storeFaults: emulator.StoreFaults;
    /** Lets workers crash or drain, and leaders fall silent and return, whose time has come. */
    apply(site: emulator.Site, atMs: number): void;
}

/** How long a worker is down that starts again under its id. */
const RESTART_MS = 1_000;

interface Strike {
    readonly trouble: loads.Fault;
    readonly workerIds: ReadonlySet<string>;
    applied: boolean;
}

export function createFaultInjector(
    load: loads.Load,
    workers: readonly leader.WorkerInfo[],
    options: {
        readonly source: random.Random;
        /** How fast each worker is as a rule. */
        readonly speeds: readonly number[];
        now(): number;
    },
): FaultInjector {
    const { source, now } = options;
    const speedById = new Map(workers.map((worker, number) => [worker.id, options.speeds[number]!]));
    const strikes = load.troubles.map((trouble): Strike => ({
        trouble,
        workerIds: new Set(findStruck(trouble, workers, source)),
        applied: false,
    }));
    let workerCalls = 0;
    /** Instances that fell silent, and when each returns. */
    const silenced = new Map<number, number>();
    /** Workers that have shrunk, and until when. */
    const shrunk: Array<{ readonly addresses: readonly string[]; readonly untilMs: number; }> = [];
    const addresses = (ids: ReadonlySet<string>) =>
        workers.filter(worker => ids.has(worker.id)).map(worker => worker.address);
    const isStruck = (kind: loads.Fault["kind"], workerId: string, at: number) =>
        strikes.find(({ trouble, workerIds }) =>
            trouble.kind === kind && workerIds.has(emulator.getFirstWorkerId(workerId)) && "forMs" in trouble
            && isDuring(trouble, at)
        );
    return {
        workerFaults: {
            decide: workerId => {
                workerCalls++;
                return isStruck("cut", workerId, now()) || isStruck("zoneCut", workerId, now()) ? "cut" : "none";
            },
            lateMs: 0,
            getSlowdown: workerId => {
                if (isStruck("hang", workerId, now())) {
                    return Infinity;
                }
                const slow = isStruck("slow", workerId, now())?.trouble;
                return (slow?.kind === "slow" ? slow.times : 1) / speedById.get(emulator.getFirstWorkerId(workerId))!;
            },
            isFailing: workerId => isStruck("fail", workerId, now()) !== undefined,
        },
        countWorkerCalls: () => workerCalls,
        storeFaults: {
            decide: () =>
                strikes.some(({ trouble }) => trouble.kind === "storeAway" && isDuring(trouble, now()))
                    ? "refuse"
                    : "none",
            lateMs: 0,
        },
        apply: (site, atMs) => {
            const emulated = site.workers;
            for (const [instance, backAt] of silenced) {
                if (backAt <= atMs) {
                    silenced.delete(instance);
                    site.restart(instance);
                }
            }
            for (const item of shrunk.splice(0)) {
                if (item.untilMs > atMs) {
                    shrunk.push(item);
                    continue;
                }
                item.addresses.forEach(address =>
                    withWorkerAt(emulated, address, id => emulated.resize(id, load.capacity))
                );
            }
            for (const strike of strikes) {
                const { trouble, workerIds } = strike;
                if (strike.applied || trouble.atMs > atMs) {
                    continue;
                }
                strike.applied = true;
                if (trouble.kind === "restart") {
                    const restart = trouble.underId
                        ? (id: string) => site.restartWorker(id, RESTART_MS)
                        : site.crashWorker;
                    addresses(workerIds).forEach(address => withWorkerAt(emulated, address, restart));
                }
                if (trouble.kind === "shrink") {
                    addresses(workerIds).forEach(address =>
                        withWorkerAt(emulated, address, id => emulated.resize(id, shrink(load.capacity, trouble.left)))
                    );
                    shrunk.push({ addresses: addresses(workerIds), untilMs: atMs + trouble.forMs });
                }
                if (trouble.kind === "crash") {
                    workerIds.forEach(id => emulated.kill(id, false));
                }
                if (trouble.kind === "leaderLost") {
                    const instance = site.getLeader() ?? 0;
                    silenced.set(instance, atMs + trouble.forMs);
                    site.powerOff(instance);
                }
                if (trouble.kind === "leave") {
                    workerIds.forEach(id => emulated.drain(id, trouble.leftMs));
                }
            }
        },
    };
}

function findStruck(
    trouble: loads.Fault,
    workers: readonly leader.WorkerInfo[],
    source: random.Random,
): readonly string[] {
    if (trouble.kind === "zoneCut") {
        const zone = siteOfLoad.getZoneName(trouble.zone);
        return workers.filter(worker => worker.zone === zone).map(worker => worker.id);
    }
    if (trouble.kind === "restart" && trouble.racks) {
        const racks = [...new Set(workers.map(worker => worker.rack))];
        const struck = new Set(
            Array.from({ length: Math.max(1, Math.round(racks.length * trouble.share)) }, () => source.pick(racks)),
        );
        return workers.filter(worker => struck.has(worker.rack)).map(worker => worker.id);
    }
    return "share" in trouble ? pickIds(workers, trouble.share, source) : [];
}

function withWorkerAt(emulated: emulator.EmulatedWorkers, address: string, act: (id: string) => void): void {
    const id = emulated.findByAddress(address);
    if (id !== undefined) {
        act(id);
    }
}

function shrink(capacity: work.Resources, left: number): work.Resources {
    return {
        cpuMillis: Math.floor(capacity.cpuMillis * left),
        memoryMb: Math.floor(capacity.memoryMb * left),
        accelerators: Math.floor(capacity.accelerators * left),
    };
}

function pickIds(workers: readonly leader.WorkerInfo[], share: number, source: random.Random): string[] {
    const left = workers.map(worker => worker.id);
    const picked: string[] = [];
    while (picked.length < Math.round(workers.length * share)) {
        picked.push(...left.splice(source.nextInt(left.length), 1));
    }
    return picked;
}

function isDuring(trouble: { readonly atMs: number; readonly forMs: number; }, at: number): boolean {
    return at >= trouble.atMs && at < trouble.atMs + trouble.forMs;
}

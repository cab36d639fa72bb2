/**
 * Machines beneath emulated workers, with waves of upkeep, faults, and a record of what a scheduler must never do.
 */
import type * as clock from "../clock/index";
import type * as leader from "../leader/index";
import type * as workersInMemory from "./workers";

export type MachineFault =
    | "none"
    /** Carried out, and the answer is lost. */
    | "loseAnswer"
    /** Carried out `lateMs` later; no answer. */
    | "late"
    /** Turned away; nothing was done. */
    | "refuse";

export interface EmulatedMachinesOptions {
    readonly clock: clock.Clock;
    /** Called with each order before it is carried out. */
    decide?(order: leader.UpkeepOrder): MachineFault;
    /** Called when an upkeep has begun, before its answer is on the way. */
    onUpkeep?(order: leader.UpkeepOrder): void;
    readonly lateMs?: number;
    readonly upkeepMs: number;
    readonly waves: readonly leader.Wave[];
}

export interface EmulatedMachines {
    readonly service: leader.MachineService;
    readonly wavePort: leader.WavePort;
    /** Puts the machine beneath a worker that is there. */
    addMachine(machineId: string, info: leader.WorkerInfo, workers: workersInMemory.EmulatedWorkers): void;
    /** Breaches of promises, in words; empty when all were kept. */
    readonly violations: readonly string[];
    /** States of waves as they were told. */
    readonly reports: readonly string[];
    /** Tasks that ended because their machine went down. */
    countEndedTasks(): number;
    countUpkeeps(): number;
}

interface Machine {
    info: leader.WorkerInfo;
    readonly workers: workersInMemory.EmulatedWorkers;
    lives: number;
    /** Waves whose upkeep it has begun. */
    readonly served: Set<number>;
    /** Wave of the upkeep that it is down for. */
    downFor: number | undefined;
}

const LATENCY_MS = 3;
/** Orders of two holders for one machine must be further apart. */
const HOLDER_LEASE_MS = 3_000;

export function createEmulatedMachines(options: EmulatedMachinesOptions): EmulatedMachines {
    const { clock: time } = options;
    const machines = new Map<string, Machine>();
    const breaches: string[] = [];
    const reports: string[] = [];
    const completed = new Set<number>();
    let tasksEnded = 0;
    let upkeeps = 0;
    let highestToken = 0;
    /** Holder and time of the latest order for each machine. */
    const lastOrders = new Map<string, { readonly holder: string; readonly at: number; }>();
    const knownAt = time.now();

    const noteOrder = (order: leader.UpkeepOrder) => {
        const last = lastOrders.get(order.machine);
        if (last && last.holder !== order.holder && time.now() - last.at < HOLDER_LEASE_MS) {
            breaches.push(`${order.machine} is ordered by two holders within ${Math.round(time.now() - last.at)} ms`);
        }
        lastOrders.set(order.machine, { holder: order.holder, at: time.now() });
    };
    const carryOut = (order: leader.UpkeepOrder): leader.UpkeepAnswer => {
        const machine = machines.get(order.machine);
        const wave = options.waves.find(candidate => candidate.number === order.wave);
        if (!machine || !wave?.machines.includes(order.machine)) {
            return { kind: "unknownMachine", message: "emulated: there is none" };
        }
        if (order.fencingToken < highestToken) {
            return { kind: "fenced" };
        }
        highestToken = order.fencingToken;
        if (machine.served.has(wave.number)) {
            return { kind: "accepted" };
        }
        if (machine.downFor !== undefined) {
            return { kind: "busy" };
        }
        const down = [...machines.values()].filter(other => other.downFor === wave.number).length;
        if (down >= wave.maxCount) {
            breaches.push(`${order.machine} goes down while ${down} machines of wave ${wave.number} are down`);
        }
        upkeeps++;
        tasksEnded += machine.workers.countRunning(machine.info.id);
        machine.workers.kill(machine.info.id, false);
        machine.served.add(wave.number);
        machine.downFor = wave.number;
        time.setTimer(options.upkeepMs, () => {
            machine.downFor = undefined;
            machine.lives++;
            machine.info = { ...machine.info, id: `${order.machine}-life-${machine.lives}` };
            machine.workers.add(machine.info);
        });
        options.onUpkeep?.(order);
        return { kind: "accepted" };
    };
    return {
        service: {
            list: async () => {
                await time.sleep(LATENCY_MS);
                return {
                    kind: "machines",
                    machines: [...machines].map(([id, machine]) => ({
                        id,
                        up: machine.downFor === undefined,
                        inUpkeep: machine.downFor !== undefined,
                        workerName: machine.downFor === undefined ? machine.info.id : "",
                    })),
                };
            },
            beginUpkeep: async (order, timeoutMs) => {
                await time.sleep(LATENCY_MS);
                noteOrder(order);
                const fault = options.decide?.(order) ?? "none";
                switch (fault) {
                    case "none": {
                        const answer = carryOut(order);
                        await time.sleep(LATENCY_MS);
                        return answer;
                    }
                    case "refuse":
                        return { kind: "unknown", message: "emulated: refused" };
                    case "loseAnswer":
                        carryOut(order);
                        break;
                    case "late":
                        time.setTimer(options.lateMs ?? 0, () => void carryOut(order));
                        break;
                }
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: no answer" };
            },
        },
        wavePort: {
            getIncomplete: () =>
                options.waves
                    .filter(wave => !completed.has(wave.number))
                    .map(wave => ({ wave, knownAt })),
            reportState: async (number, state) => {
                reports.push(`${number} ${state}`);
                if (state === "completed") {
                    completed.add(number);
                    const wave = options.waves.find(candidate => candidate.number === number)!;
                    wave.machines
                        .filter(id => machines.get(id)?.served.has(number) === false)
                        .forEach(id => breaches.push(`wave ${number} is said to be completed without ${id}`));
                }
                return true;
            },
        },
        addMachine: (machineId, info, workers) => {
            machines.set(machineId, { info, workers, lives: 0, served: new Set(), downFor: undefined });
        },
        violations: breaches,
        reports,
        countEndedTasks: () => tasksEnded,
        countUpkeeps: () => upkeeps,
    };
}

/**
 * Emulated machines that host emulated workers. They undergo upkeep (maintenance of a machine) in waves (rolling
 * maintenance orders), with fault injection and a record of the scheduler's invariant violations.
 */
import type * as clock from "../clock/index";
import type * as leader from "../leader/index";
import type * as emulatedWorkers from "./workers";

/** Fault injected into an upkeep order. */
export type MachineFault =
    | "none"
    /** The order is carried out and its answer is lost. */
    | "loseAnswer"
    /** The order is carried out `lateMs` later, and no answer is sent. */
    | "late"
    /** The order is rejected without effect. */
    | "refuse";

/** Configuration of the emulated machines. */
export interface EmulatedMachinesOptions {
    readonly clock: clock.Clock;
    /** Returns the fault for an order; called before the order is carried out. By default there is none. */
    decide?(order: leader.UpkeepOrder): MachineFault;
    /** Called when an upkeep has begun, before the order is answered. */
    onUpkeep?(order: leader.UpkeepOrder): void;
    /** Delay of the fault `late`; 0 by default. */
    readonly lateMs?: number;
    /** How long a machine is down for its upkeep. */
    readonly upkeepMs: number;
    readonly waves: readonly leader.Wave[];
}

/** Machines, and what was observed of their upkeep. */
export interface EmulatedMachines {
    readonly service: leader.MachineService;
    readonly wavePort: leader.WavePort;
    /** Adds a machine that hosts an existing worker. */
    addMachine(machineId: string, info: leader.WorkerInfo, workers: emulatedWorkers.EmulatedWorkers): void;
    /** Descriptions of invariant violations. */
    readonly violations: readonly string[];
    /** Reported states of waves, each as `<wave number> <state>`. */
    readonly reports: readonly string[];
    /** Number of tasks that were ended by the upkeep of their machine. */
    countEndedTasks(): number;
    /** Number of upkeeps that have begun. */
    countUpkeeps(): number;
}

interface Machine {
    info: leader.WorkerInfo;
    readonly workers: emulatedWorkers.EmulatedWorkers;
    incarnationCount: number;
    /** Numbers of the waves for which its upkeep has begun. */
    readonly served: Set<number>;
    /** Number of the wave whose upkeep is in progress; `undefined` while the machine is up. */
    currentWave: number | undefined;
}

const LATENCY_MS = 3;
/** Minimum time between orders from two lease holders for one machine. */
const HOLDER_LEASE_MS = 3_000;

/** Creates a machine service without machines; see `addMachine`. */
export function createEmulatedMachines(options: EmulatedMachinesOptions): EmulatedMachines {
    const { clock: time } = options;
    const machines = new Map<string, Machine>();
    const violations: string[] = [];
    const reports: string[] = [];
    const completed = new Set<number>();
    let tasksEnded = 0;
    let upkeeps = 0;
    let highestToken = 0;
    /** Lease holder and time of the latest order for each machine. */
    const lastOrders = new Map<string, { readonly holder: string; readonly at: number; }>();
    const knownAt = time.now();

    const recordOrder = (order: leader.UpkeepOrder) => {
        const last = lastOrders.get(order.machine);
        if (last && last.holder !== order.holder && time.now() - last.at < HOLDER_LEASE_MS) {
            violations.push(
                `${order.machine} got orders from two lease holders within ${Math.round(time.now() - last.at)} ms`,
            );
        }
        lastOrders.set(order.machine, { holder: order.holder, at: time.now() });
    };
    const applyOrder = (order: leader.UpkeepOrder): leader.UpkeepAnswer => {
        const machine = machines.get(order.machine);
        const wave = options.waves.find(candidate => candidate.number === order.wave);
        if (!machine || !wave?.machines.includes(order.machine)) {
            return { kind: "unknownMachine", message: "emulated: the wave has no such machine" };
        }
        if (order.fencingToken < highestToken) {
            return { kind: "fenced" };
        }
        highestToken = order.fencingToken;
        if (machine.served.has(wave.number)) {
            return { kind: "accepted" };
        }
        if (machine.currentWave !== undefined) {
            return { kind: "busy" };
        }
        const downCount = [...machines.values()].filter(other => other.currentWave === wave.number).length;
        if (downCount >= wave.maxCount) {
            violations.push(`${order.machine} goes down while ${downCount} machines of wave ${wave.number} are down`);
        }
        upkeeps++;
        tasksEnded += machine.workers.countRunning(machine.info.id);
        machine.workers.kill(machine.info.id, false);
        machine.served.add(wave.number);
        machine.currentWave = wave.number;
        time.setTimer(options.upkeepMs, () => {
            machine.currentWave = undefined;
            machine.incarnationCount++;
            machine.info = { ...machine.info, id: `${order.machine}-life-${machine.incarnationCount}` };
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
                        up: machine.currentWave === undefined,
                        inUpkeep: machine.currentWave !== undefined,
                        workerName: machine.currentWave === undefined ? machine.info.id : "",
                    })),
                };
            },
            beginUpkeep: async (order, timeoutMs) => {
                await time.sleep(LATENCY_MS);
                recordOrder(order);
                const fault = options.decide?.(order) ?? "none";
                switch (fault) {
                    case "none": {
                        const answer = applyOrder(order);
                        await time.sleep(LATENCY_MS);
                        return answer;
                    }
                    case "refuse":
                        return { kind: "unknown", message: "emulated: refused" };
                    case "loseAnswer":
                        applyOrder(order);
                        break;
                    case "late":
                        time.setTimer(options.lateMs ?? 0, () => void applyOrder(order));
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
                        .forEach(id =>
                            violations.push(`wave ${number} was reported as completed without the upkeep of ${id}`)
                        );
                }
                return true;
            },
        },
        addMachine: (machineId, info, workers) => {
            machines.set(machineId, { info, workers, incarnationCount: 0, served: new Set(), currentWave: undefined });
        },
        violations,
        reports,
        countEndedTasks: () => tasksEnded,
        countUpkeeps: () => upkeeps,
    };
}

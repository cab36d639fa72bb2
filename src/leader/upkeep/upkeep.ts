/**
 * Performs waves of upkeep: drains machines, takes them down a few at a time, and reports completion.
 *
 * Taking a machine down kills all tasks on it, so it is drained first: nothing new is placed, tasks that end soon may
 * end, and the others are stopped with their work saved.
 */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import type * as rows from "../../rows/index";
import * as availability from "../availability";
import type * as entries from "../entries";
import type * as jobRegistries from "../jobRegistry";
import type * as leases from "../lease/index";
import type * as machines from "../machines";
import * as upkeepRows from "./upkeepRows";
import * as upkeepStages from "./upkeepStages";

export interface UpkeepOptions {
    readonly wavePort: machines.WavePort;
    readonly service: machines.MachineService;
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly leadership: leases.Leadership;
    /** Unique to the instance that holds this term. */
    readonly holder: string;
    /** How long a machine is down for its upkeep, in milliseconds. */
    readonly upkeepMs: number;
    readonly jobRegistry: jobRegistries.JobRegistry;
    getWorker(name: string): entries.WorkerEntry | undefined;
    onFenced(): void;
}

/** A wave that this leader performs. */
interface RunningWave {
    readonly wave: machines.Wave;
    /** Monotonic time at which this instance first saw the wave. */
    readonly knownAt: number;
    readonly stages: upkeepStages.MachineStages;
}

/**
 * Interval of the steps of a wave. Each lists the machines, and the platform accepts some 60 list calls a second in
 * total.
 */
const STEP_MS = 700;
const CALL_TIMEOUT_MS = 2_000;
/**
 * How long a new leader waits before its first order to a machine. The platform requires orders of two holders for one
 * machine to be further apart than its lease of 3 s, and the predecessor may have issued one just before its term
 * ended. A stronger instance that takes over from a healthy one would otherwise repeat that order within milliseconds.
 */
const FIRST_ORDER_DELAY_MS = 3_500;
/** Share of a machine's time in the wave after which its tasks are stopped. */
const PATIENCE_SHARE = 0.6;

/** Performs the waves until the term ends; does not wait. */
export function runUpkeep(options: UpkeepOptions): void {
    void runWaves(options);
}

/** Runs waves concurrently, so that one that waits for a machine does not delay the next. */
async function runWaves(options: UpkeepOptions): Promise<void> {
    const { signal } = options.leadership;
    const running = new Set<number>();
    await options.clock.sleep(FIRST_ORDER_DELAY_MS, signal);
    while (!signal.aborted) {
        for (const open of options.wavePort.getIncomplete()) {
            if (!running.has(open.wave.number)) {
                running.add(open.wave.number);
                void runWave(options, open.wave, open.knownAt).then(() => running.delete(open.wave.number));
            }
        }
        await options.clock.sleep(STEP_MS, signal);
    }
}

async function runWave(options: UpkeepOptions, wave: machines.Wave, knownAt: number): Promise<void> {
    const { clock: time, log, leadership } = options;
    const stages = await upkeepRows.readStages(getRowsOptions(options), wave.number, wave.machines, time.now());
    if (!stages) {
        // Without the stored orders, more machines than allowed might go down. The next round retries.
        log.warn("waveProgressNotRead", { wave: wave.number });
        return;
    }
    const ordered = [...stages.values()].filter(stage => stage.kind === "ordered").length;
    log.info("waveBegun", { wave: wave.number, machines: wave.machines.length, ordered });
    await options.wavePort.reportState(wave.number, "running", CALL_TIMEOUT_MS);
    const current: RunningWave = { wave, knownAt, stages };
    while (!leadership.signal.aborted) {
        const listed = await options.service.list(CALL_TIMEOUT_MS);
        if (listed.kind === "machines" && leadership.mayIssueOrders()) {
            await advanceWave(options, current, new Map(listed.machines.map(machine => [machine.id, machine])));
        }
        else if (listed.kind === "unavailable") {
            log.info("machinesUnavailable", { wave: wave.number, why: listed.message });
        }
        const isOver = upkeepStages.isComplete(stages);
        if (isOver && await options.wavePort.reportState(wave.number, "completed", CALL_TIMEOUT_MS)) {
            log.info("waveCompleted", { wave: wave.number, afterMs: Math.round(time.now() - knownAt) });
            return;
        }
        await time.sleep(STEP_MS, leadership.signal);
    }
}

async function advanceWave(
    options: UpkeepOptions,
    current: RunningWave,
    present: upkeepStages.PresentMachines,
): Promise<void> {
    upkeepStages.updateStages(current.stages, present, options.clock.now(), options.upkeepMs + 2 * STEP_MS);
    startDraining(options, current, present);
    reserveWorkers(options, current.stages);
    for (const [machineId, stage] of current.stages) {
        const isOrderable = stage.kind === "draining" || (stage.kind === "ordered" && stage.confirmedAt === undefined);
        if (isOrderable && present.get(machineId)?.up && isDrained(options, current, stage)) {
            await orderDown(options, current, machineId, stage.workerName);
        }
    }
}

function startDraining(options: UpkeepOptions, current: RunningWave, present: upkeepStages.PresentMachines): void {
    const { stages, wave } = current;
    const freeSlots = Math.max(0, wave.maxCount - upkeepStages.countOutOfService(stages, present));
    const candidates = [...stages]
        .filter(([id, stage]) => stage.kind === "pending" && present.get(id)?.up)
        .map(([id]) => ({ id, workerName: present.get(id)!.workerName }))
        .map(({ id, workerName }) => ({ id, workerName, tasks: options.getWorker(workerName)?.tasks.size ?? 0 }))
        .sort((a, b) => a.tasks - b.tasks);
    for (const { id, workerName, tasks } of candidates.slice(0, freeSlots)) {
        stages.set(id, { kind: "draining", workerName, since: options.clock.now() });
        options.log.info("machineEmptying", {
            wave: wave.number,
            machine: id,
            worker: workerName,
            tasks,
            patienceMs: Math.round(getMaxDrainMs(options, current)),
        });
    }
}

/**
 * Excludes workers that go down from placement. Repeated in each step, since the directory may drop and relist a
 * worker.
 */
function reserveWorkers(options: UpkeepOptions, stages: ReadonlyMap<string, upkeepStages.MachineStage>): void {
    for (const stage of stages.values()) {
        const worker = stage.kind === "draining" || stage.kind === "ordered"
            ? options.getWorker(stage.workerName)
            : undefined;
        if (worker) {
            worker.reserved = true;
        }
    }
}

/** Returns how long tasks may continue on a machine that is being drained, so that the wave still ends in time. */
function getMaxDrainMs(options: UpkeepOptions, { wave, knownAt, stages }: RunningWave): number {
    const left = [...stages.values()].filter(stage => stage.kind === "pending" || stage.kind === "draining").length;
    const rounds = Math.max(1, Math.ceil(left / wave.maxCount));
    const leftMs = wave.withinMs - (options.clock.now() - knownAt);
    return Math.max(0, (leftMs / rounds - options.upkeepMs - 2 * STEP_MS) * PATIENCE_SHARE);
}

/** Returns whether no task is on the machine's worker; if not, stops those that must not continue. */
function isDrained(
    options: UpkeepOptions,
    current: RunningWave,
    stage: Extract<upkeepStages.MachineStage, { kind: "draining" | "ordered"; }>,
): boolean {
    const worker = options.getWorker(stage.workerName);
    if (!worker || worker.tasks.size === 0) {
        return true;
    }
    const isDrainOverdue = stage.kind === "ordered"
        || options.clock.now() - stage.since >= getMaxDrainMs(options, current);
    stopTasks(options, worker, isDrainOverdue);
    return false;
}

async function orderDown(
    options: UpkeepOptions,
    { wave, stages }: RunningWave,
    machineId: string,
    workerName: string,
): Promise<void> {
    const before = stages.get(machineId)!;
    stages.set(machineId, { kind: "ordered", workerName, confirmedAt: undefined });
    if (!await upkeepRows.writeStages(getRowsOptions(options), wave.number, stages)) {
        options.log.warn("waveProgressNotWritten", { wave: wave.number, machine: machineId });
        stages.set(machineId, before);
        return;
    }
    if (!options.leadership.mayIssueOrders()) {
        return;
    }
    const answer = await options.service.beginUpkeep({
        machine: machineId,
        wave: wave.number,
        holder: options.holder,
        fencingToken: options.leadership.token,
    }, CALL_TIMEOUT_MS);
    options.log.info("upkeepOrdered", { wave: wave.number, machine: machineId, answer: answer.kind });
    switch (answer.kind) {
        case "accepted":
            stages.set(machineId, { kind: "ordered", workerName, confirmedAt: options.clock.now() });
            await upkeepRows.writeStages(getRowsOptions(options), wave.number, stages);
            break;
        case "busy":
        case "unknown":
            // Retried in the next step: an order that was executed is accepted again.
            break;
        case "unknownMachine": {
            stages.set(machineId, { kind: "gone" });
            const worker = options.getWorker(workerName);
            if (worker) {
                worker.reserved = false;
            }
            break;
        }
        case "fenced":
            options.onFenced();
            break;
    }
}

/** Stops lasting tasks first, as many as their step may miss, since they never end by themselves. */
function stopTasks(options: UpkeepOptions, worker: entries.WorkerEntry, isDrainOverdue: boolean): void {
    for (const task of worker.tasks) {
        const { spec } = task.step;
        if (spec.lasting ? availability.mayStop(task, options.clock.now()) : isDrainOverdue) {
            options.jobRegistry.requestStop(task, "upkeep");
        }
    }
}

function getRowsOptions(options: UpkeepOptions): upkeepRows.UpkeepRowsOptions {
    return { store: options.store, leadership: options.leadership, timeoutMs: CALL_TIMEOUT_MS };
}

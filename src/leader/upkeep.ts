/**
 * Carries out waves of upkeep: empties machines, takes them down a few at a time, and says when all are done.
 *
 * Taking a machine down ends all that runs there at once, so it is emptied first: nothing new is placed, what ends
 * soon may end, the rest is stopped with its work saved.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";
import * as entries from "./entries";
import type * as heldLease from "./heldLease";
import type * as book from "./jobRegistry";
import type * as machines from "./machines";
import * as upkeepRows from "./upkeepRows";
import * as stagesOfWave from "./upkeepStages";

export interface UpkeepOptions {
    readonly wavePort: machines.WavePort;
    readonly service: machines.MachineService;
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly leadership: heldLease.Leadership;
    /** Unique to this term's instance. */
    readonly holder: string;
    /** How long a machine is down for its upkeep. */
    readonly upkeepMs: number;
    readonly jobRegistry: book.JobRegistry;
    getWorker(name: string): entries.WorkerEntry | undefined;
    onFenced(): void;
}

/** A wave that this leader carries out. */
interface RunningWave {
    readonly wave: machines.Wave;
    /** Monotonic time at which this instance learned of it. */
    readonly knownAt: number;
    readonly stages: stagesOfWave.MachineStages;
}

/** The platform takes some 60 list calls a second from all; one wave needs one. */
const STEP_MS = 700;
const CALL_TIMEOUT_MS = 2_000;
/**
 * A new leader gives no order to a machine for this long. The platform wants orders of two holders for one machine to be
 * further apart than its lease of 3 s, and the predecessor may have given one up to the last moment; a stronger instance
 * that takes the lead over from one that is well would otherwise repeat that order within milliseconds.
 */
const HANDOVER_MS = 3_500;
/** Of a machine's share of the wave's time, this much may pass before its work is stopped. */
const PATIENCE_SHARE = 0.6;

export function runUpkeep(options: UpkeepOptions): void {
    void follow(options);
}

/** Waves run side by side: one that waits for a machine must not make the next one late. */
async function follow(options: UpkeepOptions): Promise<void> {
    const { signal } = options.leadership;
    const running = new Set<number>();
    await options.clock.sleep(HANDOVER_MS, signal);
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
    const stages = await upkeepRows.readStages(toRows(options), wave.number, wave.machines, time.now());
    if (!stages) {
        // Without the stored orders more machines than allowed might go down; the next step tries again.
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
            await step(options, current, new Map(listed.machines.map(machine => [machine.id, machine])));
        }
        else if (listed.kind === "unavailable") {
            log.info("machinesUnavailable", { wave: wave.number, why: listed.message });
        }
        const isOver = stagesOfWave.isComplete(stages);
        if (isOver && await options.wavePort.reportState(wave.number, "completed", CALL_TIMEOUT_MS)) {
            log.info("waveCompleted", { wave: wave.number, afterMs: Math.round(time.now() - knownAt) });
            return;
        }
        await time.sleep(STEP_MS, leadership.signal);
    }
}

async function step(
    options: UpkeepOptions,
    current: RunningWave,
    present: stagesOfWave.PresentMachines,
): Promise<void> {
    stagesOfWave.updateStages(current.stages, present, options.clock.now(), options.upkeepMs + 2 * STEP_MS);
    chooseNext(options, current, present);
    reserveWorkers(options, current.stages);
    for (const [machineId, stage] of current.stages) {
        const mayOrder = stage.kind === "emptying" || (stage.kind === "ordered" && stage.confirmedAt === undefined);
        if (mayOrder && present.get(machineId)?.up && isEmpty(options, current, stage)) {
            await orderDown(options, current, machineId, stage.workerName);
        }
    }
}

function chooseNext(options: UpkeepOptions, current: RunningWave, present: stagesOfWave.PresentMachines): void {
    const { stages, wave } = current;
    const room = Math.max(0, wave.maxCount - stagesOfWave.countOutOfService(stages, present));
    const candidates = [...stages]
        .filter(([id, stage]) => stage.kind === "pending" && present.get(id)?.up)
        .map(([id]) => ({ id, workerName: present.get(id)!.workerName }))
        .map(({ id, workerName }) => ({ id, workerName, tasks: options.getWorker(workerName)?.tasks.size ?? 0 }))
        .sort((a, b) => a.tasks - b.tasks);
    for (const { id, workerName, tasks } of candidates.slice(0, room)) {
        stages.set(id, { kind: "emptying", workerName, since: options.clock.now() });
        options.log.info("machineEmptying", {
            wave: wave.number,
            machine: id,
            worker: workerName,
            tasks,
            patienceMs: Math.round(getPatienceMs(options, current)),
        });
    }
}

/** Nothing is placed on a worker that goes down; set again in each step, since the directory may drop and relist it. */
function reserveWorkers(options: UpkeepOptions, stages: ReadonlyMap<string, stagesOfWave.MachineStage>): void {
    for (const stage of stages.values()) {
        const worker = stage.kind === "emptying" || stage.kind === "ordered"
            ? options.getWorker(stage.workerName)
            : undefined;
        if (worker) {
            worker.reserved = true;
        }
    }
}

/** How long work may go on where a machine is to be emptied, so that the wave still ends in time. */
function getPatienceMs(options: UpkeepOptions, { wave, knownAt, stages }: RunningWave): number {
    const left = [...stages.values()].filter(stage => stage.kind === "pending" || stage.kind === "emptying").length;
    const rounds = Math.max(1, Math.ceil(left / wave.maxCount));
    const leftMs = wave.withinMs - (options.clock.now() - knownAt);
    return Math.max(0, (leftMs / rounds - options.upkeepMs - 2 * STEP_MS) * PATIENCE_SHARE);
}

/** Whether nothing runs there; otherwise sees to it that nothing does soon. */
function isEmpty(
    options: UpkeepOptions,
    current: RunningWave,
    stage: Extract<stagesOfWave.MachineStage, { kind: "emptying" | "ordered"; }>,
): boolean {
    const worker = options.getWorker(stage.workerName);
    if (!worker || worker.tasks.size === 0) {
        return true;
    }
    const isPatienceOver = stage.kind === "ordered"
        || options.clock.now() - stage.since >= getPatienceMs(options, current);
    stopWork(options, worker, isPatienceOver);
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
    if (!await upkeepRows.writeStages(toRows(options), wave.number, stages)) {
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
            await upkeepRows.writeStages(toRows(options), wave.number, stages);
            break;
        case "busy":
        case "unknown":
            // Asked again in the next step: an order that was carried out is accepted again.
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

/** Lasting tasks never end by themselves, so they move first, as many as their step may miss. */
function stopWork(options: UpkeepOptions, worker: entries.WorkerEntry, patienceOver: boolean): void {
    for (const task of worker.tasks) {
        const { spec } = task.step;
        if (spec.lasting ? mayMissOneMore(task.step) : patienceOver) {
            options.jobRegistry.requestStop(task, "upkeep");
        }
    }
}

/** Whether one more task of a lasting step may be away from its work. */
function mayMissOneMore(step: entries.StepEntry): boolean {
    return step.spec.mayMiss === 0 || entries.countUnavailable(step) < step.spec.mayMiss;
}

function toRows(options: UpkeepOptions): upkeepRows.UpkeepRowsOptions {
    return { store: options.store, leadership: options.leadership, timeoutMs: CALL_TIMEOUT_MS };
}

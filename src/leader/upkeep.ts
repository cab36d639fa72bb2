/**
 * Carries out waves of upkeep: empties machines, takes them down a few at a time, and says when all are done.
 *
 * Taking a machine down ends all that runs there at once, so it is emptied first: nothing new is placed, what ends
 * soon may end, the rest is stopped with its work saved. Which machines are done is stored: a successor would empty
 * them again for nothing.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";
import * as work from "../work/index";
import type * as book from "./book";
import type * as entries from "./entries";
import type * as lease from "./lease";
import type * as machines from "./machines";

export interface UpkeepOptions {
    readonly board: machines.WaveBoard;
    readonly service: machines.MachineService;
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly leadership: lease.Leadership;
    /** Unique to this term's instance. */
    readonly holder: string;
    /** How long a machine is down for its upkeep. */
    readonly upkeepMs: number;
    readonly book: book.Book;
    getWorker(id: string): entries.WorkerEntry | undefined;
    onFenced(): void;
}

/** Where a machine is on its way through a wave. */
type Stage =
    | { readonly kind: "pending"; }
    | { readonly kind: "emptying"; readonly workerId: string; readonly since: number; }
    /** Ordered down; up again once another worker stands for it. */
    | { readonly kind: "down"; readonly workerId: string; readonly since: number; }
    | { readonly kind: "done"; }
    | { readonly kind: "gone"; };

/** The platform takes some 60 list calls a second from all; one wave needs one. */
const STEP_MS = 700;
const CALL_TIMEOUT_MS = 2_000;
/** Of a machine's share of the wave's time, this much may pass before its work is stopped. */
const PATIENCE_SHARE = 0.6;

export function runUpkeep(options: UpkeepOptions): void {
    void follow(options);
}

async function follow(options: UpkeepOptions): Promise<void> {
    const { signal } = options.leadership;
    while (!signal.aborted) {
        const open = options.board.getOpen()[0];
        if (open && options.leadership.mayOrder()) {
            await runWave(options, open.wave, open.knownAt);
        }
        await options.clock.sleep(STEP_MS, signal);
    }
}

async function runWave(options: UpkeepOptions, wave: machines.Wave, knownAt: number): Promise<void> {
    const { clock: time, log, leadership } = options;
    const done = await readDone(options, wave.number);
    const stages = new Map<string, Stage>(
        wave.machines.map(id => [id, done.has(id) ? { kind: "done" } : { kind: "pending" }]),
    );
    log.info("waveBegun", { wave: wave.number, machines: wave.machines.length, done: done.size });
    if (wave.machines.some(id => !done.has(id))) {
        await options.board.report(wave.number, "running", CALL_TIMEOUT_MS);
    }
    while (!leadership.signal.aborted) {
        const listed = await options.service.list(CALL_TIMEOUT_MS);
        if (listed.kind === "machines" && leadership.mayOrder()) {
            const present = new Map(listed.machines.map(machine => [machine.id, machine]));
            noteReturns(stages, present);
            chooseNext(options, wave, knownAt, stages, present);
            await takeDownEmpty(options, wave, knownAt, stages);
        }
        else if (listed.kind === "unavailable") {
            log.info("machinesUnavailable", { wave: wave.number, why: listed.message });
        }
        const open = [...stages.values()].some(stage => stage.kind !== "done" && stage.kind !== "gone");
        if (!open && await options.board.report(wave.number, "completed", CALL_TIMEOUT_MS)) {
            log.info("waveCompleted", { wave: wave.number, afterMs: Math.round(time.now() - knownAt) });
            return;
        }
        await time.sleep(STEP_MS, leadership.signal);
    }
    release(options, stages);
}

function noteReturns(stages: Map<string, Stage>, present: ReadonlyMap<string, machines.Machine>): void {
    for (const [id, stage] of stages) {
        const machine = present.get(id);
        if (!machine) {
            if (stage.kind !== "done") {
                stages.set(id, { kind: "gone" });
            }
        }
        else if (stage.kind === "down" && machine.up && machine.workerId !== stage.workerId) {
            stages.set(id, { kind: "done" });
        }
        else if (stage.kind === "gone") {
            stages.set(id, { kind: "pending" });
        }
    }
}

function chooseNext(
    options: UpkeepOptions,
    wave: machines.Wave,
    knownAt: number,
    stages: Map<string, Stage>,
    present: ReadonlyMap<string, machines.Machine>,
): void {
    const busy = [...stages.values()].filter(stage => stage.kind === "emptying" || stage.kind === "down").length;
    const candidates = [...stages]
        .filter(([id, stage]) => stage.kind === "pending" && present.get(id)?.up)
        .map(([id]) => ({ id, worker: options.getWorker(present.get(id)!.workerId) }))
        .sort((a, b) => (a.worker?.tasks.size ?? 0) - (b.worker?.tasks.size ?? 0));
    for (const { id, worker } of candidates.slice(0, Math.max(0, wave.maxCount - busy))) {
        const { workerId } = present.get(id)!;
        if (worker) {
            worker.reserved = true;
        }
        stages.set(id, { kind: "emptying", workerId, since: options.clock.now() });
        options.log.info("machineEmptying", {
            wave: wave.number,
            machine: id,
            worker: workerId,
            tasks: worker?.tasks.size ?? 0,
            patienceMs: Math.round(getPatienceMs(options, wave, knownAt, stages)),
        });
    }
}

/** How long work may go on where a machine is to be emptied, so that the wave still ends in time. */
function getPatienceMs(
    options: UpkeepOptions,
    wave: machines.Wave,
    knownAt: number,
    stages: ReadonlyMap<string, Stage>,
): number {
    const left = [...stages.values()].filter(stage => stage.kind === "pending" || stage.kind === "emptying").length;
    const rounds = Math.max(1, Math.ceil(left / wave.maxCount));
    const leftMs = wave.withinMs - (options.clock.now() - knownAt);
    return Math.max(0, (leftMs / rounds - options.upkeepMs - 2 * STEP_MS) * PATIENCE_SHARE);
}

async function takeDownEmpty(
    options: UpkeepOptions,
    wave: machines.Wave,
    knownAt: number,
    stages: Map<string, Stage>,
): Promise<void> {
    for (const [id, stage] of stages) {
        if (stage.kind !== "emptying") {
            continue;
        }
        const worker = options.getWorker(stage.workerId);
        if (worker && worker.tasks.size > 0) {
            stopWork(
                options,
                worker,
                options.clock.now() - stage.since >= getPatienceMs(options, wave, knownAt, stages),
            );
            continue;
        }
        const answer = await options.service.beginUpkeep({
            machine: id,
            wave: wave.number,
            holder: options.holder,
            fencingToken: options.leadership.token,
        }, CALL_TIMEOUT_MS);
        options.log.info("upkeepOrdered", { wave: wave.number, machine: id, answer: answer.kind });
        switch (answer.kind) {
            case "accepted":
                stages.set(id, { kind: "down", workerId: stage.workerId, since: options.clock.now() });
                await storeDone(options, wave.number, stages);
                break;
            case "busy":
            case "unknown":
                break;
            case "unknownMachine":
                stages.set(id, { kind: "gone" });
                break;
            case "fenced":
                options.onFenced();
                return;
        }
    }
}

/** Lasting tasks never end by themselves, so they move first, as many as their step may miss. */
function stopWork(options: UpkeepOptions, worker: entries.WorkerEntry, patienceOver: boolean): void {
    for (const task of worker.tasks) {
        const { spec } = task.step;
        if (spec.lasting ? mayMissOneMore(task.step) : patienceOver) {
            options.book.requestStop(task, "upkeep");
        }
    }
}

/** Whether one more task of a lasting step may be away from its work. */
export function mayMissOneMore(step: entries.StepEntry): boolean {
    if (step.spec.mayMiss === 0) {
        return true;
    }
    const away = step.tasks.filter(task => task.phase !== "running" || task.percent < 100).length;
    return away < step.spec.mayMiss;
}

function release(options: UpkeepOptions, stages: ReadonlyMap<string, Stage>): void {
    for (const stage of stages.values()) {
        const worker = stage.kind === "emptying" ? options.getWorker(stage.workerId) : undefined;
        if (worker) {
            worker.reserved = false;
        }
    }
}

const UPKEEP_TABLE = "upkeep";

async function readDone(options: UpkeepOptions, wave: number): Promise<Set<string>> {
    const key = String(wave);
    const result = await options.store.read(
        { table: UPKEEP_TABLE, part: work.LEADER_PART, from: key, before: `${key}!`, limit: 1 },
        CALL_TIMEOUT_MS,
    );
    if (result.kind !== "read") {
        // Machines that are done answer an order with "accepted" at once, so the wave only takes longer.
        options.log.warn("waveProgressNotRead", { wave, why: result.message });
        return new Set();
    }
    return new Set(result.rows[0] ? JSON.parse(result.rows[0].value) as string[] : []);
}

async function storeDone(options: UpkeepOptions, wave: number, stages: ReadonlyMap<string, Stage>): Promise<void> {
    const begun = [...stages].filter(([, stage]) => stage.kind === "down" || stage.kind === "done").map(([id]) => id);
    const outcome = await options.store.transact({
        conditions: [options.leadership.guard],
        puts: [{ table: UPKEEP_TABLE, part: work.LEADER_PART, key: String(wave), value: JSON.stringify(begun) }],
        removals: [],
    }, CALL_TIMEOUT_MS);
    if (outcome.kind !== "committed") {
        options.log.warn("waveProgressNotWritten", { wave, outcome: outcome.kind });
    }
}

/**
 * Workers in memory with the semantics of the port: fencing tokens, run numbers, leases, numbered ends, gangs and
 * checkpoints; with faults, and with a record of what a scheduler must never do.
 */
import type * as clock from "../clock/index";
import * as leader from "../leader/index";
import type * as work from "../work/index";
import * as workerLife from "./workerLife";

export type OrderFault =
    | "none"
    /** Carried out, and the answer is lost. */
    | "loseAnswer"
    /** Carried out `lateMs` later; no answer. */
    | "late"
    /** The worker cannot be reached. */
    | "cut"
    /** The worker says that it is unwell, and does nothing. */
    | "unwell";

export interface WorkerFaults {
    decide(workerId: string, call: "start" | "stop" | "look" | "pace"): OrderFault;
    readonly lateMs: number;
    /** How many times slower than usual the worker's tasks are; `Infinity`: they stand still. */
    getSlowness(workerId: string): number;
    /** Whether what is started there now fails a moment later; by default nothing does. */
    isFailing?(workerId: string): boolean;
}

export interface EmulatedWorkersOptions {
    readonly clock: clock.Clock;
    readonly latencyMs: number;
    readonly maxLeaseMs: number;
    readonly stopMs: number;
    /** How long members of a gang wait for the others; without it for ever. */
    readonly gangTimeoutMs?: number;
    readonly faults?: WorkerFaults;
    getModel(task: string): workerLife.TaskModel;
}

export interface StartRecord {
    readonly task: string;
    readonly run: number;
    readonly workerId: string;
    readonly at: number;
}

export interface EmulatedWorkers {
    readonly port: leader.WorkerPort;
    readonly directory: leader.WorkerDirectory;
    add(info: leader.WorkerInfo): void;
    /** Ends the worker's life; `listed` says whether the directory still shows it. */
    kill(id: string, listed: boolean): void;
    drain(id: string, remainingMs: number): void;
    /** How many tasks run there. */
    getRunning(id: string): number;
    /** Names of all tasks that run, or are being stopped, anywhere. */
    getRunningTasks(): readonly string[];
    /** What the tasks there take of the worker's capacity; `undefined` once its life is over. */
    getUsed(id: string): work.Room | undefined;
    /** Breaches of promises, in words; empty when all were kept. */
    readonly breaches: readonly string[];
    readonly starts: readonly StartRecord[];
    /** Members of gangs that waited in vain for the others. */
    readonly aloneEnds: readonly StartRecord[];
    /** Names of tasks that ended well, with how often. */
    readonly doneCounts: ReadonlyMap<string, number>;
}

/** A run that ended well, and what became of it. */
interface DoneRun {
    readonly task: string;
    readonly run: number;
    readonly life: workerLife.Life;
    readonly number: number;
    recorded: boolean;
    startedAgain: boolean;
}

/** Granularity of the emulated work. */
const TICK_MS = 50;
const SAVE_EVERY_MS = 1_000;
/** The directory tells of a change up to this much later. */
const DIRECTORY_LAG_MS = 600;

const NO_FAULTS: WorkerFaults = { decide: () => "none", lateMs: 0, getSlowness: () => 1 };

export function createEmulatedWorkers(options: EmulatedWorkersOptions): EmulatedWorkers {
    const { clock: time } = options;
    const faults = options.faults ?? NO_FAULTS;
    const lives = new Map<string, workerLife.Life>();
    const breaches: string[] = [];
    const starts: StartRecord[] = [];
    const doneCounts = new Map<string, number>();
    const dones: DoneRun[] = [];
    const aloneEnds: StartRecord[] = [];
    const gangTimeoutMs = options.gangTimeoutMs ?? Infinity;

    const end = (life: workerLife.Life, run: workerLife.Run, how: leader.EndKind) => {
        life.runs.delete(run.task);
        life.closedRuns.set(run.task, Math.max(run.run, life.closedRuns.get(run.task) ?? 0));
        const savedMs = run.model.checkpoints
            ? (how === "stopped" ? run.doneMs : Math.floor(run.doneMs / SAVE_EVERY_MS) * SAVE_EVERY_MS)
            : 0;
        life.ends.push({
            number: life.nextEnd++,
            task: run.task,
            run: run.run,
            how,
            saved: savedMs > 0 ? String(savedMs) : "",
        });
        if (how === "done") {
            dones.push({
                task: run.task,
                run: run.run,
                life,
                number: life.nextEnd - 1,
                recorded: false,
                startedAgain: false,
            });
            doneCounts.set(run.task, (doneCounts.get(run.task) ?? 0) + 1);
        }
        [...life.waiters].forEach(wake => wake());
    };
    const findGang = (run: workerLife.Run) => {
        const members: Array<{ life: workerLife.Life; run: workerLife.Run; }> = [];
        for (const life of lives.values()) {
            for (const other of life.alive ? life.runs.values() : []) {
                if (other.model.gang === run.model.gang && other.run === run.run) {
                    members.push({ life, run: other });
                }
            }
        }
        return members;
    };
    const advance = (life: workerLife.Life) => {
        const slowness = faults.getSlowness(life.info.id);
        for (const run of [...life.runs.values()]) {
            if (!life.runs.has(run.task)) {
                continue;
            }
            if (time.now() >= life.deadline) {
                end(life, run, "lapsed");
                continue;
            }
            if (run.stoppingAt !== undefined) {
                if (time.now() >= run.stoppingAt) {
                    end(life, run, "stopped");
                }
                continue;
            }
            const gang = run.model.gangSize > 1 ? findGang(run) : [{ life, run }];
            if (run.failsSoon) {
                gang.forEach(member => end(member.life, member.run, member.run.failsSoon ? "failed" : "broken"));
                continue;
            }
            if (gang.length < run.model.gangSize) {
                if (time.now() - run.startedAt >= gangTimeoutMs) {
                    aloneEnds.push({ task: run.task, run: run.run, workerId: life.info.id, at: time.now() });
                    end(life, run, "alone");
                }
                continue;
            }
            const stepMs = TICK_MS / slowness / workerLife.getFarFactor(run, life, gang.map(member => member.life));
            run.doneMs = Math.min(run.model.durationMs, run.doneMs + stepMs);
            if (gang.every(member => member.run.doneMs >= member.run.model.durationMs)) {
                const how = run.model.fails(run.run) ? "failed" : "done";
                gang.forEach(member =>
                    end(member.life, member.run, how === "done" || member.run === run ? how : "broken")
                );
            }
        }
    };
    const tick = () => {
        for (const life of lives.values()) {
            if (time.now() >= life.deadline) {
                life.lapsedEnd = life.nextEnd - 1;
            }
            if (life.alive) {
                advance(life);
            }
        }
        time.setTimer(TICK_MS, tick);
    };
    time.setTimer(TICK_MS, tick);

    const noteBreachOf = (done: DoneRun) => {
        if (done.recorded && done.startedAgain) {
            breaches.push(`${done.task} is started again after run ${done.run} ended well`);
        }
    };
    const checkStart = (life: workerLife.Life, task: string, run: number) => {
        for (const done of dones) {
            if (done.task === task) {
                // A breach only if that end counts: it is, or will be, recorded before its worker's lease lapses.
                done.startedAgain = true;
                noteBreachOf(done);
            }
        }
        for (const other of lives.values()) {
            if (other.alive && other !== life && other.runs.has(task)) {
                breaches.push(`${task} run ${run} is started on ${life.info.id} while it runs on ${other.info.id}`);
            }
        }
        const sum = workerLife.sumNeeds(life);
        const { capacity } = life.info;
        if (
            sum.cpuMillis > capacity.cpuMillis || sum.memoryMb > capacity.memoryMb
            || sum.accelerators > capacity.accelerators
        ) {
            breaches.push(`${task} brings ${life.info.id} over its capacity`);
        }
    };
    const start = (life: workerLife.Life, order: leader.StartOrder): leader.OrderAnswer => {
        const refusal = checkFence(life, order.fencingToken);
        if (refusal) {
            return refusal;
        }
        const present = life.runs.get(order.task);
        if (present?.run === order.run) {
            return { kind: "accepted", workerClock: time.now() };
        }
        if (present || order.run <= (life.closedRuns.get(order.task) ?? 0)) {
            return { kind: "refused", reason: "old", workerClock: time.now() };
        }
        if (order.deadline <= time.now()) {
            return { kind: "refused", reason: "late", workerClock: time.now() };
        }
        prolong(life, order.deadline);
        const model = options.getModel(order.task);
        const resumedMs = Number(order.saved) || 0;
        const run: workerLife.Run = {
            task: order.task,
            run: order.run,
            model,
            startedAt: time.now(),
            doneMs: resumedMs,
            stoppingAt: undefined,
            failsSoon: faults.isFailing?.(life.info.id) ?? false,
        };
        life.runs.set(order.task, run);
        starts.push({ task: order.task, run: order.run, workerId: life.info.id, at: time.now() });
        checkStart(life, order.task, order.run);
        return { kind: "accepted", workerClock: time.now() };
    };
    const stop = (life: workerLife.Life, order: leader.RunOrder): leader.OrderAnswer => {
        const refusal = checkFence(life, order.fencingToken);
        if (refusal) {
            return refusal;
        }
        const run = life.runs.get(order.task);
        if (run && run.run <= order.run) {
            run.stoppingAt ??= time.now() + options.stopMs;
        }
        life.closedRuns.set(order.task, Math.max(order.run, life.closedRuns.get(order.task) ?? 0));
        return { kind: "accepted", workerClock: time.now() };
    };
    const checkFence = (life: workerLife.Life, token: number): leader.OrderAnswer | undefined => {
        if (token < life.fence) {
            return { kind: "refused", reason: "fence", workerClock: time.now() };
        }
        life.fence = token;
        return undefined;
    };
    const prolong = (life: workerLife.Life, deadline: number) => {
        life.deadline = Math.max(life.deadline, Math.min(deadline, time.now() + options.maxLeaseMs));
    };
    const look = async (life: workerLife.Life, order: leader.LookOrder): Promise<leader.LookAnswer> => {
        const refusal = checkFence(life, order.fencingToken);
        if (refusal) {
            return refusal as leader.LookAnswer;
        }
        if (order.deadline !== undefined) {
            prolong(life, order.deadline);
        }
        for (const done of dones) {
            const counts = done.life === life && done.number <= order.recordedUpTo && !(life.lapsedEnd >= done.number);
            if (counts && !done.recorded) {
                done.recorded = true;
                noteBreachOf(done);
            }
        }
        life.ends = life.ends.filter(entry => entry.number > order.recordedUpTo);
        if (life.ends.length === 0 && order.waitMs > 0) {
            await waitForEnd(life, order.waitMs);
        }
        return {
            kind: "lists",
            workerClock: time.now(),
            running: [...life.runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                saved: run.model.checkpoints && run.doneMs >= SAVE_EVERY_MS
                    ? String(Math.floor(run.doneMs / SAVE_EVERY_MS) * SAVE_EVERY_MS)
                    : "",
                percent: Math.floor(100 * run.doneMs / run.model.durationMs),
                recentFigure: 0,
            })),
            ended: [...life.ends],
        };
    };
    const waitForEnd = (life: workerLife.Life, ms: number) =>
        new Promise<void>(resolve => {
            const finish = () => {
                cancel();
                life.waiters.delete(finish);
                resolve();
            };
            const cancel = time.setTimer(ms, finish);
            life.waiters.add(finish);
        });

    const call = async <T extends leader.OrderAnswer | leader.LookAnswer>(
        worker: leader.WorkerAddress,
        kind: "start" | "stop" | "look" | "pace",
        timeoutMs: number,
        carryOut: (life: workerLife.Life) => T | Promise<T>,
    ): Promise<T | leader.OrderAnswer> => {
        const fault = faults.decide(worker.id, kind);
        await time.sleep(options.latencyMs);
        const life = lives.get(worker.id);
        if (!life?.alive || fault === "cut") {
            await time.sleep(timeoutMs);
            return { kind: "unknown", message: "emulated: silent" };
        }
        switch (fault) {
            case "none":
                return carryOut(life);
            case "unwell":
                return { kind: "unwell" };
            case "loseAnswer":
                await carryOut(life);
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: answer lost" };
            case "late":
                time.setTimer(faults.lateMs, () => void (life.alive && carryOut(life)));
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: late" };
        }
    };

    return {
        breaches,
        starts,
        aloneEnds,
        doneCounts,
        add: info => {
            lives.set(info.id, {
                info,
                alive: true,
                listed: true,
                fence: 0,
                deadline: 0,
                runs: new Map(),
                closedRuns: new Map(),
                ends: [],
                nextEnd: 1,
                waiters: new Set(),
                lapsedEnd: 0,
            });
        },
        kill: (id, listed) => {
            const life = lives.get(id)!;
            life.alive = false;
            life.listed = listed;
            life.runs.clear();
        },
        getRunningTasks: () => [...lives.values()].flatMap(life => [...life.runs.keys()]),
        getRunning: id => lives.get(id)!.runs.size,
        getUsed: id => {
            const life = lives.get(id)!;
            return life.alive ? workerLife.sumNeeds(life) : undefined;
        },
        drain: (id, remainingMs) => {
            const life = lives.get(id)!;
            life.info = { ...life.info, draining: true, remainingMs };
        },
        directory: {
            follow: (signal, onWorkers) => {
                const tell = () => {
                    if (!signal.aborted) {
                        onWorkers([...lives.values()].filter(life => life.listed).map(life => life.info));
                        time.setTimer(DIRECTORY_LAG_MS, tell);
                    }
                };
                time.setTimer(options.latencyMs, tell);
            },
        },
        port: {
            start: (worker, order, timeoutMs) => call(worker, "start", timeoutMs, life => start(life, order)),
            stop: (worker, order, timeoutMs) => call(worker, "stop", timeoutMs, life => stop(life, order)),
            pace: (worker, _order, timeoutMs) =>
                call(worker, "pace", timeoutMs, () => ({ kind: "accepted" as const, workerClock: time.now() })),
            look: (worker, order, timeoutMs) =>
                call(worker, "look", timeoutMs, life => look(life, order)) as Promise<leader.LookAnswer>,
        },
    };
}

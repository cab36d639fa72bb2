/**
 * Workers in memory with the semantics of the port: fencing tokens, run numbers, leases, numbered ends, gangs and
 * checkpoints; with faults, and with a record of what a scheduler must never do.
 */
import type * as clock from "../clock/index";
import * as leader from "../leader/index";
import type * as work from "../work/index";
import * as startChecks from "./startChecks";
import * as workerLife from "./workerIncarnation";
import * as workerOrders from "./workerOrders";

export interface EmulatedWorkersOptions {
    readonly clock: clock.Clock;
    readonly latencyMs: number;
    readonly maxLeaseMs: number;
    readonly stopMs: number;
    /** How long members of a gang wait for the others; without it for ever. */
    readonly gangTimeoutMs?: number;
    readonly faults?: workerOrders.WorkerFaults;
    getModel(task: string): workerLife.TaskModel;
    /** Whether workers reach the directory now; by default they always do. */
    canReport?(): boolean;
    /** A task has taken the worker down, which is up to `kill` and `succeed`. */
    onCrash?(workerId: string): void;
}

export interface EmulatedWorkers {
    readonly port: leader.WorkerPort;
    readonly directory: leader.WorkerDirectory;
    add(info: leader.WorkerInfo): void;
    /** Begins another life at the address of one that is over, which then says so to whoever calls the old one. */
    addSuccessor(id: string, info: leader.WorkerInfo): void;
    /** Begins another life under the id of one that is over, or that this ends. */
    restart(id: string): void;
    /** Changes the worker's capacity; the directory tells of it later. */
    resize(id: string, capacity: work.Resources): void;
    /** Ends the worker's life; `listed` says whether the directory still shows it. */
    kill(id: string, listed: boolean): void;
    drain(id: string, remainingMs: number): void;
    /** When the worker's present life began, or its last. */
    getBornAt(id: string): number;
    /** What the worker says of itself, or said last. */
    getInfo(id: string): leader.WorkerInfo;
    /** The worker that lives at the address now. */
    findByAddress(address: string): string | undefined;
    /** How many tasks run there. */
    countRunning(id: string): number;
    /** Names of all tasks that run, or are being stopped, anywhere. */
    getRunningTasks(): readonly string[];
    /** What the tasks there take of the worker's capacity; `undefined` once its life is over. */
    getUsedResources(id: string): work.Resources | undefined;
    /** Breaches of promises, in words, but for `shrunkStarts`; empty when all were kept. */
    readonly breaches: readonly string[];
    readonly starts: readonly startChecks.StartRecord[];
    /** Members of gangs that waited in vain for the others. */
    readonly aloneEnds: readonly startChecks.StartRecord[];
    /** Starts that were sent over a capacity that had shrunk long before: breaches, unless links had held them up. */
    readonly shrunkStarts: readonly startChecks.StartRecord[];
    /** How many workers each task has taken down. */
    readonly crashCounts: ReadonlyMap<string, number>;
    /** When workers were lost. */
    readonly lossTimes: readonly number[];
    /** How many workers were lost while each task ran on them. */
    readonly lossCounts: ReadonlyMap<string, number>;
    /** Names of tasks that ended well, with how often. */
    readonly doneCounts: ReadonlyMap<string, number>;
}

/** Granularity of the emulated work. */
const TICK_MS = 50;
const REPORT_EVERY_MS = 1_500;
/** The directory tells of a change up to this much later. */
const DIRECTORY_LAG_MS = 600;

const NO_FAULTS: workerOrders.WorkerFaults = { decide: () => "none", lateMs: 0, getSlowdown: () => 1 };

export function createEmulatedWorkers(options: EmulatedWorkersOptions): EmulatedWorkers {
    const { clock: time } = options;
    const faults = options.faults ?? NO_FAULTS;
    const lives = new Map<string, workerLife.Incarnation>();
    const starts: startChecks.StartRecord[] = [];
    const doneCounts = new Map<string, number>();
    const aloneEnds: startChecks.StartRecord[] = [];
    const lossTimes: number[] = [];
    const lossCounts = new Map<string, number>();
    const checks = startChecks.createStartChecks(lives);
    const gangTimeoutMs = options.gangTimeoutMs ?? Infinity;

    const end = (life: workerLife.Incarnation, run: workerLife.Run, how: leader.EndKind) => {
        life.runs.delete(run.task);
        life.closedRuns.set(run.task, Math.max(run.run, life.closedRuns.get(run.task) ?? 0));
        const savedMs = run.model.checkpoints
            ? (how === "stopped"
                ? run.doneMs
                : Math.floor(run.doneMs / workerLife.SAVE_EVERY_MS) * workerLife.SAVE_EVERY_MS)
            : 0;
        life.ends.push({
            number: life.nextEnd++,
            task: run.task,
            run: run.run,
            how,
            saved: savedMs > 0 ? String(savedMs) : "",
        });
        if (how === "done" || how === "failed") {
            checks.noteEnd(life, run, life.nextEnd - 1, how);
        }
        if (how === "done") {
            doneCounts.set(run.task, (doneCounts.get(run.task) ?? 0) + 1);
        }
        [...life.waiters].forEach(wake => wake());
    };
    const findGang = (run: workerLife.Run) => {
        const members: Array<{ life: workerLife.Incarnation; run: workerLife.Run; }> = [];
        for (const life of lives.values()) {
            for (const other of life.alive ? life.runs.values() : []) {
                if (other.model.gang === run.model.gang && other.run === run.run) {
                    members.push({ life, run: other });
                }
            }
        }
        return members;
    };
    const advance = (life: workerLife.Incarnation) => {
        const slowness = faults.getSlowdown(life.info.id);
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
                    aloneEnds.push({
                        task: run.task,
                        run: run.run,
                        workerId: life.info.id,
                        incarnationId: getLifeId(life),
                        at: time.now(),
                    });
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
    const report = (life: workerLife.Incarnation) => {
        if (options.canReport?.() !== false) {
            life.report = { info: life.info, at: time.now() };
        }
    };
    const tick = () => {
        for (const life of lives.values()) {
            if (life.alive && time.now() - life.report.at >= REPORT_EVERY_MS) {
                report(life);
            }
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

    const crash = (life: workerLife.Incarnation, run: workerLife.Run) => {
        if (life.alive && life.runs.get(run.task) === run) {
            checks.noteCrash(run.task);
            options.onCrash?.(life.info.id);
        }
    };
    const port = workerOrders.createWorkerPort({
        clock: time,
        latencyMs: options.latencyMs,
        maxLeaseMs: options.maxLeaseMs,
        stopMs: options.stopMs,
        faults,
        lives,
        checks,
        getModel: options.getModel,
        onStart: (life, run) => {
            const record = {
                task: run.task,
                run: run.run,
                workerId: life.info.id,
                incarnationId: getLifeId(life),
                at: time.now(),
            };
            starts.push(record);
            const { crashesAfterMs } = run.model;
            if (crashesAfterMs !== undefined) {
                time.setTimer(crashesAfterMs, () => crash(life, run));
            }
            return record;
        },
    });

    const add = (info: leader.WorkerInfo, clockZeroAt = 0) => {
        lives.set(info.id, {
            info,
            bornAt: Math.floor(time.wallTime()),
            clockZeroAt,
            report: { info, at: time.now() },
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
            earlierCapacities: [],
            hasSuccessor: false,
        });
    };
    const kill = (id: string, listed: boolean) => {
        const life = lives.get(id)!;
        life.listed = listed;
        if (!life.alive) {
            return;
        }
        life.alive = false;
        lossTimes.push(time.now());
        for (const task of life.runs.keys()) {
            lossCounts.set(task, (lossCounts.get(task) ?? 0) + 1);
        }
        life.runs.clear();
    };
    return {
        breaches: checks.violations,
        starts,
        aloneEnds,
        shrunkStarts: checks.startsAfterShrink,
        crashCounts: checks.crashCounts,
        lossTimes,
        lossCounts,
        doneCounts,
        add: info => add(info),
        restart: id => {
            kill(id, false);
            const { info, earlierCapacities } = lives.get(id)!;
            add({ ...info, draining: false, remainingMs: 0 }, time.now());
            // The machine beneath stays.
            lives.get(id)!.earlierCapacities.push(...earlierCapacities);
        },
        addSuccessor: (id, info) => {
            lives.get(id)!.hasSuccessor = true;
            add(info);
        },
        resize: (id, capacity) => {
            const life = lives.get(id)!;
            life.earlierCapacities.push({ capacity: life.info.capacity, until: time.now() });
            life.info = { ...life.info, capacity };
        },
        kill,
        getRunningTasks: () => [...lives.values()].flatMap(life => [...life.runs.keys()]),
        findByAddress: address =>
            [...lives.values()].find(life => life.alive && life.info.address === address)?.info.id,
        getBornAt: id => lives.get(id)!.bornAt,
        getInfo: id => lives.get(id)!.info,
        countRunning: id => lives.get(id)!.runs.size,
        getUsedResources: id => {
            const life = lives.get(id)!;
            return life.alive ? workerLife.sumNeeds(life) : undefined;
        },
        drain: (id, remainingMs) => {
            const life = lives.get(id)!;
            life.info = { ...life.info, draining: true, remainingMs };
            report(life);
        },
        directory: {
            follow: (signal, onWorkers) => {
                const tell = () => {
                    if (!signal.aborted) {
                        onWorkers([...lives.values()].filter(life => life.listed).map(toListed));
                        time.setTimer(DIRECTORY_LAG_MS, tell);
                    }
                };
                time.setTimer(options.latencyMs, tell);
            },
        },
        port,
    };
}

function getLifeId({ info, bornAt }: workerLife.Incarnation): string {
    return leader.getIncarnationId({ name: info.id, startedAt: bornAt });
}

function toListed({ report, bornAt }: workerLife.Incarnation): leader.ListedWorker {
    const { id, ...info } = report.info;
    return { ...info, name: id, startedAt: bornAt, reportedAt: report.at };
}

/** Breaches in words, where nothing holds orders up. */
export function listViolations(workers: EmulatedWorkers): readonly string[] {
    return [...workers.breaches, ...workers.shrunkStarts.map(startChecks.describeShrunkStart)];
}

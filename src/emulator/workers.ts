/**
 * In-memory workers with the semantics of `leader.WorkerPort`: fencing tokens, run numbers, leases, numbered ends, gangs
 * and checkpoints. They inject faults and record the scheduler's invariant violations.
 */
import type * as clock from "../clock/index";
import * as leader from "../leader/index";
import type * as work from "../work/index";
import * as startChecks from "./startChecks";
import * as workerIncarnation from "./workerIncarnation";
import * as workerOrders from "./workerOrders";

/** Configuration of the emulated workers. */
export interface EmulatedWorkersOptions {
    readonly clock: clock.Clock;
    /** Time from a call until it reaches the worker. */
    readonly latencyMs: number;
    readonly maxLeaseMs: number;
    /** Time from a stop order to the end of the run. */
    readonly stopMs: number;
    /** How long members of a gang wait for the others; without a limit by default. */
    readonly gangTimeoutMs?: number;
    readonly faults?: workerOrders.WorkerFaults;
    /** Returns the behaviour of the task of that name. */
    getModel(task: string): workerIncarnation.TaskModel;
    /** Whether workers can reach the directory now; by default they always can. */
    canReport?(): boolean;
    /** Whether no start sent at `sentAt` may be carried out in the zone now; by default each may. */
    isZoneClosed?(zone: string, sentAt: number): boolean;
    /** Called when a task crashes its worker; the callee ends it by `kill`, and may call `addSuccessor` or `restart`. */
    onCrash?(workerId: string): void;
}

/** Emulated workers, addressed by their ids, and what was observed of the scheduler. */
export interface EmulatedWorkers {
    readonly port: leader.WorkerPort;
    readonly directory: leader.WorkerDirectory;
    /** Adds a worker, which starts now. */
    add(info: leader.WorkerInfo): void;
    /** Starts a worker at the address of an ended one; calls to the ended one are then answered as `otherLife`. */
    addSuccessor(id: string, info: leader.WorkerInfo): void;
    /** Starts another incarnation under the same id, with those changes, after ending the current one if need be. */
    restart(id: string, changes?: Partial<leader.WorkerInfo>): void;
    /** Changes the worker's capacity; the directory lists it after the next report. */
    resize(id: string, capacity: work.Resources): void;
    /** Ends the worker's incarnation; `listed` says whether the directory still lists it. */
    kill(id: string, listed: boolean): void;
    /** Announces that the worker leaves in `remainingMs`. */
    drain(id: string, remainingMs: number): void;
    /** Wall-clock time at which the worker's latest incarnation started. */
    getStartedAt(id: string): number;
    /** The worker's current description, or its last one. */
    getInfo(id: string): leader.WorkerInfo;
    /** The id of the worker that runs at the address now, or `undefined`. */
    findByAddress(address: string): string | undefined;
    /** Number of tasks that run on the worker. */
    countRunning(id: string): number;
    /** Names of all tasks that run or are being stopped, on any worker. */
    getRunningTasks(): readonly string[];
    /** Resources that tasks use on the worker; `undefined` once it has ended. */
    getUsedResources(id: string): work.Resources | undefined;
    /** Descriptions of invariant violations, apart from those of `startsAfterShrink`. */
    readonly violations: readonly string[];
    /** All starts, in order. */
    readonly starts: readonly startChecks.StartRecord[];
    /** Members of gangs that timed out waiting for the others. */
    readonly gangTimeouts: readonly startChecks.StartRecord[];
    /** Starts that exceed a capacity which was reduced well before they were sent: violations, unless links delayed them. */
    readonly startsAfterShrink: readonly startChecks.StartRecord[];
    /** Number of workers that each task has crashed. */
    readonly crashCounts: ReadonlyMap<string, number>;
    /** Times at which workers were lost. */
    readonly lossTimes: readonly number[];
    /** Number of workers that were lost while they ran each task. */
    readonly lossCounts: ReadonlyMap<string, number>;
    /** Number of completed runs of each task that has any. */
    readonly completionCounts: ReadonlyMap<string, number>;
}

/** Interval at which the runs progress. */
const TICK_MS = 50;
const REPORT_INTERVAL_MS = 1_500;
/** Interval at which the directory's list is passed on, and so the maximum delay of a change. */
const DIRECTORY_POLL_MS = 600;

const NO_FAULTS: workerOrders.WorkerFaults = { decide: () => "none", lateMs: 0, getSlowdown: () => 1 };

/** Creates the port and the directory of emulated workers, without any worker; see `add`. */
export function createEmulatedWorkers(options: EmulatedWorkersOptions): EmulatedWorkers {
    const { clock: time } = options;
    const faults = options.faults ?? NO_FAULTS;
    const incarnations = new Map<string, workerIncarnation.Incarnation>();
    const starts: startChecks.StartRecord[] = [];
    const completionCounts = new Map<string, number>();
    const gangTimeouts: startChecks.StartRecord[] = [];
    const lossTimes: number[] = [];
    const lossCounts = new Map<string, number>();
    const checks = startChecks.createStartChecks(incarnations, options.isZoneClosed);
    const gangTimeoutMs = options.gangTimeoutMs ?? Infinity;

    const end = (incarnation: workerIncarnation.Incarnation, run: workerIncarnation.Run, how: leader.EndKind) => {
        incarnation.runs.delete(run.task);
        incarnation.latestClosedRuns.set(run.task, Math.max(run.run, incarnation.latestClosedRuns.get(run.task) ?? 0));
        const checkpointMs = run.model.checkpoints
            ? (how === "stopped"
                ? run.doneMs
                : Math.floor(run.doneMs / workerIncarnation.CHECKPOINT_INTERVAL_MS)
                    * workerIncarnation.CHECKPOINT_INTERVAL_MS)
            : 0;
        incarnation.ends.push({
            number: incarnation.nextEndNumber++,
            task: run.task,
            run: run.run,
            how,
            saved: checkpointMs > 0 ? String(checkpointMs) : "",
        });
        if (how === "done" || how === "failed") {
            checks.recordEnd(incarnation, run, incarnation.nextEndNumber - 1, how);
        }
        if (how === "done") {
            completionCounts.set(run.task, (completionCounts.get(run.task) ?? 0) + 1);
        }
        [...incarnation.waiters].forEach(wake => wake());
    };
    const findGangMembers = (run: workerIncarnation.Run) => {
        const members: Array<{ incarnation: workerIncarnation.Incarnation; run: workerIncarnation.Run; }> = [];
        for (const incarnation of incarnations.values()) {
            for (const other of incarnation.alive ? incarnation.runs.values() : []) {
                if (other.model.gang === run.model.gang && other.run === run.run) {
                    members.push({ incarnation, run: other });
                }
            }
        }
        return members;
    };
    const advance = (incarnation: workerIncarnation.Incarnation) => {
        const slowdown = faults.getSlowdown(incarnation.info.id);
        for (const run of [...incarnation.runs.values()]) {
            if (!incarnation.runs.has(run.task)) {
                continue;
            }
            if (time.now() >= incarnation.leaseExpiresAt) {
                end(incarnation, run, "lapsed");
                continue;
            }
            if (run.stopsAt !== undefined) {
                if (time.now() >= run.stopsAt) {
                    end(incarnation, run, "stopped");
                }
                continue;
            }
            const gang = run.model.gangSize > 1 ? findGangMembers(run) : [{ incarnation, run }];
            if (run.failsEarly) {
                gang.forEach(member =>
                    end(member.incarnation, member.run, member.run.failsEarly ? "failed" : "broken")
                );
                continue;
            }
            if (gang.length < run.model.gangSize) {
                if (time.now() - run.startedAt >= gangTimeoutMs) {
                    gangTimeouts.push({
                        task: run.task,
                        run: run.run,
                        workerId: incarnation.info.id,
                        incarnationId: getIncarnationId(incarnation),
                        at: time.now(),
                    });
                    end(incarnation, run, "alone");
                }
                continue;
            }
            const stepMs = TICK_MS / slowdown
                / workerIncarnation.getDistanceFactor(run, incarnation, gang.map(member => member.incarnation));
            run.doneMs = Math.min(run.model.durationMs, run.doneMs + stepMs);
            if (gang.every(member => member.run.doneMs >= member.run.model.durationMs)) {
                const how = run.model.fails(run.run) ? "failed" : "done";
                gang.forEach(member =>
                    end(member.incarnation, member.run, how === "done" || member.run === run ? how : "broken")
                );
            }
        }
    };
    const report = (incarnation: workerIncarnation.Incarnation) => {
        if (options.canReport?.() !== false) {
            incarnation.report = { info: incarnation.info, at: time.now() };
        }
    };
    const tick = () => {
        for (const incarnation of incarnations.values()) {
            if (incarnation.alive && time.now() - incarnation.report.at >= REPORT_INTERVAL_MS) {
                report(incarnation);
            }
            if (time.now() >= incarnation.leaseExpiresAt) {
                incarnation.lastExpiredEnd = incarnation.nextEndNumber - 1;
            }
            if (incarnation.alive) {
                advance(incarnation);
            }
        }
        time.setTimer(TICK_MS, tick);
    };
    time.setTimer(TICK_MS, tick);

    const crash = (incarnation: workerIncarnation.Incarnation, run: workerIncarnation.Run) => {
        if (incarnation.alive && incarnation.runs.get(run.task) === run) {
            checks.recordCrash(run.task);
            options.onCrash?.(incarnation.info.id);
        }
    };
    const port = workerOrders.createWorkerPort({
        clock: time,
        latencyMs: options.latencyMs,
        maxLeaseMs: options.maxLeaseMs,
        stopMs: options.stopMs,
        faults,
        incarnations,
        checks,
        getModel: options.getModel,
        onStart: (incarnation, run) => {
            const record = {
                task: run.task,
                run: run.run,
                workerId: incarnation.info.id,
                incarnationId: getIncarnationId(incarnation),
                at: time.now(),
            };
            starts.push(record);
            const { crashesAfterMs } = run.model;
            if (crashesAfterMs !== undefined) {
                time.setTimer(crashesAfterMs, () => crash(incarnation, run));
            }
            return record;
        },
    });

    const add = (info: leader.WorkerInfo, clockStartedAt = 0) => {
        incarnations.set(info.id, {
            info,
            startedAt: Math.floor(time.wallTime()),
            clockStartedAt,
            report: { info, at: time.now() },
            alive: true,
            listed: true,
            fencingToken: 0,
            leaseExpiresAt: 0,
            runs: new Map(),
            latestClosedRuns: new Map(),
            ends: [],
            nextEndNumber: 1,
            waiters: new Set(),
            lastExpiredEnd: 0,
            earlierCapacities: [],
            hasSuccessor: false,
        });
    };
    const kill = (id: string, listed: boolean) => {
        const incarnation = incarnations.get(id)!;
        incarnation.listed = listed;
        if (!incarnation.alive) {
            return;
        }
        incarnation.alive = false;
        lossTimes.push(time.now());
        for (const task of incarnation.runs.keys()) {
            lossCounts.set(task, (lossCounts.get(task) ?? 0) + 1);
        }
        incarnation.runs.clear();
    };
    return {
        violations: checks.violations,
        starts,
        gangTimeouts,
        startsAfterShrink: checks.startsAfterShrink,
        crashCounts: checks.crashCounts,
        lossTimes,
        lossCounts,
        completionCounts,
        add: info => add(info),
        restart: (id, changes) => {
            kill(id, false);
            const { info, earlierCapacities } = incarnations.get(id)!;
            add({ ...info, draining: false, remainingMs: 0, ...changes }, time.now());
            // The new incarnation runs on the same machine.
            incarnations.get(id)!.earlierCapacities.push(...earlierCapacities);
        },
        addSuccessor: (id, info) => {
            incarnations.get(id)!.hasSuccessor = true;
            add(info);
        },
        resize: (id, capacity) => {
            const incarnation = incarnations.get(id)!;
            incarnation.earlierCapacities.push({ capacity: incarnation.info.capacity, changedAt: time.now() });
            incarnation.info = { ...incarnation.info, capacity };
        },
        kill,
        getRunningTasks: () => [...incarnations.values()].flatMap(incarnation => [...incarnation.runs.keys()]),
        findByAddress: address =>
            [...incarnations.values()].find(incarnation => incarnation.alive && incarnation.info.address === address)
                ?.info.id,
        getStartedAt: id => incarnations.get(id)!.startedAt,
        getInfo: id => incarnations.get(id)!.info,
        countRunning: id => incarnations.get(id)!.runs.size,
        getUsedResources: id => {
            const incarnation = incarnations.get(id)!;
            return incarnation.alive ? workerIncarnation.getUsedResources(incarnation) : undefined;
        },
        drain: (id, remainingMs) => {
            const incarnation = incarnations.get(id)!;
            incarnation.info = { ...incarnation.info, draining: true, remainingMs };
            report(incarnation);
        },
        directory: {
            follow: (signal, onWorkers) => {
                const notify = () => {
                    if (!signal.aborted) {
                        onWorkers(
                            [...incarnations.values()].filter(incarnation => incarnation.listed).map(toListedWorker),
                        );
                        time.setTimer(DIRECTORY_POLL_MS, notify);
                    }
                };
                time.setTimer(options.latencyMs, notify);
            },
        },
        port,
    };
}

function getIncarnationId({ info, startedAt }: workerIncarnation.Incarnation): string {
    return leader.getIncarnationId({ name: info.id, startedAt });
}

function toListedWorker({ report, startedAt }: workerIncarnation.Incarnation): leader.ListedWorker {
    const { id, ...info } = report.info;
    return { ...info, name: id, startedAt, reportedAt: report.at };
}

/** Describes all invariant violations, for sites whose links do not delay orders. */
export function listViolations(workers: EmulatedWorkers): readonly string[] {
    return [...workers.violations, ...workers.startsAfterShrink.map(startChecks.describeStartAfterShrink)];
}

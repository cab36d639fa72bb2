/** Orders to emulated workers, as their port carries them out: fencing tokens, run numbers, leases, and faults. */
import type * as clock from "../clock/index";
import type * as leader from "../leader/index";
import type * as startChecks from "./startChecks";
import * as workerLife from "./workerIncarnation";

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
    getSlowdown(workerId: string): number;
    /** Whether what is started there now fails a moment later; by default nothing does. */
    isFailing?(workerId: string): boolean;
}

export interface WorkerPortOptions {
    readonly clock: clock.Clock;
    readonly latencyMs: number;
    readonly maxLeaseMs: number;
    readonly stopMs: number;
    readonly faults: WorkerFaults;
    readonly lives: ReadonlyMap<string, workerLife.Incarnation>;
    readonly checks: startChecks.StartChecks;
    getModel(task: string): workerLife.TaskModel;
    /** A run has begun; returns the record of its start. */
    onStart(life: workerLife.Incarnation, run: workerLife.Run): startChecks.StartRecord;
}

/** The port of all emulated workers together. */
export function createWorkerPort(options: WorkerPortOptions): leader.WorkerPort {
    const { clock: time, faults, lives, checks } = options;

    const start = (life: workerLife.Incarnation, order: leader.StartOrder, sentAt: number): leader.OrderAnswer => {
        const refusal = checkFence(life, order.fencingToken);
        if (refusal) {
            return refusal;
        }
        const present = life.runs.get(order.task);
        if (present?.run === order.run) {
            return { kind: "accepted", workerClock: workerLife.readClock(life, time.now()) };
        }
        if (present || order.run <= (life.closedRuns.get(order.task) ?? 0)) {
            return { kind: "refused", reason: "old", workerClock: workerLife.readClock(life, time.now()) };
        }
        if (order.deadline <= workerLife.readClock(life, time.now())) {
            return { kind: "refused", reason: "late", workerClock: workerLife.readClock(life, time.now()) };
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
        checks.checkStart(life, model, options.onStart(life, run), sentAt);
        return { kind: "accepted", workerClock: workerLife.readClock(life, time.now()) };
    };
    const stop = (life: workerLife.Incarnation, order: leader.RunOrder): leader.OrderAnswer => {
        const refusal = checkFence(life, order.fencingToken);
        if (refusal) {
            return refusal;
        }
        const run = life.runs.get(order.task);
        if (run && run.run <= order.run) {
            run.stoppingAt ??= time.now() + options.stopMs;
        }
        life.closedRuns.set(order.task, Math.max(order.run, life.closedRuns.get(order.task) ?? 0));
        return { kind: "accepted", workerClock: workerLife.readClock(life, time.now()) };
    };
    const checkFence = (life: workerLife.Incarnation, token: number): leader.OrderAnswer | undefined => {
        if (token < life.fence) {
            return { kind: "refused", reason: "fence", workerClock: workerLife.readClock(life, time.now()) };
        }
        life.fence = token;
        return undefined;
    };
    const prolong = (life: workerLife.Incarnation, deadline: number) => {
        const until = deadline + life.clockZeroAt;
        life.deadline = Math.max(life.deadline, Math.min(until, time.now() + options.maxLeaseMs));
    };
    const look = async (life: workerLife.Incarnation, order: leader.PollOrder): Promise<leader.PollAnswer> => {
        const refusal = checkFence(life, order.fencingToken);
        if (refusal) {
            return refusal as leader.PollAnswer;
        }
        if (order.deadline !== undefined) {
            prolong(life, order.deadline);
        }
        checks.noteRecorded(life, order.recordedUpTo);
        life.ends = life.ends.filter(entry => entry.number > order.recordedUpTo);
        if (life.ends.length === 0 && order.waitMs > 0) {
            await waitForEnd(life, order.waitMs);
        }
        return {
            kind: "lists",
            workerClock: workerLife.readClock(life, time.now()),
            startedAt: life.bornAt,
            running: [...life.runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                saved: run.model.checkpoints && run.doneMs >= workerLife.SAVE_EVERY_MS
                    ? String(Math.floor(run.doneMs / workerLife.SAVE_EVERY_MS) * workerLife.SAVE_EVERY_MS)
                    : "",
                percent: Math.floor(100 * run.doneMs / run.model.durationMs),
                recentFigure: 0,
            })),
            ended: [...life.ends],
        };
    };
    const waitForEnd = (life: workerLife.Incarnation, ms: number) =>
        new Promise<void>(resolve => {
            const finish = () => {
                cancel();
                life.waiters.delete(finish);
                resolve();
            };
            const cancel = time.setTimer(ms, finish);
            life.waiters.add(finish);
        });

    const call = async <T extends leader.OrderAnswer | leader.PollAnswer>(
        worker: leader.WorkerAddress,
        kind: "start" | "stop" | "look" | "pace",
        timeoutMs: number,
        carryOut: (life: workerLife.Incarnation) => T | Promise<T>,
    ): Promise<T | leader.OrderAnswer> => {
        const fault = faults.decide(worker.name, kind);
        await time.sleep(options.latencyMs);
        const life = lives.get(worker.name);
        if (life?.hasSuccessor && fault !== "cut") {
            return { kind: "otherLife" };
        }
        if (!life?.alive || fault === "cut") {
            await time.sleep(timeoutMs);
            return { kind: "unknown", message: "emulated: silent" };
        }
        switch (fault) {
            case "none": {
                const answer = await carryOut(life);
                if (life.alive) {
                    return answer;
                }
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: lost meanwhile" };
            }
            case "unwell":
                return { kind: "unwell" };
            case "loseAnswer":
                await carryOut(life);
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: answer lost" };
            case "late":
                // What a worker leaves lying is lost with its life.
                time.setTimer(faults.lateMs, () => void (life.alive && carryOut(life)));
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: late" };
        }
    };

    return {
        start: (worker, order, timeoutMs) => {
            const sentAt = time.now();
            return call(worker, "start", timeoutMs, life => start(life, order, sentAt));
        },
        stop: (worker, order, timeoutMs) => call(worker, "stop", timeoutMs, life => stop(life, order)),
        pace: (worker, _order, timeoutMs) =>
            call(worker, "pace", timeoutMs, life => ({
                kind: "accepted" as const,
                workerClock: workerLife.readClock(life, time.now()),
            })),
        poll: (worker, order, timeoutMs) =>
            call(worker, "look", timeoutMs, life => look(life, order)) as Promise<leader.PollAnswer>,
    };
}

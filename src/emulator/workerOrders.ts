/** Worker port of the emulated workers: handles orders by fencing tokens, run numbers and leases, and injects faults. */
import type * as clock from "../clock/index";
import type * as leader from "../leader/index";
import type * as startChecks from "./startChecks";
import * as workerIncarnation from "./workerIncarnation";

/** Fault injected into an order or a poll. */
export type OrderFault =
    | "none"
    /** The order is carried out and its answer is lost. */
    | "loseAnswer"
    /** The order is carried out `lateMs` later, and no answer is sent. */
    | "late"
    /** The worker is unreachable. */
    | "cut"
    /** The worker answers that it is overloaded or unhealthy, and does nothing. */
    | "unwell";

/** Faults of emulated workers. */
export interface WorkerFaults {
    /** Returns the fault for a call. */
    decide(workerId: string, call: "start" | "stop" | "poll" | "pace"): OrderFault;
    /** Delay of the fault `late`. */
    readonly lateMs: number;
    /** Whether a delayed order reaches the worker's next incarnation if its own has ended; by default it is lost. */
    readonly isLateOrderKept?: boolean;
    /** Factor by which the worker's tasks take longer than usual; with `Infinity` they make no progress. */
    getSlowdown(workerId: string): number;
    /** Whether a run that starts on the worker now fails at once; by default none does. */
    isFailing?(workerId: string): boolean;
}

/** Configuration of the worker port. */
export interface WorkerPortOptions {
    readonly clock: clock.Clock;
    /** Time from a call until it reaches the worker. */
    readonly latencyMs: number;
    readonly maxLeaseMs: number;
    /** Time from a stop order to the end of the run. */
    readonly stopMs: number;
    readonly faults: WorkerFaults;
    /** Current incarnation of each worker, by worker id. */
    readonly incarnations: ReadonlyMap<string, workerIncarnation.Incarnation>;
    readonly checks: startChecks.StartChecks;
    getModel(task: string): workerIncarnation.TaskModel;
    /** Called when a run has begun; returns the record of its start. */
    onStart(incarnation: workerIncarnation.Incarnation, run: workerIncarnation.Run): startChecks.StartRecord;
}

/** Creates the port to all emulated workers. */
export function createWorkerPort(options: WorkerPortOptions): leader.WorkerPort {
    const { clock: time, faults, incarnations, checks } = options;

    const start = (
        incarnation: workerIncarnation.Incarnation,
        order: leader.StartOrder,
        sentAt: number,
    ): leader.OrderAnswer => {
        const refusal = checkFence(incarnation, order.fencingToken);
        if (refusal) {
            return refusal;
        }
        const current = incarnation.runs.get(order.task);
        if (current?.run === order.run) {
            return { kind: "accepted", workerClock: workerIncarnation.readClock(incarnation, time.now()) };
        }
        if (current || order.run <= (incarnation.latestClosedRuns.get(order.task) ?? 0)) {
            return {
                kind: "refused",
                reason: "old",
                workerClock: workerIncarnation.readClock(incarnation, time.now()),
            };
        }
        if (order.deadline <= workerIncarnation.readClock(incarnation, time.now())) {
            return {
                kind: "refused",
                reason: "late",
                workerClock: workerIncarnation.readClock(incarnation, time.now()),
            };
        }
        extendLease(incarnation, order.deadline);
        const model = options.getModel(order.task);
        const resumedMs = Number(order.saved) || 0;
        const run: workerIncarnation.Run = {
            task: order.task,
            run: order.run,
            model,
            startedAt: time.now(),
            doneMs: resumedMs,
            stopsAt: undefined,
            failsEarly: faults.isFailing?.(incarnation.info.id) ?? false,
        };
        incarnation.runs.set(order.task, run);
        checks.checkStart(incarnation, model, options.onStart(incarnation, run), sentAt);
        return { kind: "accepted", workerClock: workerIncarnation.readClock(incarnation, time.now()) };
    };
    const stop = (incarnation: workerIncarnation.Incarnation, order: leader.RunOrder): leader.OrderAnswer => {
        const refusal = checkFence(incarnation, order.fencingToken);
        if (refusal) {
            return refusal;
        }
        const run = incarnation.runs.get(order.task);
        if (run && run.run <= order.run) {
            run.stopsAt ??= time.now() + options.stopMs;
        }
        incarnation.latestClosedRuns.set(
            order.task,
            Math.max(order.run, incarnation.latestClosedRuns.get(order.task) ?? 0),
        );
        return { kind: "accepted", workerClock: workerIncarnation.readClock(incarnation, time.now()) };
    };
    const checkFence = (incarnation: workerIncarnation.Incarnation, token: number): leader.OrderAnswer | undefined => {
        if (token < incarnation.fencingToken) {
            return {
                kind: "refused",
                reason: "fence",
                workerClock: workerIncarnation.readClock(incarnation, time.now()),
            };
        }
        incarnation.fencingToken = token;
        return undefined;
    };
    const extendLease = (incarnation: workerIncarnation.Incarnation, deadline: number) => {
        const expiresAt = deadline + incarnation.clockStartedAt;
        incarnation.leaseExpiresAt = Math.max(
            incarnation.leaseExpiresAt,
            Math.min(expiresAt, time.now() + options.maxLeaseMs),
        );
    };
    const poll = async (
        incarnation: workerIncarnation.Incarnation,
        order: leader.PollOrder,
    ): Promise<leader.PollAnswer> => {
        const refusal = checkFence(incarnation, order.fencingToken);
        if (refusal) {
            return refusal as leader.PollAnswer;
        }
        if (order.deadline !== undefined) {
            extendLease(incarnation, order.deadline);
        }
        checks.recordAcknowledgedEnds(incarnation, order.recordedUpTo);
        incarnation.ends = incarnation.ends.filter(entry => entry.number > order.recordedUpTo);
        if (incarnation.ends.length === 0 && order.waitMs > 0) {
            await waitForEnd(incarnation, order.waitMs);
        }
        return {
            kind: "lists",
            workerClock: workerIncarnation.readClock(incarnation, time.now()),
            startedAt: incarnation.startedAt,
            running: [...incarnation.runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                saved: run.model.checkpoints && run.doneMs >= workerIncarnation.CHECKPOINT_INTERVAL_MS
                    ? String(
                        Math.floor(run.doneMs / workerIncarnation.CHECKPOINT_INTERVAL_MS)
                            * workerIncarnation.CHECKPOINT_INTERVAL_MS,
                    )
                    : "",
                percent: getPercent(run),
                recentFigure: 0,
            })),
            ended: [...incarnation.ends],
        };
    };
    const waitForEnd = (incarnation: workerIncarnation.Incarnation, ms: number) =>
        new Promise<void>(resolve => {
            const finish = () => {
                cancel();
                incarnation.waiters.delete(finish);
                resolve();
            };
            const cancel = time.setTimer(ms, finish);
            incarnation.waiters.add(finish);
        });

    const call = async <T extends leader.OrderAnswer | leader.PollAnswer>(
        worker: leader.WorkerAddress,
        kind: "start" | "stop" | "poll" | "pace",
        timeoutMs: number,
        handle: (incarnation: workerIncarnation.Incarnation) => T | Promise<T>,
    ): Promise<T | leader.OrderAnswer> => {
        const fault = faults.decide(worker.name, kind);
        await time.sleep(options.latencyMs);
        const incarnation = incarnations.get(worker.name);
        if (incarnation?.hasSuccessor && fault !== "cut") {
            return { kind: "otherLife" };
        }
        if (!incarnation?.alive || fault === "cut") {
            await time.sleep(timeoutMs);
            return { kind: "unknown", message: "emulated: unreachable" };
        }
        switch (fault) {
            case "none": {
                const answer = await handle(incarnation);
                if (incarnation.alive) {
                    return answer;
                }
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: worker lost during the call" };
            }
            case "unwell":
                return { kind: "unwell" };
            case "loseAnswer":
                await handle(incarnation);
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: answer lost" };
            case "late":
                time.setTimer(faults.lateMs, () => {
                    const receiver = faults.isLateOrderKept ? incarnations.get(worker.name) : incarnation;
                    return void (receiver?.alive && handle(receiver));
                });
                await time.sleep(timeoutMs);
                return { kind: "unknown", message: "emulated: late" };
        }
    };

    return {
        start: (worker, order, timeoutMs) => {
            const sentAt = time.now();
            return call(worker, "start", timeoutMs, incarnation => start(incarnation, order, sentAt));
        },
        stop: (worker, order, timeoutMs) => call(worker, "stop", timeoutMs, incarnation => stop(incarnation, order)),
        pace: (worker, _order, timeoutMs) =>
            call(worker, "pace", timeoutMs, incarnation => ({
                kind: "accepted" as const,
                workerClock: workerIncarnation.readClock(incarnation, time.now()),
            })),
        poll: (worker, order, timeoutMs) =>
            call(worker, "poll", timeoutMs, incarnation => poll(incarnation, order)) as Promise<leader.PollAnswer>,
    };
}

/** Work after which a lasting task is available. */
const START_UP_MS = 500;

/** Progress in percent; of a lasting task, that of its start-up. */
function getPercent({ doneMs, model }: workerIncarnation.Run): number {
    const durationMs = Number.isFinite(model.durationMs) ? model.durationMs : START_UP_MS;
    return Math.min(100, Math.floor(100 * doneMs / durationMs));
}

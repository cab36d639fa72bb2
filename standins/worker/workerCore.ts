/** A worker's leases, fencing tokens and tasks, in memory. A running task is a timer on the clock. */
import * as crypto from "node:crypto";
import type * as clock from "../../src/clock/index";
import * as workers from "../../src/workers/index";
import type * as journal from "./journal";
import * as payloads from "./payload";

export interface WorkerCoreOptions {
    readonly id: string;
    readonly clock: clock.Clock;
    readonly capacity: workers.TaskResources;
    readonly incarnation: number;
    readonly journal: journal.Journal;
    /** Time to save a task's progress. */
    readonly checkpointMs: number;
    /** Whether a task that starts now fails immediately. */
    readonly shouldFailTasks: () => boolean;
}

/** The part of the worker port that needs no connection. */
export interface WorkerCore extends Omit<workers.Worker, "close"> {
    /** Ends all tasks and forgets them, as a crash of the worker does. */
    crash(): void;
    /** Returns the capacity that no task holds. */
    getFreeResources(): workers.TaskResources;
}

interface Task {
    readonly order: workers.TaskOrder;
    readonly payload: payloads.Payload;
    state: workers.TaskState;
    note: string;
    message: string;
    startedAt: number;
    ranMs: number;
    savedMs: number;
    entry: journal.JournalEntry | undefined;
    cancelEnd: clock.CancelTimer;
    cancelLease: clock.CancelTimer;
    readonly ended: Array<() => void>;
    expiresAt: number | undefined;
}

/** Time for which ended tasks and tombstones are kept unless they are acknowledged earlier. */
const ENDED_TASK_RETENTION_MS = 600_000;
const NO_NEEDS: workers.TaskResources = { accelerators: 0, slots: 0, cpus: 0, memoryMb: 0 };
const noop = () => undefined;

export function createWorkerCore(options: WorkerCoreOptions): WorkerCore {
    const { clock: time, id } = options;
    const startedAt = time.now();
    const tasks = new Map<string, Task>();
    /** The tasks that a sync call reports: those that hold resources, and ended ones that are not acknowledged yet. */
    const reported = new Set<Task>();
    const syncWaiters = new Set<() => void>();
    let lease: { holder: string; token: number; expiresAt: number; } | undefined;
    let lastToken = 0;
    let sequence = 0;
    let used: workers.TaskResources = NO_NEEDS;

    const fault = <T>(value: workers.WorkerFault): workers.WorkerResult<T> => ({ kind: "fault", fault: value });
    const ok = <T>(value: T): workers.WorkerResult<T> => ({ kind: "ok", value });
    const isCurrent = (token: number) => !!lease && lease.token === token && time.now() < lease.expiresAt;
    const holdsResources = (task: Task) => task.state === "prepared" || task.state === "running";

    const notifyWaiters = (task: Task) => {
        // Interactive tasks, which belong to no queue, are frequent, and `run` returns their ends; they don't wake sync
        // calls.
        if (task.order.queueZone === "") {
            return;
        }
        sequence++;
        for (const wakeWaiter of [...syncWaiters]) {
            wakeWaiter();
        }
    };

    const getStatus = (task: Task): workers.TaskStatus => ({
        taskId: task.order.taskId,
        state: task.state,
        needs: task.order.needs,
        queueZone: task.order.queueZone,
        note: task.note,
        ranMs: task.state === "running" ? time.now() - task.startedAt : task.ranMs,
        savedMs: task.savedMs,
        message: task.message,
    });

    const endTask = (task: Task, state: "finished" | "failed" | "stopped" | "tombstoned", message: string) => {
        if (holdsResources(task)) {
            used = combine(used, task.order.needs, -1);
        }
        if (task.state === "running") {
            task.ranMs = time.now() - task.startedAt;
        }
        task.cancelEnd();
        task.cancelLease();
        task.state = state;
        task.message = message;
        task.expiresAt = time.now() + ENDED_TASK_RETENTION_MS;
        if (task.entry && state !== "tombstoned") {
            task.entry.endedAt = time.now();
            task.entry.ended = state;
        }
        if (task.order.queueZone === "") {
            reported.delete(task);
        }
        for (const callback of task.ended) {
            callback();
        }
        task.ended.length = 0;
        notifyWaiters(task);
    };

    const renewTaskLease = (task: Task, leaseMs: number) => {
        task.cancelLease();
        task.cancelLease = time.setTimer(leaseMs, () => {
            if (holdsResources(task)) {
                endTask(task, task.state === "running" ? "stopped" : "tombstoned", "lease lapsed");
            }
        });
    };

    const startTask = (task: Task) => {
        task.state = "running";
        task.startedAt = time.now();
        task.entry = {
            workerId: id,
            taskId: task.order.taskId,
            account: task.order.account,
            note: task.note,
            payload: task.order.payload,
            accelerators: task.order.needs.accelerators,
            startedAt: time.now(),
            endedAt: undefined,
            ended: undefined,
        };
        options.journal.add(task.entry);
        if (task.payload.fails || options.shouldFailTasks()) {
            endTask(task, "failed", task.payload.fails ? "the work failed" : "the worker is faulty");
            return;
        }
        const remainingMs = Math.max(0, task.payload.runMs - task.order.resumeMs);
        if (remainingMs === 0) {
            // A timer takes at least a millisecond, which benchmarks would count as latency of the scheduler.
            endTask(task, "finished", "");
            return;
        }
        task.cancelEnd = time.setTimer(remainingMs, () => endTask(task, "finished", ""));
        notifyWaiters(task);
    };

    const add = (order: workers.TaskOrder): Task => {
        const task: Task = {
            order,
            payload: payloads.readPayload(order.payload),
            state: "prepared",
            note: order.note,
            message: "",
            startedAt: 0,
            ranMs: 0,
            savedMs: 0,
            entry: undefined,
            cancelEnd: noop,
            cancelLease: noop,
            ended: [],
            expiresAt: undefined,
        };
        tasks.set(order.taskId, task);
        reported.add(task);
        used = combine(used, order.needs, 1);
        renewTaskLease(task, order.leaseMs);
        return task;
    };

    const removeExpiredTasks = () => {
        const now = time.now();
        for (const [taskId, task] of tasks) {
            if (task.expiresAt !== undefined && task.expiresAt > now) {
                return;
            }
            if (task.expiresAt !== undefined) {
                tasks.delete(taskId);
                reported.delete(task);
            }
        }
    };

    const admit = (token: number, order: workers.TaskOrder): workers.WorkerResult<Task> => {
        if (!isCurrent(token)) {
            return fault({ kind: "staleToken" });
        }
        const existing = tasks.get(order.taskId);
        if (existing) {
            return existing.state === "tombstoned"
                ? fault({ kind: "tombstoned", status: getStatus(existing) })
                : ok(existing);
        }
        if (!fits(combine(used, order.needs, 1), options.capacity)) {
            return fault({ kind: "noRoom" });
        }
        return ok(add(order));
    };

    const waitForEnd = (task: Task) =>
        new Promise<void>(resolve => {
            if (holdsResources(task)) {
                task.ended.push(resolve);
            }
            else {
                resolve();
            }
        });

    const getAnswer = (task: Task): workers.TaskAnswer => {
        const body = payloads.createAnswerBody(task.payload);
        return { taskId: task.order.taskId, body, digest: crypto.createHash("sha256").update(body).digest("hex") };
    };

    const getOutcome = (task: Task): workers.WorkerResult<workers.RunOutcome> => {
        switch (task.state) {
            case "finished":
                return ok<workers.RunOutcome>({ kind: "finished", answer: getAnswer(task) });
            case "failed":
                return ok<workers.RunOutcome>({ kind: "failed", message: task.message });
            case "stopped":
                return ok<workers.RunOutcome>({ kind: "stopped" });
            case "tombstoned":
                return fault({ kind: "tombstoned", status: getStatus(task) });
            case "prepared":
            case "running":
                return fault({ kind: "notEnded" });
        }
    };

    const createTombstone = (taskId: string, note: string): Task => {
        const order: workers.TaskOrder = {
            taskId,
            account: "",
            needs: NO_NEEDS,
            queueZone: "",
            note,
            payload: "",
            leaseMs: 0,
            resumeMs: 0,
            start: false,
        };
        const task = add(order);
        endTask(task, "tombstoned", "");
        return task;
    };

    return {
        id,
        acquireLease: async (holder, ttlMs) => {
            const now = time.now();
            if (lease && lease.holder !== holder && now < lease.expiresAt) {
                return fault({ kind: "held", retryAfterMs: lease.expiresAt - now });
            }
            lastToken++;
            lease = { holder, token: lastToken, expiresAt: now + ttlMs };
            return ok({ token: lastToken, ttlMs });
        },
        releaseLease: async token => {
            if (isCurrent(token)) {
                lease = undefined;
            }
        },
        sync: async order => {
            if (!isCurrent(order.token)) {
                return fault({ kind: "staleToken" });
            }
            lease!.expiresAt = time.now() + order.ttlMs;
            for (const taskId of order.renew) {
                const task = tasks.get(taskId);
                if (task && holdsResources(task)) {
                    renewTaskLease(task, order.leaseMs);
                }
            }
            for (const taskId of order.acknowledged) {
                const task = tasks.get(taskId);
                if (task && !holdsResources(task) && task.order.queueZone !== "") {
                    tasks.delete(taskId);
                    reported.delete(task);
                }
            }
            if (sequence === order.sequence && order.waitMs > 0) {
                await new Promise<void>(resolve => {
                    const wakeWaiter = () => {
                        cancel();
                        syncWaiters.delete(wakeWaiter);
                        resolve();
                    };
                    const cancel = time.setTimer(order.waitMs, wakeWaiter);
                    syncWaiters.add(wakeWaiter);
                });
            }
            removeExpiredTasks();
            return ok({
                sequence,
                incarnation: options.incarnation,
                uptimeMs: time.now() - startedAt,
                tasks: [...reported].map(getStatus),
            });
        },
        run: async (token, order) => {
            const admitted = admit(token, order);
            if (admitted.kind === "fault") {
                return admitted;
            }
            const task = admitted.value;
            if (task.state === "prepared") {
                startTask(task);
            }
            await waitForEnd(task);
            return getOutcome(task);
        },
        create: async (token, order) => {
            const admitted = admit(token, order);
            if (admitted.kind === "fault") {
                return admitted;
            }
            if (order.start && admitted.value.state === "prepared") {
                startTask(admitted.value);
            }
            return ok(getStatus(admitted.value));
        },
        start: async (token, taskId) => {
            if (!isCurrent(token)) {
                return fault({ kind: "staleToken" });
            }
            const task = tasks.get(taskId);
            if (!task) {
                return fault({ kind: "unknownTask" });
            }
            if (task.state === "prepared") {
                startTask(task);
            }
            return ok(getStatus(task));
        },
        stop: async (token, taskId, mode, note) => {
            if (!isCurrent(token)) {
                return fault({ kind: "staleToken" });
            }
            const task = tasks.get(taskId);
            if (!task) {
                return ok(getStatus(createTombstone(taskId, note)));
            }
            if (task.state === "running" && mode === "checkpoint") {
                await time.sleep(options.checkpointMs);
                task.savedMs = task.order.resumeMs + time.now() - task.startedAt;
            }
            if (holdsResources(task)) {
                endTask(task, task.state === "running" ? "stopped" : "tombstoned", note);
            }
            return ok(getStatus(task));
        },
        getOutcome: async taskId => {
            const task = tasks.get(taskId);
            return !task || task.state === "tombstoned" ? fault({ kind: "unknownTask" }) : getOutcome(task);
        },
        crash: () => {
            for (const task of tasks.values()) {
                if (holdsResources(task)) {
                    endTask(task, task.state === "running" ? "stopped" : "tombstoned", "the worker crashed");
                }
            }
            tasks.clear();
            reported.clear();
        },
        getFreeResources: () => combine(options.capacity, used, -1),
    };
}

function combine(a: workers.TaskResources, b: workers.TaskResources, sign: 1 | -1): workers.TaskResources {
    return {
        accelerators: a.accelerators + sign * b.accelerators,
        slots: a.slots + sign * b.slots,
        cpus: a.cpus + sign * b.cpus,
        memoryMb: a.memoryMb + sign * b.memoryMb,
    };
}

function fits(used: workers.TaskResources, capacity: workers.TaskResources): boolean {
    return used.accelerators <= capacity.accelerators
        && used.slots <= capacity.slots
        && used.cpus <= capacity.cpus
        && used.memoryMb <= capacity.memoryMb;
}

/** A worker's leases, fencing tokens and tasks, in memory. A task runs by waiting until the clock says it is done. */
import * as crypto from "node:crypto";
import type * as clock from "../../src/clock/index";
import * as workers from "../../src/workers/index";
import type * as journal from "./journal";
import * as payloads from "./payload";

export interface WorkerCoreOptions {
    readonly id: string;
    readonly clock: clock.Clock;
    readonly capacity: workers.TaskNeeds;
    readonly incarnation: number;
    readonly journal: journal.Journal;
    /** How long it takes to save a task's progress. */
    readonly checkpointMs: number;
    /** Whether a task that starts now fails at once. */
    readonly shouldFailTasks: () => boolean;
}

/** The part of the port that needs no connection; `close` empties the worker as a crash would. */
export interface WorkerCore extends Omit<workers.Worker, "close"> {
    crash(): void;
    getFreeResources(): workers.TaskNeeds;
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
    forgetAt: number | undefined;
}

/** Ended interactive tasks and tombstones are remembered for this long. */
const RETENTION_MS = 600_000;
const NO_NEEDS: workers.TaskNeeds = { accelerators: 0, slots: 0, cpus: 0, memoryMb: 0 };
const nothing = () => undefined;

export function createWorkerCore(options: WorkerCoreOptions): WorkerCore {
    const { clock: time, id } = options;
    const startedAt = time.now();
    const tasks = new Map<string, Task>();
    /** The tasks that a sync call reports: those that hold resources, and ended ones that wait to be acknowledged. */
    const listed = new Set<Task>();
    const waiters = new Set<() => void>();
    let lease: { holder: string; token: number; expiresAt: number; } | undefined;
    let lastToken = 0;
    let sequence = 0;
    let used: workers.TaskNeeds = NO_NEEDS;

    const fault = <T>(value: workers.WorkerFault): workers.WorkerResult<T> => ({ kind: "fault", fault: value });
    const okay = <T>(value: T): workers.WorkerResult<T> => ({ kind: "ok", value });
    const isCurrent = (token: number) => !!lease && lease.token === token && time.now() < lease.expiresAt;
    const holdsResources = (task: Task) => task.state === "prepared" || task.state === "running";

    const noteChange = (task: Task) => {
        // Interactive tasks come by the hundred; their ends are answers of `run`, not news for the sync call.
        if (task.order.queueZone === "") {
            return;
        }
        sequence++;
        for (const wake of [...waiters]) {
            wake();
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

    const end = (task: Task, state: "finished" | "failed" | "stopped" | "tombstoned", message: string) => {
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
        task.forgetAt = time.now() + RETENTION_MS;
        if (task.entry && state !== "tombstoned") {
            task.entry.endedAt = time.now();
            task.entry.ended = state;
        }
        if (task.order.queueZone === "") {
            listed.delete(task);
        }
        for (const callback of task.ended) {
            callback();
        }
        task.ended.length = 0;
        noteChange(task);
    };

    const renewTaskLease = (task: Task, leaseMs: number) => {
        task.cancelLease();
        task.cancelLease = time.setTimer(leaseMs, () => {
            if (holdsResources(task)) {
                end(task, task.state === "running" ? "stopped" : "tombstoned", "lease lapsed");
            }
        });
    };

    const begin = (task: Task) => {
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
            end(task, "failed", task.payload.fails ? "the work failed" : "the worker is faulty");
            return;
        }
        const leftMs = Math.max(0, task.payload.runMs - task.order.resumeMs);
        if (leftMs === 0) {
            // A timer would take a millisecond at least, which would be counted as the product's.
            end(task, "finished", "");
            return;
        }
        task.cancelEnd = time.setTimer(leftMs, () => end(task, "finished", ""));
        noteChange(task);
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
            cancelEnd: nothing,
            cancelLease: nothing,
            ended: [],
            forgetAt: undefined,
        };
        tasks.set(order.taskId, task);
        listed.add(task);
        used = combine(used, order.needs, 1);
        renewTaskLease(task, order.leaseMs);
        return task;
    };

    const forgetOld = () => {
        const now = time.now();
        for (const [taskId, task] of tasks) {
            if (task.forgetAt !== undefined && task.forgetAt > now) {
                return;
            }
            if (task.forgetAt !== undefined) {
                tasks.delete(taskId);
                listed.delete(task);
            }
        }
    };

    const admit = (token: number, order: workers.TaskOrder): workers.WorkerResult<Task> => {
        if (!isCurrent(token)) {
            return fault({ kind: "staleToken" });
        }
        const known = tasks.get(order.taskId);
        if (known) {
            return known.state === "tombstoned" ? fault({ kind: "tombstoned", status: getStatus(known) }) : okay(known);
        }
        if (!fits(combine(used, order.needs, 1), options.capacity)) {
            return fault({ kind: "noRoom" });
        }
        return okay(add(order));
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
                return okay<workers.RunOutcome>({ kind: "finished", answer: getAnswer(task) });
            case "failed":
                return okay<workers.RunOutcome>({ kind: "failed", message: task.message });
            case "stopped":
                return okay<workers.RunOutcome>({ kind: "stopped" });
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
        end(task, "tombstoned", "");
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
            return okay({ token: lastToken, ttlMs });
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
                    listed.delete(task);
                }
            }
            if (sequence === order.sequence && order.waitMs > 0) {
                await new Promise<void>(resolve => {
                    const wake = () => {
                        cancel();
                        waiters.delete(wake);
                        resolve();
                    };
                    const cancel = time.setTimer(order.waitMs, wake);
                    waiters.add(wake);
                });
            }
            forgetOld();
            return okay({
                sequence,
                incarnation: options.incarnation,
                uptimeMs: time.now() - startedAt,
                tasks: [...listed].map(getStatus),
            });
        },
        run: async (token, order) => {
            const admitted = admit(token, order);
            if (admitted.kind === "fault") {
                return admitted;
            }
            const task = admitted.value;
            if (task.state === "prepared") {
                begin(task);
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
                begin(admitted.value);
            }
            return okay(getStatus(admitted.value));
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
                begin(task);
            }
            return okay(getStatus(task));
        },
        stop: async (token, taskId, mode, note) => {
            if (!isCurrent(token)) {
                return fault({ kind: "staleToken" });
            }
            const task = tasks.get(taskId);
            if (!task) {
                return okay(getStatus(createTombstone(taskId, note)));
            }
            if (task.state === "running" && mode === "checkpoint") {
                await time.sleep(options.checkpointMs);
                task.savedMs = task.order.resumeMs + time.now() - task.startedAt;
            }
            if (holdsResources(task)) {
                end(task, task.state === "running" ? "stopped" : "tombstoned", note);
            }
            return okay(getStatus(task));
        },
        getOutcome: async taskId => {
            const task = tasks.get(taskId);
            return !task || task.state === "tombstoned" ? fault({ kind: "unknownTask" }) : getOutcome(task);
        },
        crash: () => {
            for (const task of tasks.values()) {
                if (holdsResources(task)) {
                    end(task, task.state === "running" ? "stopped" : "tombstoned", "the worker crashed");
                }
            }
            tasks.clear();
            listed.clear();
        },
        getFreeResources: () => combine(options.capacity, used, -1),
    };
}

function combine(a: workers.TaskNeeds, b: workers.TaskNeeds, sign: 1 | -1): workers.TaskNeeds {
    return {
        accelerators: a.accelerators + sign * b.accelerators,
        slots: a.slots + sign * b.slots,
        cpus: a.cpus + sign * b.cpus,
        memoryMb: a.memoryMb + sign * b.memoryMb,
    };
}

function fits(used: workers.TaskNeeds, capacity: workers.TaskNeeds): boolean {
    return used.accelerators <= capacity.accelerators
        && used.slots <= capacity.slots
        && used.cpus <= capacity.cpus
        && used.memoryMb <= capacity.memoryMb;
}

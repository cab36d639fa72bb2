/** Session with one worker: a loop that holds the control lease, renews task leases and tracks the worker's tasks. */
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as result from "../result/index";
import * as taskNote from "./taskNote";
import type * as port from "./workerPort";

/** Session of a rack's owner with one worker. */
export interface WorkerSession {
    readonly workerId: string;
    readonly client: port.Worker;
    /** Fencing token while the lease, less a safety margin, is valid; no command may be sent when it is `undefined`. */
    getToken(): number | undefined;
    /** Whether the lease is valid and the worker's tasks are known. */
    isReady(): boolean;
    /** Known tasks by id. */
    getTasks(): ReadonlyMap<string, SessionTask>;
    /** Milliseconds since the last answer that granted or renewed the lease; infinite before the first. */
    getMsSinceContact(): number;
    /** Incarnation of the worker; 0 before its first report. */
    getIncarnation(): number;
    /** Records the status that a command returned. */
    recordStatus(status: port.TaskStatus): void;
    /** Allows the renewal of the task's lease, because all members of its gang run. */
    confirm(taskId: string): void;
    /** Forgets a task whose end is recorded; the worker is told with the next sync. */
    acknowledge(taskId: string): void;
    /** Holds the lease until the signal is aborted, then releases it. */
    run(signal: AbortSignal): Promise<void>;
}

/** A task of the worker. */
export interface SessionTask {
    readonly status: port.TaskStatus;
    /** Monotonic time in milliseconds at which the status was received. */
    readonly learnedAt: number;
    /** Whether all members of the task's gang are known to run, so that its lease is renewed. */
    readonly confirmed: boolean;
}

/** Options of `createWorkerSession`. */
export interface WorkerSessionOptions {
    readonly client: port.Worker;
    readonly holder: string;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly log: observe.Log;
    readonly retry: platform.RetryPolicy;
    readonly leases: LeaseTimes;
    /** Called after each change of the lease or of the known tasks. */
    readonly onChange: () => void;
    /** Whether a session that stops lets its lease expire, as in a crash, and does not release it. */
    readonly shouldKeepLease: () => boolean;
}

/** Lease durations in milliseconds, from the settings of the instance. */
export interface LeaseTimes {
    /** Duration of a worker's control lease. */
    readonly controlMs: number;
    /** Duration of a task lease. */
    readonly taskMs: number;
    /** Time by which the holder treats a control lease as expired before the worker does. */
    readonly marginMs: number;
    /** Maximum time that the worker waits for a change before it answers a sync. */
    readonly syncMs: number;
}

/**
 * Whether an owner that did not start the task may renew its lease. A task that is the only member of its gang always
 * may; a member that has run for longer than a task lease was renewed before, so its gang was confirmed.
 */
function wasConfirmedBefore(status: port.TaskStatus, leases: LeaseTimes): boolean {
    return taskNote.parseTaskNote(status.note).members === 1 || status.ranMs > leases.taskMs;
}

/** Creates a session without a lease; `run` acquires one. */
export function createWorkerSession(options: WorkerSessionOptions): WorkerSession {
    const { client, clock: time, leases, log, counters } = options;
    const tasks = new Map<string, SessionTask>();
    const acknowledged = new Set<string>();
    let token: number | undefined;
    let validUntil = -Infinity;
    let isSynced = false;
    let sequence = -1;
    let incarnation = 0;
    let lastContactAt = -Infinity;

    /**
     * After a pause of this process the lease may have expired and another instance may own the worker. The worker
     * would refuse the token anyway; the check of the clock saves the call and stops the former holder on its own.
     */
    const getToken = () => time.now() < validUntil ? token : undefined;

    const recordLease = (sentAt: number, ttlMs: number) => {
        // Measured from before the call was sent; the worker measures from its receipt, which is later.
        validUntil = sentAt + ttlMs - leases.marginMs;
        lastContactAt = time.now();
    };

    const dropLease = (cause: string) => {
        if (token !== undefined) {
            log.warn("worker lost", { worker: client.id, cause });
            counters.increment("workers.leaseLost");
        }
        token = undefined;
        validUntil = -Infinity;
        isSynced = false;
        options.onChange();
    };

    const recordStatus = (status: port.TaskStatus) => {
        const known = tasks.get(status.taskId);
        const confirmed = known?.confirmed || wasConfirmedBefore(status, leases);
        tasks.set(status.taskId, { status, learnedAt: time.now(), confirmed });
    };

    const applyReport = (report: port.SyncReport, sentAt: number) => {
        if (report.incarnation !== incarnation && incarnation !== 0) {
            log.warn("worker restarted", { worker: client.id, incarnation: report.incarnation });
            tasks.clear();
        }
        incarnation = report.incarnation;
        sequence = report.sequence;
        const reportedIds = new Set(report.tasks.map(status => status.taskId));
        for (const [taskId, task] of tasks) {
            // The report may predate a command whose answer has already been received.
            if (!reportedIds.has(taskId) && task.learnedAt < sentAt) {
                tasks.delete(taskId);
            }
        }
        for (const status of report.tasks) {
            recordStatus(status);
        }
        isSynced = true;
        options.onChange();
    };

    /**
     * Renews a member's lease only when all members of its gang are known to run. If the queue owner crashes between
     * two start commands, the started members stop when their leases expire; otherwise they would run indefinitely.
     */
    const getRenewable = (): string[] =>
        [...tasks.values()]
            .filter(task => task.status.state === "running" && task.status.queueZone !== "" && task.confirmed)
            .map(task => task.status.taskId);

    const sync = async (waitMs: number): Promise<boolean> => {
        const sentAt = time.now();
        const acknowledgedNow = [...acknowledged];
        const answer = await client.sync({
            token: token!,
            ttlMs: leases.controlMs,
            renew: getRenewable(),
            leaseMs: leases.taskMs,
            acknowledged: acknowledgedNow,
            waitMs,
            sequence,
        });
        if (answer.kind === "fault") {
            return answer.fault.kind === "lost" || answer.fault.kind === "unreachable"
                ? getToken() !== undefined
                : false;
        }
        for (const taskId of acknowledgedNow) {
            acknowledged.delete(taskId);
        }
        recordLease(sentAt, leases.controlMs);
        applyReport(answer.value, sentAt);
        return true;
    };

    const holdLease = async (signal: AbortSignal): Promise<string> => {
        const sentAt = time.now();
        const lease = await client.acquireLease(options.holder, leases.controlMs);
        if (lease.kind === "fault") {
            return lease.fault.kind;
        }
        token = lease.value.token;
        sequence = -1;
        recordLease(sentAt, leases.controlMs);
        for (let waitMs = 0; !signal.aborted; waitMs = leases.syncMs) {
            const previousContactAt = lastContactAt;
            if (!await sync(waitMs)) {
                return "lease lapsed";
            }
            if (lastContactAt === previousContactAt) {
                await time.sleep(options.retry.getDelay(1), signal);
            }
        }
        return "aborted";
    };

    return {
        workerId: client.id,
        client,
        getToken,
        isReady: () => isSynced && getToken() !== undefined,
        getTasks: () => tasks,
        getMsSinceContact: () => time.now() - lastContactAt,
        getIncarnation: () => incarnation,
        recordStatus: status => {
            recordStatus(status);
            options.onChange();
        },
        confirm: taskId => {
            const task = tasks.get(taskId);
            if (task) {
                tasks.set(taskId, { ...task, confirmed: true });
            }
        },
        acknowledge: taskId => {
            acknowledged.add(taskId);
            tasks.delete(taskId);
        },
        run: async signal => {
            for (let attempt = 1; !signal.aborted; attempt++) {
                let cause: string;
                const startedAt = time.now();
                try {
                    cause = await holdLease(signal);
                }
                catch (err) {
                    cause = result.getErrorMessage(err);
                }
                if (signal.aborted) {
                    break;
                }
                dropLease(cause);
                attempt = time.now() - startedAt > leases.controlMs ? 1 : attempt;
                await time.sleep(options.retry.getDelay(attempt), signal);
            }
            const held = getToken();
            if (held !== undefined && !options.shouldKeepLease()) {
                await client.releaseLease(held);
            }
            token = undefined;
            validUntil = -Infinity;
        },
    };
}

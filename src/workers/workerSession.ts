/** The connection to one worker: a loop that holds the control lease, renews task leases and learns what runs. */
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as result from "../result/index";
import * as taskNote from "./taskNote";
import type * as port from "./workerPort";

export interface WorkerSession {
    readonly workerId: string;
    readonly client: port.Worker;
    /** The fencing token, if the lease is valid now with the margin taken off; `undefined` forbids any command. */
    getToken(): number | undefined;
    /** Whether the lease is valid and the worker's tasks are known. */
    isReady(): boolean;
    getTasks(): ReadonlyMap<string, SessionTask>;
    /** Milliseconds since the worker was last heard. */
    getSilentMs(): number;
    getIncarnation(): number;
    /** Takes in the status that a command returned. */
    noteStatus(status: port.TaskStatus): void;
    /** The gang of this task runs whole: its lease may be renewed. */
    confirm(taskId: string): void;
    /** The end of this task is recorded: the worker may forget it. */
    acknowledge(taskId: string): void;
    /** Holds the lease until the signal is aborted, then releases it. */
    run(signal: AbortSignal): Promise<void>;
}

export interface SessionTask {
    readonly status: port.TaskStatus;
    /** Monotonic time at which the status was learned. */
    readonly learnedAt: number;
    readonly confirmed: boolean;
}

export interface WorkerSessionOptions {
    readonly client: port.Worker;
    readonly holder: string;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly log: observe.Log;
    readonly retry: platform.RetryPolicy;
    readonly leases: LeaseTimes;
    /** Called after each change of what is known of the worker. */
    readonly onChange: () => void;
    /** Whether a stopping session leaves its lease to lapse, as a crash would. */
    readonly keepsLease: () => boolean;
}

/** In milliseconds; see the instance's settings. */
export interface LeaseTimes {
    readonly controlMs: number;
    readonly taskMs: number;
    readonly marginMs: number;
    readonly syncMs: number;
}

/**
 * Whether an owner that did not start the task may renew it: a task of its own always, and a gang member that runs longer
 * than a task lease, since it must have been renewed before, so its gang was confirmed.
 */
function wasConfirmedBefore(status: port.TaskStatus, leases: LeaseTimes): boolean {
    return taskNote.readNote(status.note).members === 1 || status.ranMs > leases.taskMs;
}

export function createWorkerSession(options: WorkerSessionOptions): WorkerSession {
    const { client, clock: time, leases, log, counters } = options;
    const tasks = new Map<string, SessionTask>();
    const acknowledged = new Set<string>();
    let token: number | undefined;
    let validUntil = -Infinity;
    let synced = false;
    let sequence = -1;
    let incarnation = 0;
    let heardAt = -Infinity;

    /**
     * After a pause of this process the lease may have lapsed and another instance may own the worker. The worker would
     * refuse the token anyway; looking at the clock before each use saves the call and stops the holder by itself.
     */
    const getToken = () => time.now() < validUntil ? token : undefined;

    const noteLease = (sentAt: number, ttlMs: number) => {
        // Counted from before the call was sent: the worker counts from its receipt, which is later.
        validUntil = sentAt + ttlMs - leases.marginMs;
        heardAt = time.now();
    };

    const lose = (cause: string) => {
        if (token !== undefined) {
            log.warn("worker lost", { worker: client.id, cause });
            counters.increment("workers.leaseLost");
        }
        token = undefined;
        validUntil = -Infinity;
        synced = false;
        options.onChange();
    };

    const noteStatus = (status: port.TaskStatus) => {
        const known = tasks.get(status.taskId);
        const confirmed = known?.confirmed || wasConfirmedBefore(status, leases);
        tasks.set(status.taskId, { status, learnedAt: time.now(), confirmed });
    };

    const noteReport = (report: port.SyncReport, sentAt: number) => {
        if (report.incarnation !== incarnation && incarnation !== 0) {
            log.warn("worker restarted", { worker: client.id, incarnation: report.incarnation });
            tasks.clear();
        }
        incarnation = report.incarnation;
        sequence = report.sequence;
        const listed = new Set(report.tasks.map(status => status.taskId));
        for (const [taskId, task] of tasks) {
            // A report may have been written before a command took effect whose answer is known already.
            if (!listed.has(taskId) && task.learnedAt < sentAt) {
                tasks.delete(taskId);
            }
        }
        for (const status of report.tasks) {
            noteStatus(status);
        }
        synced = true;
        options.onChange();
    };

    /**
     * Half-started gangs die of themselves: a member's lease is renewed only when all members are known to run. Without
     * this rule a queue owner that dies between two start commands would leave part of a gang running for ever.
     */
    const getRenewable = (): string[] =>
        [...tasks.values()]
            .filter(task => task.status.state === "running" && task.status.queueZone !== "" && task.confirmed)
            .map(task => task.status.taskId);

    const sync = async (waitMs: number): Promise<boolean> => {
        const sentAt = time.now();
        const acks = [...acknowledged];
        const answer = await client.sync({
            token: token!,
            ttlMs: leases.controlMs,
            renew: getRenewable(),
            leaseMs: leases.taskMs,
            acknowledged: acks,
            waitMs,
            sequence,
        });
        if (answer.kind === "fault") {
            return answer.fault.kind === "lost" || answer.fault.kind === "unreachable"
                ? getToken() !== undefined
                : false;
        }
        for (const taskId of acks) {
            acknowledged.delete(taskId);
        }
        noteLease(sentAt, leases.controlMs);
        noteReport(answer.value, sentAt);
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
        noteLease(sentAt, leases.controlMs);
        for (let waitMs = 0; !signal.aborted; waitMs = leases.syncMs) {
            const heardBefore = heardAt;
            if (!await sync(waitMs)) {
                return "lease lapsed";
            }
            if (heardAt === heardBefore) {
                await time.sleep(options.retry.getDelay(1), signal);
            }
        }
        return "aborted";
    };

    return {
        workerId: client.id,
        client,
        getToken,
        isReady: () => synced && getToken() !== undefined,
        getTasks: () => tasks,
        getSilentMs: () => time.now() - heardAt,
        getIncarnation: () => incarnation,
        noteStatus: status => {
            noteStatus(status);
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
                lose(cause);
                attempt = time.now() - startedAt > leases.controlMs ? 1 : attempt;
                await time.sleep(options.retry.getDelay(attempt), signal);
            }
            const held = getToken();
            if (held !== undefined && !options.keepsLease()) {
                await client.releaseLease(held);
            }
            token = undefined;
            validUntil = -Infinity;
        },
    };
}

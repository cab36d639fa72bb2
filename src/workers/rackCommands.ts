/** Executes the queue owner's commands on the workers of a rack. */
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import type * as rackAllocations from "./rackAllocations";
import * as port from "./workerPort";
import type * as workerSession from "./workerSession";

/** Commands for the workers of one rack. */
export interface RackCommands {
    /** Executes all commands concurrently; the results are in their order. */
    execute(command: peer.RackCommand): Promise<peer.RackCommandReply>;
}

interface RackCommandsOptions {
    readonly sessions: ReadonlyMap<string, workerSession.WorkerSession>;
    readonly allocations: rackAllocations.RackAllocations;
    readonly leases: workerSession.LeaseTimes;
    /** Whether the worker must not take new tasks. */
    readonly isDrained: (workerId: string) => boolean;
    readonly counters: observe.Counters;
}

/** Creates the executor of a rack's commands. */
export function createRackCommands(options: RackCommandsOptions): RackCommands {
    const { sessions, allocations, counters } = options;

    const toResult = (
        session: workerSession.WorkerSession,
        answered: port.WorkerResult<port.TaskStatus>,
    ): peer.CommandResult => {
        if (answered.kind === "ok") {
            session.recordStatus(answered.value);
            return statusResult(session.workerId, answered.value);
        }
        counters.increment(`commands.${answered.fault.kind}`);
        switch (answered.fault.kind) {
            case "lost":
                return unknown(answered.fault.message);
            case "held":
            case "staleToken":
            case "noRoom":
            case "tombstoned":
            case "unknownTask":
            case "notEnded":
            case "unreachable":
                return refused(answered.fault.kind);
        }
    };

    const execute = async (command: peer.TaskCommand): Promise<peer.CommandResult> => {
        const session = sessions.get(command.workerId);
        const token = session?.getToken();
        if (!session || token === undefined) {
            return refused("unreachable");
        }
        const { action } = command;
        switch (action?.$case) {
            case "create": {
                const order = toTaskOrder(action.value, options.leases.taskMs);
                // The order may repeat one whose answer was lost; the resources of a known task are already allocated.
                const isNew = !session.getTasks().has(order.taskId);
                if (isNew && (options.isDrained(session.workerId) || !allocations.hasRoom(session, order.needs))) {
                    return refused("noRoom");
                }
                return toResult(session, await session.client.create(token, order));
            }
            case "start":
                return toResult(session, await session.client.start(token, action.value.taskId));
            case "confirm": {
                session.confirm(action.value.taskId);
                const task = session.getTasks().get(action.value.taskId);
                return task ? statusResult(session.workerId, task.status) : refused("unknownTask");
            }
            case "stop": {
                const mode = action.value.mode === "checkpoint" ? port.StopMode.Checkpoint : port.StopMode.Tombstone;
                return toResult(session, await session.client.stop(token, action.value.taskId, mode, ""));
            }
            case undefined:
                return refused("unknownCommand");
        }
    };

    return {
        execute: async command => ({ owner: true, results: await Promise.all(command.commands.map(execute)) }),
    };
}

/** Converts a task to its entry in a rack report; without an answer the digest is empty and the length 0. */
export function toTaskReport(
    workerId: string,
    task: workerSession.SessionTask,
    answer: { readonly digest: string; readonly length: number; } | undefined,
): peer.TaskReport {
    const { status } = task;
    return {
        taskId: status.taskId,
        workerId,
        state: status.state,
        needs: status.needs,
        queueZone: status.queueZone,
        note: status.note,
        ranMs: status.ranMs,
        savedMs: status.savedMs,
        message: status.message,
        confirmed: task.confirmed,
        answerDigest: answer?.digest ?? "",
        answerLength: answer?.length ?? 0,
    };
}

function statusResult(workerId: string, status: port.TaskStatus): peer.CommandResult {
    const report = toTaskReport(workerId, { status, learnedAt: 0, confirmed: false }, undefined);
    return { result: { $case: "status", value: report } };
}

function refused(reason: string): peer.CommandResult {
    return { result: { $case: "refused", value: { reason } } };
}

function unknown(message: string): peer.CommandResult {
    return { result: { $case: "unknown", value: { message } } };
}

function toTaskOrder(create: peer.TaskCreate, leaseMs: number): port.TaskOrder {
    return {
        taskId: create.taskId,
        account: create.account,
        needs: create.needs!,
        queueZone: create.queueZone,
        note: create.note,
        payload: create.payload,
        leaseMs,
        resumeMs: create.resumeMs,
        start: create.start,
    };
}

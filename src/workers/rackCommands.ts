/** Carries out the queue owner's commands at the workers of a rack. */
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import type * as rackBooks from "./rackBooks";
import * as port from "./workerPort";
import type * as workerSession from "./workerSession";

export interface RackCommands {
    execute(command: peer.RackCommand): Promise<peer.RackCommandReply>;
}

interface RackCommandsOptions {
    readonly sessions: ReadonlyMap<string, workerSession.WorkerSession>;
    readonly books: rackBooks.RackBooks;
    readonly leases: workerSession.LeaseTimes;
    /** Whether the worker takes no new tasks. */
    readonly isClosed: (workerId: string) => boolean;
    readonly counters: observe.Counters;
}

export function createRackCommands(options: RackCommandsOptions): RackCommands {
    const { sessions, books, counters } = options;

    const toResult = (
        session: workerSession.WorkerSession,
        answered: port.WorkerResult<port.TaskStatus>,
    ): peer.CommandResult => {
        if (answered.kind === "ok") {
            session.noteStatus(answered.value);
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
                const order = toOrder(action.value, options.leases.taskMs);
                // The order may be a repetition whose first answer was lost: a known task counts already.
                const isNew = !session.getTasks().has(order.taskId);
                if (isNew && (options.isClosed(session.workerId) || !books.hasRoom(session, order.needs))) {
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

function toOrder(create: peer.TaskCreate, leaseMs: number): port.TaskOrder {
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

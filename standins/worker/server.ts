/** Serves a stand-in worker over HTTP, with faults. */
import * as z from "zod";
import type * as clock from "../../src/clock/index";
import type * as random from "../../src/random/index";
import type * as workers from "../../src/workers/index";
import * as httpServer from "../httpServer";
import * as faults from "../platform/faults";
import type * as journal from "./journal";
import * as payloads from "./payload";
import type * as workerCore from "./workerCore";

const needsSchema = z.object({ accelerators: z.number(), slots: z.number(), cpus: z.number(), memoryMb: z.number() });
const orderSchema = z.object({
    taskId: z.string(),
    account: z.string(),
    needs: needsSchema,
    queueZone: z.string(),
    note: z.string(),
    payload: z.string(),
    leaseMs: z.number(),
    resumeMs: z.number(),
    start: z.boolean(),
});
const leaseSchema = z.object({ holder: z.string(), ttlMs: z.number() });
const tokenSchema = z.object({ token: z.number() });
const syncSchema = z.object({
    token: z.number(),
    ttlMs: z.number(),
    renew: z.array(z.string()),
    leaseMs: z.number(),
    acknowledged: z.array(z.string()),
    waitMs: z.number(),
    sequence: z.number(),
});
const taskOrderSchema = z.object({ token: z.number(), order: orderSchema });
const taskSchema = z.object({ token: z.number(), taskId: z.string() });
const stopSchema = z.object({
    token: z.number(),
    taskId: z.string(),
    mode: z.enum(["tombstone", "checkpoint"]),
    note: z.string(),
});
const outcomeSchema = z.object({ taskId: z.string() });

export interface WorkerServerOptions {
    readonly clock: clock.Clock;
    readonly rng: random.Random;
    readonly core: workerCore.WorkerCore;
    readonly faults: WorkerFaultSwitch;
    /** Served at `/journal`; without it the path returns an empty list. */
    readonly journal?: journal.Journal;
}

/** The active faults of one worker. */
export interface WorkerFaultSwitch {
    get(): faults.WorkerFaults;
    set(changed: Partial<faults.WorkerFaults>): void;
}

export function createFaultSwitch(): WorkerFaultSwitch {
    let current = faults.workerFaultsSchema.parse({});
    return {
        get: () => current,
        set: changed => {
            current = faults.workerFaultsSchema.parse({ ...current, ...changed });
        },
    };
}

const PAUSE_POLL_MS = 20;
const STATUS_FAULT = 409;
const STATUS_ENDED = 422;

export function startWorkerServer(
    host: string,
    port: number,
    options: WorkerServerOptions,
): Promise<httpServer.StandinServer> {
    const { core, rng } = options;
    const getFaults = options.faults.get;
    let previousTaskId = "";

    const toRunResponse = (
        coreResult: workers.WorkerResult<workers.RunOutcome>,
    ): httpServer.StandinResponse | undefined => {
        if (coreResult.kind === "fault") {
            return { status: STATUS_FAULT, body: coreResult.fault };
        }
        if (coreResult.value.kind !== "finished") {
            return { status: STATUS_ENDED, body: coreResult.value };
        }
        return toAnswerResponse(coreResult.value.answer);
    };

    const toAnswerResponse = (answer: workers.TaskAnswer): httpServer.StandinResponse => {
        const truncated = rng.nextFloat() < getFaults().truncateAnswers;
        const crossed = rng.nextFloat() < getFaults().crossAnswers && previousTaskId !== "";
        const headers = { "x-task-id": crossed ? previousTaskId : answer.taskId, "x-digest": answer.digest };
        previousTaskId = answer.taskId;
        return {
            status: 200,
            headers,
            body: truncated ? answer.body.subarray(0, answer.body.length >> 1) : answer.body,
        };
    };

    const toResponse = <T>(coreResult: workers.WorkerResult<T>): httpServer.StandinResponse =>
        coreResult.kind === "ok"
            ? { status: 200, body: coreResult.value }
            : { status: STATUS_FAULT, body: coreResult.fault };

    const execute = async (path: string, text: string): Promise<httpServer.StandinResponse | undefined> => {
        const body: unknown = JSON.parse(text);
        switch (path) {
            case "/lease": {
                const { holder, ttlMs } = leaseSchema.parse(body);
                return toResponse(await core.acquireLease(holder, ttlMs));
            }
            case "/release":
                await core.releaseLease(tokenSchema.parse(body).token);
                return { status: 200, body: {} };
            case "/sync":
                return toResponse(await core.sync(syncSchema.parse(body)));
            case "/run": {
                const { token, order } = taskOrderSchema.parse(body);
                return toRunResponse(await core.run(token, order, 0));
            }
            case "/tasks": {
                const { token, order } = taskOrderSchema.parse(body);
                return toResponse(await core.create(token, order));
            }
            case "/tasks/start": {
                const { token, taskId } = taskSchema.parse(body);
                return toResponse(await core.start(token, taskId));
            }
            case "/tasks/stop": {
                const { token, taskId, mode, note } = stopSchema.parse(body);
                return toResponse(await core.stop(token, taskId, mode, note));
            }
            case "/tasks/outcome":
                return toRunResponse(await core.getOutcome(outcomeSchema.parse(body).taskId));
            default:
                return { status: 404, body: { message: "no such call" } };
        }
    };

    return httpServer.startServer(host, port, async (_method, path, body) => {
        if (path === "/faults") {
            options.faults.set(faults.workerFaultsSchema.partial().parse(JSON.parse(body.toString("utf8"))));
            return { status: 200, body: getFaults() };
        }
        if (path === "/journal") {
            return { status: 200, body: options.journal?.getEntries() ?? [] };
        }
        if (path === "/direct") {
            // Runs the payload without a lease and a task; benchmarks compare with this latency.
            return { status: 200, body: payloads.createAnswerBody(payloads.readPayload(body.toString("utf8"))) };
        }
        while (getFaults().paused) {
            await options.clock.sleep(PAUSE_POLL_MS);
        }
        if (getFaults().down) {
            return undefined;
        }
        if (getFaults().slowMs > 0) {
            await options.clock.sleep(getFaults().slowMs);
        }
        const answer = await execute(path, body.toString("utf8"));
        const isResponseLost = path !== "/sync" && rng.nextFloat() < getFaults().loseAnswers;
        return isResponseLost || getFaults().down ? undefined : answer;
    });
}

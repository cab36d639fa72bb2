/** HTTP client for one worker, built on undici. docs/PLATFORM.md lists the calls. */
import * as undici from "undici";
import * as z from "zod";
import * as http from "../http/index";
import * as result from "../result/index";
import * as port from "./workerPort";

/** Options of `createHttpWorker`. */
export interface HttpWorkerOptions {
    readonly id: string;
    /** `host:port` of the worker. */
    readonly address: string;
    /** Maximum number of connections to the worker; further requests wait for one. */
    readonly connections: number;
    /** Timeout for calls that the worker answers immediately. */
    readonly timeoutMs: number;
    /** Maximum size of a response body. */
    readonly maxAnswerBytes: number;
}

const needsSchema = z.object({ accelerators: z.number(), slots: z.number(), cpus: z.number(), memoryMb: z.number() });
const statusSchema = z.object({
    taskId: z.string(),
    state: z.enum(["prepared", "running", "finished", "failed", "stopped", "tombstoned"]),
    needs: needsSchema,
    queueZone: z.string(),
    note: z.string(),
    ranMs: z.number(),
    savedMs: z.number(),
    message: z.string(),
});
const leaseSchema = z.object({ token: z.number().int().positive(), ttlMs: z.number().positive() });
const reportSchema = z.object({
    sequence: z.number().int(),
    incarnation: z.number().int(),
    uptimeMs: z.number(),
    tasks: z.array(statusSchema),
});
const faultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("held"), retryAfterMs: z.number() }),
    z.object({ kind: z.literal("staleToken") }),
    z.object({ kind: z.literal("noRoom") }),
    z.object({ kind: z.literal("tombstoned"), status: statusSchema }),
    z.object({ kind: z.literal("unknownTask") }),
    z.object({ kind: z.literal("notEnded") }),
]);

interface WorkerCall {
    readonly path: string;
    readonly body?: unknown;
    readonly timeoutMs: number;
}

interface RawResponse {
    readonly statusCode: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Uint8Array;
}

/** Creates a client with its own connection pool; `close` destroys the pool. */
export function createHttpWorker(options: HttpWorkerOptions): port.Worker {
    const pool = new undici.Pool(`http://${options.address}`, {
        connections: options.connections,
        connect: { timeout: options.timeoutMs },
        pipelining: 1,
    });

    const sendRequest = async (call: WorkerCall): Promise<port.WorkerResult<RawResponse>> => {
        try {
            const res = await pool.request({
                method: "POST",
                path: call.path,
                body: JSON.stringify(call.body ?? {}),
                headers: { "content-type": "application/json" },
                headersTimeout: call.timeoutMs,
                bodyTimeout: call.timeoutMs,
            });
            const body = await http.readBounded(res.body, options.maxAnswerBytes);
            return { kind: "ok", value: { statusCode: res.statusCode, headers: res.headers, body } };
        }
        catch (err) {
            const kind = http.wasNeverSent(err) ? "unreachable" : "lost";
            return { kind: "fault", fault: { kind, message: result.getErrorMessage(err) } };
        }
    };

    const callJson = async <T>(call: WorkerCall, schema: z.ZodType<T>): Promise<port.WorkerResult<T>> => {
        const raw = await sendRequest(call);
        if (raw.kind === "fault") {
            return raw;
        }
        try {
            const parsed: unknown = JSON.parse(Buffer.from(raw.value.body).toString("utf8"));
            return raw.value.statusCode === 200
                ? { kind: "ok", value: schema.parse(parsed) }
                : { kind: "fault", fault: faultSchema.parse(parsed) };
        }
        catch (err) {
            return { kind: "fault", fault: { kind: "lost", message: result.getErrorMessage(err) } };
        }
    };

    return {
        id: options.id,
        acquireLease: (holder, ttlMs) =>
            callJson({ path: "/lease", body: { holder, ttlMs }, timeoutMs: options.timeoutMs }, leaseSchema),
        releaseLease: async token => {
            await sendRequest({ path: "/release", body: { token }, timeoutMs: options.timeoutMs });
        },
        sync: order =>
            callJson({ path: "/sync", body: order, timeoutMs: options.timeoutMs + order.waitMs }, reportSchema),
        run: async (token, order, timeoutMs) => {
            const raw = await sendRequest({ path: "/run", body: { token, order }, timeoutMs });
            return raw.kind === "fault" ? raw : readRunOutcome(raw.value);
        },
        create: (token, order) =>
            callJson({ path: "/tasks", body: { token, order }, timeoutMs: options.timeoutMs }, statusSchema),
        start: (token, taskId) =>
            callJson({ path: "/tasks/start", body: { token, taskId }, timeoutMs: options.timeoutMs }, statusSchema),
        stop: (token, taskId, mode, note) =>
            callJson(
                { path: "/tasks/stop", body: { token, taskId, mode, note }, timeoutMs: options.timeoutMs },
                statusSchema,
            ),
        getOutcome: async taskId => {
            const raw = await sendRequest({ path: "/tasks/outcome", body: { taskId }, timeoutMs: options.timeoutMs });
            return raw.kind === "fault" ? raw : readRunOutcome(raw.value);
        },
        close: () => pool.destroy(),
    };
}

/** Response headers that hold the task id and the digest of the body. */
const TASK_HEADER = "x-task-id";
const DIGEST_HEADER = "x-digest";

function readRunOutcome(raw: RawResponse): port.WorkerResult<port.RunOutcome> {
    if (raw.statusCode === 200) {
        const answer = {
            taskId: String(raw.headers[TASK_HEADER] ?? ""),
            digest: String(raw.headers[DIGEST_HEADER] ?? ""),
            body: raw.body,
        };
        return { kind: "ok", value: { kind: "finished", answer } };
    }
    try {
        const parsed: unknown = JSON.parse(Buffer.from(raw.body).toString("utf8"));
        const ended = runEndSchema.safeParse(parsed);
        return ended.success
            ? { kind: "ok", value: ended.data }
            : { kind: "fault", fault: faultSchema.parse(parsed) };
    }
    catch (err) {
        return { kind: "fault", fault: { kind: "lost", message: result.getErrorMessage(err) } };
    }
}

const runEndSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("failed"), message: z.string() }),
    z.object({ kind: z.literal("stopped") }),
]);

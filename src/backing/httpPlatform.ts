/** Client of the platform's services over HTTP and JSON. docs/PLATFORM.md lists the calls. */
import * as undici from "undici";
import * as z from "zod";
import * as http from "../http/index";
import * as result from "../result/index";
import type * as membershipList from "./membershipList";
import type * as platform from "./platform";
import type * as tableService from "./tableService";

export interface HttpPlatformOptions {
    /** Origin of the platform's services, for instance `http://10.0.0.5:7000`. */
    readonly origin: string;
    /** Timeout of a write; for a read, the maximum time until the answer begins and between two of its parts. */
    readonly timeoutMs: number;
    /** Size of the connection pool. */
    readonly connections: number;
}

/**
 * Bounds a read whose answer never ends. Rows and objects, for instance a configuration, have no maximum length, so the
 * timeout of a call bounds only the time without data: applied to the whole answer, it would abort and repeat the read
 * of a large configuration over a slow link forever. 26 MB arrive within this time at 7 Mbit/s.
 */
const MAX_ANSWER_MS = 30_000;

const rowSchema = z.object({ key: z.string(), version: z.number().int().nonnegative(), value: z.string() });
const getSchema = z.object({ rows: z.array(rowSchema.nullable()) });
const scanSchema = z.object({ rows: z.array(rowSchema) });
const transactSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("committed"), versions: z.array(z.number().int().nonnegative()) }),
    z.object({ kind: z.literal("conflict") }),
]);
const stateSchema = z.enum(["live", "leaving"]);
const snapshotSchema = z.object({
    instances: z.array(z.object({ id: z.string(), zone: z.string(), peerAddress: z.string(), state: stateSchema })),
    workers: z.array(z.object({ id: z.string(), state: stateSchema })),
});

/** Creates a client with its own connection pool. `close` aborts the calls in progress. */
export function createHttpPlatform(options: HttpPlatformOptions): platform.Platform & { close(): Promise<void>; } {
    const pool = new undici.Pool(options.origin, {
        connections: options.connections,
        connect: { timeout: options.timeoutMs },
        headersTimeout: options.timeoutMs,
        bodyTimeout: options.timeoutMs,
    });
    const call = (method: "GET" | "POST" | "PUT", path: string, body?: string | Uint8Array, signal?: AbortSignal) =>
        pool.request({
            method,
            path,
            body,
            headers: { "content-type": typeof body === "string" ? "application/json" : "application/octet-stream" },
            signal: signal ?? AbortSignal.timeout(options.timeoutMs),
        });
    /** Sends a read. The timeout bounds the time until the answer begins; the pool bounds the time between parts. */
    const sendRead = async (method: "GET" | "POST", path: string, body?: string) => {
        const beginTimeout = new AbortController();
        const timer = setTimeout(() => beginTimeout.abort(), options.timeoutMs);
        try {
            return await call(
                method,
                path,
                body,
                AbortSignal.any([beginTimeout.signal, AbortSignal.timeout(MAX_ANSWER_MS)]),
            );
        }
        finally {
            clearTimeout(timer);
        }
    };
    const parse = async <T>(res: undici.Dispatcher.ResponseData, schema: z.ZodType<T>): Promise<T> => {
        const parsed: unknown = await res.body.json();
        if (res.statusCode !== 200) {
            throw new HttpStatusError(res.statusCode);
        }
        return schema.parse(parsed);
    };
    const post: Post = async (path, body, schema) => parse(await call("POST", path, JSON.stringify(body)), schema);
    const postRead: Post = async (path, body, schema) =>
        parse(await sendRead("POST", path, JSON.stringify(body)), schema);
    return {
        table: createTable(post, postRead),
        objects: {
            put: async (key, body) => {
                try {
                    const res = await call("PUT", `/objects/${encodeURIComponent(key)}`, body);
                    await res.body.dump();
                    return res.statusCode === 200;
                }
                catch {
                    return false;
                }
            },
            get: async key => {
                try {
                    const res = await sendRead("GET", `/objects/${encodeURIComponent(key)}`);
                    const body = new Uint8Array(await res.body.arrayBuffer());
                    if (res.statusCode === 200) {
                        return { kind: "found", body };
                    }
                    return res.statusCode === 404 ? { kind: "absent" } : { kind: "unavailable" };
                }
                catch {
                    return { kind: "unavailable" };
                }
            },
        },
        membership: createMembershipList(post),
        close: () => pool.destroy(),
    };
}

type Post = <T>(path: string, body: unknown, schema: z.ZodType<T>) => Promise<T>;

function createTable(post: Post, postRead: Post): tableService.TableService {
    const read = async <T>(path: string, body: unknown, schema: z.ZodType<{ rows: T; }>) => {
        try {
            return { kind: "read" as const, value: (await postRead(path, body, schema)).rows };
        }
        catch (err) {
            return { kind: "unavailable" as const, message: result.getErrorMessage(err) };
        }
    };
    return {
        get: async keys => {
            const rows = await read("/table/get", { keys }, getSchema);
            return rows.kind === "read" ? { kind: "read", value: rows.value.map(row => row ?? undefined) } : rows;
        },
        scan: (prefix, after, limit) => read("/table/scan", { prefix, after, limit }, scanSchema),
        transact: async writes => {
            try {
                return await post("/table/transact", { writes }, transactSchema);
            }
            catch (err) {
                return { kind: wasNotExecuted(err) ? "unavailable" : "unknown", message: result.getErrorMessage(err) };
            }
        },
    };
}

function createMembershipList(post: Post): membershipList.MembershipList {
    return {
        list: async () => {
            try {
                return await post("/membership/list", {}, snapshotSchema);
            }
            catch {
                return undefined;
            }
        },
        announce: async entry => {
            try {
                await post("/membership/announce", { kind: "instance", ...entry }, z.unknown());
                return true;
            }
            catch {
                return false;
            }
        },
    };
}

// `throw` needs an Error object to carry the status, and only a class can extend Error.
// eslint-disable-next-line no-restricted-syntax
class HttpStatusError extends Error {
    constructor(readonly status: number) {
        super(`status ${status}`);
    }
}

const STATUS_NOT_EXECUTED: readonly number[] = [400, 413, 429, 503];

/**
 * Whether a failed write certainly did not take effect. Counting a write with a lost answer among these would report a
 * recorded job as "not run". So only errors from before the request was sent count, and statuses that mean that the
 * service executed nothing.
 */
function wasNotExecuted(err: unknown): boolean {
    if (err instanceof HttpStatusError) {
        return STATUS_NOT_EXECUTED.includes(err.status);
    }
    return http.wasNeverSent(err);
}

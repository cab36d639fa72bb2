/** Client of the platform's services over HTTP and JSON, by undici. docs/PLATFORM.md lists the calls. */
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
    readonly timeoutMs: number;
    readonly connections: number;
}

/**
 * Rows and objects have no bound in length: one may hold a configuration. With the timeout of a call for the whole of
 * it, a weak link never carries one that has grown: it is given up while it is coming, and asked for anew. So silence
 * ends a read, and this only an answer that never ends; 26 MB come in the time at 7 Mbit/s.
 */
const MOST_ANSWER_MS = 30_000;

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
    /** Of a read: the timeout bounds the time to the first byte, and then, by the pool, from one part to the next. */
    const callToRead = async (method: "GET" | "POST", path: string, body?: string) => {
        const silence = new AbortController();
        const timer = setTimeout(() => silence.abort(), options.timeoutMs);
        try {
            return await call(
                method,
                path,
                body,
                AbortSignal.any([silence.signal, AbortSignal.timeout(MOST_ANSWER_MS)]),
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
    const postToRead: Post = async (path, body, schema) =>
        parse(await callToRead("POST", path, JSON.stringify(body)), schema);
    return {
        table: createTable(post, postToRead),
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
                    const res = await callToRead("GET", `/objects/${encodeURIComponent(key)}`);
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

function createTable(post: Post, postToRead: Post): tableService.TableService {
    const read = async <T>(path: string, body: unknown, schema: z.ZodType<{ rows: T; }>) => {
        try {
            return { kind: "read" as const, value: (await postToRead(path, body, schema)).rows };
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
                return { kind: wasNeverSent(err) ? "unavailable" : "unknown", message: result.getErrorMessage(err) };
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

// An Error with a status; the language offers no other way to carry it through `throw`.
// eslint-disable-next-line no-restricted-syntax
class HttpStatusError extends Error {
    constructor(readonly status: number) {
        super(`status ${status}`);
    }
}

const STATUS_NOT_EXECUTED: readonly number[] = [400, 413, 429, 503];

/**
 * Tells a write that surely did not take effect from one whose answer was lost. Taking the second for the first would
 * report a recorded job as "not run"; only errors from before the request was sent, and statuses by which the service
 * says that it executed nothing, are counted as the first.
 */
function wasNeverSent(err: unknown): boolean {
    if (err instanceof HttpStatusError) {
        return STATUS_NOT_EXECUTED.includes(err.status);
    }
    return http.wasNeverSent(err);
}

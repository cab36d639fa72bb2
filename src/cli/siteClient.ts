/** HTTP client of the command line for a running site. */
import * as undici from "undici";
import * as result from "../result/index";
import * as output from "./output";

/** Client of one instance's HTTP interface. */
export interface SiteClient {
    /** Returns the parsed body, or the bytes if it is not JSON. Throws a `CommandError` if the call is refused or fails. */
    call(method: "GET" | "POST" | "PUT" | "DELETE", path: string, body?: unknown): Promise<unknown>;
}

interface RefusalBody {
    readonly code?: number;
    readonly message?: string;
    readonly ran?: string;
    readonly retryAfterMs?: number;
}

const HEADERS_TIMEOUT_MS = 150_000;

/** `origin` is the scheme, host and port of an instance; `key` the bearer token. */
export function createSiteClient(origin: string, key: string): SiteClient {
    return {
        call: async (method, path, body) => {
            const res = await send(origin, key, method, path, body);
            if (!res.isJson) {
                return res.bytes;
            }
            const parsed: unknown = JSON.parse(res.bytes.toString("utf8"));
            if (res.status >= 300) {
                const { code, message, ran, retryAfterMs } = parsed as RefusalBody;
                const retry = retryAfterMs === undefined ? "" : `; retry after ${retryAfterMs} ms`;
                throw new output.CommandError(code ?? result.ResultCode.Internal, `${message} (ran: ${ran}${retry})`);
            }
            return parsed;
        },
    };
}

async function send(
    origin: string,
    key: string,
    method: "GET" | "POST" | "PUT" | "DELETE",
    path: string,
    body: unknown,
) {
    try {
        const res = await undici.request(origin + path, {
            method,
            headers: { "authorization": `Bearer ${key}`, "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            headersTimeout: HEADERS_TIMEOUT_MS,
        });
        const isJson = String(res.headers["content-type"]).startsWith("application/json");
        return { status: res.statusCode, isJson, bytes: Buffer.from(await res.body.arrayBuffer()) };
    }
    catch (err) {
        throw new output.CommandError(
            result.ResultCode.Unreachable,
            `${origin} did not answer: ${result.getErrorMessage(err)}`,
        );
    }
}

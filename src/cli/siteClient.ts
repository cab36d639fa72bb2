/** The command line's calls to a running site. */
import * as undici from "undici";
import * as result from "../result/index";
import * as output from "./output";

export interface SiteClient {
    /** The parsed body, or bytes where the answer is not JSON. Throws a `CommandError` for a refusal. */
    call(method: "GET" | "POST" | "PUT" | "DELETE", path: string, body?: unknown): Promise<unknown>;
}

interface RefusalBody {
    readonly code?: number;
    readonly message?: string;
    readonly ran?: string;
    readonly retryAfterMs?: number;
}

const TIMEOUT_MS = 150_000;

export function createSiteClient(origin: string, key: string): SiteClient {
    return {
        call: async (method, path, body) => {
            const answered = await send(origin, key, method, path, body);
            if (!answered.isJson) {
                return answered.bytes;
            }
            const parsed: unknown = JSON.parse(answered.bytes.toString("utf8"));
            if (answered.status >= 300) {
                const { code, message, ran, retryAfterMs } = parsed as RefusalBody;
                const retry = retryAfterMs === undefined ? "" : `; try again after ${retryAfterMs} ms`;
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
            headersTimeout: TIMEOUT_MS,
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

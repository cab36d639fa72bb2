/** HTTP client of the callers API, which distributes its calls over the instances of a site. */
import * as undici from "undici";
import * as result from "../result/index";

/** Answer to a call. */
export type SubmitAnswer =
    | { readonly kind: "done"; readonly body: Uint8Array; }
    | { readonly kind: "job"; readonly state: string; readonly code: number | undefined; }
    | { readonly kind: "refused"; readonly code: number; readonly ran: result.Ran; readonly message: string; }
    /** The connection was refused; the request was not sent. */
    | { readonly kind: "unreachable"; }
    /** No complete answer arrived. */
    | { readonly kind: "silent"; };

/** Calls of the callers API. `key` is the API key of an account. */
export interface CallersClient {
    submit(key: string, submission: Readonly<Record<string, unknown>>, waitMs: number): Promise<SubmitAnswer>;
    get(key: string, requestId: string, waitMs: number): Promise<SubmitAnswer>;
    cancel(key: string, requestId: string): Promise<SubmitAnswer>;
    getResult(key: string, requestId: string): Promise<SubmitAnswer>;
    close(): Promise<void>;
}

const TIMEOUT_MS = 150_000;

/** Creates a client. `pickOrigin` chooses the origin of the instance for each call, like a load balancer. */
export function createCallersClient(pickOrigin: () => string, connections: number): CallersClient {
    const agent = new undici.Agent({ connections, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS });

    const call = async (
        method: "GET" | "POST" | "DELETE",
        path: string,
        key: string,
        body?: unknown,
    ): Promise<SubmitAnswer> => {
        try {
            const res = await undici.request(pickOrigin() + path, {
                dispatcher: agent,
                method,
                headers: { "authorization": `Bearer ${key}`, "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
            });
            const bytes = new Uint8Array(await res.body.arrayBuffer());
            const isJson = String(res.headers["content-type"]).startsWith("application/json");
            return isJson ? parseJsonAnswer(res.statusCode, bytes) : { kind: "done", body: bytes };
        }
        catch (err) {
            return (err as { code?: string; }).code === "ECONNREFUSED" ? { kind: "unreachable" } : { kind: "silent" };
        }
    };

    return {
        submit: (key, submission, waitMs) =>
            call("POST", `/v1/jobs${waitMs > 0 ? `?waitMs=${waitMs}` : ""}`, key, submission),
        get: (key, requestId, waitMs) => call("GET", `/v1/jobs/${encodeURIComponent(requestId)}?waitMs=${waitMs}`, key),
        cancel: (key, requestId) => call("DELETE", `/v1/jobs/${encodeURIComponent(requestId)}`, key),
        getResult: (key, requestId) => call("GET", `/v1/jobs/${encodeURIComponent(requestId)}/result`, key),
        close: () => agent.destroy(),
    };
}

interface AnswerBody {
    readonly state?: string;
    readonly code?: number;
    readonly ran?: result.Ran;
    readonly message?: string;
}

function parseJsonAnswer(status: number, bytes: Uint8Array): SubmitAnswer {
    const body = JSON.parse(Buffer.from(bytes).toString("utf8")) as AnswerBody;
    if (status < 300 && body.state !== undefined) {
        return { kind: "job", state: body.state, code: body.code };
    }
    return {
        kind: "refused",
        code: body.code ?? result.ResultCode.Internal,
        ran: body.ran ?? "unknown",
        message: body.message ?? `HTTP status ${status} without a message`,
    };
}

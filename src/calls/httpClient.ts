/**
 * HTTP client for the platform, workers and other instances: keep-alive connections, a timeout for each call, and a
 * typed outcome that states whether the call may have been carried out.
 */
import * as http from "node:http";
import * as callTimeout from "./callTimeout";

/** One HTTP call with its timeouts. */
export interface HttpCall extends callTimeout.CallTimeouts {
    /** `IP:PORT`. */
    readonly address: string;
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** Result of a call: an answer with any status, or none. */
export type HttpOutcome =
    | { readonly kind: "answered"; readonly status: number; readonly body: string; }
    /** `sent` is false if no connection was established, so the server cannot have received the call. */
    | { readonly kind: "noAnswer"; readonly sent: boolean; readonly message: string; };

/** Client with a pool of connections for each address. */
export interface HttpClient {
    call(call: HttpCall): Promise<HttpOutcome>;
    close(): void;
}

/**
 * Initial delay of TCP keep-alive probes. Idle connections stay open: new ones to workers are expensive, and a worker
 * closes none by itself.
 */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Creates a client with at most `connections` open connections to each address. */
export function createHttpClient(connections: number): HttpClient {
    const agent = new http.Agent({
        keepAlive: true,
        keepAliveMsecs: KEEP_ALIVE_PROBE_MS,
        maxSockets: connections,
        maxFreeSockets: connections,
        scheduling: "lifo",
    });
    return {
        call: async call => {
            try {
                return await send(agent, call);
            }
            catch (err) {
                // Invalid address or header, as from a malformed row.
                return { kind: "noAnswer", sent: false, message: err instanceof Error ? err.message : String(err) };
            }
        },
        close: () => agent.destroy(),
    };
}

/** Throws if there is no port: `http.request` would use its default port and might reach an unrelated server. */
function parseAddress(address: string): { host: string; port: number; } {
    const match = /^(.+):(\d{1,5})$/.exec(address);
    if (!match) {
        throw new Error(`"${address}" is no address`);
    }
    return { host: match[1]!, port: Number(match[2]) };
}

function send(agent: http.Agent, call: HttpCall): Promise<HttpOutcome> {
    return new Promise(resolve => {
        let sent = false;
        let hasConnection = false;
        let receivedBytes = 0;
        const { host, port } = parseAddress(call.address);
        const headers: Record<string, string | number> = { ...call.headers };
        if (call.body !== undefined) {
            headers["Content-Type"] = "application/json";
            headers["Content-Length"] = Buffer.byteLength(call.body);
        }
        const req = http.request({
            agent,
            host,
            port,
            method: call.method,
            path: call.path,
            headers,
        });
        const timer = callTimeout.startCallTimer(call, afterMs => {
            const ms = Math.round(afterMs);
            const message = hasConnection
                ? describeTimeout(ms, receivedBytes)
                : `not sent within ${ms} ms: all connections to ${call.address} are in use`;
            // The connection may be dead, so the next call needs a new one.
            req.destroy(new Error(message));
        });
        const finish = (outcome: HttpOutcome) => {
            timer.stop();
            resolve(outcome);
        };
        req.once("socket", socket => {
            hasConnection = true;
            if (!socket.connecting) {
                sent = true;
                return;
            }
            socket.once("connect", () => {
                sent = true;
            });
        });
        req.on("error", err => finish({ kind: "noAnswer", sent, message: err.message }));
        req.once("response", res => {
            const chunks: Buffer[] = [];
            timer.refresh();
            res.on("data", (chunk: Buffer) => {
                timer.refresh();
                receivedBytes += chunk.length;
                chunks.push(chunk);
            });
            res.on("error", err => finish({ kind: "noAnswer", sent, message: err.message }));
            res.on("end", () =>
                finish({
                    kind: "answered",
                    status: res.statusCode ?? 0,
                    body: chunks.length === 1 ? chunks[0]!.toString() : Buffer.concat(chunks).toString(),
                }));
        });
        req.end(call.body);
    });
}

/** Error message of a timeout; distinguishes a silent server from one whose answer was still arriving. */
function describeTimeout(ms: number, receivedBytes: number): string {
    return receivedBytes === 0
        ? `no answer within ${ms} ms`
        : `no whole answer within ${ms} ms, ${receivedBytes} bytes of it had come`;
}

/**
 * HTTP calls to the platform, to workers and to other instances: keep-alive connections, a timeout for each call, and
 * a typed outcome that says whether the call may have been carried out.
 */
import * as http from "node:http";
import * as patience from "./callTimeout";

export interface HttpCall extends patience.CallTimeouts {
    /** `IP:PORT`. */
    readonly address: string;
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

export type HttpOutcome =
    | { readonly kind: "answered"; readonly status: number; readonly body: string; }
    /** `sent` is false when no connection came about, so that the other side cannot have seen the call. */
    | { readonly kind: "noAnswer"; readonly sent: boolean; readonly message: string; };

export interface HttpClient {
    call(call: HttpCall): Promise<HttpOutcome>;
    close(): void;
}

/** Idle connections are kept this long: new ones to workers are dear, and a worker closes none by itself. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** `connections` is the most that are open to one address. */
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
                // An address or a header that no connection can be made from, as a malformed row may hold it.
                return { kind: "noAnswer", sent: false, message: err instanceof Error ? err.message : String(err) };
            }
        },
        close: () => agent.destroy(),
    };
}

/** Throws where there is no port: the library would take its default, and reach whoever listens there. */
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
        const wait = patience.startCallTimer(call, afterMs => {
            // The connection may have fallen silent, and the next call needs a new one.
            req.destroy(new Error(describeEnd(afterMs, receivedBytes)));
        });
        const finish = (outcome: HttpOutcome) => {
            wait.stop();
            resolve(outcome);
        };
        req.once("socket", socket => {
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
            wait.refresh();
            res.on("data", (chunk: Buffer) => {
                wait.refresh();
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

/** Tells silence from an answer that was still coming. */
function describeEnd(afterMs: number, receivedBytes: number): string {
    const ms = Math.round(afterMs);
    return receivedBytes === 0
        ? `no answer within ${ms} ms`
        : `no whole answer within ${ms} ms, ${receivedBytes} bytes of it had come`;
}

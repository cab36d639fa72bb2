/** A minimal JSON-over-HTTP server for the stand-ins. */
import * as http from "node:http";
import type * as net from "node:net";

export interface StandinResponse {
    readonly status: number;
    /** Sent as JSON unless it is bytes. `undefined` cuts the connection without an answer. */
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

export type StandinHandler = (method: string, path: string, body: Buffer) => Promise<StandinResponse | undefined>;

export interface StandinServer {
    readonly port: number;
    close(): Promise<void>;
}

/** Listens on `host:port`; port 0 takes a free one. A handler that resolves to `undefined` cuts the connection. */
export async function startServer(host: string, port: number, handler: StandinHandler): Promise<StandinServer> {
    const server = http.createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("error", () => undefined);
        req.on("end", () => {
            handler(req.method ?? "GET", req.url ?? "/", Buffer.concat(chunks)).then(
                answer => sendAnswer(req, res, answer),
                err => sendAnswer(req, res, { status: 400, body: { message: String(err) } }),
            );
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return {
        port: (server.address() as net.AddressInfo).port,
        close: () =>
            new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

function sendAnswer(req: http.IncomingMessage, res: http.ServerResponse, answer: StandinResponse | undefined): void {
    if (!answer) {
        req.socket.destroy();
        return;
    }
    const isBytes = answer.body instanceof Uint8Array;
    const payload = isBytes ? answer.body as Uint8Array : Buffer.from(JSON.stringify(answer.body));
    res.writeHead(answer.status, {
        "content-type": isBytes ? "application/octet-stream" : "application/json",
        "content-length": String(payload.length),
        ...answer.headers,
    });
    res.end(payload);
}

/** A minimal JSON-over-HTTP server for the stand-ins. */
import * as http from "node:http";
import type * as net from "node:net";

export interface StandinResponse {
    readonly status: number;
    /** A `Uint8Array` is sent as it is, any other value as JSON. */
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Handles one request; `undefined` closes the connection without a response. */
export type StandinHandler = (method: string, path: string, body: Buffer) => Promise<StandinResponse | undefined>;

export interface StandinServer {
    readonly port: number;
    close(): Promise<void>;
}

/** Listens on `host:port`; port 0 takes a free one. An error of the handler is sent as status 400. */
export async function startServer(host: string, port: number, handler: StandinHandler): Promise<StandinServer> {
    const server = http.createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("error", () => undefined);
        req.on("end", () => {
            handler(req.method ?? "GET", req.url ?? "/", Buffer.concat(chunks)).then(
                response => sendResponse(req, res, response),
                err => sendResponse(req, res, { status: 400, body: { message: String(err) } }),
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

function sendResponse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    response: StandinResponse | undefined,
): void {
    if (!response) {
        req.socket.destroy();
        return;
    }
    const isBytes = response.body instanceof Uint8Array;
    const payload = isBytes ? response.body as Uint8Array : Buffer.from(JSON.stringify(response.body));
    res.writeHead(response.status, {
        "content-type": isBytes ? "application/octet-stream" : "application/json",
        "content-length": String(payload.length),
        ...response.headers,
    });
    res.end(payload);
}

/** HTTP server for calls from other instances: each call posts a text to a path and gets a text as the answer. */
import * as http from "node:http";
import * as listens from "./listen";

/** Handler of the calls to one path. */
export interface CallRoute {
    readonly path: string;
    /** Returns the answer, or `undefined` for malformed text, which is answered with status 400. */
    handle(text: string): Promise<string | undefined>;
}

/** Server for calls from other instances. */
export interface CallServer {
    /** Listens on `address` (`IP:PORT`, port 0 for any free one) and returns the port. */
    listen(address: string): Promise<number>;
    /** Accepts no new connections, answers pending calls, and closes. */
    close(): Promise<void>;
}

/** Twice the maximum body size of callers, since JSON escaping enlarges a forwarded body. */
const MAX_BODY_BYTES = 1_048_576;
const BAD_REQUEST = 400;

/** Creates a server with the given routes. Unknown paths and malformed calls are answered with status 400. */
export function createCallServer(routes: readonly CallRoute[]): CallServer {
    let closing = false;
    const server = http.createServer((req, res) => {
        void readText(req).then(async text => {
            const route = routes.find(candidate => candidate.path === req.url);
            const answer = text === undefined ? undefined : await route?.handle(text);
            if (answer === undefined) {
                res.statusCode = BAD_REQUEST;
            }
            if (closing || answer === undefined) {
                res.setHeader("Connection", "close");
            }
            res.end(answer);
        });
    });
    return {
        listen: address => listens.listen(server, address),
        close: () => {
            closing = true;
            return new Promise(resolve => {
                server.close(() => resolve());
                server.closeIdleConnections();
            });
        },
    };
}

/** Reads the body; `undefined` if it exceeds `MAX_BODY_BYTES` or the connection fails. */
function readText(req: http.IncomingMessage): Promise<string | undefined> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        req.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes <= MAX_BODY_BYTES) {
                chunks.push(chunk);
            }
        });
        req.once("end", () => resolve(bytes > MAX_BODY_BYTES ? undefined : Buffer.concat(chunks).toString()));
        req.once("error", () => resolve(undefined));
    });
}

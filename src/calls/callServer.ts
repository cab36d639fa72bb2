/** Takes calls of other instances of this program: texts that are posted to a path, and the texts that answer them. */
import * as http from "node:http";
import * as listens from "./listen";

export interface CallRoute {
    readonly path: string;
    /** Returns the answer; `undefined` for a text that cannot be read. */
    handle(text: string): Promise<string | undefined>;
}

export interface CallServer {
    /** Takes `IP:PORT`, port 0 for any free one; returns the port. */
    listen(address: string): Promise<number>;
    /** Takes no new connections, answers what was read, and closes. */
    close(): Promise<void>;
}

/** Twice the largest body that callers may send, for what quoting adds. */
const MAX_BYTES = 1_048_576;
const BAD_REQUEST = 400;

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

/** `undefined`: longer than allowed, or broken off. */
function readText(req: http.IncomingMessage): Promise<string | undefined> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        req.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes <= MAX_BYTES) {
                chunks.push(chunk);
            }
        });
        req.once("end", () => resolve(bytes > MAX_BYTES ? undefined : Buffer.concat(chunks).toString()));
        req.once("error", () => resolve(undefined));
    });
}

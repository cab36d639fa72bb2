/** HTTP server for calls from other instances: each call posts a text to a path and gets a text as the answer. */
import * as inbounds from "../inbound/index";

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
const Status = { BadRequest: 400, Unavailable: 503 } as const;

/**
 * Creates a server with the given routes. Unknown paths and malformed calls are answered with status 400, calls that
 * were not carried out for want of room with 503.
 */
export function createCallServer(inbound: inbounds.Inbound, routes: readonly CallRoute[]): CallServer {
    let closing = false;
    const server = inbound.createHttpServer({ name: inbounds.ServerName.Peers }, exchange => {
        const { req, res } = exchange;
        void exchange.readBody(MAX_BODY_BYTES).then(async body => {
            if (body.kind === "aborted") {
                return;
            }
            const route = routes.find(candidate => candidate.path === req.url);
            if (body.kind === "tooLong" || !route) {
                exchange.reject(Status.BadRequest);
                return;
            }
            if (!exchange.hasRoom()) {
                exchange.reject(Status.Unavailable);
                return;
            }
            await exchange.carryOut(async () => {
                const answer = await route.handle(body.text);
                if (answer === undefined) {
                    exchange.reject(Status.BadRequest);
                    return;
                }
                if (closing) {
                    res.setHeader("Connection", "close");
                }
                res.end(answer);
            });
        });
    });
    return {
        listen: address => inbound.listen(inbounds.ServerName.Peers, server, address),
        close: () => {
            closing = true;
            return new Promise(resolve => {
                server.close(() => resolve());
                server.closeIdleConnections();
            });
        },
    };
}

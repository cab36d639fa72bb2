/** Creates servers whose connections share one budget and take turns. */
import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as blockPool from "./blockPool";
import * as connectionBudget from "./connectionBudget";
import * as httpConnection from "./httpConnection";
import type * as limits from "./limits";
import * as listens from "./listen";
import * as requestSlots from "./requestSlots";
import * as turns from "./turns";

export interface InboundOptions {
    readonly limits: limits.InboundLimits;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
}

export interface HttpServerOptions extends Pick<http.ServerOptions, "maxHeaderSize" | "requestTimeout"> {
    readonly name: limits.ServerName;
}

/** What the servers of a process share. */
export interface Inbound {
    readonly budget: connectionBudget.ConnectionBudget;
    /** Creates a server that calls `handle` for each request, whose body has not been read. */
    createHttpServer(options: HttpServerOptions, handle: (exchange: httpConnection.Exchange) => void): http.Server;
    /** Listens on `address` (`IP:PORT`, port 0 for any free one) and returns the port. Rejects if the port is taken. */
    listen(name: limits.ServerName, server: net.Server, address: string): Promise<number>;
    close(): void;
}

/** Node.js checks at this interval whether headers have taken too long. */
const TIMEOUT_CHECK_MS = 1_000;
/** A client that was told how long a connection may be idle may use it until then. */
const IDLE_SLACK_MS = 1_000;
/** Default of Node.js. */
const MAX_BACKLOG = 511;
/**
 * Requests of a server that are carried out at a time. Their calls to the store share 24 connections; with more of them
 * in line the last would time out when the store takes a few times longer than usual.
 */
const MAX_REQUESTS = 64;
const BAD_REQUEST = 400;

export function createInbound(options: InboundOptions): Inbound {
    const budget = connectionBudget.createConnectionBudget(options);
    const load = { requests: 0 };
    const pool = blockPool.createBlockPool();
    const sharedTurns = turns.createTurns(options.clock);
    return {
        budget,
        createHttpServer: ({ name, ...serverOptions }, handle) => {
            const slots = requestSlots.createRequestSlots(MAX_REQUESTS);
            const connections = new WeakMap<stream.Duplex, httpConnection.HttpConnection>();
            const server = http.createServer({
                ...serverOptions,
                connectionsCheckingInterval: TIMEOUT_CHECK_MS,
                // Checked here: Node.js would answer each such request of a buffer by itself.
                requireHostHeader: false,
            }, (req, res) => {
                const exchange = connections.get(req.socket)!.begin(req, res);
                if (req.headers.host === undefined && req.httpVersion === "1.1") {
                    exchange.reject(BAD_REQUEST);
                    return;
                }
                handle(exchange);
            });
            const [acceptStream] = server.listeners("connection");
            server.removeAllListeners("connection");
            server.on("connection", (socket: net.Socket) => {
                const connection = httpConnection.createHttpConnection({
                    server: name,
                    socket,
                    budget,
                    turns: sharedTurns,
                    pool,
                    load,
                    slots,
                    meter: options.meter,
                    getIdleTimeoutMs: () => server.keepAliveTimeout + IDLE_SLACK_MS,
                });
                if (!connection) {
                    socket.destroy();
                    return;
                }
                connections.set(connection.stream, connection);
                acceptStream!.call(server, connection.stream);
            });
            return server;
        },
        listen: (name, server, address) =>
            // Connections that wait for being accepted hold memory of the machine, too.
            listens.listen(server, address, Math.min(MAX_BACKLOG, options.limits.connections[name])),
        close: budget.close,
    };
}

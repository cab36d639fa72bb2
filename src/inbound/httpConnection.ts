/** One connection of an HTTP server: its requests in progress, and what it holds. */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import type * as observe from "../observe/index";
import type * as blockPool from "./blockPool";
import type * as connectionBudget from "./connectionBudget";
import type * as limits from "./limits";
import * as pacedSocket from "./pacedSocket";
import * as readBodies from "./readBody";
import type * as requestSlots from "./requestSlots";
import type * as turns from "./turns";

/** A request and its answer. */
export interface Exchange {
    readonly req: http.IncomingMessage;
    readonly res: http.ServerResponse;
    /** Reads the body; aborted when the request is rejected meanwhile. */
    readBody(maxBytes: number): Promise<readBodies.BodyResult>;
    /** Sends a last answer, without a body; the connection takes no more requests. */
    reject(status: number, headers?: Readonly<Record<string, number>>): void;
    /** Carries out what the request asks for when its turn comes; not at all if its client has gone by then. */
    carryOut(work: () => Promise<void>): Promise<void>;
    /** Whether the connections hold so little that another request may be carried out. */
    hasRoom(): boolean;
}

export interface HttpConnectionOptions {
    readonly server: limits.ServerName;
    readonly socket: net.Socket;
    readonly budget: connectionBudget.ConnectionBudget;
    readonly turns: turns.Turns;
    readonly pool: blockPool.BlockPool;
    /** Requests in progress on all connections. */
    readonly load: { requests: number; };
    /** Slots of the server's requests. */
    readonly slots: requestSlots.RequestSlots;
    readonly meter: observe.Meter;
    getIdleTimeoutMs(): number;
}

export interface HttpConnection {
    /** The connection as the HTTP server takes it. */
    readonly stream: stream.Duplex;
    begin(req: http.IncomingMessage, res: http.ServerResponse): Exchange;
}

interface Active {
    readonly req: http.IncomingMessage;
    readonly res: http.ServerResponse;
    readonly headerBytes: number;
    /** Memory that the body takes. */
    bodyBytes: number;
    /** Bytes of the body that are still to be passed on, at least; 0 if its length is not stated. */
    undeliveredBytes: number;
    abortBody(): void;
}

/** Requests of a connection that are carried out at the same time; those sent ahead wait. */
const MAX_CONCURRENT_REQUESTS = 4;
/**
 * Requests in progress on all connections beyond which each connection has one at a time: the calls to the store that
 * they wait for are served in order, and a caller with a single request should not wait behind those sent ahead.
 */
const BUSY_REQUESTS = 64;
/** Unsent answers of a connection beyond which no more requests are taken from it. */
const MAX_UNSENT_BYTES = 65_536;
/** Socket, parser and streams. */
const CONNECTION_BYTES = 16_384;
/** Objects of a request and its answer. */
const REQUEST_BYTES = 8_192;
/** Headers are kept as strings, each with an object of its own. */
const HEADER_FACTOR = 8;
/** A body is kept as a buffer, and then as a string of up to two bytes for each of its own. */
const BODY_FACTOR = 2;
const RECEIVE_TIMEOUT_MS = 30_000;
/** Time for which a client may leave answers unread, or send ahead more than is taken. */
const UNREAD_TIMEOUT_MS = 15_000;
/** Time for which a client may go on sending after the last answer: closing at once could reset it unread. */
const LINGER_MS = 1_000;
const RETRY_AFTER_SECONDS = 1;
const Status = { RequestTimeout: 408, Unavailable: 503 } as const;

/** Returns `undefined` if there are too many connections. */
export function createHttpConnection(options: HttpConnectionOptions): HttpConnection | undefined {
    const active = new Set<Active>();
    /** The request that began last. */
    let latest: Active | undefined;
    /** Bytes that were passed on for a request whose headers are incomplete. */
    let partialBytes = 0;
    /** No more requests are taken. */
    let isClosing = false;
    let isEvicted = false;

    const budgeted = options.budget.open({
        server: options.server,
        ownBytes: CONNECTION_BYTES,
        getTimeoutMs: phase => {
            switch (phase) {
                case "idle":
                    return options.getIdleTimeoutMs();
                case "receiving":
                    return RECEIVE_TIMEOUT_MS;
                case "serving":
                    return Infinity;
                case "ahead":
                case "unread":
                    return UNREAD_TIMEOUT_MS;
                case "closing":
                    return LINGER_MS;
            }
        },
        evict: reason => evict(reason),
    });
    if (!budgeted) {
        return undefined;
    }
    const mayBeginRequest = () =>
        active.size < (options.load.requests < BUSY_REQUESTS ? MAX_CONCURRENT_REQUESTS : 1)
        && paced.getUnsentBytes() <= MAX_UNSENT_BYTES;
    const mayTakeMore = () => !isClosing && (latest !== undefined && isReceiving(latest) || mayBeginRequest());
    const paced = pacedSocket.createPacedSocket({
        socket: options.socket,
        turns: options.turns,
        pool: options.pool,
        mayDeliver: mayTakeMore,
        getSafeBytes: () => latest && isReceiving(latest) ? latest.undeliveredBytes : 0,
        onDeliver: bytes => {
            if (latest && isReceiving(latest)) {
                latest.undeliveredBytes -= bytes;
            }
            else {
                partialBytes += bytes;
            }
            update();
        },
        onQueued: () => update(),
    });
    const getPhase = (): connectionBudget.Phase => {
        const [oldest] = active;
        if (isEvicted || isClosing && !oldest) {
            return "closing";
        }
        const hasQueued = paced.getQueuedBytes() > 0;
        if (!oldest) {
            return partialBytes > 0 || hasQueued ? "receiving" : "idle";
        }
        if (isReceiving(oldest)) {
            return "receiving";
        }
        if (hasQueued) {
            return "ahead";
        }
        return oldest.res.writableEnded ? "unread" : "serving";
    };
    const getHeldBytes = () => {
        let requestBytes = 0;
        for (const { headerBytes, bodyBytes } of active) {
            requestBytes += REQUEST_BYTES + HEADER_FACTOR * headerBytes + BODY_FACTOR * bodyBytes;
        }
        return CONNECTION_BYTES + HEADER_FACTOR * partialBytes + requestBytes + paced.getQueuedBytes()
            + paced.getUnsentBytes();
    };
    const update = () => {
        budgeted.setPhase(getPhase());
        budgeted.setHeldBytes(getHeldBytes());
    };
    const close = () => {
        if (!isClosing) {
            isClosing = true;
            paced.stop();
            update();
        }
    };
    const reject = (request: Active, status: number, headers: Readonly<Record<string, number>> = {}) => {
        const { res } = request;
        request.abortBody();
        request.bodyBytes = 0;
        if (!res.headersSent && !res.destroyed) {
            res.writeHead(status, { ...headers, "Content-Length": 0, "Connection": "close" });
            res.end();
            options.meter.increment("inbound_requests_rejected_total", {
                server: options.server,
                status: String(status),
            });
        }
        close();
    };
    const evict = (reason: connectionBudget.EvictionReason) => {
        const [oldest] = active;
        if (!oldest || !isReceiving(oldest) || reason === "connections") {
            paced.stream.destroy();
            return;
        }
        isEvicted = true;
        // Nothing of an incomplete request has been carried out, so these refusals are true.
        if (reason === "memory") {
            reject(oldest, Status.Unavailable, { "Retry-After": RETRY_AFTER_SECONDS });
        }
        else {
            reject(oldest, Status.RequestTimeout);
        }
    };
    const release = (request: Active) => {
        if (active.delete(request)) {
            options.load.requests--;
        }
    };
    const { stream } = paced;
    options.socket.on("drain", paced.resume);
    stream.once("close", () => {
        active.forEach(release);
        budgeted.end();
    });
    // Node.js calls it after an answer with `Connection: close`, as on a socket.
    Object.assign(stream, {
        destroySoon: () => {
            close();
            stream.end();
        },
    });
    return {
        stream,
        begin: (req, res) => {
            const request: Active = {
                req,
                res,
                headerBytes: partialBytes,
                bodyBytes: 0,
                undeliveredBytes: getStatedLength(req) - partialBytes,
                abortBody: () => undefined,
            };
            partialBytes = 0;
            latest = request;
            active.add(request);
            options.load.requests++;
            res.once("prefinish", update);
            res.once("close", () => {
                release(request);
                update();
                paced.resume();
            });
            req.once("end", update);
            update();
            return {
                req,
                res,
                readBody: maxBytes => {
                    const reading = readBodies.readBody(req, {
                        maxBytes,
                        pool: options.pool,
                        onGrowth: bytes => {
                            request.bodyBytes = bytes;
                            update();
                        },
                    });
                    request.abortBody = reading.abort;
                    return reading.result;
                },
                reject: (status, headers) => reject(request, status, headers),
                carryOut: work => options.slots.run(() => !stream.destroyed && !res.writableEnded, work),
                hasRoom: options.budget.hasRoom,
            };
        },
    };
}

/** Length of the body as its header states it; 0 without one. */
function getStatedLength(req: http.IncomingMessage): number {
    return Number(req.headers["content-length"] ?? 0);
}

function isReceiving({ req }: Active): boolean {
    return !req.complete;
}

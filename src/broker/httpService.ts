/** An HTTP listener as a moleculer service: routes map to actions, and every answer is a typed value. */
import * as moleculer from "moleculer";
import * as moleculerWeb from "moleculer-web";
import * as http from "node:http";
import * as result from "../result/index";

/** A request as an action receives it. */
export interface HttpCall {
    /** Path parameters. */
    readonly path: Readonly<Record<string, string>>;
    readonly query: Readonly<Record<string, string>>;
    /** Parsed JSON; `undefined` when there is no body. */
    readonly body: unknown;
    /** The bearer token; empty when the request has none. */
    readonly key: string;
}

/** The answer to a request. A `Uint8Array` body is sent unchanged, any other body as JSON. */
export interface HttpAnswer {
    readonly status: number;
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** A route and its handler. */
export interface HttpRoute {
    /** Method and path, for instance `POST /v1/jobs`. */
    readonly alias: string;
    /** Name of the action. */
    readonly action: string;
    readonly handle: (call: HttpCall) => Promise<HttpAnswer>;
}

export interface HttpServiceOptions {
    /** Name of the moleculer service. */
    readonly name: string;
    /** `host:port` to listen on. */
    readonly address: string;
    readonly maxBodyBytes: number;
    readonly maxConnections: number;
    readonly routes: readonly HttpRoute[];
}

interface IncomingCall extends http.IncomingMessage {
    $params?: Record<string, unknown>;
    $ctx?: moleculer.Context;
    body?: unknown;
    query?: Record<string, string>;
}

interface RouteError extends Error {
    readonly code?: number;
    readonly type?: string;
}

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_MS = 65_000;

/** Creates the schema of the service; the listener starts with the broker. */
export function createHttpService(options: HttpServiceOptions): moleculer.ServiceSchema {
    const separator = options.address.lastIndexOf(":");
    return {
        name: options.name,
        mixins: [moleculerWeb as unknown as moleculer.ServiceSchema],
        settings: {
            ip: options.address.slice(0, separator),
            port: Number(options.address.slice(separator + 1)),
            routes: [{
                path: "/",
                mergeParams: false,
                aliases: Object.fromEntries(
                    options.routes.map(route => [route.alias, `${options.name}.${route.action}`]),
                ),
                bodyParsers: { json: { limit: options.maxBodyBytes, strict: true, type: () => true } },
                mappingPolicy: "restrict",
                onError: (_req: http.IncomingMessage, res: http.ServerResponse, err: RouteError) => sendError(res, err),
                onBeforeCall: (
                    ctx: moleculer.Context<unknown, Record<string, unknown>>,
                    _route: unknown,
                    req: IncomingCall,
                ) => {
                    ctx.meta["key"] = readBearerToken(req.headers.authorization);
                },
            }],
            onError: (_req: http.IncomingMessage, res: http.ServerResponse, err: RouteError) => sendError(res, err),
        },
        actions: Object.fromEntries(options.routes.map(route => [route.action, {
            handler: (ctx: moleculer.Context<ActionParams, ActionMeta>) => runAction(route, ctx),
        }])),
        created(this: ServiceWithServer) {
            // Without these bounds, slow or idle clients could use up the listener's connections.
            const { server } = this;
            if (server) {
                server.headersTimeout = HEADERS_TIMEOUT_MS;
                server.requestTimeout = REQUEST_TIMEOUT_MS;
                server.keepAliveTimeout = KEEP_ALIVE_MS;
                server.maxConnections = options.maxConnections;
            }
        },
    } as unknown as moleculer.ServiceSchema;
}

interface ServiceWithServer {
    readonly server?: http.Server;
}

interface ActionParams {
    readonly params?: Record<string, string>;
    readonly query?: Record<string, string>;
    readonly body?: unknown;
}

interface ActionMeta {
    key?: string;
    $statusCode?: number;
    $responseType?: string;
    $responseHeaders?: Readonly<Record<string, string>>;
}

async function runAction(route: HttpRoute, ctx: moleculer.Context<ActionParams, ActionMeta>): Promise<unknown> {
    const answer = await route.handle({
        path: ctx.params.params ?? {},
        query: ctx.params.query ?? {},
        body: ctx.params.body,
        key: ctx.meta.key ?? "",
    });
    ctx.meta.$statusCode = answer.status;
    const isBytes = answer.body instanceof Uint8Array;
    ctx.meta.$responseType = isBytes ? "application/octet-stream" : "application/json";
    if (answer.headers) {
        ctx.meta.$responseHeaders = answer.headers;
    }
    return isBytes ? Buffer.from(answer.body as Uint8Array) : answer.body;
}

function readBearerToken(header: string | undefined): string {
    const [scheme, key] = (header ?? "").split(" ", 2);
    return scheme?.toLowerCase() === "bearer" ? key ?? "" : "";
}

/** Converts a refusal to the answer format that all listeners share. */
export function createRefusalAnswer(refusal: result.Refusal, requestId?: string): HttpAnswer {
    const info = result.getResultInfo(refusal.code);
    const retryAfterMs = refusal.retryAfterMs ?? 0;
    return {
        status: info.httpStatus === 200 ? 409 : info.httpStatus,
        body: {
            code: refusal.code,
            name: info.name,
            message: refusal.message,
            ran: refusal.ran,
            ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
            ...(requestId === undefined ? {} : { requestId }),
        },
        headers: retryAfterMs > 0 ? { "retry-after": String(Math.ceil(retryAfterMs / 1000)) } : undefined,
    };
}

/** Answers errors from before an action runs: an unknown path, or a body that is too large or not JSON. */
function sendError(res: http.ServerResponse, err: RouteError): void {
    const refusal = toRefusal(err);
    const answer = createRefusalAnswer(refusal);
    if (res.headersSent) {
        res.destroy();
        return;
    }
    res.writeHead(answer.status, { "content-type": "application/json", ...answer.headers });
    res.end(JSON.stringify(answer.body));
}

function toRefusal(err: RouteError): result.Refusal {
    if (err.type === "entity.too.large" || err.code === 413) {
        return result.createRefusal(result.ResultCode.BodyTooLarge, "the request body is too large");
    }
    if (err.code === 404 || err.type === "NOT_FOUND") {
        return result.createRefusal(result.ResultCode.NotFound, "no such path or method");
    }
    if (err.code !== undefined && err.code >= 400 && err.code < 500) {
        return result.createRefusal(result.ResultCode.BadRequest, `the request is not valid JSON: ${err.message}`);
    }
    return result.refusalFromUnknown(err);
}

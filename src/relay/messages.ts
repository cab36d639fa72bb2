/** Messages of request forwarding between instances: a caller's request, unchanged, and the reply to it. */

/** A caller's request. */
export interface CallerRequest {
    readonly method: string;
    /** Path of the URL without the query. */
    readonly path: string;
    readonly host: string;
    /** Value of the Authorization header, unchanged; empty if there was none. */
    readonly authorization: string;
    /** Correlates log lines of different instances about the request; empty if the caller sent none. */
    readonly requestId: string;
    /** How long the caller still waits, in milliseconds from the sending of this message. */
    readonly deadlineMs: number;
    readonly body: string;
}

/** A forwarded request. */
export interface ForwardedRequest {
    readonly request: CallerRequest;
    /** Minimum version of the configuration under which the request may be handled. */
    readonly leastVersion: number;
}

/** The reply to a caller. */
export interface CallerReply {
    /** HTTP status that the caller receives. */
    readonly status: number;
    readonly body?: unknown;
    /** Delay after which the caller should retry. */
    readonly retryAfterMs?: number;
    /** Set if other instances would refuse the request, too; the caller does not see it. */
    readonly final?: boolean;
}

/** The reply to a forwarded request. */
export interface ForwardedReply {
    readonly reply: CallerReply;
    /** Version of the configuration under which the request was handled; 0 if there was none. */
    readonly configurationVersion: number;
    /** Addresses of other instances known to the replying one; they may serve what it cannot. */
    readonly peers: readonly string[];
}

/** Encodes a message as JSON. */
export function encode(message: ForwardedRequest | ForwardedReply): string {
    return JSON.stringify(message);
}

/** Decodes a forwarded request; `undefined` if it is malformed. */
export function decodeRequest(text: string): ForwardedRequest | undefined {
    const envelope = parse(text);
    const fields = toObject(envelope?.["request"]);
    if (!fields || typeof fields["method"] !== "string" || typeof fields["path"] !== "string") {
        return undefined;
    }
    return {
        request: {
            method: fields["method"],
            path: fields["path"],
            host: toText(fields["host"]),
            authorization: toText(fields["authorization"]),
            requestId: toText(fields["requestId"]),
            deadlineMs: toNumber(fields["deadlineMs"]),
            body: toText(fields["body"]),
        },
        leastVersion: toNumber(envelope?.["leastVersion"]),
    };
}

/** Decodes the reply to a forwarded request; `undefined` if it is malformed. Invalid addresses of peers are dropped. */
export function decodeReply(text: string): ForwardedReply | undefined {
    const fields = parse(text);
    const reply = toObject(fields?.["reply"]);
    if (!fields || !reply) {
        return undefined;
    }
    const { status, body, retryAfterMs, final } = reply;
    if (!isStatus(status) || !isVersion(fields["configurationVersion"])) {
        return undefined;
    }
    return {
        reply: {
            status,
            body,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.max(0, toNumber(retryAfterMs)),
            final: final === true || undefined,
        },
        configurationVersion: fields["configurationVersion"],
        peers: Array.isArray(fields["peers"]) ? fields["peers"].filter(isAddress) : [],
    };
}

function parse(text: string): Record<string, unknown> | undefined {
    try {
        return toObject(JSON.parse(text));
    }
    catch {
        // A malformed request is answered with status 400; a malformed reply counts as no reply.
        return undefined;
    }
}

function isStatus(value: unknown): value is number {
    return Number.isInteger(value) && (value as number) >= 200 && (value as number) < 600;
}

/** An invalid version that is kept as the newest one seen would make the relay refuse every later request as stale. */
function isVersion(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isAddress(value: unknown): value is string {
    return typeof value === "string" && /^[^\s:]+:\d{1,5}$/.test(value);
}

function toObject(value: unknown): Record<string, unknown> | undefined {
    return typeof value === "object" && value ? value as Record<string, unknown> : undefined;
}

function toText(value: unknown): string {
    return typeof value === "string" ? value : "";
}

function toNumber(value: unknown): number {
    return typeof value === "number" && Number.isFinite(value) ? value : 0;
}

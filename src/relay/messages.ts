/** What one instance passes on to another, and gets back: a caller's request as it came, and the reply to it. */

export interface CallerRequest {
    readonly method: string;
    /** Without the query. */
    readonly path: string;
    readonly host: string;
    /** The header as it came; empty: none. */
    readonly authorization: string;
    /** Whatever names the request on its way, for the logs; empty: nothing. */
    readonly requestId: string;
    /** How much longer the caller waits, counted from when this was sent. */
    readonly deadlineMs: number;
    readonly body: string;
}

/** A request as it is passed on. */
export interface ForwardedRequest {
    readonly request: CallerRequest;
    /** It must not be handled under an older configuration than this. */
    readonly leastVersion: number;
}

export interface CallerReply {
    /** Of HTTP, as the caller gets it. */
    readonly status: number;
    readonly body?: unknown;
    /** When the caller should come back. */
    readonly retryAfterMs?: number;
}

export interface ForwardedReply {
    readonly reply: CallerReply;
    /** Version of the configuration that it was given under; 0: none. */
    readonly configurationVersion: number;
    /** Other instances that the one that replied knows: they may serve what it cannot. */
    readonly peers: readonly string[];
}

export function encode(message: ForwardedRequest | ForwardedReply): string {
    return JSON.stringify(message);
}

export function decodeRequest(text: string): ForwardedRequest | undefined {
    const envelope = parse(text);
    const fields = toFields(envelope?.["request"]);
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

export function decodeReply(text: string): ForwardedReply | undefined {
    const fields = parse(text);
    const reply = toFields(fields?.["reply"]);
    if (!fields || !reply) {
        return undefined;
    }
    const { status, body, retryAfterMs } = reply;
    if (!isStatus(status) || !isVersion(fields["configurationVersion"])) {
        return undefined;
    }
    return {
        reply: {
            status,
            body,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.max(0, toNumber(retryAfterMs)),
        },
        configurationVersion: fields["configurationVersion"],
        peers: Array.isArray(fields["peers"]) ? fields["peers"].filter(isAddress) : [],
    };
}

function parse(text: string): Record<string, unknown> | undefined {
    try {
        return toFields(JSON.parse(text));
    }
    catch {
        // Whoever asked is told that there is no answer.
        return undefined;
    }
}

function isStatus(value: unknown): value is number {
    return Number.isInteger(value) && (value as number) >= 200 && (value as number) < 600;
}

/** One that is no version, taken for the newest, would have every later request refused as out of date. */
function isVersion(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isAddress(value: unknown): value is string {
    return typeof value === "string" && /^[^\s:]+:\d{1,5}$/.test(value);
}

function toFields(value: unknown): Record<string, unknown> | undefined {
    return typeof value === "object" && value ? value as Record<string, unknown> : undefined;
}

function toText(value: unknown): string {
    return typeof value === "string" ? value : "";
}

function toNumber(value: unknown): number {
    return typeof value === "number" && Number.isFinite(value) ? value : 0;
}

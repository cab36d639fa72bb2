/** A TCP proxy on loopback that can delay, hold and reset connections, in one direction or both. */
import * as net from "node:net";

/** How the link treats traffic. Held bytes and ends of connections are delivered when the link is open again. */
export const LinkState = {
    Open: "open",
    /** Open connections are reset, and new ones as soon as they are accepted. */
    Reset: "reset",
    /** Traffic is held in both directions. */
    Silent: "silent",
    /** Traffic from clients to the server is held. */
    RequestsHeld: "requestsHeld",
    /** Traffic from the server to clients is held. */
    AnswersHeld: "answersHeld",
} as const;
export type LinkState = typeof LinkState[keyof typeof LinkState];

export interface Link {
    setState(state: LinkState): void;
    /** Adds this latency to each direction, in milliseconds. */
    setDelay(ms: number): void;
    /** Limits the bandwidth of each direction of each connection. */
    setRate(bytesPerSecond: number): void;
    close(): void;
}

export interface LinkOptions {
    /** `IP:PORT` that clients connect to. */
    readonly listen: string;
    /** `IP:PORT` of the server. */
    readonly target: string;
}

type Direction = "requests" | "answers";

const HELD: Readonly<Record<LinkState, readonly Direction[]>> = {
    open: [],
    reset: [],
    silent: ["requests", "answers"],
    requestsHeld: ["requests"],
    answersHeld: ["answers"],
};

export async function createLink(options: LinkOptions): Promise<Link> {
    const sockets = new Set<net.Socket>();
    const channels = new Set<Channel>();
    let state: LinkState = LinkState.Open;
    let delayMs = 0;
    let bytesPerSecond = Infinity;

    const isHeld = (direction: Direction) => HELD[state].includes(direction);
    const pipe = (from: net.Socket, to: net.Socket, direction: Direction) => {
        const channel = createChannel(to, () => isHeld(direction), () => ({ delayMs, bytesPerSecond }));
        channels.add(channel);
        from.on("data", (chunk: Buffer) => {
            for (let at = 0; at < chunk.length; at += MAX_CHUNK_BYTES) {
                channel.push({ kind: "bytes", bytes: chunk.subarray(at, at + MAX_CHUNK_BYTES) });
            }
        });
        from.on("end", () => channel.push({ kind: "end" }));
        from.on("close", hadError => channel.push({ kind: "close", reset: hadError }));
        to.on("close", () => channels.delete(channel));
    };
    const register = (socket: net.Socket) => {
        sockets.add(socket);
        socket.setNoDelay(true);
        // "close" follows, and is forwarded.
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
    };
    const server = net.createServer({ allowHalfOpen: true }, client => {
        register(client);
        if (state === LinkState.Reset) {
            client.resetAndDestroy();
            return;
        }
        const { host, port } = parseAddress(options.target);
        const upstream = net.connect({ host, port, allowHalfOpen: true });
        register(upstream);
        pipe(client, upstream, "requests");
        pipe(upstream, client, "answers");
    });
    await new Promise<void>((resolve, reject) => {
        const { host, port } = parseAddress(options.listen);
        server.once("error", reject);
        server.listen(port, host, () => resolve());
    });
    return {
        setState: next => {
            state = next;
            if (state === LinkState.Reset) {
                sockets.forEach(socket => socket.resetAndDestroy());
            }
            channels.forEach(channel => channel.flush());
        },
        setDelay: ms => {
            delayMs = ms;
        },
        setRate: rate => {
            bytesPerSecond = rate;
        },
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

type Item =
    | { readonly kind: "bytes"; readonly bytes: Buffer; }
    | { readonly kind: "end"; }
    | { readonly kind: "close"; readonly reset: boolean; };

const MS_PER_S = 1_000;
/** Splits large writes, so that a link of low bandwidth delivers them gradually. */
const MAX_CHUNK_BYTES = 8_192;

interface LinkLimits {
    readonly delayMs: number;
    readonly bytesPerSecond: number;
}

interface Channel {
    push(item: Item): void;
    /** Delivers the items that are due, unless the direction is held. */
    flush(): void;
}

/** Creates a FIFO queue for one direction of one connection. */
function createChannel(to: net.Socket, isHeld: () => boolean, getLimits: () => LinkLimits): Channel {
    const queued: Array<{ readonly item: Item; readonly dueAt: number; }> = [];
    let lastDueAt = 0;
    let timer: NodeJS.Timeout | undefined;
    const flush = () => {
        while (queued.length > 0 && !isHeld() && queued[0]!.dueAt <= Date.now()) {
            deliver(to, queued.shift()!.item);
        }
        clearTimeout(timer);
        if (queued.length > 0 && !isHeld()) {
            // A timer may fire up to a millisecond before the item is due; it is set again in that case.
            timer = setTimeout(flush, Math.max(1, queued[0]!.dueAt - Date.now())).unref();
        }
    };
    return {
        push: item => {
            const { delayMs, bytesPerSecond } = getLimits();
            const bytes = item.kind === "bytes" ? item.bytes.length : 0;
            lastDueAt = Math.max(lastDueAt, Date.now() + delayMs) + bytes / bytesPerSecond * MS_PER_S;
            queued.push({ item, dueAt: lastDueAt });
            if (queued.length === 1) {
                flush();
            }
        },
        flush,
    };
}

function deliver(to: net.Socket, item: Item): void {
    if (to.destroyed) {
        return;
    }
    switch (item.kind) {
        case "bytes":
            to.write(item.bytes);
            return;
        case "end":
            to.end();
            return;
        case "close":
            if (item.reset) {
                to.resetAndDestroy();
            }
            else {
                to.destroySoon();
            }
            return;
    }
}

function parseAddress(address: string): { host: string; port: number; } {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

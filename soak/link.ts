/** A TCP proxy on loopback whose connections can be delayed, held back one way or both, and reset. */
import * as net from "node:net";

/** What happens to bytes under way. Held bytes, and the ends of connections, arrive when the link opens again. */
export const LinkState = {
    Open: "open",
    /** Connections are reset, new ones at once. */
    Reset: "reset",
    /** Nothing arrives on either side. */
    Silent: "silent",
    /** What clients send does not arrive. */
    RequestsHeld: "requestsHeld",
    /** What the server sends does not arrive. */
    AnswersHeld: "answersHeld",
} as const;
export type LinkState = typeof LinkState[keyof typeof LinkState];

export interface Link {
    setState(state: LinkState): void;
    /** Each way takes so much longer, in milliseconds. */
    setDelay(ms: number): void;
    /** Each way of each connection carries at most so much. */
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
    const join = (from: net.Socket, to: net.Socket, direction: Direction) => {
        const channel = createChannel(to, () => isHeld(direction), () => ({ delayMs, bytesPerSecond }));
        channels.add(channel);
        from.on("data", (chunk: Buffer) => {
            for (let at = 0; at < chunk.length; at += SLICE_BYTES) {
                channel.push({ kind: "bytes", bytes: chunk.subarray(at, at + SLICE_BYTES) });
            }
        });
        from.on("end", () => channel.push({ kind: "end" }));
        from.on("close", hadError => channel.push({ kind: "close", reset: hadError }));
        to.on("close", () => channels.delete(channel));
    };
    const add = (socket: net.Socket) => {
        sockets.add(socket);
        socket.setNoDelay(true);
        // Followed by "close", which is passed on.
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
    };
    const server = net.createServer({ allowHalfOpen: true }, client => {
        add(client);
        if (state === LinkState.Reset) {
            client.resetAndDestroy();
            return;
        }
        const { host, port } = parseAddress(options.target);
        const upstream = net.connect({ host, port, allowHalfOpen: true });
        add(upstream);
        join(client, upstream, "requests");
        join(upstream, client, "answers");
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
/** A weak link passes bytes on little by little, not in the pieces that the sender happens to write. */
const SLICE_BYTES = 8_192;

interface Pace {
    readonly delayMs: number;
    readonly bytesPerSecond: number;
}

interface Channel {
    push(item: Item): void;
    /** Passes on what is due and no longer held. */
    flush(): void;
}

/** One way of one connection: what is pushed comes out in the same order. */
function createChannel(to: net.Socket, isHeld: () => boolean, getPace: () => Pace): Channel {
    const waiting: Array<{ readonly item: Item; readonly dueAt: number; }> = [];
    let lastDueAt = 0;
    let timer: NodeJS.Timeout | undefined;
    const flush = () => {
        while (waiting.length > 0 && !isHeld() && waiting[0]!.dueAt <= Date.now()) {
            passOn(to, waiting.shift()!.item);
        }
        clearTimeout(timer);
        if (waiting.length > 0 && !isHeld()) {
            // A timer may fire within the millisecond before what it waits for is due: it is set again then.
            timer = setTimeout(flush, Math.max(1, waiting[0]!.dueAt - Date.now())).unref();
        }
    };
    return {
        push: item => {
            const { delayMs, bytesPerSecond } = getPace();
            const bytes = item.kind === "bytes" ? item.bytes.length : 0;
            lastDueAt = Math.max(lastDueAt, Date.now() + delayMs) + bytes / bytesPerSecond * MS_PER_S;
            waiting.push({ item, dueAt: lastDueAt });
            if (waiting.length === 1) {
                flush();
            }
        },
        flush,
    };
}

function passOn(to: net.Socket, item: Item): void {
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

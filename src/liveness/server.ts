/** Holds the connections of instances that watch this process. Each sends its own address once. */
import * as net from "node:net";
import * as calls from "../calls/index";
import type * as clock from "../clock/index";

export interface LivenessServerOptions {
    readonly clock: clock.Clock;
    /** Heartbeats are sent while this returns true. */
    isLeading(): boolean;
}

/** Server to which other instances connect to watch this process. */
export interface LivenessServer {
    /** Listens on `IP:PORT`, where port 0 stands for any free port; returns the port. */
    listen(address: string): Promise<number>;
    /** Addresses that watchers have sent, latest first, including those of watchers that have disconnected since. */
    getWatcherAddresses(): readonly string[];
    close(): void;
}

/** Detects watchers that have disappeared without closing their connection. */
const KEEP_ALIVE_MS = 5_000;
/** Remembered addresses: watchers move on to the next leader just when their addresses are needed. */
const MAX_WATCHERS = 8;
/** `IP:PORT` and a newline. */
const MAX_GREETING_BYTES = 64;

/** Three heartbeats fit into the silence after which a follower suspects the leader (`src/leader/holderMonitor.ts`). */
const HEARTBEAT_MS = 200;
/** Bounds the cost of heartbeats on a large site; further watchers wait for the expiry of the lease. */
const MAX_HEARTBEAT_WATCHERS = 40;
const HEARTBEAT = "\n";

export function createLivenessServer(options: LivenessServerOptions): LivenessServer {
    let cancelHeartbeat = () => {};
    const sendHeartbeats = () => {
        if (options.isLeading()) {
            [...open].slice(0, MAX_HEARTBEAT_WATCHERS).forEach(socket => socket.write(HEARTBEAT));
        }
        cancelHeartbeat = options.clock.setTimer(HEARTBEAT_MS, sendHeartbeats);
    };
    const open = new Set<net.Socket>();
    let watchers: readonly string[] = [];
    const server = net.createServer({ keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_MS }, socket => {
        open.add(socket);
        readGreeting(socket, address => {
            watchers = [address, ...watchers.filter(other => other !== address)].slice(0, MAX_WATCHERS);
        });
        // A failed connection needs no handling; the watcher reconnects.
        socket.on("error", () => socket.destroy());
        socket.on("close", () => open.delete(socket));
    });
    return {
        listen: address => {
            cancelHeartbeat();
            sendHeartbeats();
            return calls.listen(server, address);
        },
        getWatcherAddresses: () => watchers,
        close: () => {
            cancelHeartbeat();
            server.close();
            open.forEach(socket => socket.destroy());
        },
    };
}

/** Reads the line that a watcher sends; further data is ignored. */
function readGreeting(socket: net.Socket, onAddress: (address: string) => void): void {
    let text = "";
    let complete = false;
    socket.on("data", (chunk: Buffer) => {
        if (complete) {
            return;
        }
        text += chunk.toString("latin1", 0, MAX_GREETING_BYTES);
        const match = /^([^\s:]+:\d{1,5})\n/.exec(text);
        complete = Boolean(match) || text.length >= MAX_GREETING_BYTES;
        if (match) {
            onAddress(match[1]!);
        }
    });
}

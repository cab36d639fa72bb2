/** Holds the connections of instances that watch this process; each says once where it can be reached itself. */
import * as net from "node:net";
import * as calls from "../calls/index";
import type * as clock from "../clock/index";

export interface LivenessServerOptions {
    readonly clock: clock.Clock;
    /** While it holds, watchers get heartbeats. */
    isLeading(): boolean;
}

export interface LivenessServer {
    /** Takes `IP:PORT`, port 0 for any free one; returns the port. */
    listen(address: string): Promise<number>;
    /** Addresses that watchers have named, the latest first; those of watchers that have gone since may be among them. */
    getWatcherAddresses(): readonly string[];
    close(): void;
}

/** Ends connections of watchers that are gone without a word. */
const KEEP_ALIVE_MS = 5_000;
/** Watchers move on to the next leader just when their addresses are needed; so many are remembered. */
const MOST_WATCHERS = 8;
/** `IP:PORT` and a line end. */
const MOST_GREETING_BYTES = 64;

/** Three of them fit into the silence that makes a follower doubt (`src/leader/lease.ts`). */
const HEARTBEAT_MS = 200;
/** Bounds what heartbeats cost the leader of a large site; watchers beyond wait for the lease, as without them. */
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
            watchers = [address, ...watchers.filter(other => other !== address)].slice(0, MOST_WATCHERS);
        });
        // A watcher that is gone needs nothing from us; the next one opens its own connection.
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

/** Reads the one line that a watcher sends; whatever else comes is dropped. */
function readGreeting(socket: net.Socket, onAddress: (address: string) => void): void {
    let text = "";
    let complete = false;
    socket.on("data", (chunk: Buffer) => {
        if (complete) {
            return;
        }
        text += chunk.toString("latin1", 0, MOST_GREETING_BYTES);
        const match = /^([^\s:]+:\d{1,5})\n/.exec(text);
        complete = Boolean(match) || text.length >= MOST_GREETING_BYTES;
        if (match) {
            onAddress(match[1]!);
        }
    });
}

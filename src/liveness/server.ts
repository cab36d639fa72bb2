/** Holds the connections of instances that watch this process. Each sends its own address once. */
import * as net from "node:net";
import type * as clock from "../clock/index";
import * as inbounds from "../inbound/index";

export interface LivenessServerOptions {
    readonly clock: clock.Clock;
    readonly inbound: inbounds.Inbound;
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
/** Socket and its listeners. */
const CONNECTION_BYTES = 4_096;
/** A watcher sends its address as soon as it is connected. */
const GREETING_TIMEOUT_MS = 3_000;

export function createLivenessServer(options: LivenessServerOptions): LivenessServer {
    let cancelHeartbeat = () => {};
    const sendHeartbeats = () => {
        if (options.isLeading()) {
            [...watching].slice(0, MAX_HEARTBEAT_WATCHERS)
                // A watcher that does not read has not taken the previous ones.
                .filter(socket => socket.writableLength === 0)
                .forEach(socket => socket.write(HEARTBEAT));
        }
        cancelHeartbeat = options.clock.setTimer(HEARTBEAT_MS, sendHeartbeats);
    };
    const open = new Set<net.Socket>();
    /** Connections whose watcher has sent its address. */
    const watching = new Set<net.Socket>();
    let watchers: readonly string[] = [];
    const server = net.createServer({ keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_MS }, socket => {
        const connection = options.inbound.budget.open({
            server: inbounds.ServerName.Watch,
            ownBytes: CONNECTION_BYTES,
            getTimeoutMs: phase => phase === "idle" ? GREETING_TIMEOUT_MS : Infinity,
            evict: () => socket.destroy(),
        });
        // A failed connection needs no handling; the watcher reconnects.
        socket.on("error", () => socket.destroy());
        if (!connection) {
            socket.destroy();
            return;
        }
        open.add(socket);
        readGreeting(socket, address => {
            connection.setPhase("serving");
            watching.add(socket);
            if (address !== undefined) {
                watchers = [address, ...watchers.filter(other => other !== address)].slice(0, MAX_WATCHERS);
            }
        });
        socket.on("close", () => {
            connection.end();
            open.delete(socket);
            watching.delete(socket);
        });
    });
    return {
        listen: address => {
            cancelHeartbeat();
            sendHeartbeats();
            return options.inbound.listen(inbounds.ServerName.Watch, server, address);
        },
        getWatcherAddresses: () => watchers,
        close: () => {
            cancelHeartbeat();
            server.close();
            open.forEach(socket => socket.destroy());
        },
    };
}

/** Reads the line that a watcher sends, which has no address if it accepts no requests; further data is ignored. */
function readGreeting(socket: net.Socket, onGreeting: (address: string | undefined) => void): void {
    let text = "";
    let complete = false;
    socket.on("data", (chunk: Buffer) => {
        if (complete) {
            return;
        }
        text += chunk.toString("latin1", 0, MAX_GREETING_BYTES);
        const line = /^([^\n]*)\n/.exec(text)?.[1];
        complete = line !== undefined || text.length >= MAX_GREETING_BYTES;
        if (line !== undefined) {
            onGreeting(/^[^\s:]+:\d{1,5}$/.test(line) ? line : undefined);
        }
    });
}

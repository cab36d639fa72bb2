/**
 * Watches another instance's process over a connection, on which the watcher sends its own address and a leader sends
 * heartbeats.
 *
 * When a process exits, its operating system closes its connections and refuses new ones. So an established connection
 * that closes, followed by a refusal, means that the process has exited, long before its lease expires. A machine that
 * has lost power or is partitioned refuses nothing; only its heartbeats stop.
 */
import * as net from "node:net";
import type * as clock from "../clock/index";

export interface ProcessWatchOptions {
    readonly clock: clock.Clock;
    /** `IP:PORT` of the process's liveness server. */
    readonly address: string;
    /** Address at which this process accepts forwarded requests, for the watched process; empty if it accepts none. */
    readonly ownAddress: string;
    /** Called once, when the process has exited. */
    onExit(): void;
}

/** Delay between attempts to connect while it is unknown whether the process is running. */
const RETRY_MS = 300;
const CONNECT_TIMEOUT_MS = 1_000;

/** A running watch. */
export interface ProcessWatch {
    /** Milliseconds since the latest heartbeat; `undefined` if none has been received. */
    getHeartbeatAgeMs(): number | undefined;
    end(): void;
}

/** Watches a process until it has exited or the watch is ended. */
export function watchProcess(options: ProcessWatchOptions): ProcessWatch {
    const separator = options.address.lastIndexOf(":");
    const host = options.address.slice(0, separator);
    const port = Number(options.address.slice(separator + 1));
    let ended = false;
    let wasConnected = false;
    let socket: net.Socket | undefined;
    let retry: NodeJS.Timeout | undefined;
    let heartbeatAt: number | undefined;

    const connect = () => {
        let refused = false;
        let connectedAt: number | undefined;
        socket = net.connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
        socket.once("connect", () => {
            wasConnected = true;
            connectedAt = options.clock.now();
            socket?.setTimeout(0);
            socket?.write(`${options.ownAddress}\n`);
        });
        socket.once("timeout", () => socket?.destroy());
        socket.on("error", (err: NodeJS.ErrnoException) => {
            refused = err.code === "ECONNREFUSED";
        });
        socket.on("data", () => {
            heartbeatAt = options.clock.now();
        });
        socket.once("close", () => {
            if (ended) {
                return;
            }
            if (refused && wasConnected) {
                ended = true;
                options.onExit();
                return;
            }
            // A server with too many connections accepts each new one and closes it.
            const wasShort = connectedAt !== undefined && options.clock.now() - connectedAt < RETRY_MS;
            retry = setTimeout(connect, refused || wasShort ? RETRY_MS : 0);
        });
    };
    connect();
    return {
        getHeartbeatAgeMs: () => heartbeatAt === undefined ? undefined : options.clock.now() - heartbeatAt,
        end: () => {
            ended = true;
            clearTimeout(retry);
            socket?.destroy();
        },
    };
}

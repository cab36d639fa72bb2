/**
 * Watches another instance's process over a connection on which the watcher says its own address, and a leader sends heartbeats.
 *
 * When a process dies, its system closes its connections and refuses new ones. So a connection that had come about
 * and was closed, followed by a refusal, means that the process is gone, long before its lease lapses. A machine
 * without power or behind a cut refuses nothing; only the heartbeats of such a one stay away.
 */
import * as net from "node:net";
import type * as clock from "../clock/index";

export interface ProcessWatchOptions {
    readonly clock: clock.Clock;
    /** `IP:PORT` of the process's liveness server. */
    readonly address: string;
    /** Where this process takes requests that others pass on: the watched one may need it. Empty: nowhere. */
    readonly ownAddress: string;
    /** Called once, when the process is gone. */
    onExit(): void;
}

/** Between tries to connect while it is not known whether the process lives. */
const RETRY_MS = 300;
const CONNECT_TIMEOUT_MS = 1_000;

export interface ProcessWatch {
    /** Milliseconds since the latest heartbeat; `undefined` where none has come yet. */
    getHeartbeatAgeMs(): number | undefined;
    end(): void;
}

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
        socket = net.connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
        socket.once("connect", () => {
            wasConnected = true;
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
            retry = setTimeout(connect, refused ? RETRY_MS : 0);
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

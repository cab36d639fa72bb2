/** Holds the connections of instances that watch this process; nothing is ever sent on them. */
import * as net from "node:net";

export interface LivenessServer {
    /** Takes `IP:PORT`, port 0 for any free one; returns the port. */
    listen(address: string): Promise<number>;
    close(): void;
}

/** Ends connections of watchers that are gone without a word. */
const KEEP_ALIVE_MS = 5_000;

export function createLivenessServer(): LivenessServer {
    const open = new Set<net.Socket>();
    const server = net.createServer({ keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_MS }, socket => {
        open.add(socket);
        socket.resume();
        // A watcher that is gone needs nothing from us; the next one opens its own connection.
        socket.on("error", () => socket.destroy());
        socket.on("close", () => open.delete(socket));
    });
    return {
        listen: address => {
            const separator = address.lastIndexOf(":");
            return new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen(
                    Number(address.slice(separator + 1)),
                    address.slice(0, separator),
                    () => resolve((server.address() as net.AddressInfo).port),
                );
            });
        },
        close: () => {
            server.close();
            open.forEach(socket => socket.destroy());
        },
    };
}

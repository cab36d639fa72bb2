/** Starts servers on configured addresses. */
import type * as net from "node:net";

/**
 * Listens on `address` (`IP:PORT`, port 0 for any free one) and returns the port. Rejects if the port is taken.
 * `backlog` is the maximum number of connections that wait for being accepted.
 */
export function listen(server: net.Server, address: string, backlog: number): Promise<number> {
    const separator = address.lastIndexOf(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(
            { host: address.slice(0, separator), port: Number(address.slice(separator + 1)), backlog },
            () => resolve((server.address() as net.AddressInfo).port),
        );
    });
}

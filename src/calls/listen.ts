/** Starts servers on configured addresses. */
import type * as net from "node:net";

/** Listens on `address` (`IP:PORT`, port 0 for any free one) and returns the port. Rejects if the port is taken. */
export function listen(server: net.Server, address: string): Promise<number> {
    const separator = address.lastIndexOf(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(
            Number(address.slice(separator + 1)),
            address.slice(0, separator),
            () => resolve((server.address() as net.AddressInfo).port),
        );
    });
}

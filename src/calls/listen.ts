import type * as net from "node:net";

/** Takes `IP:PORT`, port 0 for any free one; returns the port. */
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

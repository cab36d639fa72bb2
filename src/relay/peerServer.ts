/** Takes requests that other instances pass on. They are handled here or not at all: none is passed on again. */
import * as http from "node:http";
import * as net from "node:net";
import * as messages from "./messages";
import * as peerClient from "./peerClient";
import * as replies from "./replies";

export interface PeerServerOptions {
    /** Version of the configuration in force here; 0: none. */
    getConfigurationVersion(): number;
    /** Addresses of other instances. */
    getPeers(): readonly string[];
    handle(request: messages.CallersRequest): Promise<messages.CallersReply>;
}

export interface PeerServer {
    /** Takes `IP:PORT`, port 0 for any free one; returns the port. */
    listen(address: string): Promise<number>;
    /** Takes no new connections, answers what was read, and closes. */
    close(): Promise<void>;
}

/** Twice the largest body that callers may send, for what quoting adds. */
const MAX_BYTES = 1_048_576;
const BAD_REQUEST = 400;

export function createPeerServer(options: PeerServerOptions): PeerServer {
    let closing = false;
    const server = http.createServer((req, res) => {
        void readText(req).then(async text => {
            const passed = text === undefined || req.url !== peerClient.REQUEST_PATH
                ? undefined
                : messages.decodeRequest(text);
            if (!passed) {
                res.statusCode = BAD_REQUEST;
                res.setHeader("Connection", "close");
                res.end();
                return;
            }
            // Read before the request is handled: the reply may be under a newer one, never under an older one.
            const configurationVersion = options.getConfigurationVersion();
            const reply = configurationVersion < passed.leastVersion
                ? replies.OUT_OF_DATE
                : await options.handle(passed.request);
            if (closing) {
                res.setHeader("Connection", "close");
            }
            res.end(messages.encode({ reply, configurationVersion, peers: options.getPeers() }));
        });
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
            closing = true;
            return new Promise(resolve => {
                server.close(() => resolve());
                server.closeIdleConnections();
            });
        },
    };
}

/** `undefined`: longer than allowed, or broken off. */
function readText(req: http.IncomingMessage): Promise<string | undefined> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        req.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes <= MAX_BYTES) {
                chunks.push(chunk);
            }
        });
        req.once("end", () => resolve(bytes > MAX_BYTES ? undefined : Buffer.concat(chunks).toString()));
        req.once("error", () => resolve(undefined));
    });
}

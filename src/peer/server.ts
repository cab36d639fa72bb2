/** gRPC server of an instance's peer service. */
import * as grpc from "@grpc/grpc-js";
import * as result from "../result/index";
import type * as peerCredentials from "./credentials";
import * as generated from "./peer.generated";
import type * as peerService from "./peerService";

/** A running server. */
export interface PeerServer {
    /** `host:port` on which it listens. */
    readonly address: string;
    /** Stops accepting calls, waits at most `drainMs` for calls in progress and then cancels them. */
    close(drainMs: number): Promise<void>;
}

/** Maximum size of a message in bytes, in both directions. The report of a rack is the largest message. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Starts a server on `address` (`host:port`; port 0 for any free port). Rejects when it cannot listen there. */
export async function startPeerServer(
    address: string,
    service: peerService.PeerService,
    credentials: peerCredentials.PeerCredentials,
): Promise<PeerServer> {
    const server = new grpc.Server({
        "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
        "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
    });
    const implementation: generated.PeerServer = {
        heartbeat: createHandler(service.heartbeat),
        run: createHandler(service.run),
        command: createHandler(service.command),
        reportRack: createHandler(service.reportRack),
        notifyJob: createHandler(service.notifyJob),
        getConfiguration: createHandler(service.getConfiguration),
    };
    server.addService(generated.PeerService, implementation);
    const port = await new Promise<number>((resolve, reject) => {
        server.bindAsync(address, credentials.server, (err, bound) => err ? reject(err) : resolve(bound));
    });
    const host = address.slice(0, address.lastIndexOf(":"));
    return {
        address: `${host}:${port}`,
        close: drainMs =>
            new Promise<void>(resolve => {
                const timer = setTimeout(() => server.forceShutdown(), drainMs);
                server.tryShutdown(() => {
                    clearTimeout(timer);
                    resolve();
                });
            }),
    };
}

function createHandler<Req, Res>(handle: (req: Req) => Promise<Res>): grpc.handleUnaryCall<Req, Res> {
    return (call, callback) => {
        handle(call.request).then(
            res => callback(undefined as unknown as grpc.ServiceError, res),
            err => callback({ code: grpc.status.INTERNAL, details: result.getErrorMessage(err) }),
        );
    };
}

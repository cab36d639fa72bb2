/** gRPC connections to other instances: one channel per address, opened on first use. */
import * as grpc from "@grpc/grpc-js";
import type * as observe from "../observe/index";
import type * as peerCredentials from "./credentials";
import * as generated from "./peer.generated";
import type * as peerService from "./peerService";
import * as server from "./server";

/** Calls to one peer. Each resolves to `undefined` when no answer arrived in time; it may still have been executed. */
export type PeerCalls = {
    readonly [Name in keyof peerService.PeerService]: (
        req: Parameters<peerService.PeerService[Name]>[0],
        timeoutMs: number,
    ) => Promise<Awaited<ReturnType<peerService.PeerService[Name]>> | undefined>;
};

/** Channels to the peers. */
export interface PeerConnections {
    /** The calls to a peer. */
    get(peer: { readonly id: string; readonly zone: string; readonly peerAddress: string; }): PeerCalls;
    /** Closes the channels to all addresses that are not in the set. */
    closeExcept(addresses: ReadonlySet<string>): void;
    /** Closes all channels. */
    close(): void;
}

interface ConnectionOptions {
    readonly credentials: peerCredentials.PeerCredentials;
    readonly counters: observe.Counters;
    /** Whether this instance can reach a zone; tests simulate a network partition with it. */
    readonly isLinkUp: (zone: string) => boolean;
}

/** Maximum pause before a failed channel reconnects; short, so that calls do not wait for a peer that has returned. */
const MAX_RECONNECT_MS = 500;

/** Creates an empty set of connections. */
export function createPeerConnections(options: ConnectionOptions): PeerConnections {
    const channels = new Map<string, generated.PeerClient>();

    const getChannel = (address: string): generated.PeerClient => {
        const known = channels.get(address);
        if (known) {
            return known;
        }
        const channel = new generated.PeerClient(address, options.credentials.channel, {
            "grpc.max_receive_message_length": server.MAX_MESSAGE_BYTES,
            "grpc.max_send_message_length": server.MAX_MESSAGE_BYTES,
            "grpc.initial_reconnect_backoff_ms": 100,
            "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_MS,
            "grpc.enable_retries": 0,
        });
        channels.set(address, channel);
        return channel;
    };

    return {
        get: peer => {
            const channel = getChannel(peer.peerAddress);
            const call = <Req, Res>(send: Send<Req, Res>) => (req: Req, timeoutMs: number) =>
                options.isLinkUp(peer.zone)
                    ? callUnary(send, req, timeoutMs, options.counters)
                    : Promise.resolve(undefined);
            return {
                heartbeat: call(channel.heartbeat.bind(channel)),
                run: call(channel.run.bind(channel)),
                command: call(channel.command.bind(channel)),
                reportRack: call(channel.reportRack.bind(channel)),
                notifyJob: call(channel.notifyJob.bind(channel)),
                getConfiguration: call(channel.getConfiguration.bind(channel)),
            };
        },
        closeExcept: addresses => {
            for (const [address, channel] of channels) {
                if (!addresses.has(address)) {
                    channels.delete(address);
                    channel.close();
                }
            }
        },
        close: () => {
            for (const channel of channels.values()) {
                channel.close();
            }
            channels.clear();
        },
    };
}

type Send<Req, Res> = (
    req: Req,
    metadata: grpc.Metadata,
    options: Partial<grpc.CallOptions>,
    callback: grpc.requestCallback<Res>,
) => grpc.ClientUnaryCall;

function callUnary<Req, Res>(
    send: Send<Req, Res>,
    req: Req,
    timeoutMs: number,
    counters: observe.Counters,
): Promise<Res | undefined> {
    return new Promise(resolve => {
        send(req, new grpc.Metadata(), { deadline: Date.now() + timeoutMs }, (err, res) => {
            if (err) {
                counters.increment("peer.callFailed");
                resolve(undefined);
                return;
            }
            resolve(res);
        });
    });
}

/** Heartbeats with peers: one loop for each peer, and one that keeps the loops in step with the membership. */
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";
import type * as membership from "../membership/index";
import type * as ownership from "../ownership/index";
import type * as peer from "../peer/index";

export interface HeartbeatOptions {
    readonly self: membership.Peer;
    readonly clock: clock.Clock;
    readonly view: membership.MembershipView;
    readonly connections: peer.PeerConnections;
    readonly reader: configuration.ConfigurationReader;
    readonly intervalMs: number;
    readonly createHeartbeat: () => peer.HeartbeatMessage;
    /** Called after each round of any peer. */
    readonly onChange: () => void;
}

/** Instances of each other zone that are sent heartbeats; the own zone's all are. */
const LINKS_A_ZONE = 2;
const ADJUST_MS = 500;

export async function runHeartbeats(
    options: HeartbeatOptions,
    holdings: ownership.Holdings<string>,
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted) {
        holdings.adjust(new Set(choosePeers(options)));
        options.connections.retain(new Set(options.view.getPeers().map(item => item.peerAddress)));
        await options.clock.sleep(ADJUST_MS, signal);
    }
    await holdings.close();
}

/** All peers of the own zone, and a few of each other zone. */
function choosePeers(options: HeartbeatOptions): string[] {
    const byZone = new Map<string, membership.Peer[]>();
    for (const item of options.view.getPeers()) {
        byZone.set(item.zone, [...byZone.get(item.zone) ?? [], item]);
    }
    return [...byZone].flatMap(([zone, peers]) => {
        const ids = peers.map(item => item.id);
        return zone === options.self.zone ? ids : chooseLinks(options.self.id, ids);
    });
}

/** Neighbours on a ring by name, so that every instance is heard by some and no instance by all. */
function chooseLinks(selfId: string, ids: readonly string[]): string[] {
    const sorted = [...ids].sort();
    const start = Math.max(0, sorted.findIndex(id => id > selfId));
    const count = Math.min(LINKS_A_ZONE, sorted.length);
    return Array.from({ length: count }, (_, offset) => sorted[(start + offset) % sorted.length]!);
}

/** The loop with one peer. */
export async function beat(options: HeartbeatOptions, peerId: string, signal: AbortSignal): Promise<void> {
    const { view, clock: time, reader } = options;
    while (!signal.aborted) {
        const member = view.getPeer(peerId);
        if (member) {
            const calls = options.connections.get(member);
            const reply = await calls.heartbeat(options.createHeartbeat(), options.intervalMs * 2);
            if (reply) {
                view.noteHeartbeat(reply, member.peerAddress);
                reader.hint(reply.newestRevision, createSource(calls, options.intervalMs));
            }
            else {
                view.noteFailure(peerId);
            }
            options.onChange();
        }
        await time.sleep(options.intervalMs, signal);
    }
}

/** A peer as a source of the configuration, for when the table service is down. */
function createSource(
    calls: ReturnType<peer.PeerConnections["get"]>,
    timeoutMs: number,
): configuration.ConfigurationSource {
    return {
        readHead: async () => {
            const reply = await calls.getConfiguration({ digest: "" }, timeoutMs);
            return reply && reply.head !== "" ? JSON.parse(reply.head) as configuration.ConfigurationHead : undefined;
        },
        readDocument: async digest => {
            const reply = await calls.getConfiguration({ digest }, timeoutMs * 2);
            return reply && reply.document !== "" ? reply.document : undefined;
        },
    };
}

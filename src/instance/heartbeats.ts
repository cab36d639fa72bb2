/** Heartbeats with peers: one loop per peer, and one loop that starts and stops these as the membership changes. */
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";
import type * as membership from "../membership/index";
import type * as ownership from "../ownership/index";
import type * as peer from "../peer/index";

/** Options of the heartbeat loops. */
export interface HeartbeatOptions {
    readonly self: membership.Peer;
    readonly clock: clock.Clock;
    readonly view: membership.MembershipView;
    readonly connections: peer.PeerConnections;
    readonly reader: configuration.ConfigurationReader;
    readonly intervalMs: number;
    readonly createHeartbeat: () => peer.HeartbeatMessage;
    /** Called after each heartbeat to a peer, whether it was answered or not. */
    readonly onChange: () => void;
}

/** Number of instances of each other zone that are sent heartbeats; in its own zone an instance sends them to all. */
const PEERS_PER_OTHER_ZONE = 2;
const ADJUST_INTERVAL_MS = 500;

/** Keeps one loop per chosen peer until the signal is aborted; waits for all loops to end. */
export async function runHeartbeats(
    options: HeartbeatOptions,
    holdings: ownership.OwnedItems<string>,
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted) {
        holdings.reconcile(new Set(choosePeers(options)));
        options.connections.closeExcept(new Set(options.view.getPeers().map(member => member.peerAddress)));
        await options.clock.sleep(ADJUST_INTERVAL_MS, signal);
    }
    await holdings.close();
}

/** Chooses all peers of this instance's zone and `PEERS_PER_OTHER_ZONE` of each other zone. */
function choosePeers(options: HeartbeatOptions): string[] {
    const byZone = new Map<string, membership.Peer[]>();
    for (const member of options.view.getPeers()) {
        byZone.set(member.zone, [...byZone.get(member.zone) ?? [], member]);
    }
    return [...byZone].flatMap(([zone, peers]) => {
        const ids = peers.map(member => member.id);
        return zone === options.self.zone ? ids : choosePeersOfOtherZone(options.self.id, ids);
    });
}

/** Chooses the neighbours on a ring sorted by id, so that some instances, but not all, send heartbeats to each one. */
function choosePeersOfOtherZone(selfId: string, ids: readonly string[]): string[] {
    const sorted = [...ids].sort();
    const start = Math.max(0, sorted.findIndex(id => id > selfId));
    const count = Math.min(PEERS_PER_OTHER_ZONE, sorted.length);
    return Array.from({ length: count }, (_, offset) => sorted[(start + offset) % sorted.length]!);
}

/** Exchanges heartbeats with one peer until the signal is aborted. */
export async function exchangeHeartbeats(
    options: HeartbeatOptions,
    peerId: string,
    signal: AbortSignal,
): Promise<void> {
    const { view, clock: time, reader } = options;
    while (!signal.aborted) {
        const member = view.getPeer(peerId);
        if (member) {
            const calls = options.connections.get(member);
            const reply = await calls.heartbeat(options.createHeartbeat(), options.intervalMs * 2);
            if (reply) {
                view.recordHeartbeat(reply, member.peerAddress);
                reader.fetchIfNewer(reply.newestRevision, createPeerSource(calls, options.intervalMs));
            }
            else {
                view.recordCallFailure(peerId);
            }
            options.onChange();
        }
        await time.sleep(options.intervalMs, signal);
    }
}

/** Creates a configuration source that reads from a peer, for use while the table service is down. */
function createPeerSource(
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

/**
 * The instances that this one considers live.
 *
 * The platform's list is seconds late, for joining and for failed instances. Heartbeats correct it: a peer of the own
 * zone that sends none counts as failed before the list shows it, and a peer that sends them counts as live before it
 * is listed. Safety does not depend on this view: two instances with different views may both consider themselves owner
 * of a rack, but the workers' fencing tokens let only one of them act.
 */
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as peer from "../peer/index";

/** An instance and its address. */
export interface Peer {
    readonly id: string;
    readonly zone: string;
    /** `host:port` of its gRPC listener. */
    readonly peerAddress: string;
}

/** This instance's view of the membership. */
export interface MembershipView {
    /** All known instances except this one, including leaving ones. */
    getPeers(): readonly Peer[];
    /** Ids of the live instances of a zone that may own racks and queues, including this one unless it is leaving. */
    getOwners(zone: string): readonly string[];
    /** `undefined` when the peer is not known. */
    getPeer(id: string): Peer | undefined;
    /** The peer's latest heartbeat; `undefined` when none arrived within `failAfterMs`. */
    getHeartbeat(id: string): peer.HeartbeatMessage | undefined;
    /** The latest heartbeats of all peers that sent one within `failAfterMs`. */
    getHeartbeats(): readonly peer.HeartbeatMessage[];
    /** Whether the platform lists the worker as leaving. */
    isWorkerLeaving(workerId: string): boolean;
    /** Applies the platform's list. */
    applySnapshot(snapshot: platform.MembershipSnapshot): void;
    /** Records a heartbeat. Without an address, that of the known peer is used; unknown peers are then ignored. */
    recordHeartbeat(heartbeat: peer.HeartbeatMessage, peerAddress: string | undefined): void;
    /** Records that a call to the peer failed. */
    recordCallFailure(id: string): void;
    /** Marks this instance as leaving. */
    setLeaving(): void;
}

interface MembershipViewOptions {
    readonly self: Peer;
    readonly clock: clock.Clock;
    /** Time without a heartbeat after which a peer counts as failed. */
    readonly failAfterMs: number;
}

interface KnownPeer {
    readonly peer: Peer;
    listed: boolean;
    listedLeaving: boolean;
    /** Monotonic time at which the peer became known; it has `failAfterMs` from then to send a heartbeat. */
    readonly knownSinceAt: number;
    lastHeartbeatAt: number | undefined;
    heartbeat: peer.HeartbeatMessage | undefined;
    failedAt: number | undefined;
}

export function createMembershipView(options: MembershipViewOptions): MembershipView {
    const { self, clock: time, failAfterMs } = options;
    const knownPeers = new Map<string, KnownPeer>();
    let leavingWorkers = new Set<string>();
    let leaving = false;

    const hasTimedOut = (item: KnownPeer) => time.now() - (item.lastHeartbeatAt ?? item.knownSinceAt) > failAfterMs;

    const isOwner = (item: KnownPeer) => {
        if (item.listedLeaving || item.heartbeat?.leaving) {
            return false;
        }
        if (item.peer.zone === self.zone) {
            return !hasTimedOut(item);
        }
        // Few peers of other zones send heartbeats here. For the rest the list decides, unless a call has just failed.
        const failedRecently = item.failedAt !== undefined && time.now() - item.failedAt < failAfterMs;
        return item.lastHeartbeatAt !== undefined && !hasTimedOut(item) ? true : item.listed && !failedRecently;
    };

    const getOrAdd = (member: Peer): KnownPeer => {
        const existing = knownPeers.get(member.id);
        if (existing && existing.peer.peerAddress === member.peerAddress && existing.peer.zone === member.zone) {
            return existing;
        }
        const item: KnownPeer = {
            peer: member,
            listed: false,
            listedLeaving: false,
            knownSinceAt: time.now(),
            lastHeartbeatAt: undefined,
            heartbeat: undefined,
            failedAt: undefined,
        };
        knownPeers.set(member.id, item);
        return item;
    };

    const getFreshHeartbeat = (item: KnownPeer | undefined) => item && !hasTimedOut(item) ? item.heartbeat : undefined;

    return {
        getPeers: () => [...knownPeers.values()].map(item => item.peer),
        getOwners: zone => {
            const owners = [...knownPeers.values()].filter(item => item.peer.zone === zone && isOwner(item)).map(item =>
                item.peer.id
            );
            return zone === self.zone && !leaving ? [...owners, self.id] : owners;
        },
        getPeer: id => knownPeers.get(id)?.peer,
        getHeartbeat: id => getFreshHeartbeat(knownPeers.get(id)),
        getHeartbeats: () => [...knownPeers.values()].flatMap(item => getFreshHeartbeat(item) ?? []),
        isWorkerLeaving: workerId => leavingWorkers.has(workerId),
        applySnapshot: snapshot => {
            for (const item of knownPeers.values()) {
                item.listed = false;
            }
            for (const entry of snapshot.instances) {
                if (entry.id === self.id) {
                    continue;
                }
                const item = getOrAdd({ id: entry.id, zone: entry.zone, peerAddress: entry.peerAddress });
                item.listed = true;
                item.listedLeaving = entry.state === "leaving";
            }
            for (const [id, item] of knownPeers) {
                if (!item.listed && hasTimedOut(item)) {
                    knownPeers.delete(id);
                }
            }
            leavingWorkers = new Set(
                snapshot.workers.filter(worker => worker.state === "leaving").map(worker => worker.id),
            );
        },
        recordHeartbeat: (heartbeat, peerAddress) => {
            const address = peerAddress ?? knownPeers.get(heartbeat.instanceId)?.peer.peerAddress;
            if (address === undefined || heartbeat.instanceId === self.id) {
                return;
            }
            const item = getOrAdd({ id: heartbeat.instanceId, zone: heartbeat.zone, peerAddress: address });
            const isStale = item.heartbeat && heartbeat.incarnation < item.heartbeat.incarnation;
            if (!isStale) {
                item.lastHeartbeatAt = time.now();
                item.heartbeat = heartbeat;
                item.failedAt = undefined;
            }
        },
        recordCallFailure: id => {
            const item = knownPeers.get(id);
            if (item) {
                item.failedAt = time.now();
            }
        },
        setLeaving: () => {
            leaving = true;
        },
    };
}

/**
 * The instances that this one takes to be live.
 *
 * The platform's list lags by seconds in both directions. Heartbeats correct it: a peer of the own zone that is silent is
 * dead sooner than the list says, and one that is heard is alive though not listed yet. Nothing here decides safety: two
 * instances with different views may both believe to own a rack, and the workers' fencing tokens let only one act.
 */
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as peer from "../peer/index";

export interface Peer {
    readonly id: string;
    readonly zone: string;
    readonly peerAddress: string;
}

export interface MembershipView {
    /** All instances known, this one excluded, leaving ones included. */
    getPeers(): readonly Peer[];
    /** Ids of the live instances of a zone that may own something; this one included unless it is leaving. */
    getOwners(zone: string): readonly string[];
    getPeer(id: string): Peer | undefined;
    /** What a peer last said of itself; `undefined` when it has been silent for too long. */
    getHeartbeat(id: string): peer.HeartbeatMessage | undefined;
    /** Fresh heartbeats of all peers. */
    getHeartbeats(): readonly peer.HeartbeatMessage[];
    isLeaving(workerId: string): boolean;
    noteSnapshot(snapshot: platform.MembershipSnapshot): void;
    noteHeartbeat(heartbeat: peer.HeartbeatMessage, peerAddress: string | undefined): void;
    /** A call to the peer failed. */
    noteFailure(id: string): void;
    setLeaving(): void;
}

interface MembershipViewOptions {
    readonly self: Peer;
    readonly clock: clock.Clock;
    readonly failAfterMs: number;
}

interface Known {
    readonly peer: Peer;
    listed: boolean;
    listedLeaving: boolean;
    /** Monotonic time at which it was first known; it gets `failAfterMs` to be heard. */
    readonly since: number;
    heardAt: number | undefined;
    heartbeat: peer.HeartbeatMessage | undefined;
    failedAt: number | undefined;
}

export function createMembershipView(options: MembershipViewOptions): MembershipView {
    const { self, clock: time, failAfterMs } = options;
    const known = new Map<string, Known>();
    let leavingWorkers = new Set<string>();
    let leaving = false;

    const isSilent = (item: Known) => time.now() - (item.heardAt ?? item.since) > failAfterMs;

    const isOwner = (item: Known) => {
        if (item.listedLeaving || item.heartbeat?.leaving) {
            return false;
        }
        if (item.peer.zone === self.zone) {
            return !isSilent(item);
        }
        // Few links lead to other zones: the list decides there, unless a call to the peer has just failed.
        const justFailed = item.failedAt !== undefined && time.now() - item.failedAt < failAfterMs;
        return item.heardAt !== undefined && !isSilent(item) ? true : item.listed && !justFailed;
    };

    const note = (member: Peer): Known => {
        const before = known.get(member.id);
        if (before && before.peer.peerAddress === member.peerAddress && before.peer.zone === member.zone) {
            return before;
        }
        const item: Known = {
            peer: member,
            listed: false,
            listedLeaving: false,
            since: time.now(),
            heardAt: undefined,
            heartbeat: undefined,
            failedAt: undefined,
        };
        known.set(member.id, item);
        return item;
    };

    const getFresh = (item: Known | undefined) => item && !isSilent(item) ? item.heartbeat : undefined;

    return {
        getPeers: () => [...known.values()].map(item => item.peer),
        getOwners: zone => {
            const owners = [...known.values()].filter(item => item.peer.zone === zone && isOwner(item)).map(item =>
                item.peer.id
            );
            return zone === self.zone && !leaving ? [...owners, self.id] : owners;
        },
        getPeer: id => known.get(id)?.peer,
        getHeartbeat: id => getFresh(known.get(id)),
        getHeartbeats: () => [...known.values()].flatMap(item => getFresh(item) ?? []),
        isLeaving: workerId => leavingWorkers.has(workerId),
        noteSnapshot: snapshot => {
            for (const item of known.values()) {
                item.listed = false;
            }
            for (const entry of snapshot.instances) {
                if (entry.id === self.id) {
                    continue;
                }
                const item = note({ id: entry.id, zone: entry.zone, peerAddress: entry.peerAddress });
                item.listed = true;
                item.listedLeaving = entry.state === "leaving";
            }
            for (const [id, item] of known) {
                if (!item.listed && isSilent(item)) {
                    known.delete(id);
                }
            }
            leavingWorkers = new Set(
                snapshot.workers.filter(worker => worker.state === "leaving").map(worker => worker.id),
            );
        },
        noteHeartbeat: (heartbeat, peerAddress) => {
            const address = peerAddress ?? known.get(heartbeat.instanceId)?.peer.peerAddress;
            if (address === undefined || heartbeat.instanceId === self.id) {
                return;
            }
            const item = note({ id: heartbeat.instanceId, zone: heartbeat.zone, peerAddress: address });
            const isStale = item.heartbeat && heartbeat.incarnation < item.heartbeat.incarnation;
            if (!isStale) {
                item.heardAt = time.now();
                item.heartbeat = heartbeat;
                item.failedAt = undefined;
            }
        },
        noteFailure: id => {
            const item = known.get(id);
            if (item) {
                item.failedAt = time.now();
            }
        },
        setLeaving: () => {
            leaving = true;
        },
    };
}

/**
 * A membership list with a propagation delay: readers see the state of `lagMs` ago, and entries that are not renewed
 * expire.
 */
import type * as platform from "../../src/backing/index";
import type * as clock from "../../src/clock/index";

export interface Announcement {
    readonly kind: "instance" | "worker";
    readonly id: string;
    readonly zone: string;
    readonly peerAddress: string;
    readonly state: platform.InstanceState;
}

export interface MembershipStore {
    announce(entry: Announcement): void;
    getSnapshot(): platform.MembershipSnapshot;
}

interface StoredEntry {
    readonly entry: Announcement;
    readonly firstAnnouncedAt: number;
    readonly stateChangedAt: number;
    readonly lastAnnouncedAt: number;
    readonly previousState: platform.InstanceState;
}

export function createMembershipStore(time: clock.Clock, lagMs: number, expiryMs: number): MembershipStore {
    const entries = new Map<string, StoredEntry>();
    const getVisible = () => {
        const now = time.now();
        const visible: Announcement[] = [];
        for (const [key, item] of entries) {
            if (now - item.lastAnnouncedAt > expiryMs + lagMs) {
                entries.delete(key);
            }
            else if (now - item.firstAnnouncedAt >= lagMs) {
                const state = now - item.stateChangedAt >= lagMs ? item.entry.state : item.previousState;
                visible.push({ ...item.entry, state });
            }
        }
        return visible;
    };
    return {
        announce: entry => {
            const now = time.now();
            const key = `${entry.kind}/${entry.id}`;
            const known = entries.get(key);
            const changed = known && known.entry.state !== entry.state;
            entries.set(key, {
                entry,
                firstAnnouncedAt: known?.firstAnnouncedAt ?? now,
                stateChangedAt: known && !changed ? known.stateChangedAt : now,
                lastAnnouncedAt: now,
                previousState: changed ? known.entry.state : known?.previousState ?? entry.state,
            });
        },
        getSnapshot: () => {
            const visible = getVisible();
            return {
                instances: visible.filter(entry => entry.kind === "instance")
                    .map(({ id, zone, peerAddress, state }) => ({ id, zone, peerAddress, state })),
                workers: visible.filter(entry => entry.kind === "worker").map(({ id, state }) => ({ id, state })),
            };
        },
    };
}

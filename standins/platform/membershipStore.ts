/** A membership list that lags: readers see the state of `lagMs` ago; entries that are not repeated expire. */
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

interface Listed {
    readonly entry: Announcement;
    readonly firstAt: number;
    readonly stateAt: number;
    readonly lastAt: number;
    readonly previousState: platform.InstanceState;
}

export function createMembershipStore(time: clock.Clock, lagMs: number, expiryMs: number): MembershipStore {
    const listed = new Map<string, Listed>();
    const getVisible = () => {
        const now = time.now();
        const visible: Announcement[] = [];
        for (const [key, item] of listed) {
            if (now - item.lastAt > expiryMs + lagMs) {
                listed.delete(key);
            }
            else if (now - item.firstAt >= lagMs) {
                const state = now - item.stateAt >= lagMs ? item.entry.state : item.previousState;
                visible.push({ ...item.entry, state });
            }
        }
        return visible;
    };
    return {
        announce: entry => {
            const now = time.now();
            const key = `${entry.kind}/${entry.id}`;
            const known = listed.get(key);
            const changed = known && known.entry.state !== entry.state;
            listed.set(key, {
                entry,
                firstAt: known?.firstAt ?? now,
                stateAt: known && !changed ? known.stateAt : now,
                lastAt: now,
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

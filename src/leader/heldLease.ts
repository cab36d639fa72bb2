/** The lease as its holder sees it: how long it may give orders, and prolong what runs. */
import * as events from "node:events";
import * as clock from "../clock/index";
import type * as rows from "../rows/index";

export interface Leadership {
    readonly token: number;
    /** Row that guards each write of the term. */
    readonly guard: rows.RowCondition;
    readonly signal: AbortSignal;
    /** Whether orders may be given now. */
    mayOrder(): boolean;
    /** Whether leases of running work may be prolonged now: a while longer than orders. */
    mayProlong(): boolean;
    /** Monotonic time after which no earlier leader prolongs any work. */
    readonly othersSilentAt: number;
}

export interface HeldLease {
    readonly leadership: Leadership;
    readonly controller: AbortController;
    /** Of the lease's row, as of the latest renewal. */
    version: number;
    /** When the latest renewal that succeeded was sent. */
    renewedAt: clock.Moment;
    getLeftMs(): number;
}

export interface HeldLeaseStart {
    readonly token: number;
    readonly tokenKey: rows.RowKey;
    /** Of the rows of lease and token. */
    readonly version: number;
    /** When the write that won the lease was sent. */
    readonly sentAt: clock.Moment;
    readonly othersSilentAt: number;
}

/**
 * Unchanged for this long, the lease is another's to take: one lost renewal and the time of the next. Work that is
 * handed in meanwhile waits, and an urgent job of 2.5 s can wait for 1.25 s.
 */
export const LEASE_MS = 1_600;
/** The holder stops this much earlier: clocks that differ by 2%, and the way of a last order. */
const LEASE_MARGIN_MS = 250;
/**
 * How much longer than its lease a leader without the store prolongs what runs. An outage of the store of several
 * seconds then stops no work. A successor waits this much longer before it counts work on a silent worker as gone.
 */
export const PROLONG_MS = 9_000;

export function createHeldLease(time: clock.Clock, start: HeldLeaseStart): HeldLease {
    const controller = new AbortController();
    // Each task that is being stopped waits on the signal.
    events.setMaxListeners(0, controller.signal);
    const held: HeldLease = {
        controller,
        version: start.version,
        renewedAt: start.sentAt,
        getLeftMs: () => LEASE_MS - LEASE_MARGIN_MS - clock.getElapsedMs(time, held.renewedAt),
        leadership: {
            token: start.token,
            guard: { ...start.tokenKey, version: start.version },
            signal: controller.signal,
            mayOrder: () => !controller.signal.aborted && held.getLeftMs() > 0,
            mayProlong: () => !controller.signal.aborted && held.getLeftMs() + PROLONG_MS > 0,
            othersSilentAt: start.othersSilentAt,
        },
    };
    return held;
}

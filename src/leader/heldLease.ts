/** The lease as its holder sees it: how long it may give orders, and prolong what runs. */
import * as events from "node:events";
import type * as clock from "../clock/index";
import type * as rows from "../rows/index";
import * as renewalsOfTerm from "./renewals";

export interface Leadership {
    readonly token: number;
    readonly signal: AbortSignal;
    /** Row of the fencing token, on which every write of the leader depends. */
    readonly guard: rows.RowCondition;
    /** Carries out a write of the leader: none succeeds once another leader has taken over. */
    transact: renewalsOfTerm.Renewals["transact"];
    /** Whether orders may be given now. */
    mayIssueOrders(): boolean;
    /** Whether leases of running work may be prolonged now: a while longer than orders. */
    mayExtendTaskLeases(): boolean;
    /** Monotonic time after which no earlier leader prolongs any work. */
    readonly predecessorsInactiveAt: number;
}

export interface HeldLease {
    readonly leadership: Leadership;
    readonly controller: AbortController;
    readonly renewals: renewalsOfTerm.Renewals;
}

export interface HeldLeaseOptions extends Omit<renewalsOfTerm.RenewalsOptions, "clock"> {
    readonly token: number;
    readonly predecessorsInactiveAt: number;
}

/**
 * How much longer than its lease a leader without the store prolongs what runs. An outage of the store of several
 * seconds then stops no work. A successor waits this much longer before it counts work on a silent worker as gone.
 */
export const EXTENSION_GRACE_MS = 9_000;

export function createHeldLease(time: clock.Clock, start: HeldLeaseOptions): HeldLease {
    const controller = new AbortController();
    // Each task that is being stopped waits on the signal.
    events.setMaxListeners(0, controller.signal);
    const renewals = renewalsOfTerm.createRenewals({ ...start, clock: time });
    return {
        controller,
        renewals,
        leadership: {
            token: start.token,
            guard: start.guard,
            signal: controller.signal,
            transact: renewals.transact,
            mayIssueOrders: () => !controller.signal.aborted && renewals.getRemainingMs() > 0,
            mayExtendTaskLeases: () => !controller.signal.aborted && renewals.getRemainingMs() + EXTENSION_GRACE_MS > 0,
            predecessorsInactiveAt: start.predecessorsInactiveAt,
        },
    };
}

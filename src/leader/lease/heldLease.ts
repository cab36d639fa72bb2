/** The lease from the view of its holder: how long it may issue orders and extend the leases of running tasks. */
import * as events from "node:events";
import type * as clock from "../../clock/index";
import type * as rows from "../../rows/index";
import * as leaseRenewals from "./renewals";

/** The rights of a term's leader. */
export interface Leadership {
    readonly token: number;
    readonly signal: AbortSignal;
    /** Row of the fencing token. Every write of the leader is conditional on its version. */
    readonly guard: rows.RowCondition;
    /** Performs a write of the leader. None succeeds once another leader has taken over. */
    transact: leaseRenewals.Renewals["transact"];
    /** Whether orders may be issued now. */
    mayIssueOrders(): boolean;
    /** Whether leases of running tasks may be extended now; `EXTENSION_GRACE_MS` longer than orders may be issued. */
    mayExtendTaskLeases(): boolean;
    /** Monotonic time after which no earlier leader extends the lease of any task. */
    readonly predecessorsInactiveAt: number;
}

/** A held lease: the leadership that it gives, its renewals, and the controller that ends the term. */
export interface HeldLease {
    readonly leadership: Leadership;
    readonly controller: AbortController;
    readonly renewals: leaseRenewals.Renewals;
}

export interface HeldLeaseOptions extends Omit<leaseRenewals.RenewalsOptions, "clock"> {
    readonly token: number;
    readonly predecessorsInactiveAt: number;
}

/**
 * How long after its lease a leader that cannot reach the store still extends the leases of running tasks, so that a
 * store outage of several seconds stops no work. A successor waits this much longer before it considers tasks on an
 * unreachable worker lost.
 */
export const EXTENSION_GRACE_MS = 9_000;

export function createHeldLease(time: clock.Clock, options: HeldLeaseOptions): HeldLease {
    const controller = new AbortController();
    // Each task that is being stopped adds a listener.
    events.setMaxListeners(0, controller.signal);
    const renewals = leaseRenewals.createRenewals({ ...options, clock: time });
    return {
        controller,
        renewals,
        leadership: {
            token: options.token,
            guard: options.guard,
            signal: controller.signal,
            transact: renewals.transact,
            mayIssueOrders: () => !controller.signal.aborted && renewals.getRemainingMs() > 0,
            mayExtendTaskLeases: () => !controller.signal.aborted && renewals.getRemainingMs() + EXTENSION_GRACE_MS > 0,
            predecessorsInactiveAt: options.predecessorsInactiveAt,
        },
    };
}

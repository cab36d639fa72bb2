/** Port to the workers: the leader's orders and the workers' answers. No call rejects. */

/** Where a worker is called. */
export interface WorkerAddress {
    /** Name of the worker. A call may be carried out by its next incarnation, see `incarnation.ts`. */
    readonly name: string;
    readonly address: string;
}

/** Order to start a run. */
export interface StartOrder {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    /** Checkpoint from which the run resumes; empty to begin anew. */
    readonly saved: string;
    /** The adviser's ticket, if the queue uses advice. */
    readonly ticket?: string;
    readonly fencingToken: number;
    /** Expiry of the worker's lease on its own clock, in milliseconds; holds for all its runs. */
    readonly deadline: number;
}

/** Order about an existing run, for example to stop it. */
export interface RunOrder {
    readonly task: string;
    readonly run: number;
    readonly fencingToken: number;
}

/** Order to throttle a run. */
export interface PaceOrder extends RunOrder {
    /** Percentage of full speed at which the task may run, 0 to 100. */
    readonly percent: number;
}

/** Long poll that renews the worker's lease and returns its runs and ends. */
export interface PollOrder {
    readonly fencingToken: number;
    /** Acknowledges the ends up to this number: they are recorded, and the worker may forget them. */
    readonly recordedUpTo: number;
    /** New expiry of the worker's lease on its own clock, in milliseconds; without it the lease is not renewed. */
    readonly deadline?: number;
    /** Maximum time that the worker waits for an end before it answers, in milliseconds. */
    readonly waitMs: number;
}

/** Why a worker refused an order. */
export type RefusalReason = "fence" | "old" | "late" | "room" | "ticket" | "other";

/** Answer to an order; `workerClock` is the worker's clock in milliseconds. */
export type OrderAnswer =
    | { readonly kind: "accepted"; readonly workerClock: number; }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly workerClock: number | undefined; }
    /** The worker is overloaded or unhealthy and did nothing. */
    | { readonly kind: "unwell"; }
    /** The addressed incarnation has ended: another one answers at the address, and did nothing. */
    | { readonly kind: "otherLife"; }
    /** No connection was established, so the order was not sent. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** No answer: the order may have been carried out, or may still be carried out later. */
    | { readonly kind: "unknown"; readonly message: string; };

/** A run as listed by its worker. */
export interface RunningTask {
    readonly task: string;
    readonly run: number;
    readonly saved: string;
    readonly percent: number;
    /** Tail latency in milliseconds of a latency-sensitive task, otherwise processor use. */
    readonly recentFigure: number;
}

/** How a run has ended. */
export type EndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** The end of a run. */
export interface TaskEnd {
    /** Sequence number of the end in the worker's incarnation, rising by one. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly how: EndKind;
    readonly saved: string;
}

/** Answer to a poll. */
export type PollAnswer =
    | {
        readonly kind: "lists";
        readonly workerClock: number;
        /** Unix time in milliseconds at which the answering incarnation started; 0 if the worker does not report it. */
        readonly startedAt: number;
        readonly running: readonly RunningTask[];
        readonly ended: readonly TaskEnd[];
    }
    | Exclude<OrderAnswer, { kind: "accepted"; }>;

/** Maximum number of ends in one answer; the rest follows once these are acknowledged. */
export const MAX_ENDS_LISTED = 500;

/** Calls to workers; each waits at most `timeoutMs` for its answer. */
export interface WorkerPort {
    start(worker: WorkerAddress, order: StartOrder, timeoutMs: number): Promise<OrderAnswer>;
    stop(worker: WorkerAddress, order: RunOrder, timeoutMs: number): Promise<OrderAnswer>;
    pace(worker: WorkerAddress, order: PaceOrder, timeoutMs: number): Promise<OrderAnswer>;
    poll(worker: WorkerAddress, order: PollOrder, timeoutMs: number): Promise<PollAnswer>;
}

/** The orders that the leader gives to workers, and their answers. No call rejects. */

export interface WorkerAddress {
    /** The worker's name: a call to one life may be carried out by the next one, see `life.ts`. */
    readonly name: string;
    readonly address: string;
}

export interface StartOrder {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    readonly saved: string;
    /** The adviser's ticket, where the queue has one. */
    readonly ticket?: string;
    readonly fencingToken: number;
    /** Until when all that runs there may run on, on the worker's clock. */
    readonly deadline: number;
}

export interface RunOrder {
    readonly task: string;
    readonly run: number;
    readonly fencingToken: number;
}

export interface PaceOrder extends RunOrder {
    /** Share of its speed at which the task may work, 0 to 100. */
    readonly percent: number;
}

export interface PollOrder {
    readonly fencingToken: number;
    /** Ends up to this number are recorded and may be forgotten. */
    readonly recordedUpTo: number;
    readonly deadline?: number;
    /** How long the worker may wait for an end before it answers. */
    readonly waitMs: number;
}

/** Why a worker did nothing. */
export type RefusalReason = "fence" | "old" | "late" | "room" | "ticket" | "other";

export type OrderAnswer =
    | { readonly kind: "accepted"; readonly workerClock: number; }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly workerClock: number | undefined; }
    /** The worker is unwell and did nothing. */
    | { readonly kind: "unwell"; }
    /** The worker's life that was meant is over. */
    | { readonly kind: "otherLife"; }
    /** No connection came about: nothing was ordered. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** No answer: it may have been carried out, or may still be, later. */
    | { readonly kind: "unknown"; readonly message: string; };

export interface RunningTask {
    readonly task: string;
    readonly run: number;
    readonly saved: string;
    readonly percent: number;
    readonly recentFigure: number;
}

export type EndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

export interface TaskEnd {
    /** Rises by one with each end in the worker's life. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly how: EndKind;
    readonly saved: string;
}

export type PollAnswer =
    | {
        readonly kind: "lists";
        readonly workerClock: number;
        /** When the life that answered began, in Unix milliseconds; 0 where the worker does not tell. */
        readonly startedAt: number;
        readonly running: readonly RunningTask[];
        readonly ended: readonly TaskEnd[];
    }
    | Exclude<OrderAnswer, { kind: "accepted"; }>;

/** Most ends in one answer; the rest follows when these are recorded. */
export const MAX_ENDS_LISTED = 500;

export interface WorkerPort {
    start(worker: WorkerAddress, order: StartOrder, timeoutMs: number): Promise<OrderAnswer>;
    stop(worker: WorkerAddress, order: RunOrder, timeoutMs: number): Promise<OrderAnswer>;
    pace(worker: WorkerAddress, order: PaceOrder, timeoutMs: number): Promise<OrderAnswer>;
    poll(worker: WorkerAddress, order: PollOrder, timeoutMs: number): Promise<PollAnswer>;
}

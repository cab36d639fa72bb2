/** Ports to the machines that run the workers, and to the operator's orders for their upkeep. No call rejects. */

/** A machine as the platform lists it. */
export interface Machine {
    readonly id: string;
    readonly up: boolean;
    /** Whether the machine is down for upkeep. */
    readonly inUpkeep: boolean;
    /** Name of the worker that runs on the machine now; empty while the machine is not up. */
    readonly workerName: string;
}

/** The platform's list of machines. */
export type MachinesResult =
    | { readonly kind: "machines"; readonly machines: readonly Machine[]; }
    | { readonly kind: "unavailable"; readonly message: string; };

/** An order to take a machine down for upkeep. */
export interface UpkeepOrder {
    readonly machine: string;
    readonly wave: number;
    /** The leader that issues the order. Each fencing token has one holder. */
    readonly holder: string;
    readonly fencingToken: number;
}

/** The platform's answer to an order. */
export type UpkeepAnswer =
    /** The upkeep has begun, or was done before. */
    | { readonly kind: "accepted"; }
    /** The machine is not up or is about to leave; to be retried. */
    | { readonly kind: "busy"; }
    | { readonly kind: "fenced"; }
    /** The machine does not exist or is not part of the wave. */
    | { readonly kind: "unknownMachine"; readonly message: string; }
    /** No conclusive answer: the upkeep may have begun. A retry is idempotent. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Port to the platform's machines. */
export interface MachineService {
    list(timeoutMs: number): Promise<MachinesResult>;
    beginUpkeep(order: UpkeepOrder, timeoutMs: number): Promise<UpkeepAnswer>;
}

/**
 * A rolling maintenance order of an operator: each machine gets its upkeep (maintenance) within `withinMs`, with at
 * most `maxCount` machines down at once.
 */
export interface Wave {
    readonly number: number;
    readonly machines: readonly string[];
    readonly withinMs: number;
    readonly maxCount: number;
}

/** Port to the waves and to their reported state. */
export interface WavePort {
    /** Waves that are not completed, each with the monotonic time at which this instance first saw it. */
    getIncomplete(): ReadonlyArray<{ readonly wave: Wave; readonly knownAt: number; }>;
    reportState(wave: number, state: "running" | "completed", timeoutMs: number): Promise<boolean>;
}

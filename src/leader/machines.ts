/** Port to the machines beneath the workers, and to the operator's orders for their upkeep. No call rejects. */

export interface Machine {
    readonly id: string;
    readonly up: boolean;
    /** Down for its upkeep. */
    readonly inUpkeep: boolean;
    /** Name of the worker that is the machine's present life; empty while it is not up. */
    readonly workerName: string;
}

export type MachinesResult =
    | { readonly kind: "machines"; readonly machines: readonly Machine[]; }
    | { readonly kind: "unavailable"; readonly message: string; };

export interface UpkeepOrder {
    readonly machine: string;
    readonly wave: number;
    /** Who orders; each token has one holder. */
    readonly holder: string;
    readonly fencingToken: number;
}

export type UpkeepAnswer =
    /** Begun, or done already. */
    | { readonly kind: "accepted"; }
    /** Not up, or about to leave; to be tried again. */
    | { readonly kind: "busy"; }
    | { readonly kind: "fenced"; }
    /** There is no such machine, or the wave does not hold it. */
    | { readonly kind: "unknownMachine"; readonly message: string; }
    /** No answer, or none that decides: it may have begun; asking again is safe. */
    | { readonly kind: "unknown"; readonly message: string; };

export interface MachineService {
    list(timeoutMs: number): Promise<MachinesResult>;
    beginUpkeep(order: UpkeepOrder, timeoutMs: number): Promise<UpkeepAnswer>;
}

/** An operator's order: each of the machines has its upkeep in time, with at most `maxCount` down at once. */
export interface Wave {
    readonly number: number;
    readonly machines: readonly string[];
    readonly withinMs: number;
    readonly maxCount: number;
}

/** Where waves are read and their state is told. */
export interface WavePort {
    /** Waves that are not completed, each with the monotonic time at which this instance learned of it. */
    getIncomplete(): ReadonlyArray<{ readonly wave: Wave; readonly knownAt: number; }>;
    reportState(wave: number, state: "running" | "completed", timeoutMs: number): Promise<boolean>;
}

/** Ports to the worker directory, which lags behind the workers, and to the adviser. */
import type * as entries from "./entries";

/** The directory is stale: a worker that is not listed may still run, and a listed one may have failed. */
export interface WorkerDirectory {
    /** Passes on all listed workers, initially and after each change, until the signal is aborted. */
    follow(signal: AbortSignal, onWorkers: (listed: readonly ListedWorker[]) => void): void;
}

/** A worker as the directory lists it. */
export interface ListedWorker extends Omit<entries.WorkerInfo, "id"> {
    /** Name of the worker, the same in each of its incarnations. */
    readonly name: string;
    /** Start of its incarnation, in Unix milliseconds; 0 if the worker does not report it. */
    readonly startedAt: number;
    /** Monotonic time, in milliseconds, that is no later than the worker's own report of these values. */
    readonly reportedAt: number;
}

/** Workers that may run a step, as the adviser says. */
export type AdviceResult =
    | {
        readonly kind: "advised";
        readonly suitable: ReadonlyArray<{ readonly workerName: string; readonly ticket: string; }>;
        readonly validMs: number;
    }
    | { readonly kind: "unavailable"; readonly message: string; };

/** Port to the service that knows which workers may run a step of a queue with advice. */
export interface Adviser {
    advise(step: string, workerNames: readonly string[], timeoutMs: number): Promise<AdviceResult>;
}

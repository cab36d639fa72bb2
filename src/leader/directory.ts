/** Port to the list of workers, which lags behind: a worker that is missing may run on, one that is listed may be dead. */
import type * as entries from "./entries";

export interface WorkerDirectory {
    /** Tells of all workers that are listed, at first and after each change, until the signal. */
    follow(signal: AbortSignal, onWorkers: (listed: readonly ListedWorker[]) => void): void;
}

export interface ListedWorker extends Omit<entries.WorkerInfo, "id"> {
    /** Of the worker; its next life has it too. */
    readonly name: string;
    /** When its life began, in Unix milliseconds; 0 where it does not tell. */
    readonly startedAt: number;
    /** Monotonic time after which the worker said so of itself. */
    readonly reportedAt: number;
}

/** Port to the service that knows which workers may run a step of a queue with advice. */
export type AdviceResult =
    | {
        readonly kind: "advised";
        readonly suitable: ReadonlyArray<{ readonly workerName: string; readonly ticket: string; }>;
        readonly validMs: number;
    }
    | { readonly kind: "unavailable"; readonly message: string; };

export interface Adviser {
    advise(step: string, workerNames: readonly string[], timeoutMs: number): Promise<AdviceResult>;
}

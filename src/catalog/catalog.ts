/** The operator's configuration in force: queues, services, client accounts and limits on requests. */

/** Timing of the adviser of a queue, in milliseconds. */
export interface AdviceTimings {
    /** Base duration of a call to the adviser. */
    readonly decideMs: number;
    /** Added to the duration for each worker named in the call. */
    readonly eachMs: number;
    /** Validity of a ticket. */
    readonly validMs: number;
}

/** A queue of jobs, addressed by host and path prefix. */
export interface Queue {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** The service whose workers run the queue's tasks. */
    readonly service: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Failed runs of a task or gang after which the job has failed. */
    readonly maxAttempts: number;
    /** A job should end within its critical path times `stretch`, plus `objectiveMs`. */
    readonly stretch: number;
    readonly objectiveMs: number;
    /** Whether callers need the key of a client account. */
    readonly needsKey: boolean;
    /** Set if an adviser decides which workers may run a step. */
    readonly advice?: AdviceTimings;
}

/** A client account: its keys and its guarantee. */
export interface Account {
    readonly name: string;
    readonly keys: readonly string[];
    /** Accelerators guaranteed to the account's jobs of priority 0 at all times. */
    readonly guaranteedAccelerators: number;
}

/** A group of workers that run the tasks of some queues. */
export interface Service {
    readonly name: string;
    /** Whether its workers refuse tasks that exceed their capacity instead of starting them. */
    readonly refusesOverload: boolean;
    /** Whether its machines are spares, switched off until they are moved to another service. */
    readonly spare: boolean;
}

/** Limits on requests of callers: sizes in bytes, timeouts in milliseconds. */
export interface RequestLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Catalog {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly services: readonly Service[];
    readonly accounts: readonly Account[];
    readonly limits: RequestLimits;
}

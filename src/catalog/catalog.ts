/** The operator's configuration in force: queues, services, client accounts and limits on requests. */

export interface AdviceTimings {
    /** What a call to the adviser takes, and what each named worker adds to it. */
    readonly decideMs: number;
    readonly eachMs: number;
    /** How long a ticket holds. */
    readonly validMs: number;
}

export interface Queue {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** The service whose workers run the queue's tasks. */
    readonly service: string;
    /** 0 comes first. */
    readonly priority: number;
    /** Runs of a task, or of a gang, that may fail before the job has failed. */
    readonly maxAttempts: number;
    /** A job should end within this multiple of its longest chain of work, and `objectiveMs` more. */
    readonly stretch: number;
    readonly objectiveMs: number;
    readonly needsKey: boolean;
    /** Set where an adviser decides which workers may run a step. */
    readonly advice?: AdviceTimings;
}

export interface Account {
    readonly name: string;
    readonly keys: readonly string[];
    /** Accelerators that belong to the account's jobs of priority 0 at all times. */
    readonly guaranteedAccelerators: number;
}

export interface Service {
    readonly name: string;
    /** Whether its workers refuse what does not fit, instead of starting whatever they are told to. */
    readonly refusesOverload: boolean;
    /** Whether its machines are switched off until they are moved elsewhere. */
    readonly spare: boolean;
}

export interface RequestLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface Catalog {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly services: readonly Service[];
    readonly accounts: readonly Account[];
    readonly limits: RequestLimits;
}

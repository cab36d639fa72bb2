/** Interface to the platform's membership list: live and leaving instances and workers, with a delay of seconds. */

/** `leaving`: shutting down. */
export type InstanceState = "live" | "leaving";

/** An instance in the list. */
export interface InstanceEntry {
    readonly id: string;
    readonly zone: string;
    /** `host:port` of the instance's gRPC listener. */
    readonly peerAddress: string;
    readonly state: InstanceState;
}

/** A worker in the list. */
export interface WorkerEntry {
    readonly id: string;
    readonly state: InstanceState;
}

/** The list as read. Entries are seconds old: a failed instance may still be listed and a new one may be missing. */
export interface MembershipSnapshot {
    readonly instances: readonly InstanceEntry[];
    readonly workers: readonly WorkerEntry[];
}

/** The membership list. */
export interface MembershipList {
    /** Resolves to `undefined` when the platform did not answer. */
    list(): Promise<MembershipSnapshot | undefined>;
    /** Announces this instance as live or leaving. Entries expire unless repeated. Resolves to false on failure. */
    announce(entry: InstanceEntry): Promise<boolean>;
}

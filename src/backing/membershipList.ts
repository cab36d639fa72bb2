/** The port to the platform's lagging list of live and leaving instances and endpoints. */

export type InstanceState = "live" | "leaving";

export interface InstanceEntry {
    readonly id: string;
    readonly zone: string;
    /** `host:port` of the instance's gRPC listener. */
    readonly peerAddress: string;
    readonly state: InstanceState;
}

export interface WorkerEntry {
    readonly id: string;
    readonly state: InstanceState;
}

/** Entries are seconds old: a dead instance may still be listed, and a new one may be missing. */
export interface MembershipSnapshot {
    readonly instances: readonly InstanceEntry[];
    readonly workers: readonly WorkerEntry[];
}

export interface MembershipList {
    /** `undefined` when the platform did not answer. */
    list(): Promise<MembershipSnapshot | undefined>;
    /** Tells the platform that this instance is live or leaving. An entry that is not repeated expires. */
    announce(entry: InstanceEntry): Promise<boolean>;
}

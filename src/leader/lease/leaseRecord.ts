/** The row of the lease: its holder, its duration, and other facts that all instances read from it. */
import type * as admission from "../../admission/index";
import type * as rows from "../../rows/index";
import * as work from "../../work/index";
import * as renewals from "./renewals";

/** The stored value of the lease, as JSON. */
export interface LeaseRecord {
    /** Id of the holder's incarnation; empty if the lease was released. */
    readonly holder: string;
    /** The holder's name, the same in each of its incarnations. */
    readonly instance: string;
    readonly token: number;
    /** Address of the holder's liveness server; empty if it has none. */
    readonly watchAddress: string;
    /** Address at which the holder accepts forwarded requests; empty if it accepts none. */
    readonly peerAddress: string;
    /** Processor time available to the holder, in cores. */
    readonly power: number;
    /** Duration of the lease in milliseconds, counted from when this version is first seen. */
    readonly leaseMs: number;
    /**
     * How many milliseconds after the write an earlier leader may still extend leases of tasks, on workers that the
     * holder has not reached; absent if none does.
     */
    readonly othersProlongMs?: number;
    /** Number of jobs by queue of which no task has started; absent until the holder knows them. */
    readonly waiting?: Readonly<Record<string, number>>;
    /** True if other queues have waiting jobs too, whose counts did not fit. */
    readonly othersWait?: boolean;
    /** The holder's load; absent in rows of earlier versions, and while admission is disabled. Decoded by its readers. */
    readonly load?: admission.EncodedSummary;
}

export const LEASE_KEY: rows.RowKey = { table: work.Table.LeaderLease, part: work.LEADER_PART, key: "lease" };
export const TOKEN_KEY: rows.RowKey = { ...LEASE_KEY, key: "token" };
/** Contains only the row of the lease. */
export const LEASE_RANGE: rows.RowRange = {
    table: LEASE_KEY.table,
    part: LEASE_KEY.part,
    from: LEASE_KEY.key,
    before: `${LEASE_KEY.key}!`,
    limit: 1,
};

/** Encodes the record as the row of the lease. */
export function encodeRecord(record: LeaseRecord): rows.RowPut {
    return { ...LEASE_KEY, value: JSON.stringify(record) };
}

/** Decodes a row. Instances of earlier versions do not write `leaseMs`. */
export function decodeRecord(value: string): LeaseRecord {
    const record = JSON.parse(value) as Omit<LeaseRecord, "leaseMs"> & Partial<LeaseRecord>;
    return { ...record, leaseMs: record.leaseMs ?? renewals.LEASE_MS };
}

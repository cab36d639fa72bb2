/** The lease's row: who leads, for how long, and what else every instance learns from it. */
import type * as rows from "../rows/index";
import * as work from "../work/index";
import * as renewals from "./renewals";

export interface LeaseRecord {
    /** Id of the holder's life; empty: given back. */
    readonly holder: string;
    /** The holder's name, the same in each of its lives. */
    readonly instance: string;
    readonly token: number;
    /** Where other instances watch the holder's process; empty where it offers no watch. */
    readonly watchAddress: string;
    /** Where the holder takes requests that other instances pass on; empty where it takes none. */
    readonly peerAddress: string;
    /** How strong the holder's machine is: the processor time that it gets, in cores. */
    readonly power: number;
    /** How long the lease lasts from when this version is first seen, in milliseconds. */
    readonly leaseMs: number;
    /**
     * For how many milliseconds more, counted from the write, a leader before the holder may prolong work on workers that
     * have not heard of the holder; absent: none does.
     */
    readonly othersProlongMs?: number;
    /** Jobs of each queue of which no task has started; absent while the holder does not know yet. */
    readonly waiting?: Readonly<Record<string, number>>;
    /** True where other queues have waiting jobs as well, whose counts had no room. */
    readonly othersWait?: boolean;
}

export const LEASE_KEY: rows.RowKey = { table: work.Table.LeaderLease, part: work.LEADER_PART, key: "lease" };
export const TOKEN_KEY: rows.RowKey = { ...LEASE_KEY, key: "token" };
/** Holds the lease's row alone. */
export const LEASE_RANGE: rows.RowRange = {
    table: LEASE_KEY.table,
    part: LEASE_KEY.part,
    from: LEASE_KEY.key,
    before: `${LEASE_KEY.key}!`,
    limit: 1,
};

export function encodeRecord(record: LeaseRecord): rows.RowPut {
    return { ...LEASE_KEY, value: JSON.stringify(record) };
}

/** An instance of an earlier version says nothing of the lease's length. */
export function decodeRecord(value: string): LeaseRecord {
    const record = JSON.parse(value) as Omit<LeaseRecord, "leaseMs"> & Partial<LeaseRecord>;
    return { ...record, leaseMs: record.leaseMs ?? renewals.LEASE_MS };
}

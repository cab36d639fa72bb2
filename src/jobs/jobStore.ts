/**
 * Reads and writes job rows in the table service. Every change is a compare-and-swap. When the answer to a write is
 * lost, its outcome is determined from the table and never assumed.
 */
import * as crypto from "node:crypto";
import * as platform from "../backing/index";
import type * as clock from "../clock/index";
import * as jobRow from "./jobRow";

/** A row and its version, which the next write must expect. */
export interface VersionedRow {
    readonly row: jobRow.JobRow;
    readonly version: number;
}

/** Outcome of a write. */
export type WriteResult =
    | { readonly kind: "written"; readonly stored: VersionedRow; }
    /** Another write came first; `found` is the stored row, `undefined` when it is absent. */
    | { readonly kind: "conflict"; readonly found: VersionedRow | undefined; }
    /** Nothing was written. */
    | { readonly kind: "unavailable"; }
    /** The write may have taken effect; the table service did not answer within `resolveMs`. */
    | { readonly kind: "unknown"; readonly writeId: string; };

export interface JobStore {
    /** Creates the row and its index row in one transaction. */
    create(row: jobRow.JobRow): Promise<WriteResult>;
    /** Replaces `before` with the row and updates the zones' index rows; an ended job has none. */
    update(before: VersionedRow, row: jobRow.JobRow, priority: platform.Priority): Promise<WriteResult>;
    /** Reads a row; the value is `undefined` when it is absent. */
    read(jobId: string): Promise<platform.ReadResult<VersionedRow | undefined>>;
    /** Ids of the unfinished jobs of a zone's queue; `undefined` when the table service does not answer. */
    readQueueIds(zone: string): Promise<string[] | undefined>;
    /** The unfinished jobs of a zone's queue; `undefined` when the table service does not answer. */
    readQueue(zone: string): Promise<VersionedRow[] | undefined>;
}

interface JobStoreOptions {
    readonly table: platform.GuardedTable;
    readonly clock: clock.Clock;
    readonly retry: platform.RetryPolicy;
    /** How long a write with a lost answer is retried to learn its outcome. */
    readonly resolveTimeoutMs: number;
}

const { Priority } = platform;
/** Rows per scan. */
const SCAN_LIMIT = 500;
/** Keys per read. */
const READ_BATCH = 100;

/** Creates a job store on the given table; nothing is read or written until a method is called. */
export function createJobStore(options: JobStoreOptions): JobStore {
    const { table, clock: time } = options;

    const read = async (jobId: string): Promise<platform.ReadResult<VersionedRow | undefined>> => {
        const rows = await table.get(Priority.Submit, [jobRow.getJobKey(jobId)]);
        return rows.kind === "read" ? { kind: "read", value: parseRow(rows.value[0]) } : rows;
    };

    /**
     * Determines whether a write whose answer was lost took effect, by sending the same transaction again. If it took
     * effect, the versions no longer match and the stored row contains the write's id. Reading the row is not enough,
     * because the first request may still be in transit and take effect later.
     */
    const resolveWrite = async (row: jobRow.JobRow, writes: readonly platform.TableWrite[]): Promise<WriteResult> => {
        const giveUpAt = time.now() + options.resolveTimeoutMs;
        for (let attempt = 1; time.now() < giveUpAt; attempt++) {
            await time.sleep(options.retry.getDelay(attempt));
            const retried = await table.transact(Priority.Outcome, writes);
            if (platform.isCommitted(retried)) {
                return { kind: "written", stored: { row, version: retried.versions[0]! } };
            }
            if (retried.kind === "conflict") {
                const found = await read(row.jobId);
                if (found.kind === "read") {
                    return found.value?.row.writeId === row.writeId
                        ? { kind: "written", stored: found.value }
                        : { kind: "conflict", found: found.value };
                }
            }
        }
        return { kind: "unknown", writeId: row.writeId };
    };

    const write = async (
        row: jobRow.JobRow,
        writes: readonly platform.TableWrite[],
        priority: platform.Priority,
    ): Promise<WriteResult> => {
        const result = await table.transact(priority, writes);
        switch (result.kind) {
            case "committed":
                return { kind: "written", stored: { row, version: result.versions[0]! } };
            case "conflict": {
                const found = await read(row.jobId);
                return found.kind === "read" ? { kind: "conflict", found: found.value } : { kind: "unavailable" };
            }
            case "unavailable":
                return { kind: "unavailable" };
            case "unknown":
                return resolveWrite(row, writes);
        }
    };

    const readQueueIds = async (zone: string): Promise<string[] | undefined> => {
        const prefix = jobRow.getQueuePrefix(zone);
        const jobIds: string[] = [];
        for (let after = "";;) {
            const index = await table.scan(Priority.Progress, prefix, after, SCAN_LIMIT);
            if (index.kind !== "read") {
                return undefined;
            }
            jobIds.push(...index.value.map(row => row.key.slice(prefix.length)));
            if (index.value.length < SCAN_LIMIT) {
                return jobIds;
            }
            after = index.value.at(-1)!.key;
        }
    };

    return {
        read,
        create: row => {
            const stamped = { ...row, writeId: crypto.randomUUID() };
            return write(stamped, [
                { key: jobRow.getJobKey(row.jobId), expectedVersion: 0, value: JSON.stringify(stamped) },
                { key: jobRow.getQueuePrefix(row.zone) + row.jobId, expectedVersion: 0, value: "1" },
            ], Priority.Submit);
        },
        update: async (before, row, priority) => {
            const stamped = { ...row, writeId: crypto.randomUUID() };
            const writes: platform.TableWrite[] = [
                { key: jobRow.getJobKey(row.jobId), expectedVersion: before.version, value: JSON.stringify(stamped) },
            ];
            const leavesIndex = row.state === "ended" && before.row.state !== "ended";
            if (leavesIndex || row.zone !== before.row.zone) {
                const indexKey = jobRow.getQueuePrefix(before.row.zone) + row.jobId;
                const index = await table.get(priority, [indexKey]);
                if (index.kind !== "read") {
                    return { kind: "unavailable" };
                }
                if (index.value[0]) {
                    writes.push({ key: indexKey, expectedVersion: index.value[0].version, value: undefined });
                }
            }
            if (row.zone !== before.row.zone && row.state !== "ended") {
                writes.push({ key: jobRow.getQueuePrefix(row.zone) + row.jobId, expectedVersion: 0, value: "1" });
            }
            return write(stamped, writes, priority);
        },
        readQueueIds,
        readQueue: async zone => {
            const jobIds = await readQueueIds(zone);
            const found: VersionedRow[] = [];
            for (let start = 0; jobIds && start < jobIds.length; start += READ_BATCH) {
                const keys = jobIds.slice(start, start + READ_BATCH).map(jobRow.getJobKey);
                const rows = await table.get(Priority.Progress, keys);
                if (rows.kind !== "read") {
                    return undefined;
                }
                found.push(...rows.value.flatMap(row => parseRow(row) ?? []));
            }
            return jobIds && found;
        },
    };
}

function parseRow(row: platform.TableRow | undefined): VersionedRow | undefined {
    return row && { row: jobRow.jobRowSchema.parse(JSON.parse(row.value)), version: row.version };
}

/**
 * Durable rows: the port to a linearizable store with compare-and-swap on a row's version. Values are strings whose
 * format is defined by the owner of each table.
 */

/** Identifies a row. */
export interface RowKey {
    readonly table: string;
    /** Partition: a transaction covers rows of one partition, and each partition serializes its transactions. */
    readonly part: string;
    readonly key: string;
}

/** A stored row. */
export interface Row extends RowKey {
    readonly value: string;
    /** Version of the transaction that last wrote the row; increases across the whole store. */
    readonly version: number;
}

/** Condition on the version of a row. */
export interface RowCondition extends RowKey {
    /** Version that the row must have; 0 if it must not exist. */
    readonly version: number;
}

/** A row to be written. */
export interface RowPut extends RowKey {
    readonly value: string;
}

/** Writes that are applied atomically if all conditions hold. */
export interface RowTransaction {
    readonly conditions: readonly RowCondition[];
    readonly puts: readonly RowPut[];
    readonly removals: readonly RowKey[];
}

/** Result of a transaction. */
export type TransactResult =
    | { readonly kind: "committed"; readonly version: number; }
    /** Nothing was written; `rows` holds the current rows among those named in the conditions. */
    | { readonly kind: "conflict"; readonly rows: readonly Row[]; }
    /** Nothing was written: the store rejected the call or was not reached. */
    | { readonly kind: "refused"; readonly message: string; }
    /** The outcome is unknown: the transaction may have been committed, or may still be if its conditions hold then. */
    | { readonly kind: "unknown"; readonly message: string; };

/** A range of keys in one part of a table. */
export interface RowRange {
    readonly table: string;
    readonly part: string;
    /** First key of the range; absent for the first row of the part. */
    readonly from?: string;
    /** End of the range, exclusive. */
    readonly before?: string;
    readonly limit?: number;
}

/** Result of a read. */
export type ReadResult =
    | { readonly kind: "read"; readonly rows: readonly Row[]; readonly hasMore: boolean; readonly version: number; }
    | { readonly kind: "unavailable"; readonly message: string; };

/** A row that was written or removed. */
export interface RowChange extends Row {
    readonly removed: boolean;
}

/** Result of a poll of the change feed. */
export type FeedResult =
    | { readonly kind: "changes"; readonly rows: readonly RowChange[]; readonly version: number; }
    /** The history after the requested version is no longer kept: the whole table must be read again. */
    | { readonly kind: "gap"; }
    | { readonly kind: "unavailable"; readonly message: string; };

/**
 * Timeouts are in milliseconds. Promises never reject; failures are results.
 *
 * The length of an answer to a read is not bounded: a row may hold a whole configuration. `timeoutMs` bounds the whole
 * call. If `totalTimeoutMs` is given, it bounds the whole call instead, and `timeoutMs` bounds the silence before and
 * within the answer.
 */
export interface RowStore {
    transact(tx: RowTransaction, timeoutMs: number): Promise<TransactResult>;
    /** Reads one page of a range as a consistent snapshot. */
    read(range: RowRange, timeoutMs: number, totalTimeoutMs?: number): Promise<ReadResult>;
    /** Waits up to `waitMs` for changes of a table after version `after`, and returns a page of them. */
    feed(table: string, after: number, waitMs: number, timeoutMs: number, totalTimeoutMs?: number): Promise<FeedResult>;
}

/**
 * Total timeout of reads without a caller's deadline. On the weakest links, 7 Mbit/s, 26 MB arrive in this time, more
 * than fits into an instance's memory.
 */
export const MAX_ANSWER_MS = 30_000;

/** Maximum rows in an answer of the store. If there are more changes, it holds the first ones, up to its version. */
export const MAX_PAGE_ROWS = 500;

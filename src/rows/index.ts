/**
 * Rows that outlive every instance: the port to a linearizable store with compare-and-swap on a row's version.
 * Values are texts; whoever owns a table decides what is in them.
 */

export interface RowKey {
    readonly table: string;
    /** Transactions hold only rows of one part; a part takes them one after another. */
    readonly part: string;
    readonly key: string;
}

export interface Row extends RowKey {
    readonly value: string;
    /** Version of the transaction that wrote the row; rises over the whole store. */
    readonly version: number;
}

export interface RowCondition extends RowKey {
    /** Version that the row must have; 0: it must not exist. */
    readonly version: number;
}

export interface RowPut extends RowKey {
    readonly value: string;
}

export interface RowTransaction {
    readonly conditions: readonly RowCondition[];
    readonly puts: readonly RowPut[];
    readonly removals: readonly RowKey[];
}

export type TransactResult =
    | { readonly kind: "committed"; readonly version: number; }
    /** Nothing was written; `rows` are the present ones among those named in the conditions. */
    | { readonly kind: "conflict"; readonly rows: readonly Row[]; }
    /** Nothing was written: the store turned the call away, or it was never reached. */
    | { readonly kind: "refused"; readonly message: string; }
    /** Unknown: it may have been written, or may still be if its conditions hold then. */
    | { readonly kind: "unknown"; readonly message: string; };

export interface RowRange {
    readonly table: string;
    readonly part: string;
    /** First key of the range; without it the range begins with the first row. */
    readonly from?: string;
    /** First key behind the range. */
    readonly before?: string;
    readonly limit?: number;
}

export type ReadResult =
    | { readonly kind: "read"; readonly rows: readonly Row[]; readonly hasMore: boolean; readonly version: number; }
    | { readonly kind: "unavailable"; readonly message: string; };

export interface RowChange extends Row {
    readonly removed: boolean;
}

export type FeedResult =
    | { readonly kind: "changes"; readonly rows: readonly RowChange[]; readonly version: number; }
    /** The history after the version asked for is gone: read the table anew. */
    | { readonly kind: "gap"; }
    | { readonly kind: "unavailable"; readonly message: string; };

/**
 * Timeouts are in milliseconds. No call rejects.
 *
 * An answer to a read has no bound in length: a row may hold a whole configuration. `timeoutMs` bounds the whole call
 * unless `mostMs` is given; then it bounds the silence before and within the answer, and `mostMs` the whole call.
 */
export interface RowStore {
    transact(tx: RowTransaction, timeoutMs: number): Promise<TransactResult>;
    /** One page of a range, as of a single moment. */
    read(range: RowRange, timeoutMs: number, totalTimeoutMs?: number): Promise<ReadResult>;
    /** Waits up to `waitMs` for changes of a table after a version, and tells a page of them. */
    feed(table: string, after: number, waitMs: number, timeoutMs: number, totalTimeoutMs?: number): Promise<FeedResult>;
}

/**
 * For reads that nobody waits for with a deadline: an answer that keeps coming for this long is given up. On the
 * weakest links, 7 Mbit/s, 26 MB come in that time, which is more than an instance's memory has room for.
 */
export const MAX_ANSWER_MS = 30_000;

/** An answer of the store holds at most so many rows; of more changes the first ones, up to the version that it names. */
export const MAX_PAGE_ROWS = 500;

export { followTable, type TableFollower, type TableFollowerOptions } from "./followTable";
export { createInstrumentedStore } from "./instrumentedStore";
export { readAll, readParts } from "./readAll";
export { createStoreHealth, type StoreHealth, type StoreHealthOptions } from "./storeHealth";

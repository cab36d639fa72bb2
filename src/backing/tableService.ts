/** Interface to the platform's transactional table service. */

/** A stored row. */
export interface TableRow {
    readonly key: string;
    /** Increases with every write; a row that is deleted and created again never reuses a version. */
    readonly version: number;
    readonly value: string;
}

/** One write of a transaction. It takes effect only if the row has `expectedVersion`; 0 means an absent row. */
export interface TableWrite {
    readonly key: string;
    readonly expectedVersion: number;
    /** The new value; `undefined` deletes the row. */
    readonly value: string | undefined;
}

/** Outcome of a transaction. Either all of its writes take effect or none does. */
export type TransactResult =
    /** The versions are in the order of the writes; 0 for a deleted row. */
    | { readonly kind: "committed"; readonly versions: readonly number[]; }
    /** At least one row had another version; nothing was written. */
    | { readonly kind: "conflict"; }
    /** The service did not execute the transaction; nothing was written. */
    | { readonly kind: "unavailable"; readonly message: string; }
    /** No answer arrived; the writes may have taken effect or may still take effect. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Outcome of a read. */
export type ReadResult<T> =
    | { readonly kind: "read"; readonly value: T; }
    | { readonly kind: "unavailable"; readonly message: string; };

/** The table service. */
export interface TableService {
    /** Reads the rows of the keys, in the order of the keys; `undefined` for a key without a row. */
    get(keys: readonly string[]): Promise<ReadResult<Array<TableRow | undefined>>>;
    /** Reads at most `limit` rows whose key starts with `prefix` and sorts after `after`, in key order. */
    scan(prefix: string, after: string, limit: number): Promise<ReadResult<TableRow[]>>;
    /** Executes the writes atomically. */
    transact(writes: readonly TableWrite[]): Promise<TransactResult>;
}

/** Narrows a result to a committed one. */
export function isCommitted(result: TransactResult): result is Extract<TransactResult, { kind: "committed"; }> {
    return result.kind === "committed";
}

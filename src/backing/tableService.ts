/** The port to the platform's transactional table service. */

export interface TableRow {
    readonly key: string;
    /** Rises with every write; a deleted and re-created row never gets an old version again. */
    readonly version: number;
    readonly value: string;
}

/** One write of a transaction. It takes effect only if the row has `expectedVersion` (0: the row is absent). */
export interface TableWrite {
    readonly key: string;
    readonly expectedVersion: number;
    /** The new value; `undefined` deletes the row. */
    readonly value: string | undefined;
}

/** What became of a transaction. All of its writes take effect, or none. */
export type TransactResult =
    /** The versions are in the order of the writes; 0 for a deleted row. */
    | { readonly kind: "committed"; readonly versions: readonly number[]; }
    /** Some row had another version; nothing was written. */
    | { readonly kind: "conflict"; }
    /** The service was not reached; nothing was written. */
    | { readonly kind: "unavailable"; readonly message: string; }
    /** No answer came: the writes may have taken effect, or may still do so. */
    | { readonly kind: "unknown"; readonly message: string; };

export type ReadResult<T> =
    | { readonly kind: "read"; readonly value: T; }
    | { readonly kind: "unavailable"; readonly message: string; };

export interface TableService {
    /** The rows of the keys, in their order; `undefined` where there is none. */
    get(keys: readonly string[]): Promise<ReadResult<Array<TableRow | undefined>>>;
    /** Rows whose key starts with `prefix` and sorts behind `after`, in the order of the keys, at most `limit`. */
    scan(prefix: string, after: string, limit: number): Promise<ReadResult<TableRow[]>>;
    transact(writes: readonly TableWrite[]): Promise<TransactResult>;
}

export function isCommitted(result: TransactResult): result is Extract<TransactResult, { kind: "committed"; }> {
    return result.kind === "committed";
}

/** Reads of ranges and tables that span several pages. */
import type * as rows from "./rowStore";

/**
 * Reads a whole range page by page. The returned version is that of the first page: following the changes from it
 * repeats those made while later pages were read, and misses none. The timeouts apply to each page.
 */
export async function readAll(
    store: rows.RowStore,
    range: rows.RowRange,
    timeoutMs: number,
    totalTimeoutMs?: number,
): Promise<rows.ReadResult> {
    const all: rows.Row[] = [];
    let version: number | undefined;
    let from = range.from;
    for (;;) {
        const page = await store.read({ ...range, from }, timeoutMs, totalTimeoutMs);
        if (page.kind !== "read") {
            return page;
        }
        version ??= page.version;
        all.push(...page.rows);
        const last = page.rows.at(-1);
        if (!page.hasMore || !last) {
            return { kind: "read", rows: all, hasMore: false, version };
        }
        // The first possible key after the last one read.
        from = `${last.key}\u0001`;
    }
}

/**
 * Reads several parts of a table concurrently, each whole. The returned version is the lowest of theirs: following the
 * table from it repeats some changes and misses none. The timeouts apply to each page.
 */
export async function readParts(
    store: rows.RowStore,
    table: string,
    parts: readonly string[],
    timeoutMs: number,
    totalTimeoutMs?: number,
): Promise<rows.ReadResult> {
    const read = await Promise.all(parts.map(part => readAll(store, { table, part }, timeoutMs, totalTimeoutMs)));
    const all: rows.Row[] = [];
    let version = Infinity;
    for (const result of read) {
        if (result.kind !== "read") {
            return result;
        }
        all.push(...result.rows);
        version = Math.min(version, result.version);
    }
    return { kind: "read", rows: all, hasMore: false, version };
}

import type * as rows from "./index";

/**
 * Reads a whole range page by page. The version is that of the first page: whoever follows the changes from it
 * sees again what changed while later pages were read, and misses nothing. The timeouts are those of one page.
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
        // The smallest key behind the last one read.
        from = `${last.key}\u0001`;
    }
}

/**
 * Reads several parts of a table at once, each whole. The version is the lowest of theirs: whoever follows the table
 * from it sees some changes again, and misses none.
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

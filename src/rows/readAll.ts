import type * as rows from "./index";

/**
 * Reads a whole range page by page. The version is that of the first page: whoever follows the changes from it
 * sees again what changed while later pages were read, and misses nothing. The timeouts are those of one page.
 */
export async function readAll(
    store: rows.RowStore,
    range: rows.RowRange,
    timeoutMs: number,
    mostMs?: number,
): Promise<rows.ReadResult> {
    const all: rows.Row[] = [];
    let version: number | undefined;
    let from = range.from;
    for (;;) {
        const page = await store.read({ ...range, from }, timeoutMs, mostMs);
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

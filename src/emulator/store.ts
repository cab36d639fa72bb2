/** In-memory row store with the semantics of `rows.RowStore` and faults that a test or an experiment injects. */
import type * as clock from "../clock/index";
import type * as rows from "../rows/index";

/** Fault injected into a call. */
export type StoreFault =
    | "none"
    /** The call is rejected without effect. */
    | "refuse"
    /** The call is carried out and its answer is lost. */
    | "loseAnswer"
    /** The call is carried out `lateMs` later if its conditions hold then, and no answer is sent. */
    | "late"
    /** The call does not reach the store, and no answer is sent. */
    | "silent";

/** Faults of the store. */
export interface StoreFaults {
    /** Returns the fault for a call; `caller` is the name that was passed to `open`. */
    decide(caller: string, call: "transact" | "read" | "feed"): StoreFault;
    /** Delay of the fault `late`. */
    readonly lateMs: number;
    /** Factor by which latencies and transactions take longer than usual; 1 by default. */
    getSlowdown?(): number;
}

/** Configuration of the emulated store. */
export interface EmulatedStoreOptions {
    readonly clock: clock.Clock;
    /** Time from a call to its answer. */
    readonly latencyMs: number;
    /**
     * How long a transaction occupies its part, multiplied by the slowdown. A part carries out one transaction at a time;
     * by default parts are never busy.
     */
    readonly partBusyMs?: number;
    readonly faults?: StoreFaults;
}

/** A store and the means to change its rows directly. */
export interface EmulatedStore {
    /** Returns the store for one caller, whose name is passed to `StoreFaults.decide`. */
    open(caller: string): rows.RowStore;
    /** Writes a row unconditionally, as the operator or a worker would. */
    put(row: rows.RowPut): void;
    /** Removes a row unconditionally. */
    remove(row: rows.RowKey): void;
    /** Returns the rows of a table, sorted by key. */
    getRows(table: string): readonly rows.Row[];
    /** Discards the change history, so that followers of a feed get a gap and must read the table again. */
    discardHistory(): void;
}

const NO_FAULTS: StoreFaults = { decide: () => "none", lateMs: 0 };
const MAX_PAGE_ROWS = 500;
/** A part rejects calls that would have to wait longer. */
const MAX_PART_WAIT_MS = 1_000;

/** Creates an empty store. */
export function createEmulatedStore(options: EmulatedStoreOptions): EmulatedStore {
    const { clock: time } = options;
    const faults = options.faults ?? NO_FAULTS;
    const rowsById = new Map<string, rows.Row>();
    let history: rows.RowChange[] = [];
    let discardedUpTo = 0;
    let version = 0;
    const waiters = new Set<() => void>();
    /** Time at which each part will have carried out its accepted transactions. */
    const busyUntil = new Map<string, number>();
    const getLatencyMs = () => options.latencyMs * (faults.getSlowdown?.() ?? 1);

    const write = (puts: readonly rows.RowPut[], removals: readonly rows.RowKey[]) => {
        version++;
        for (const put of puts) {
            const row = { ...put, version };
            rowsById.set(getRowId(put), row);
            history.push({ ...row, removed: false });
        }
        for (const key of removals) {
            rowsById.delete(getRowId(key));
            history.push({ ...key, value: "", version, removed: true });
        }
        [...waiters].forEach(wake => wake());
    };
    const apply = (tx: rows.RowTransaction): rows.TransactResult => {
        const holds = tx.conditions.every(row => (rowsById.get(getRowId(row))?.version ?? 0) === row.version);
        if (!holds) {
            const current = tx.conditions.map(row => rowsById.get(getRowId(row))).filter(row => row !== undefined);
            return { kind: "conflict", rows: current };
        }
        write(tx.puts, tx.removals);
        return { kind: "committed", version };
    };
    const list = (table: string, part?: string) =>
        [...rowsById.values()]
            .filter(row => row.table === table && (part === undefined || row.part === part))
            .sort((a, b) => a.key < b.key ? -1 : 1);

    const transact = async (caller: string, tx: rows.RowTransaction, timeoutMs: number) => {
        const fault = faults.decide(caller, "transact");
        const unknown: rows.TransactResult = { kind: "unknown", message: `emulated: ${fault}` };
        if (fault === "none") {
            return transactOnPart(tx, timeoutMs);
        }
        await time.sleep(getLatencyMs());
        switch (fault) {
            case "refuse":
                return { kind: "refused" as const, message: "emulated: refused" };
            case "loseAnswer":
                apply(tx);
                await time.sleep(timeoutMs);
                return unknown;
            case "late":
                time.setTimer(faults.lateMs, () => void apply(tx));
                await time.sleep(timeoutMs);
                return unknown;
            case "silent":
                await time.sleep(timeoutMs);
                return unknown;
        }
    };
    /** Carries out the transactions of a part one at a time; a call that times out is still carried out. */
    const transactOnPart = async (tx: rows.RowTransaction, timeoutMs: number): Promise<rows.TransactResult> => {
        const busyMs = (options.partBusyMs ?? 0) * (faults.getSlowdown?.() ?? 1);
        const [first] = [...tx.puts, ...tx.removals, ...tx.conditions];
        const now = time.now();
        const startAt = Math.max(now, busyUntil.get(first?.part ?? "") ?? 0);
        if (busyMs > 0 && startAt - now > MAX_PART_WAIT_MS) {
            await time.sleep(getLatencyMs());
            return { kind: "refused", message: "emulated: too many transactions are waiting for this part" };
        }
        busyUntil.set(first?.part ?? "", startAt + busyMs);
        const durationMs = startAt + busyMs - now + getLatencyMs();
        if (durationMs > timeoutMs) {
            time.setTimer(durationMs, () => void apply(tx));
            await time.sleep(timeoutMs);
            return { kind: "unknown", message: "emulated: no answer in time" };
        }
        await time.sleep(durationMs);
        return apply(tx);
    };
    const read = async (caller: string, range: rows.RowRange, timeoutMs: number): Promise<rows.ReadResult> => {
        if (faults.decide(caller, "read") !== "none") {
            await time.sleep(timeoutMs);
            return { kind: "unavailable", message: "emulated" };
        }
        const latencyMs = getLatencyMs();
        await time.sleep(Math.min(latencyMs, timeoutMs));
        if (latencyMs > timeoutMs) {
            return { kind: "unavailable", message: "emulated: no answer in time" };
        }
        const limit = Math.min(MAX_PAGE_ROWS, range.limit ?? MAX_PAGE_ROWS);
        const all = list(range.table, range.part).filter(row =>
            (range.from === undefined || row.key >= range.from)
            && (range.before === undefined || row.key < range.before)
        );
        return { kind: "read", rows: all.slice(0, limit), hasMore: all.length > limit, version };
    };
    const feed = async (
        caller: string,
        table: string,
        after: number,
        waitMs: number,
        timeoutMs: number,
    ): Promise<rows.FeedResult> => {
        if (faults.decide(caller, "feed") !== "none") {
            await time.sleep(timeoutMs);
            return { kind: "unavailable", message: "emulated" };
        }
        await time.sleep(getLatencyMs());
        const until = time.now() + waitMs;
        for (;;) {
            if (after < discardedUpTo) {
                return { kind: "gap" };
            }
            const changes = history.slice(findFirstAfter(history, after)).filter(row => row.table === table);
            if (changes.length > MAX_PAGE_ROWS) {
                return toCompletePage(changes.slice(0, MAX_PAGE_ROWS), changes[MAX_PAGE_ROWS]!.version);
            }
            if (changes.length > 0 || time.now() >= until) {
                return { kind: "changes", rows: changes, version };
            }
            await waitForChange(until - time.now());
        }
    };
    /** Cuts the page after the last complete transaction, so that a feed that continues from its version misses nothing. */
    const toCompletePage = (page: readonly rows.RowChange[], nextVersion: number): rows.FeedResult => {
        const complete = page.at(-1)!.version < nextVersion ? page : page.filter(row => row.version < nextVersion);
        return { kind: "changes", rows: complete, version: complete.at(-1)!.version };
    };
    const waitForChange = (ms: number) =>
        new Promise<void>(resolve => {
            const finish = () => {
                cancel();
                waiters.delete(finish);
                resolve();
            };
            const cancel = time.setTimer(ms, finish);
            waiters.add(finish);
        });

    return {
        open: caller => ({
            transact: (tx, timeoutMs) => transact(caller, tx, timeoutMs),
            read: (range, timeoutMs) => read(caller, range, timeoutMs),
            feed: (table, after, waitMs, timeoutMs) => feed(caller, table, after, waitMs, timeoutMs),
        }),
        put: row => write([row], []),
        remove: row => write([], [row]),
        getRows: table => list(table),
        discardHistory: () => {
            history = [];
            discardedUpTo = version + 1;
            version++;
        },
    };
}

/** Returns the index of the first change with a higher version. */
function findFirstAfter(history: readonly rows.RowChange[], version: number): number {
    let low = 0;
    let high = history.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (history[middle]!.version <= version) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

function getRowId(row: rows.RowKey): string {
    return `${row.table}\n${row.part}\n${row.key}`;
}

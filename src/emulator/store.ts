/** A row store in memory with the semantics of the port, and with faults that a test or an experiment injects. */
import type * as clock from "../clock/index";
import type * as rows from "../rows/index";

/** What becomes of a call. */
export type StoreFault =
    | "none"
    /** Turned away; nothing was done. */
    | "refuse"
    /** Carried out, and the answer is lost. */
    | "loseAnswer"
    /** Not carried out now, but `lateMs` later if its conditions hold then; no answer. */
    | "late"
    /** Never reaches the store, and no answer comes. */
    | "silent";

export interface StoreFaults {
    /** `caller` is the name under which the view of the store was opened. */
    decide(caller: string, call: "transact" | "read" | "feed"): StoreFault;
    readonly lateMs: number;
    /** How many times slower than usual the store is; by default it is not. */
    getSlowdown?(): number;
}

export interface EmulatedStoreOptions {
    readonly clock: clock.Clock;
    /** From a call to its answer. */
    readonly latencyMs: number;
    /**
     * How long a transaction holds its part, which takes one after another, as many times longer as the store is slower; by
     * default parts are never busy.
     */
    readonly partBusyMs?: number;
    readonly faults?: StoreFaults;
}

export interface EmulatedStore {
    /** The store as one caller sees it. */
    open(caller: string): rows.RowStore;
    /** Writes a row as the operator or a worker would. */
    put(row: rows.RowPut): void;
    remove(row: rows.RowKey): void;
    getRows(table: string): readonly rows.Row[];
    /** Forgets the history: who follows has to read anew. */
    discardHistory(): void;
}

const NO_FAULTS: StoreFaults = { decide: () => "none", lateMs: 0 };
const PAGE_ROWS = 500;
/** A part for which more than this is waiting turns calls away. */
const MOST_PART_WAIT_MS = 1_000;

export function createEmulatedStore(options: EmulatedStoreOptions): EmulatedStore {
    const { clock: time } = options;
    const faults = options.faults ?? NO_FAULTS;
    const present = new Map<string, rows.Row>();
    let history: rows.RowChange[] = [];
    let forgottenUpTo = 0;
    let version = 0;
    const waiters = new Set<() => void>();
    /** When each part has carried out all that it has taken. */
    const busyUntil = new Map<string, number>();
    const getLatencyMs = () => options.latencyMs * (faults.getSlowdown?.() ?? 1);

    const write = (puts: readonly rows.RowPut[], removals: readonly rows.RowKey[]) => {
        version++;
        for (const put of puts) {
            const row = { ...put, version };
            present.set(getId(put), row);
            history.push({ ...row, removed: false });
        }
        for (const key of removals) {
            present.delete(getId(key));
            history.push({ ...key, value: "", version, removed: true });
        }
        [...waiters].forEach(wake => wake());
    };
    const apply = (tx: rows.RowTransaction): rows.TransactResult => {
        const holds = tx.conditions.every(row => (present.get(getId(row))?.version ?? 0) === row.version);
        if (!holds) {
            const current = tx.conditions.map(row => present.get(getId(row))).filter(row => row !== undefined);
            return { kind: "conflict", rows: current };
        }
        write(tx.puts, tx.removals);
        return { kind: "committed", version };
    };
    const list = (table: string, part?: string) =>
        [...present.values()]
            .filter(row => row.table === table && (part === undefined || row.part === part))
            .sort((a, b) => a.key < b.key ? -1 : 1);

    const transact = async (caller: string, tx: rows.RowTransaction, timeoutMs: number) => {
        const fault = faults.decide(caller, "transact");
        const unknown: rows.TransactResult = { kind: "unknown", message: `emulated: ${fault}` };
        if (fault === "none") {
            return transactInTurn(tx, timeoutMs);
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
    /** One transaction of a part after another; a caller that gives up does not take its call back. */
    const transactInTurn = async (tx: rows.RowTransaction, timeoutMs: number): Promise<rows.TransactResult> => {
        const partMs = (options.partBusyMs ?? 0) * (faults.getSlowdown?.() ?? 1);
        const [first] = [...tx.puts, ...tx.removals, ...tx.conditions];
        const now = time.now();
        const turnAt = Math.max(now, busyUntil.get(first?.part ?? "") ?? 0);
        if (partMs > 0 && turnAt - now > MOST_PART_WAIT_MS) {
            await time.sleep(getLatencyMs());
            return { kind: "refused", message: "emulated: too many calls on this part" };
        }
        busyUntil.set(first?.part ?? "", turnAt + partMs);
        const takesMs = turnAt + partMs - now + getLatencyMs();
        if (takesMs > timeoutMs) {
            time.setTimer(takesMs, () => void apply(tx));
            await time.sleep(timeoutMs);
            return { kind: "unknown", message: "emulated: no answer in time" };
        }
        await time.sleep(takesMs);
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
        const limit = Math.min(PAGE_ROWS, range.limit ?? PAGE_ROWS);
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
            if (after < forgottenUpTo) {
                return { kind: "gap" };
            }
            const changes = history.slice(findFirstAfter(history, after)).filter(row => row.table === table);
            if (changes.length > PAGE_ROWS) {
                return endPage(changes.slice(0, PAGE_ROWS), changes[PAGE_ROWS]!.version);
            }
            if (changes.length > 0 || time.now() >= until) {
                return { kind: "changes", rows: changes, version };
            }
            await waitForChange(until - time.now());
        }
    };
    /** Ends with the last whole transaction, so that whoever goes on from its version misses nothing. */
    const endPage = (page: readonly rows.RowChange[], nextVersion: number): rows.FeedResult => {
        const whole = page.at(-1)!.version < nextVersion ? page : page.filter(row => row.version < nextVersion);
        return { kind: "changes", rows: whole, version: whole.at(-1)!.version };
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
            forgottenUpTo = version + 1;
            version++;
        },
    };
}

/** Position of the first change with a higher version. */
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

function getId(row: rows.RowKey): string {
    return `${row.table}\n${row.part}\n${row.key}`;
}

/**
 * Stores what the leader has measured, so that a successor need not measure it again: half a minute of observations is
 * worth more than a term of a few seconds can gather.
 *
 * Nothing depends on these rows for correctness. A row that is missing, unreadable or of another format leaves its
 * section empty; a write that fails is not repeated, since the next one replaces it.
 */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import * as rows from "../../rows/index";
import * as work from "../../work/index";
import type * as leases from "../lease/index";

/** One kind of measured state, stored in a row of its own. */
export interface LearnedSection {
    /** Key of the row, and name in log lines and metrics. */
    readonly name: string;
    /** Returns the state as text of at most `maxBytes` bytes, the most useful part first; `undefined` to store nothing. */
    encode(maxBytes: number): string | undefined;
    /** Takes over a stored state that is `ageMs` old, by wall clocks. Throws if the text is of another format. */
    restore(text: string, ageMs: number): void;
}

/** The sections of a term. */
export interface LearnedState {
    /** Reads all sections. Resolves when each is restored or known to be unavailable; never rejects. */
    load(): Promise<void>;
    /** Stores changed sections periodically until the term ends. */
    run(): Promise<void>;
}

export interface LearnedStateOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly leadership: Pick<leases.Leadership, "transact" | "mayIssueOrders" | "signal">;
    /** Maximum size of a row's value in bytes. */
    readonly rowBytes: number;
    readonly sections: readonly LearnedSection[];
}

/** Stored form of a section. */
interface StoredSection {
    /** Wall-clock time of the write, in milliseconds. */
    readonly at: number;
    readonly text: string;
}

/** Bounds the writes to one transaction per interval, and what a lost leader has measured but not stored. */
const STORE_INTERVAL_MS = 4_000;
const WRITE_TIMEOUT_MS = 900;
/** Jobs wait for a new leader, and its sections only improve its decisions, so a slow store must not delay it. */
const READ_TIMEOUT_MS = 400;
/** Bounds the bytes that a section costs the store: 8 kB/s at the interval of the writes. */
const MAX_SECTION_BYTES = 32_768;
/** JSON around the text; quotes in the text are escaped, which at most doubles it. */
const ENVELOPE_BYTES = 64;
const ESCAPE_FACTOR = 2;

/** Creates the learned state of a term; nothing is read or written before `load` or `run`. */
export function createLearnedState(options: LearnedStateOptions): LearnedState {
    const { store, clock: time, log, meter, leadership, sections } = options;
    const lastTexts = new Map<string, string>();
    const maxBytes = Math.min(MAX_SECTION_BYTES, Math.floor((options.rowBytes - ENVELOPE_BYTES) / ESCAPE_FACTOR));

    const restoreSection = (section: LearnedSection, row: rows.Row) => {
        try {
            const stored = JSON.parse(row.value) as StoredSection;
            // Clocks of two instances may differ, or jump.
            section.restore(stored.text, Math.max(0, time.wallTime() - stored.at));
            lastTexts.set(section.name, stored.text);
            return true;
        }
        catch (err) {
            const why = err instanceof Error ? err.message : String(err);
            log.warn("learnedStateUnusable", { section: section.name, why });
            return false;
        }
    };
    const writeChanged = async () => {
        const changed = sections
            .map(({ name, encode }) => ({ name, text: encode(maxBytes) }))
            .filter((item): item is { name: string; text: string; } =>
                item.text !== undefined && item.text !== lastTexts.get(item.name)
            );
        if (changed.length === 0) {
            return;
        }
        const puts = changed.map(({ name, text }): rows.RowPut => ({
            ...getKey(name),
            value: JSON.stringify({ at: time.wallTime(), text } satisfies StoredSection),
        }));
        const outcome = await leadership.transact(store, { puts }, WRITE_TIMEOUT_MS);
        meter.increment("learned_state_writes_total", { outcome: outcome.kind });
        if (outcome.kind === "committed") {
            changed.forEach(({ name, text }) => lastTexts.set(name, text));
            const bytes = puts.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0);
            meter.increment("learned_state_bytes_total", {}, bytes);
            return;
        }
        log.info("learnedStateNotWritten", { outcome: outcome.kind });
    };

    return {
        load: async () => {
            if (sections.length === 0) {
                return;
            }
            const read = await store.read({ table: work.Table.Learned, part: work.LEADER_PART }, READ_TIMEOUT_MS);
            if (read.kind === "unavailable") {
                log.warn("learnedStateNotRead", { why: read.message });
                return;
            }
            const restored = sections.filter(section => {
                const row = read.rows.find(({ key }) => key === section.name);
                return row !== undefined && restoreSection(section, row);
            });
            log.info("learnedStateRead", { restored: restored.map(({ name }) => name) });
        },
        run: async () => {
            while (sections.length > 0 && !leadership.signal.aborted) {
                await time.sleep(STORE_INTERVAL_MS, leadership.signal);
                if (leadership.mayIssueOrders()) {
                    await writeChanged();
                }
            }
        },
    };
}

function getKey(name: string): rows.RowKey {
    return { table: work.Table.Learned, part: work.LEADER_PART, key: name };
}

import * as clocks from "../../clock/index";
import type * as rows from "../../rows/index";
import * as telemetry from "../../telemetry/index";
import * as work from "../../work/index";
import * as entries from "../entries";
import * as progressWriter from "../progressWriter";

/** A store whose answers the test gives explicitly, in order. */
function createManualStore() {
    const calls: Array<{ tx: rows.RowTransaction; answer: (result: rows.TransactResult) => void; }> = [];
    const store: rows.RowStore = {
        transact: tx => new Promise(answer => calls.push({ tx, answer })),
        read: async () => ({ kind: "unavailable", message: "" }),
        feed: async () => ({ kind: "unavailable", message: "" }),
    };
    return { calls, store };
}

/** An occurrence of one step whose tasks have each saved `savedBytes`. */
function createOccurrence(tasks = 0, savedBytes = 0, jobId = "j"): entries.OccurrenceEntry {
    const queue = {
        name: "q",
        host: "",
        pathPrefix: "",
        service: "",
        priority: 1,
        maxAttempts: 1,
        stretch: 1,
        objectiveMs: 0,
        needsKey: true,
    };
    const needs = { cpuMillis: 1, memoryMb: 1, accelerators: 0 };
    const steps = tasks > 0 ? [{ ...work.DEFAULT_STEP, count: tasks, needs, estimateMs: 1 }] : [];
    const spec: work.JobSpec = { payload: "", steps, repeats: 0, firstDueAt: 0, periodMs: 0 };
    const job = entries.createJobEntry({ jobId, queue, account: "a", acceptedAt: 0, spec }, queue, 0);
    const occurrence = entries.createOccurrenceEntry(job, 0, 0);
    for (const step of occurrence.steps) {
        for (const task of step.tasks) {
            task.saved = "s".repeat(savedBytes);
        }
    }
    return occurrence;
}

const GUARD = { table: work.Table.LeaderLease, part: work.LEADER_PART, key: "token", version: 7 };

function openWriter() {
    const time = clocks.createManualClock();
    const manual = createManualStore();
    const controller = new AbortController();
    const supersededReasons: string[] = [];
    const silent = () => undefined;
    const writer = progressWriter.createProgressWriter({
        meter: telemetry.createMetrics().meter,
        store: manual.store,
        clock: time,
        log: { info: silent, warn: silent, error: silent },
        leadership: {
            guard: GUARD,
            signal: controller.signal,
            transact: (store, { conditions = [], puts = [], removals = [] }, timeoutMs) =>
                store.transact({ conditions: [GUARD, ...conditions], puts, removals }, timeoutMs),
        },
        onSuperseded: () => {
            supersededReasons.push("superseded");
            controller.abort();
        },
    });
    return { time, calls: manual.calls, writer, supersededReasons };
}

describe("progress writer", () => {
    test("a flush waits for rows that were marked while an earlier write was in flight", async () => {
        // Guards against completed tasks that start again after a takeover. An end is recorded while a write is in
        // flight; if the flush resolves with that write, the worker forgets the end before it is stored, and a leader
        // that fails then loses it.
        const { time, calls, writer } = openWriter();
        const occurrence = createOccurrence();
        writer.markOccurrence(occurrence);
        await time.advance(0);
        expect(calls).toHaveLength(1);

        writer.markOccurrence(occurrence);
        let stored = false;
        void writer.flush().then(() => {
            stored = true;
        });
        calls[0]!.answer({ kind: "committed", version: 8 });
        await time.advance(0);
        expect(stored).toBe(false);
        expect(calls).toHaveLength(2);

        calls[1]!.answer({ kind: "committed", version: 9 });
        await time.advance(0);
        expect(stored).toBe(true);
    });

    test("a write without an answer is retried with the versions in the store", async () => {
        const { time, calls, writer, supersededReasons } = openWriter();
        const occurrence = createOccurrence();
        writer.markOccurrence(occurrence);
        await time.advance(0);
        calls[0]!.answer({ kind: "unknown", message: "lost" });
        await time.advance(100);
        // The first attempt was applied, so the second conflicts with its row.
        const written = { ...calls[0]!.tx.puts[0]!, version: 8 };
        calls[1]!.answer({ kind: "conflict", rows: [{ ...GUARD, value: "" }, written] });
        await time.advance(0);
        expect(calls[2]!.tx.conditions.map(row => row.version)).toEqual([7, 8]);
        calls[2]!.answer({ kind: "committed", version: 9 });
        await time.advance(0);
        expect(occurrence.rowVersion).toBe(9);
        expect(supersededReasons).toEqual([]);
    });

    test("another leader's token ends the term, and the flush never resolves", async () => {
        const { time, calls, writer, supersededReasons } = openWriter();
        writer.markOccurrence(createOccurrence());
        let stored = false;
        void writer.flush().then(() => {
            stored = true;
        });
        await time.advance(0);
        calls[0]!.answer({ kind: "conflict", rows: [{ ...GUARD, version: 12, value: "" }] });
        await time.advance(1_000);
        expect(supersededReasons).toEqual(["superseded"]);
        expect(stored).toBe(false);
        expect(calls).toHaveLength(1);
    });

    test("rows that exceed the size of one call are written in several, and a flush waits for all", async () => {
        // Guards against a writer that stops storing: a pass starts tasks of many wide steps at once, their rows exceed
        // the size limit of a call, and the same call is refused forever.
        const { time, calls, writer } = openWriter();
        const rowBytes = 45_000;
        for (let number = 0; number < 30; number++) {
            writer.markOccurrence(createOccurrence(100, rowBytes / 100, `job-${number}`));
        }
        let stored = false;
        void writer.flush().then(() => {
            stored = true;
        });
        await time.advance(0);
        for (let version = 8; !stored; version++) {
            const call = calls.at(-1)!;
            const bytes = call.tx.puts.reduce((sum, put) => sum + put.value.length, 0);
            expect(bytes).toBeLessThan(1_000_000 * 3 / 4);
            call.answer({ kind: "committed", version });
            await time.advance(0);
        }
        expect(calls.flatMap(call => call.tx.puts)).toHaveLength(30);
    });
});

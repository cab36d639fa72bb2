import * as clocks from "../../clock/index";
import * as emulator from "../../emulator/index";
import * as telemetry from "../../telemetry/index";
import * as rows from "../index";

const TABLE = "op";
const LATENCY_MS = 5;

interface Opened {
    readonly time: clocks.ManualClock;
    readonly store: emulator.EmulatedStore;
    /** The followed value of each key, and when it was received. */
    readonly known: Map<string, { readonly value: string; readonly at: number; }>;
    readonly lines: ReadonlyArray<{ readonly event: string; readonly fields: Readonly<Record<string, unknown>>; }>;
    readonly getAgeMs: () => number;
    readonly renderMetrics: () => string;
    readonly stop: () => void;
}

function open(decide: (now: number, call: string) => emulator.StoreFault, pollIntervalMs?: number): Opened {
    const time = clocks.createManualClock(1_000);
    const startedAt = time.now();
    const store = emulator.createEmulatedStore({
        clock: time,
        latencyMs: LATENCY_MS,
        faults: { decide: (_caller, call) => decide(time.now() - startedAt, call), lateMs: 0 },
    });
    const known = new Map<string, { value: string; at: number; }>();
    const take = (row: rows.Row) => {
        if (known.get(row.key)?.value !== row.value) {
            known.set(row.key, { value: row.value, at: time.now() - startedAt });
        }
    };
    const stopping = new AbortController();
    const lines: Array<{ event: string; fields: Readonly<Record<string, unknown>>; }> = [];
    const write = (event: string, fields: Readonly<Record<string, unknown>>) => void lines.push({ event, fields });
    const { meter, render } = telemetry.createMetrics();
    const follower = rows.followTable({
        store: store.open("a"),
        clock: time,
        log: { info: write, warn: write, error: write },
        meter,
        table: TABLE,
        part: "",
        signal: stopping.signal,
        pollIntervalMs,
        onSnapshot: all => all.forEach(take),
        onChanges: changes => changes.forEach(row => row.removed ? known.delete(row.key) : take(row)),
    });
    return {
        time,
        store,
        known,
        lines,
        getAgeMs: follower.getAgeMs,
        renderMetrics: render,
        stop: () => stopping.abort(),
    };
}

interface Case {
    readonly name: string;
    /** The failure that the case guards against, and how it comes about. */
    readonly description: string;
    readonly decide?: (now: number, call: string) => emulator.StoreFault;
    /** Whether the store loses its history at the change. */
    readonly losesHistory?: boolean;
    /** When the row changes. */
    readonly changedAt: number;
    /** When the change must be known. */
    readonly knownBy: number;
}

const cases: readonly Case[] = [
    {
        name: "a change is known at once",
        description: "A poll waits for changes, so a change is known after one round trip to the store.",
        changedAt: 2_000,
        knownBy: 2_020,
    },
    {
        name: "a change during an outage is known soon after it",
        description:
            `A revoked key keeps working: the operator changes the configuration while the store does not answer this
            instance, and the pending poll times out long after the store has recovered.`,
        decide: now => now >= 1_500 && now < 4_000 ? "silent" : "none",
        // By this time the poll that was in flight when the outage began has ended.
        changedAt: 2_500,
        knownBy: 5_400,
    },
    {
        name: "a silent connection is abandoned while new ones work",
        description:
            `An instance follows the configuration half a minute late: the connection of its poll goes silent without a
            reset, and the poll is as long as the store allows.`,
        decide: (now, call) => call === "feed" && now < 100 ? "silent" : "none",
        changedAt: 300,
        knownBy: 1_600,
    },
    {
        name: "a change during a loss of the history is read with the whole table",
        description:
            `A change never comes into force: the store loses its history between two polls, and the follower polls on
            from a version that the store no longer knows.`,
        decide: now => now >= 1_500 && now < 3_000 ? "refuse" : "none",
        losesHistory: true,
        changedAt: 2_000,
        knownBy: 3_600,
    },
];

describe("following a table", () => {
    test("that changes all the time costs one call per poll interval", async () => {
        // Guards against a leader of a large site that spends half its CPU time on the list of workers: each worker
        // writes its row every few seconds, and each change would end a long poll and begin the next.
        let calls = 0;
        const opened = open((_now, call) => {
            calls += call === "feed" ? 1 : 0;
            return "none";
        }, 600);
        for (let change = 0; change < 600; change++) {
            opened.store.put({ table: TABLE, part: "", key: `row-${change % 50}`, value: String(change) });
            await opened.time.advance(10);
        }
        expect(calls).toBeLessThanOrEqual(10);
        await opened.time.advance(650);
        expect(opened.known.get("row-49")?.value).toBe("599");
        opened.stop();
    });

    // Guards against workers that become known up to 1.4 s after they registered in a store that has recovered.
    test("is polled at a shorter interval for a while after an outage", async () => {
        let calls = 0;
        const { time, store, known, stop } = open((now, call) => {
            calls += call === "feed" ? 1 : 0;
            return now >= 2_000 && now < 6_000 ? "refuse" : "none";
        }, 600);
        await time.advance(7_000);
        store.put({ table: TABLE, part: "", key: "k", value: "new" });
        await time.advance(200);
        expect(known.get("k")?.value).toBe("new");
        await time.advance(10_000);
        calls = 0;
        await time.advance(6_000);
        expect(calls).toBeLessThanOrEqual(10);
        stop();
    });

    test("calls no callback after the signal, even if an answer is pending", async () => {
        // Guards against leaked connections to workers: a term ends while the store answers, and the answer still
        // reaches the leader, which opens connections that nobody closes.
        const opened = open(() => "none");
        opened.store.put({ table: TABLE, part: "", key: "config", value: "1" });
        await opened.time.advance(1_000);
        opened.store.put({ table: TABLE, part: "", key: "config", value: "2" });
        opened.stop();
        await opened.time.advance(5_000);
        expect(opened.known.get("config")?.value).toBe("1");
    });

    test("keeps the age below a second while the store answers at once", async () => {
        // The store holds a poll without changes for its whole wait, so its answer covers the changes up to its end.
        const opened = open(() => "none");
        await opened.time.advance(2_000);
        const ages: number[] = [];
        for (let step = 0; step < 300; step++) {
            await opened.time.advance(10);
            ages.push(opened.getAgeMs());
        }
        expect(Math.max(...ages)).toBeLessThan(1_000);
        opened.stop();
    });

    test("is current again as soon as the store answers again, without the wait of a poll", async () => {
        // Guards against an instance that refuses callers for longer than the outage of the store: its rows count as
        // old until a poll ends, and the store holds a poll without changes.
        const opened = open((now, call) => call === "feed" && now >= 2_000 && now < 4_000 ? "silent" : "none");
        await opened.time.advance(4_000);
        while (opened.getAgeMs() > 1_000) {
            await opened.time.advance(5);
        }
        const regained = opened.lines.at(-1);
        expect(regained?.event).toBe("tableRegained");
        // The unanswered poll times out 1.2 s after it began, and the next one follows after a pause of 0.15 s.
        expect(opened.time.now() - 1_000).toBeLessThan(4_000 + 1_200 + 150 + 5 * LATENCY_MS);
        opened.stop();
    });

    test("whose reads fail while the store answers other calls is reported in the log and in metrics", async () => {
        // Guards against an instance that serves under an old configuration without any sign in its log or metrics:
        // only the reads of this table fail, and the store counts as reachable as long as any call is answered.
        const opened = open((now, call) => call === "feed" && now >= 2_000 && now < 9_000 ? "silent" : "none");
        await opened.time.advance(8_000);
        expect(opened.lines).toEqual([{
            event: "tableLost",
            fields: { table: TABLE, why: "emulated", ageMs: expect.any(Number) },
        }]);
        expect(opened.getAgeMs()).toBeGreaterThan(5_000);
        expect(opened.renderMetrics()).toMatch(/table_age_ms\{table="op"\} [5-7]\d{3}\n/);
        await opened.time.advance(4_000);
        const regained = opened.lines.at(-1)!;
        expect(regained).toEqual({
            event: "tableRegained",
            fields: { table: TABLE, lostMs: expect.any(Number), failures: expect.any(Number) },
        });
        const failures = String(regained.fields["failures"]);
        expect(Number(failures)).toBeGreaterThanOrEqual(3);
        expect(opened.renderMetrics()).toContain(`table_reads_total{table="op",outcome="failed"} ${failures}\n`);
        expect(opened.getAgeMs()).toBeLessThan(1_500);
        opened.stop();
        expect(opened.renderMetrics()).not.toContain("table_age_ms{");
    });

    test.each(cases)("$name", async ({ decide, losesHistory, changedAt, knownBy }) => {
        const opened = open(decide ?? (() => "none"));
        opened.store.put({ table: TABLE, part: "", key: "config", value: "1" });
        await opened.time.advance(changedAt);
        expect(opened.known.get("config")?.value).toBe("1");
        opened.store.put({ table: TABLE, part: "", key: "config", value: "2" });
        if (losesHistory) {
            opened.store.discardHistory();
        }
        await opened.time.advance(knownBy - changedAt);
        expect(opened.known.get("config")).toEqual({ value: "2", at: expect.any(Number) });
        opened.stop();
    });
});

describe("a table that changes by more than a page between two polls", () => {
    // Guards against tasks that start on workers 5 s after these have reported that they leave: 3,000 workers write
    // their rows every 1.5 s, an answer of the store holds 500 changes, and if the next poll waits for its 0.6 s
    // interval, the table is known later and later.
    const POLL_INTERVAL_MS = 600;
    const WORKERS = 3_000;
    const WORKER_WRITE_INTERVAL_MS = 1_500;
    const STEP_MS = 50;

    test("does not fall behind by more than the time between two polls", async () => {
        const { time, store, known, getAgeMs, stop } = open(() => "none", POLL_INTERVAL_MS);
        const perStep = WORKERS * STEP_MS / WORKER_WRITE_INTERVAL_MS;
        let written = 0;
        for (let at = 0; at < 9_000; at += STEP_MS) {
            for (let count = 0; count < perStep; count++) {
                const key = `worker-${written % WORKERS}`;
                store.put({ table: TABLE, part: "", key, value: String(written++) });
            }
            await time.advance(STEP_MS);
        }
        const newest = Math.max(...[...known.values()].map(entry => Number(entry.value)));
        const behindMs = (written - newest) * WORKER_WRITE_INTERVAL_MS / WORKERS;
        stop();
        expect(behindMs).toBeLessThanOrEqual(POLL_INTERVAL_MS + 2 * STEP_MS);
        expect(getAgeMs()).toBeLessThanOrEqual(POLL_INTERVAL_MS + 2 * STEP_MS);
    });

    test("does not count as current while changes are missing", async () => {
        const LAST_ANSWERED_MS = 608;
        const { time, store, known, getAgeMs, stop } = open(
            (now, call) => call === "feed" && now > LAST_ANSWERED_MS ? "silent" : "none",
            POLL_INTERVAL_MS,
        );
        await time.advance(100);
        for (let count = 0; count < 600; count++) {
            store.put({ table: TABLE, part: "", key: `worker-${count}`, value: "v" });
        }
        await time.advance(600);
        const ageMs = getAgeMs();
        stop();
        expect(known.size).toBe(500);
        expect(ageMs).toBeGreaterThanOrEqual(600);
    });
});

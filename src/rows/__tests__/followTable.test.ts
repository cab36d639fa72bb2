import * as clocks from "../../clock/index";
import * as emulator from "../../emulator/index";
import * as telemetry from "../../telemetry/index";
import * as rows from "../index";

const TABLE = "op";
const LATENCY_MS = 5;

interface Opened {
    readonly time: clocks.ManualClock;
    readonly store: emulator.EmulatedStore;
    /** The value that is known of the key, and when it was learned. */
    readonly known: Map<string, { readonly value: string; readonly at: number; }>;
    readonly lines: ReadonlyArray<{ readonly event: string; readonly fields: Readonly<Record<string, unknown>>; }>;
    readonly getAgeMs: () => number;
    readonly renderMetrics: () => string;
    readonly stop: () => void;
}

function open(decide: (now: number, call: string) => emulator.StoreFault, everyMs?: number): Opened {
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
        pollIntervalMs: everyMs,
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
    readonly story: string;
    readonly decide?: (now: number, call: string) => emulator.StoreFault;
    /** The store forgets its history at the change. */
    readonly forgets?: boolean;
    /** When the row changes, and until when that must be known. */
    readonly changedAt: number;
    readonly knownUntil: number;
}

const cases: readonly Case[] = [
    {
        name: "a change is known at once",
        story: "A poll waits for changes, so nothing but the way to the store and back passes.",
        changedAt: 2_000,
        knownUntil: 2_020,
    },
    {
        name: "a change during an outage is known soon after it",
        story:
            `Symptom: a key that was taken away goes on working. Sequence: the store is silent, the operator changes the
            configuration, the store is back. Cause: the poll that hangs is given up too late.`,
        decide: now => now >= 1_500 && now < 4_000 ? "silent" : "none",
        // After the poll that was under way when the outage began has ended.
        changedAt: 2_500,
        knownUntil: 5_400,
    },
    {
        name: "a connection that has fallen silent is given up while new ones work",
        story:
            `Symptom: one instance follows the configuration half a minute late. Sequence: its poll's connection falls
            silent without a reset. Cause: the poll was as long as the store allows.`,
        decide: (now, call) => call === "feed" && now < 100 ? "silent" : "none",
        changedAt: 300,
        knownUntil: 1_600,
    },
    {
        name: "what changed while the history was lost is read anew",
        story:
            `Symptom: a change never comes into force. Sequence: the store forgets its history between two polls. Cause:
            the follower goes on from a version that the store knows nothing of.`,
        decide: now => now >= 1_500 && now < 3_000 ? "refuse" : "none",
        forgets: true,
        changedAt: 2_000,
        knownUntil: 3_600,
    },
];

describe("following a table", () => {
    test("of which some row changes all the time costs one call for each pause", async () => {
        // Symptom: the leader of a large site spends half its processor time on the list of workers. Sequence: each
        // worker writes its row every few seconds. Cause: each change ends a poll, and the next one begins.
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

    // Workers that had told of themselves since the store was back were known of up to 1.4 s later.
    test("that was away and is asked now and then is asked often for a while, and then as before", async () => {
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

    test("tells nothing after its end, also when an answer is on its way", async () => {
        // Symptom: a leader that has lost its lease opens connections to workers that nobody closes. Sequence: the
        // term ends while the store answers. Cause: the answer was still passed on.
        const opened = open(() => "none");
        opened.store.put({ table: TABLE, part: "", key: "config", value: "1" });
        await opened.time.advance(1_000);
        opened.store.put({ table: TABLE, part: "", key: "config", value: "2" });
        opened.stop();
        await opened.time.advance(5_000);
        expect(opened.known.get("config")?.value).toBe("1");
    });

    test("is known as of a moment less than a second ago while the store answers at once", async () => {
        // A poll that finds nothing was held by the store, so that it tells of changes up to its end.
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

    test("is known anew as soon as the store answers again, without the wait of a poll", async () => {
        // Symptom: an instance refuses callers for a poll's wait longer than the store was away. Cause: what is known
        // counts as old until a poll ends, and one that finds nothing is held.
        const opened = open((now, call) => call === "feed" && now >= 2_000 && now < 4_000 ? "silent" : "none");
        await opened.time.advance(4_000);
        while (opened.getAgeMs() > 1_000) {
            await opened.time.advance(5);
        }
        const regained = opened.lines.at(-1);
        expect(regained?.event).toBe("tableRegained");
        // The poll that was silent ends 1.2 s after it began, and the next one follows after a pause of 0.15 s.
        expect(opened.time.now() - 1_000).toBeLessThan(4_000 + 1_200 + 150 + 5 * LATENCY_MS);
        opened.stop();
    });

    test("whose reads fail while the store answers other calls is told of", async () => {
        // Symptom: an instance serves under an old configuration, and neither its lines nor its figures say so.
        // Sequence: reads of this one table fail from some moment on. Cause: nothing tells tables apart; the store
        // counts as reached as long as any call is answered.
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

    test.each(cases)("$name", async ({ decide, forgets, changedAt, knownUntil }) => {
        const opened = open(decide ?? (() => "none"));
        opened.store.put({ table: TABLE, part: "", key: "config", value: "1" });
        await opened.time.advance(changedAt);
        expect(opened.known.get("config")?.value).toBe("1");
        opened.store.put({ table: TABLE, part: "", key: "config", value: "2" });
        if (forgets) {
            opened.store.discardHistory();
        }
        await opened.time.advance(knownUntil - changedAt);
        expect(opened.known.get("config")).toEqual({ value: "2", at: expect.any(Number) });
        opened.stop();
    });
});

describe("a table that changes by more than a page between two polls", () => {
    // Symptom: tasks start on workers that have said 5 s before that they leave. Sequence: 3,000 workers write their rows
    // every 1.5 s; an answer of the store holds 500 changes, and the next one is asked for 0.6 s later. Cause: what was
    // left out was asked for no sooner than what is new, so that the table was known later and later.
    const EVERY_MS = 600;
    const WORKERS = 3_000;
    const BEAT_MS = 1_500;
    const STEP_MS = 50;

    test("is known within the time between two polls, also after a while", async () => {
        const { time, store, known, getAgeMs, stop } = open(() => "none", EVERY_MS);
        const perStep = WORKERS * STEP_MS / BEAT_MS;
        let written = 0;
        for (let at = 0; at < 9_000; at += STEP_MS) {
            for (let count = 0; count < perStep; count++) {
                const key = `worker-${written % WORKERS}`;
                store.put({ table: TABLE, part: "", key, value: String(written++) });
            }
            await time.advance(STEP_MS);
        }
        const newest = Math.max(...[...known.values()].map(entry => Number(entry.value)));
        const behindMs = (written - newest) * BEAT_MS / WORKERS;
        stop();
        expect(behindMs).toBeLessThanOrEqual(EVERY_MS + 2 * STEP_MS);
        expect(getAgeMs()).toBeLessThanOrEqual(EVERY_MS + 2 * STEP_MS);
    });

    test("does not count as current as long as changes are left out", async () => {
        const LAST_ANSWERED_MS = 608;
        const { time, store, known, getAgeMs, stop } = open(
            (now, call) => call === "feed" && now > LAST_ANSWERED_MS ? "silent" : "none",
            EVERY_MS,
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

import * as clocks from "../../../clock/index";
import * as emulator from "../../../emulator/index";
import * as telemetry from "../../../telemetry/index";
import * as work from "../../../work/index";
import * as learned from "../index";

const LATENCY_MS = 5;
const ROW_BYTES = 65_536;

function createFixture(storeFault: "none" | "silent" = "none") {
    const time = clocks.createManualClock(1_700_000_000_000);
    let fault = storeFault;
    const store = emulator.createEmulatedStore({
        clock: time,
        latencyMs: LATENCY_MS,
        faults: { decide: () => fault, lateMs: 0 },
    }).open("instance");
    const events: string[] = [];
    const record = (event: string) => void events.push(event);
    const log = { info: record, warn: record, error: record, debug: record };
    const createState = (sections: readonly learned.LearnedSection[], controller = new AbortController()) =>
        learned.createLearnedState({
            store,
            clock: time,
            log,
            meter: telemetry.createMetrics().meter,
            leadership: {
                transact: (to, tx, timeoutMs) =>
                    to.transact({ conditions: [], puts: [], removals: [], ...tx }, timeoutMs),
                mayIssueOrders: () => !controller.signal.aborted,
                signal: controller.signal,
            },
            rowBytes: ROW_BYTES,
            sections,
        });
    const put = (key: string, value: string) =>
        store.transact({
            conditions: [],
            puts: [{ table: work.Table.Learned, part: work.LEADER_PART, key, value }],
            removals: [],
        }, 100);
    return { time, events, createState, put, setFault: (next: "none" | "silent") => fault = next };
}

function createSection(name: string, text: string | undefined) {
    const restored: Array<readonly [text: string, ageMs: number]> = [];
    let encodes = 0;
    const section: learned.LearnedSection = {
        name,
        encode: () => {
            encodes++;
            return text;
        },
        restore: (stored, ageMs) => {
            if (stored === "invalid") {
                throw new Error("another format");
            }
            restored.push([stored, ageMs]);
        },
    };
    return { section, restored, countEncodes: () => encodes };
}

test("a successor continues with what its predecessor stored, and knows its age", async () => {
    const { time, createState } = createFixture();
    const controller = new AbortController();
    void createState([createSection("speeds", "fast").section], controller).run();
    await time.advance(4_100);
    controller.abort();
    await time.advance(900);
    const { section, restored } = createSection("speeds", undefined);
    const loading = createState([section]).load();
    await time.advance(100);
    await loading;
    expect(restored).toEqual([["fast", expect.any(Number)]]);
    expect(restored[0]![1]).toBeGreaterThanOrEqual(900);
    expect(restored[0]![1]).toBeLessThanOrEqual(1_100);
});

test.each([
    ["is no JSON", "{"],
    ["is of another format", JSON.stringify({ at: 0, text: "invalid" })],
])("a row that %s leaves its section empty and the others usable", async (_name, value) => {
    // Guards against a takeover that fails because of a row that only improves decisions.
    const { time, events, createState, put } = createFixture();
    void put("speeds", value);
    void put("shares", JSON.stringify({ at: 1_700_000_000_000, text: "even" }));
    await time.advance(100);
    const speeds = createSection("speeds", undefined);
    const shares = createSection("shares", undefined);
    const loading = createState([speeds.section, shares.section]).load();
    await time.advance(100);
    await loading;
    expect(speeds.restored).toEqual([]);
    expect(shares.restored).toHaveLength(1);
    expect(events).toContain("learnedStateUnusable");
});

test("a silent store delays a new leader by at most 0.4 s", async () => {
    // Guards against a takeover that waits for rows that only improve decisions.
    const { time, events, createState } = createFixture("silent");
    const { section, restored } = createSection("speeds", undefined);
    let isLoaded = false;
    void createState([section]).load().then(() => isLoaded = true);
    await time.advance(450);
    expect(isLoaded).toBe(true);
    expect(restored).toEqual([]);
    expect(events).toContain("learnedStateNotRead");
});

test("a write that got no answer is replaced by the next one, and unchanged sections are not written again", async () => {
    const { time, events, createState, setFault } = createFixture("silent");
    const controller = new AbortController();
    const stored = createSection("speeds", "fast");
    void createState([stored.section], controller).run();
    await time.advance(5_100);
    expect(events).toEqual(["learnedStateNotWritten"]);
    setFault("none");
    await time.advance(4_100);
    const { section, restored } = createSection("speeds", undefined);
    const loading = createState([section]).load();
    await time.advance(100);
    await loading;
    expect(restored.map(([text]) => text)).toEqual(["fast"]);
    await time.advance(20_000);
    const later = createSection("speeds", undefined);
    const loadingAgain = createState([later.section]).load();
    await time.advance(100);
    await loadingAgain;
    expect(later.restored[0]![1]).toBeGreaterThan(20_000);
    controller.abort();
});

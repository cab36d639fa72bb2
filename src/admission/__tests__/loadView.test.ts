import * as clocks from "../../clock/index";
import * as telemetry from "../../telemetry/index";
import * as admission from "../index";

const LOAD = { at: 1_000_000, queues: { q: [3, 9_000, 0, 9_000] } };

function open() {
    const time = clocks.createManualClock(LOAD.at);
    const lines: string[] = [];
    const record = (event: string) => void lines.push(event);
    let row: admission.ObservedRow | undefined;
    const getView = admission.createLoadView({
        clock: time,
        log: { info: record, warn: record, error: record },
        meter: telemetry.createMetrics().meter,
        getObservedRow: () => row,
    });
    let version = 0;
    const observe = (load: unknown) => {
        row = { version: ++version, load, seenAt: time.now() };
        return getView();
    };
    return { time, lines, observe, getView };
}

describe("the view of the leader's load", () => {
    test("ages from when it was seen, and is replaced by the next version", async () => {
        const { time, observe, getView } = open();
        expect(observe(LOAD)).toMatchObject({ ageMs: 0 });
        await time.advance(600);
        expect(getView()).toMatchObject({ ageMs: 600 });
        expect(observe({ ...LOAD, at: LOAD.at + 600 })).toMatchObject({ ageMs: 0 });
    });

    test("is absent without a row, and for rows of earlier versions", () => {
        const { lines, observe, getView } = open();
        expect(getView()).toBeUndefined();
        expect(observe(undefined)).toBeUndefined();
        expect(lines).toEqual([]);
    });

    test("is absent while the summary cannot be decoded, which is reported once", () => {
        const { lines, observe } = open();
        expect(observe({ ...LOAD, queues: "none" })).toBeUndefined();
        expect(observe("garbage")).toBeUndefined();
        expect(lines).toEqual(["loadSummaryUnusable"]);
        expect(observe(LOAD)).toBeDefined();
        expect(observe([])).toBeUndefined();
        expect(lines).toHaveLength(2);
    });

    const offsets: ReadonlyArray<readonly [name: string, computedAt: number, ageMs: number]> = [
        // Guards against refusals by an old load: a slow store delivers the row seconds after it was written.
        ["that arrives late is as old as its computation", LOAD.at - 3_000, 3_700],
        ["of a leader whose clock is ahead is as old as its arrival", LOAD.at + 60_000, 700],
        ["of a leader whose clock is far behind counts as outdated", LOAD.at - 60_000, 60_700],
    ];
    test.each(offsets)("%s", async (_name, computedAt, ageMs) => {
        const { time, observe, getView } = open();
        observe({ ...LOAD, at: computedAt });
        await time.advance(700);
        expect(getView()!.ageMs).toBe(ageMs);
    });
});

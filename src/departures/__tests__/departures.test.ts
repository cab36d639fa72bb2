import * as departures from "../index";

const SERVICE = "booking";

describe("what happens to a unit on a leaving worker", () => {
    const decide = (fields: Partial<departures.LeavingUnit>) =>
        departures.decide({
            now: 0,
            leavesAt: 2_000,
            endsAt: 5_000,
            savesState: false,
            isNoticeOld: false,
            wasLeftToEnd: false,
            ...fields,
        });

    test.each<readonly [name: string, fields: Partial<departures.LeavingUnit>, decision: departures.Decision]>([
        ["that ends before the worker leaves is left to end", { endsAt: 1_500 }, { kind: "leftToEnd" }],
        ["whose end is too close to be recorded is stopped", { endsAt: 1_700 }, { kind: "giveUp" }],
        [
            "that was left to end is not stopped shortly before its end",
            { endsAt: 1_950, wasLeftToEnd: true },
            { kind: "leftToEnd" },
        ],
        ["that can neither end nor save its state is stopped at once", {}, { kind: "giveUp" }],
        [
            "that saves its state runs until the last moment for it",
            { savesState: true },
            { kind: "saveLater", at: 1_300 },
        ],
        ["that saves its state is stopped at that moment", { savesState: true, now: 1_300 }, { kind: "saveNow" }],
        ["that saves its state is stopped after that moment", { savesState: true, now: 3_000 }, { kind: "saveNow" }],
        [
            "that saves its state is stopped at once if the notice may be old",
            { savesState: true, isNoticeOld: true },
            { kind: "saveNow" },
        ],
        [
            "whose end has passed without a report is not left to end after the worker has left",
            { endsAt: 1_500, now: 2_100, wasLeftToEnd: true },
            { kind: "giveUp" },
        ],
    ])("one %s", (_, fields, decision) => expect(decide(fields)).toEqual(decision));
});

describe("the expected end", () => {
    const run: departures.RunProgress = {
        startedAt: 0,
        estimateMs: 10_000,
        percent: 50,
        progressAt: 2_000,
        recentRate: undefined,
        isResumed: false,
    };

    // Guards against an estimate that is off by 90% deciding about a task whose progress is known.
    test.each<readonly [name: string, fields: Partial<departures.RunProgress>, end: departures.ExpectedEnd]>([
        ["is measured by the latest rate", { recentRate: 0.05 }, { at: 3_000, basis: "measured" }],
        ["is measured by the average rate before that", {}, { at: 4_000, basis: "average" }],
        [
            "follows the estimate if the run resumed at an unknown percentage",
            { isResumed: true },
            { at: 7_000, basis: "estimate" },
        ],
        ["follows the estimate without progress", { percent: 0, progressAt: 0 }, { at: 10_000, basis: "estimate" }],
        ["of a run without speed is not by that speed", { recentRate: 0 }, { at: 4_000, basis: "average" }],
    ])("%s", (_, fields, end) => expect(departures.getExpectedEnd({ ...run, ...fields })).toEqual(end));
});

describe("the learned stay", () => {
    test("is a low quantile, so that one worker in ten leaves earlier", () => {
        const stays = departures.createStayModel();
        for (let tenths = 20; tenths > 0; tenths--) {
            stays.record(SERVICE, 100 * tenths);
        }
        expect(stays.getBeyondMs(SERVICE)).toBe(300);
    });

    test("is unknown after fewer than three departures, and for other services", () => {
        const stays = departures.createStayModel();
        stays.record(SERVICE, 900);
        stays.record(SERVICE, 800);
        expect(stays.getBeyondMs(SERVICE)).toBeUndefined();
        stays.record(SERVICE, 1_000);
        expect(stays.getBeyondMs(SERVICE)).toBe(800);
        expect(stays.getBeyondMs("other")).toBeUndefined();
    });

    test("follows a change of the departures, and keeps a bounded number of them", () => {
        const stays = departures.createStayModel();
        for (let count = 0; count < 100; count++) {
            stays.record(SERVICE, count < 60 ? 10_000 : -200);
        }
        expect(stays.getBeyondMs(SERVICE)).toBe(-200);
        expect(stays.countObservations(SERVICE)).toBe(40);
    });

    test("is the same after it was stored and restored, and takes at most 300 bytes for a service", () => {
        const stays = departures.createStayModel();
        for (let count = 0; count < 40; count++) {
            stays.record(SERVICE, 10 * count);
        }
        const restored = departures.createStayModel();
        restored.restore(stays.encode());
        expect(restored.getBeyondMs(SERVICE)).toBe(stays.getBeyondMs(SERVICE));
        expect(JSON.stringify(stays.encode()).length).toBeLessThan(300);
    });

    test("does not replace what the leader has observed itself, and refuses another format", () => {
        const stays = departures.createStayModel();
        stays.record(SERVICE, 500);
        stays.restore({ [SERVICE]: [1, 1, 1], other: [2, 2, 2] });
        expect(stays.getBeyondMs(SERVICE)).toBeUndefined();
        expect(stays.getBeyondMs("other")).toBe(20);
        expect(() => stays.restore({ [SERVICE]: ["1"] })).toThrow("unexpected value");
        expect(() => stays.restore([1])).toThrow("not an object");
    });
});

describe("simultaneous losses", () => {
    const createMemory = (serviceWorkers = 245) => {
        const memory = departures.createLossMemory();
        const record = (workerId: string, at: number, service = SERVICE) =>
            memory.record({ service, workerId, at, serviceWorkers });
        return { memory, record };
    };

    test("of 2% of the workers within 10 s are remembered for two minutes", () => {
        const { memory, record } = createMemory();
        expect(["a", "b", "c", "d", "e"].map((id, number) => record(id, 1_000 * number))).toEqual([
            false,
            false,
            false,
            false,
            true,
        ]);
        expect(memory.getAgeMs(SERVICE, 104_000)).toBe(100_000);
        expect(memory.getAgeMs(SERVICE, 123_999)).toBe(119_999);
        expect(memory.getAgeMs(SERVICE, 124_000)).toBeUndefined();
        expect(memory.getAgeMs("other", 5_000)).toBeUndefined();
    });

    // Guards against gangs on few workers for no reason: on a large site some worker is always being replaced.
    test("are neither single losses, nor one worker that is announced and then gone, nor losses at other times", () => {
        const { memory, record } = createMemory(12);
        record("a", 0);
        record("b", 100);
        record("a", 2_000);
        expect(memory.getAgeMs(SERVICE, 2_000)).toBeUndefined();
        record("c", 10_101);
        expect(memory.getAgeMs(SERVICE, 10_101)).toBeUndefined();
        record("d", 10_101, "other");
        expect(memory.getAgeMs(SERVICE, 10_101)).toBeUndefined();
        record("e", 10_102);
        record("f", 10_103);
        expect(memory.getAgeMs(SERVICE, 10_103)).toBe(0);
    });

    test("outlive the term on another instance's clocks, and a clock that is ahead does not prolong them", () => {
        const { memory, record } = createMemory(12);
        ["a", "b", "c"].forEach(id => record(id, 5_000));
        const stored = memory.encode(6_000, 1_000_000);
        const restored = departures.createLossMemory();
        restored.restore(stored, 20_000, 1_000_000);
        expect(restored.getAgeMs(SERVICE, 20_000)).toBe(15_000);
        const ahead = departures.createLossMemory();
        ahead.restore(stored, 0, 900_000);
        expect(ahead.getAgeMs(SERVICE, 0)).toBe(0);
        expect(ahead.getAgeMs(SERVICE, 120_000)).toBeUndefined();
        expect(memory.encode(200_000, 1_000_000)).toEqual({});
        expect(() => restored.restore({ [SERVICE]: -1 }, 0, 0)).toThrow("unexpected value");
    });
});

import * as patience from "../callTimeout";

const STEP_MS = 10;

interface Case {
    readonly name: string;
    readonly patience: patience.CallTimeouts;
    /** Parts of the answer come so often, until the last one. */
    readonly heardEveryMs: number;
    readonly lastHeardMs: number;
    /** When the call is given up. */
    readonly overMs: number;
}

const cases: readonly Case[] = [
    {
        name: "for the whole answer where nothing more is said",
        patience: { timeoutMs: 100 },
        heardEveryMs: 20,
        lastHeardMs: Infinity,
        overMs: 100,
    },
    {
        name: "for its beginning",
        patience: { timeoutMs: 100, totalTimeoutMs: 1_000 },
        heardEveryMs: 20,
        lastHeardMs: 0,
        overMs: 100,
    },
    {
        name: "for the next part of it",
        patience: { timeoutMs: 100, totalTimeoutMs: 1_000 },
        heardEveryMs: 20,
        lastHeardMs: 400,
        overMs: 500,
    },
    {
        // Symptom: a reader waits for ever. Cause: whoever answers sends a byte now and then, and never ends.
        name: "for an answer that never ends",
        patience: { timeoutMs: 100, totalTimeoutMs: 1_000 },
        heardEveryMs: 90,
        lastHeardMs: Infinity,
        overMs: 1_000,
    },
];

describe("a call waits", () => {
    beforeEach(() => void jest.useFakeTimers());
    afterEach(() => void jest.useRealTimers());

    test.each(cases)("$name", ({ patience: given, heardEveryMs, lastHeardMs, overMs }) => {
        const overs: number[] = [];
        const wait = patience.startCallTimer(given, afterMs => overs.push(afterMs));
        for (let now = STEP_MS; now < overMs; now += STEP_MS) {
            jest.advanceTimersByTime(STEP_MS);
            if (now % heardEveryMs === 0 && now <= lastHeardMs) {
                wait.refresh();
            }
            expect(overs).toEqual([]);
        }
        // One more for the turn of the loop in which what has arrived is read first.
        jest.advanceTimersByTime(2 * STEP_MS);
        expect(overs).toHaveLength(1);
        expect(overs[0]).toBeGreaterThanOrEqual(overMs);
    });

    test("and not beyond its end", () => {
        const overs: number[] = [];
        patience.startCallTimer({ timeoutMs: 100 }, afterMs => overs.push(afterMs)).stop();
        jest.advanceTimersByTime(1_000);
        expect(overs).toEqual([]);
    });
});

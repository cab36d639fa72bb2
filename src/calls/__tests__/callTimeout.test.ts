import * as callTimeout from "../callTimeout";

const STEP_MS = 10;

interface Case {
    readonly name: string;
    readonly timeouts: callTimeout.CallTimeouts;
    /** Interval between parts of the answer, in milliseconds. */
    readonly partIntervalMs: number;
    readonly lastPartMs: number;
    /** When the call is expected to time out. */
    readonly expectedMs: number;
}

const cases: readonly Case[] = [
    {
        name: "the whole answer without a total timeout",
        timeouts: { timeoutMs: 100 },
        partIntervalMs: 20,
        lastPartMs: Infinity,
        expectedMs: 100,
    },
    {
        name: "the time to the first byte with a total timeout",
        timeouts: { timeoutMs: 100, totalTimeoutMs: 1_000 },
        partIntervalMs: 20,
        lastPartMs: 0,
        expectedMs: 100,
    },
    {
        name: "the silence within an answer with a total timeout",
        timeouts: { timeoutMs: 100, totalTimeoutMs: 1_000 },
        partIntervalMs: 20,
        lastPartMs: 400,
        expectedMs: 500,
    },
    {
        // Guards against a reader that waits forever: the server sends a byte now and then and never ends its answer.
        name: "an answer that never ends",
        timeouts: { timeoutMs: 100, totalTimeoutMs: 1_000 },
        partIntervalMs: 90,
        lastPartMs: Infinity,
        expectedMs: 1_000,
    },
];

describe("the timeout of a call", () => {
    beforeEach(() => void jest.useFakeTimers());
    afterEach(() => void jest.useRealTimers());

    test.each(cases)("bounds $name", ({ timeouts, partIntervalMs, lastPartMs, expectedMs }) => {
        const timeoutsAfterMs: number[] = [];
        const timer = callTimeout.startCallTimer(timeouts, afterMs => timeoutsAfterMs.push(afterMs));
        for (let now = STEP_MS; now < expectedMs; now += STEP_MS) {
            jest.advanceTimersByTime(STEP_MS);
            if (now % partIntervalMs === 0 && now <= lastPartMs) {
                timer.refresh();
            }
            expect(timeoutsAfterMs).toEqual([]);
        }
        // One step more for the turn of the event loop in which pending input is read first.
        jest.advanceTimersByTime(2 * STEP_MS);
        expect(timeoutsAfterMs).toHaveLength(1);
        expect(timeoutsAfterMs[0]).toBeGreaterThanOrEqual(expectedMs);
    });

    test("does not fire after the end of the call", () => {
        const timeoutsAfterMs: number[] = [];
        callTimeout.startCallTimer({ timeoutMs: 100 }, afterMs => timeoutsAfterMs.push(afterMs)).stop();
        jest.advanceTimersByTime(1_000);
        expect(timeoutsAfterMs).toEqual([]);
    });
});

import * as clock from "../index";

describe("the time since a moment", () => {
    const cases: ReadonlyArray<readonly [name: string, monotonic: number, wall: number, elapsed: number]> = [
        ["is the same on both clocks as a rule", 700, 700, 700],
        // Symptom: a machine that wakes up takes what it read before it was suspended for recent.
        ["counts a pause that the monotonic clock did not", 700, 6_700, 6_700],
        ["counts on where the time of day was set back", 700, -1_300, 700],
    ];
    test.each(cases)("%s", (_name, monotonic, wall, elapsed) => {
        const since = { monotonicMs: 5_000, wallMs: 1_000_000 };
        const time = { now: () => since.monotonicMs + monotonic, wallTime: () => since.wallMs + wall };
        expect(clock.getElapsedMs(time, since)).toBe(elapsed);
        expect(clock.getElapsedMs(time, clock.addMs(since, 200))).toBe(elapsed - 200);
    });
});

import * as clock from "../index";

describe("the time since a timestamp", () => {
    const cases: ReadonlyArray<readonly [name: string, monotonic: number, wall: number, elapsed: number]> = [
        ["equals the time on both clocks if they agree", 700, 700, 700],
        // Guards against taking data for recent that was read before the machine was suspended.
        ["includes a pause during which the monotonic clock stood still", 700, 6_700, 6_700],
        ["keeps growing when the wall clock is set back", 700, -1_300, 700],
    ];
    test.each(cases)("%s", (_name, monotonic, wall, elapsed) => {
        const since = { monotonicMs: 5_000, wallMs: 1_000_000 };
        const time = { now: () => since.monotonicMs + monotonic, wallTime: () => since.wallMs + wall };
        expect(clock.getElapsedMs(time, since)).toBe(elapsed);
        expect(clock.getElapsedMs(time, clock.addMs(since, 200))).toBe(elapsed - 200);
    });
});

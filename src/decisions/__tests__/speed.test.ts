import * as speed from "../speed";

/** A progress report of a worker: time in milliseconds, progress in percent. */
type ProgressReport = readonly [at: number, percent: number];

function createHistory(reports: readonly ProgressReport[]): speed.SpeedHistory {
    const result = speed.createSpeedHistory();
    reports.forEach(([at, percent]) => speed.recordProgress(result, percent, at));
    return result;
}

describe("the slowdown of a task", () => {
    const cases: ReadonlyArray<
        readonly [name: string, reports: readonly ProgressReport[], slowdown: number | undefined]
    > = [
        ["is unknown after one report", [[1_000, 10]], undefined],
        ["is 1 at a steady rate", [[1_000, 10], [2_000, 20], [3_000, 30]], 1],
        ["is 5 at a fifth of the best rate", [[1_000, 10], [2_000, 20], [3_000, 22]], 5],
        ["is 1 once the task is back at its best rate", [[1_000, 10], [2_000, 20], [3_000, 22], [4_000, 32]], 1],
        ["ignores the progress of an earlier run", [[1_000, 0], [2_000, 50], [3_000, 60]], 1],
        ["merges reports in quick succession into one interval", [[1_000, 10], [2_000, 20], [2_010, 20], [
            3_000,
            30,
        ]], 1],
        // Guards against a false slowdown of a long task, whose progress in whole percent does not change for seconds.
        ["is 1 for a long task between two whole percent", [[0, 1], [144_000, 5], [145_000, 5], [146_000, 5]], 1],
        ["is at most 100 for a task without progress", [[1_000, 10], [2_000, 20], [4_000, 20]], 100],
    ];
    test.each(cases)("%s", (_name, reports, slowdown) => {
        const measured = speed.getSlowdown(createHistory(reports));
        if (slowdown === undefined) {
            expect(measured).toBeUndefined();
        }
        else {
            expect(measured).toBeCloseTo(slowdown, 5);
        }
    });
});

describe("a worker counts as slow", () => {
    const cases: ReadonlyArray<readonly [name: string, slowdowns: readonly number[], slow: boolean]> = [
        ["not if no slowdown is known", [], false],
        ["if most of its tasks are slow", [1, 6, 7], true],
        ["not if only one of its tasks is slow", [1, 1, 7], false],
        ["not if its tasks slow each other down moderately", [1.5, 2, 2.2], false],
    ];
    test.each(cases)("%s", (_name, slowdowns, slow) => {
        expect(speed.isWorkerSlow(slowdowns)).toBe(slow);
    });
});

describe("moving a task from a slow worker", () => {
    /** A task of 10 s at a sixth of its best rate. */
    const SLOW = { bestRate: 0.01, recentRate: 0.01 / 6 };
    const cases: ReadonlyArray<readonly [name: string, input: Partial<speed.MoveInput>, move: boolean]> = [
        ["saves time if half done with a checkpoint", { percent: 50, checkpoints: true }, true],
        ["saves no time if half done without a checkpoint", { percent: 50, checkpoints: false }, false],
        ["saves time if just started", { percent: 5, checkpoints: false }, true],
        ["saves no time if nearly done", { percent: 98, checkpoints: true }, false],
        [
            "is not considered if its rates are unknown",
            { percent: 5, checkpoints: true, bestRate: 0, recentRate: 0 },
            false,
        ],
    ];
    test.each(cases)("%s", (_name, input, move) => {
        const times = speed.getMoveTimes({ percent: 0, checkpoints: false, ...SLOW, ...input });
        expect(times !== undefined).toBe(move);
    });
});

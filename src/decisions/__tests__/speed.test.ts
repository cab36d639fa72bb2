import * as speed from "../speed";

/** What a worker tells of a task: time in milliseconds, percent. */
type Told = readonly [at: number, percent: number];

function track(told: readonly Told[]): speed.SpeedHistory {
    const result = speed.createSpeedHistory();
    told.forEach(([at, percent]) => speed.recordProgress(result, percent, at));
    return result;
}

describe("how much slower a task goes than at its best", () => {
    const cases: ReadonlyArray<readonly [name: string, told: readonly Told[], slowdown: number | undefined]> = [
        ["nothing is known after one word", [[1_000, 10]], undefined],
        ["steady", [[1_000, 10], [2_000, 20], [3_000, 30]], 1],
        ["a fifth of its speed", [[1_000, 10], [2_000, 20], [3_000, 22]], 5],
        ["at its old speed again", [[1_000, 10], [2_000, 20], [3_000, 22], [4_000, 32]], 1],
        ["the percent that an earlier run left counts as no progress", [[1_000, 0], [2_000, 50], [3_000, 60]], 1],
        ["looks in quick succession are taken together", [[1_000, 10], [2_000, 20], [2_010, 20], [3_000, 30]], 1],
        // Progress in whole percent says nothing of a task of an hour within seconds.
        ["a long task", [[0, 1], [144_000, 5], [145_000, 5], [146_000, 5]], 1],
        ["a task that stands still", [[1_000, 10], [2_000, 20], [4_000, 20]], 100],
    ];
    test.each(cases)("%s", (_name, told, slowdown) => {
        const measured = speed.getSlowdown(track(told));
        if (slowdown === undefined) {
            expect(measured).toBeUndefined();
        }
        else {
            expect(measured).toBeCloseTo(slowdown, 5);
        }
    });
});

describe("whether a worker has turned slow", () => {
    const cases: ReadonlyArray<readonly [name: string, slowdowns: readonly number[], slow: boolean]> = [
        ["nothing is known", [], false],
        ["most of its tasks are", [1, 6, 7], true],
        ["one of its tasks is", [1, 1, 7], false],
        ["its tasks share it", [1.5, 2, 2.2], false],
    ];
    test.each(cases)("%s", (_name, slowdowns, slow) => {
        expect(speed.isWorkerSlow(slowdowns)).toBe(slow);
    });
});

describe("whether a task on a slow worker would end sooner elsewhere", () => {
    /** Tasks of 10 s that go at a sixth of their speed. */
    const SLOW = { bestRate: 0.01, recentRate: 0.01 / 6 };
    const cases: ReadonlyArray<readonly [name: string, input: Partial<speed.MoveInput>, move: boolean]> = [
        ["half done, goes on from what it saved", { percent: 50, checkpoints: true }, true],
        ["half done, would begin anew", { percent: 50, checkpoints: false }, false],
        ["hardly begun", { percent: 5, checkpoints: false }, true],
        ["nearly done", { percent: 98, checkpoints: true }, false],
        ["nothing is known of its speed", { percent: 5, checkpoints: true, bestRate: 0, recentRate: 0 }, false],
    ];
    test.each(cases)("%s", (_name, input, move) => {
        const times = speed.getMoveTimes({ percent: 0, checkpoints: false, ...SLOW, ...input });
        expect(times !== undefined).toBe(move);
    });
});

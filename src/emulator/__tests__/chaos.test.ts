import * as emulator from "../index";

/** Each of these failed once; the line says why. */
const REGRESSION_SEEDS: ReadonlyArray<readonly [seed: number, cause: string]> = [
    [20_130, "ends were acknowledged when an earlier write of progress succeeded"],
    [20_429, "ends were acknowledged when an earlier write of progress succeeded"],
    [51_063, "what was left of a gang that a lost leader had been stopping was taken to wait for its other members"],
    [
        301_033,
        "two instances took the lead from each other without an end: a term that was given up was told by its holder",
    ],
];
/** Each of these failed once with hazards; the line says why. */
const HAZARD_SEEDS: ReadonlyArray<readonly [seed: number, cause: string]> = [
    [500044, "crashes were excused where other workers crashed for reasons of their own"],
    [500113, "starts that were sent to workers that were down already counted as crashes"],
    [500272, "starts that did not end in a crash were not counted after the third one"],
    [500285, "runs that their worker no longer listed counted as lost with it"],
    [510639, "starts that were sent to workers that were down already counted as crashes"],
    [521089, "starts that were sent to workers that were down already counted as crashes"],
    [521255, "leaders were lost during two runs, and one loss was put down to the rack"],
    [521799, "starts that were sent to workers that were down already counted as crashes"],
    [530412, "a run under way counted against its task when another leader read it"],
    [530695, "a task beyond the limit whose latest run was not to blame was neither started nor given up"],
    [531940, "starts that were sent to workers that were down already counted as crashes"],
    [540179, "leaders were lost while starts were unconfirmed, which counted as crashes"],
    [542669, "a start was charged after two lost runs only"],
    [542721, "leaders were lost twice, and starts without an answer counted for little"],
    [640791, "a gang that had failed on each worker that it fits on was never started again"],
    [642331, "leaders were lost during two runs, and losses were put down to the rack"],
    [671213, "crashes were excused by the rack, though each came as the task began"],
    [671977, "crashes were excused by the rack, though each came as the task began"],
    [673616, "crashes were excused by the rack, though each came as the task began"],
    [674686, "a suspended instance took a report for as new as its own clock says"],
    [642804, "the member of a gang that was stopped for a missing one counted as missing too"],
    [691322, "a start without an answer weighed little, though its worker had just answered"],
    [693455, "leaders were lost during three runs of a gang, and one loss was put down to the rack"],
    [694167, "runs that had been confirmed were gone when their workers came back as other lives"],
];
/** Each of these failed once with workers that start again under their ids. */
const RESTART_SEEDS: ReadonlyArray<readonly [seed: number, cause: string]> = [
    [810014, "a worker that had shrunk and started again was taken to have had that capacity always"],
    [810188, "a run that was being closed on its worker's next life was counted as lost by each new leader"],
    [810589, "a start that was under way as its worker crashed counted for nothing"],
    [811079, "a start without an answer weighed little, though its worker had just answered"],
    [811329, "a start that was withdrawn counted as lost, since its leader was lost before that was stored"],
    [9_143_791, "starts that counted against a task's budget were stopped for other work"],
];
/** Each of these failed once with its faults at other moments; the line says why. */
const SHIFTED_SEEDS: ReadonlyArray<readonly [seed: number, shiftMs: number, cause: string]> = [
    [710431, 664, "runs that may have ended before their silent workers crashed counted as crashes"],
    [710431, 891, "runs that may have ended before their silent workers crashed counted as crashes"],
    [710431, 898, "runs that may have ended before their silent workers crashed counted as crashes"],
    [9_120_241, 21, "a gang that takes its workers down was given up after five runs only, and held up other jobs"],
    [9_120_241, 49, "a gang that takes its workers down was given up after five runs only, and held up other jobs"],
];
const FRESH_SEEDS = 25;
const FIRST_FRESH_SEED = 1_000;

describe("random faults", () => {
    const seeds = [
        ...REGRESSION_SEEDS.map(([seed]) => seed),
        ...Array.from({ length: FRESH_SEEDS }, (_, number) => FIRST_FRESH_SEED + number),
    ];
    test.each(seeds)("seed %i keeps every promise", async seed => {
        const report = await emulator.runChaos(seed);
        expect(report.violations).toEqual([]);
    });

    test.each(seeds)("seed %i keeps every promise, also beside a store that is slow for a while", async seed => {
        const report = await emulator.runChaos(seed, { slowStore: true });
        expect(report.violations).toEqual([]);
    });

    const withHazards = [...HAZARD_SEEDS.map(([seed]) => seed), ...seeds];
    test.each(withHazards)("seed %i keeps every promise, also where tasks take their workers down", async seed => {
        const report = await emulator.runChaos(seed, { slowStore: true, hazards: true });
        expect(report.violations).toEqual([]);
    });

    const withRestarts = [...RESTART_SEEDS.map(([seed]) => seed), ...seeds];
    test.each(withRestarts)(
        "seed %i keeps every promise, also where workers start again under their ids",
        async seed => {
            const report = await emulator.runChaos(seed, { slowStore: true, hazards: true, restarts: true });
            expect(report.violations).toEqual([]);
        },
    );

    const shifted = SHIFTED_SEEDS.map(([seed, shiftMs]) => ({ seed, shiftMs }));
    test.each(shifted)(
        "seed $seed keeps every promise with its faults $shiftMs ms later",
        async ({ seed, shiftMs }) => {
            const report = await emulator.runChaos(seed, { slowStore: true, hazards: true, restarts: true, shiftMs });
            expect(report.violations).toEqual([]);
        },
    );
});

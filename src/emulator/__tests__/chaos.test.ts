import * as emulator from "../index";

/** Seeds that failed once without hazards, with the fault that they guard against. */
const BASIC_SEEDS: ReadonlyArray<readonly [seed: number, cause: string]> = [
    [20_130, "ends were acknowledged when an earlier write of progress had succeeded"],
    [20_429, "ends were acknowledged when an earlier write of progress had succeeded"],
    [51_063, "the rest of a gang that a lost leader had been stopping was treated as waiting for its other members"],
    [
        301_033,
        "two instances took over leadership from each other endlessly: the holder of an abandoned term still announced it",
    ],
];
/** Seeds that failed once with hazards, with the fault that they guard against. */
const HAZARD_SEEDS: ReadonlyArray<readonly [seed: number, cause: string]> = [
    [500044, "crashes were not attributed to a task when other workers crashed for unrelated reasons"],
    [500113, "starts that were sent to workers which were already down counted as crashes"],
    [500272, "starts that did not end in a crash were not counted after the third crash"],
    [500285, "runs that their worker no longer listed were counted as lost with the worker"],
    [510639, "starts that were sent to workers which were already down counted as crashes"],
    [521089, "starts that were sent to workers which were already down counted as crashes"],
    [521255, "leaders were lost during two runs, and one loss was attributed to the rack"],
    [521799, "starts that were sent to workers which were already down counted as crashes"],
    [530412, "an active run counted against its task when another leader loaded it"],
    [530695, "a task beyond its crash limit whose latest run caused no crash was neither started nor given up"],
    [531940, "starts that were sent to workers which were already down counted as crashes"],
    [540179, "leaders were lost while starts were unconfirmed, and these starts counted as crashes"],
    [542669, "a start counted against its task only after two lost runs"],
    [542721, "leaders were lost twice, and unanswered starts were hardly counted"],
    [640791, "a gang that had failed on each worker that it fits on was never started again"],
    [642331, "leaders were lost during two runs, and losses were attributed to the rack"],
    [671213, "crashes were attributed to the rack, although each happened as the task began"],
    [671977, "crashes were attributed to the rack, although each happened as the task began"],
    [673616, "crashes were attributed to the rack, although each happened as the task began"],
    [674686, "a suspended instance took the age of a report from its own clock, which did not count the suspension"],
    [642804, "a member of a gang that was stopped because another was missing counted as missing too"],
    [691322, "an unanswered start was hardly counted, although its worker had just answered"],
    [693455, "leaders were lost during three runs of a gang, and one loss was attributed to the rack"],
    [694167, "confirmed runs were missing when their workers came back as other incarnations"],
];
/** Seeds that failed once with workers that restart under their ids, with the fault that they guard against. */
const RESTART_SEEDS: ReadonlyArray<readonly [seed: number, cause: string]> = [
    [810014, "a worker that restarted with a reduced capacity was assumed to have always had that capacity"],
    [810188, "a run that was being closed on its worker's next incarnation was counted as lost by each new leader"],
    [810589, "a start that was in transit when its worker crashed was not counted"],
    [811079, "an unanswered start was hardly counted, although its worker had just answered"],
    [811329, "a withdrawn start counted as lost, since its leader was lost before the withdrawal was stored"],
    [9_143_791, "starts that counted against a task's crash limit were preempted by other work"],
    [9_400_139, "unanswered starts on workers that another task had crashed were counted as crashes of a healthy task"],
    [9_401_160, "an unanswered start that a poll had shown not to have been carried out counted as a lost run"],
];
/** Seeds that failed once with faults delayed by `shiftMs`, with the fault that they guard against. */
const SHIFTED_SEEDS: ReadonlyArray<readonly [seed: number, shiftMs: number, cause: string]> = [
    [710431, 664, "runs that may have ended before their unreachable workers crashed counted as crashes"],
    [710431, 891, "runs that may have ended before their unreachable workers crashed counted as crashes"],
    [710431, 898, "runs that may have ended before their unreachable workers crashed counted as crashes"],
    [9_120_241, 21, "a gang that crashes its workers was given up only after five runs, and delayed other jobs"],
    [9_120_241, 49, "a gang that crashes its workers was given up only after five runs, and delayed other jobs"],
];
const RANDOM_SEED_COUNT = 25;
const FIRST_RANDOM_SEED = 1_000;

describe("chaos runs", () => {
    const seeds = [
        ...BASIC_SEEDS.map(([seed]) => seed),
        ...Array.from({ length: RANDOM_SEED_COUNT }, (_, number) => FIRST_RANDOM_SEED + number),
    ];
    test.each(seeds)("seed %i violates no invariant", async seed => {
        const report = await emulator.runChaos(seed);
        expect(report.violations).toEqual([]);
    });

    test.each(seeds)("seed %i violates no invariant with a store that is slow for a while", async seed => {
        const report = await emulator.runChaos(seed, { slowStore: true });
        expect(report.violations).toEqual([]);
    });

    test.each([...seeds, 31_000_112])("seed %i violates no invariant under contention", async seed => {
        const options = { slowStore: true, hazards: true, restarts: true, contention: true };
        const { violations } = await emulator.runChaos(seed, options);
        expect(violations).toEqual([]);
    });

    const hazardSeeds = [...HAZARD_SEEDS.map(([seed]) => seed), ...seeds];
    test.each(hazardSeeds)("seed %i violates no invariant with tasks that crash their workers", async seed => {
        const report = await emulator.runChaos(seed, { slowStore: true, hazards: true });
        expect(report.violations).toEqual([]);
    });

    const restartSeeds = [...RESTART_SEEDS.map(([seed]) => seed), ...seeds];
    test.each(restartSeeds)(
        "seed %i violates no invariant with workers that restart under their ids",
        async seed => {
            const report = await emulator.runChaos(seed, { slowStore: true, hazards: true, restarts: true });
            expect(report.violations).toEqual([]);
        },
    );

    const unusualSeeds = Array.from({ length: 8 }, (_, number) => FIRST_RANDOM_SEED + number);
    test.each(unusualSeeds)("seed %i violates no invariant with jobs of unusual shapes", async seed => {
        const options = { slowStore: true, hazards: true, restarts: true, unusualJobs: true };
        const { violations } = await emulator.runChaos(seed, options);
        expect(violations).toEqual([]);
    });

    const shiftedSeeds = SHIFTED_SEEDS.map(([seed, shiftMs]) => ({ seed, shiftMs }));
    test.each(shiftedSeeds)(
        "seed $seed violates no invariant with its faults delayed by $shiftMs ms",
        async ({ seed, shiftMs }) => {
            const report = await emulator.runChaos(seed, { slowStore: true, hazards: true, restarts: true, shiftMs });
            expect(report.violations).toEqual([]);
        },
    );
});

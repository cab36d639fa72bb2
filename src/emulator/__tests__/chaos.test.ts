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
const FRESH_SEEDS = 25;
const FIRST_FRESH_SEED = 1_000;

describe("random faults", () => {
    const seeds = [
        ...REGRESSION_SEEDS.map(([seed]) => seed),
        ...Array.from({ length: FRESH_SEEDS }, (_, number) => FIRST_FRESH_SEED + number),
    ];
    test.each(seeds)("seed %i keeps every promise", async seed => {
        const report = await emulator.runChaos(seed);
        expect(report.breaches).toEqual([]);
    });

    test.each(seeds)("seed %i keeps every promise, also beside a store that is slow for a while", async seed => {
        const report = await emulator.runChaos(seed, { slowStore: true });
        expect(report.breaches).toEqual([]);
    });
});

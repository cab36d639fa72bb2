import * as decisions from "../../decisions/index";
import * as generate from "../generate";
import * as experiment from "../index";
import * as measures from "../measures";
import type * as outcomes from "../simulationResult";

const SEEDS = Array.from({ length: 40 }, (_, number) => number + 1);

describe("a drawn deployment", () => {
    test.each(Object.values(experiment.Size))(
        "of the size %s is the same for the same seed, and can hold its jobs",
        size => {
            for (const seed of SEEDS) {
                const load = experiment.createRandomLoad(seed, size);
                expect(experiment.createRandomLoad(seed, size)).toEqual(load);
                expect(load.instances).toBeGreaterThanOrEqual(load.zones);
                expect(load.zoneShares).toHaveLength(load.zones);
                for (
                    const { spec } of generate.generateJobs(load, generate.createSeededRandom(seed)).map(item =>
                        item.job
                    )
                ) {
                    for (const { needs, estimateMs, dataRack } of spec.steps) {
                        expect(needs.cpuMillis).toBeLessThanOrEqual(load.capacity.cpuMillis);
                        expect(needs.memoryMb).toBeLessThanOrEqual(load.capacity.memoryMb);
                        expect(needs.accelerators).toBeLessThanOrEqual(load.capacity.accelerators);
                        expect(estimateMs).toBeGreaterThan(0);
                        expect(dataRack === undefined || Number(dataRack.slice(1)) * load.workersPerRack < load.workers)
                            .toBe(true);
                    }
                }
            }
        },
    );

    test("differs from seed to seed in all that matters", () => {
        const loads = SEEDS.map(seed => experiment.createRandomLoad(seed));
        const countValues = (get: (load: experiment.Load) => unknown) => new Set(loads.map(get)).size;
        expect(countValues(load => load.workers)).toBeGreaterThan(15);
        expect(countValues(load => load.zones)).toBe(4);
        expect(countValues(load => load.classes.length)).toBe(3);
        expect(countValues(load => load.troubles.length)).toBe(6);
        const kinds = new Set(loads.flatMap(load => load.troubles.map(trouble => trouble.kind)));
        expect(kinds.size).toBe(10);
        expect(countValues(load => load.speeds?.join() ?? "")).toBe(3);
    });
});

describe("the measures", () => {
    const [planned] = generate.generateJobs(experiment.createRandomLoad(1), generate.createSeededRandom(1));
    const createJob = (zone: string, arrivesAt: number, afterMs: number | undefined): outcomes.JobOutcome => ({
        planned: {
            ...planned!,
            arrivesAt,
            cancelAfterMs: undefined,
            poisoned: false,
            crashesWorkers: false,
            objectiveMs: 1_000,
            coreSeconds: 10,
        },
        zone,
        accepted: true,
        firstStartMs: 0,
        end: afterMs === undefined ? undefined : { state: "completed", afterMs },
    });
    const played: outcomes.SimulationResult = {
        jobs: [
            createJob("a", 0, 500),
            createJob("a", 0, 500),
            createJob("b", 5_000, 500),
            createJob("b", 9_000, undefined),
        ],
        samples: [],
        thrownAwayCoreSeconds: 4,
        stoppedRuns: 2,
        lossByReason: { preempted: 4 },
        workerCalls: 8,
        breaches: [],
        simulatedMs: 0,
    };

    test("tell the worst zone and windows apart from the whole", () => {
        expect(measures.measure(played)).toMatchObject({
            whole: 0.75,
            worstZone: 0.5,
            worstWindows: 0.5,
            thrownAway: 0.1,
            stoppedRuns: 0.5,
            looks: 2,
        });
    });

    test("are compared deployment by deployment", () => {
        const base = measures.measure(played);
        const differences = experiment.compare(
            [base, base],
            [{ ...base, whole: base.whole + 0.01 }, { ...base, whole: base.whole + 0.03 }],
        );
        const whole = differences.find(difference => difference.measure === "whole")!;
        expect(whole.baseline).toBeCloseTo(0.75);
        expect(whole.mean).toBeCloseTo(0.02);
        expect(whole.error).toBeCloseTo(0.01);
        expect(differences.find(difference => difference.measure === "looks")).toMatchObject({ mean: 0, error: 0 });
    });

    test.each([
        [[1, 2, 3], [10, 20, 30], 1],
        [[1, 2, 3], [3, 2, 1], -1],
    ])("of %j and %j rank alike by %d", (a, b, correlation) => {
        expect(experiment.getRankCorrelation(a, b)).toBeCloseTo(correlation);
    });
});

/** Beside a busy machine; a play takes half a second by itself. */
jest.setTimeout(60_000);

/** Each with a deployment on which it matters; the others show in tests of their own. */
const SHOWN_ON: Readonly<
    Record<Exclude<decisions.Mechanism, "unansweredLooks" | "relay" | "firstLooks" | "isolation">, number>
> = {
    preemption: 30,
    sparing: 35,
    lateness: 21,
    repeatedStops: 21,
    rests: 30,
    rackPatience: 34,
    dataPatience: 7,
    gangData: 30,
    idlePatience: 19,
    inTimeOrder: 21,
    prediction: 7,
    hangingTasks: 36,
    failingWorkers: 33,
    earlyFailures: 33,
    slowWorkers: 36,
    slowMoves: 36,
    leavingWorkers: 36,
    handover: 32,
    heartbeats: 21,
    prolonging: 27,
};

describe("a batch", () => {
    const playOne = async (seed: number, leftOut: readonly decisions.Mechanism[] = []) => {
        const task: experiment.BatchTask = { seed, size: "small", variant: { policy: "worth", leftOut } };
        const [result] = await experiment.simulateBatch([task], 0);
        return result!;
    };

    test.each([1, 3, 4, 5, 6, 7, 8, 9])(
        "keeps every promise with hazards on seed %i, and decides otherwise",
        async seed => {
            const variant = { policy: "worth", leftOut: [] } as const;
            const [result] = await experiment.simulateBatch([{ seed, size: "small", variant, hazards: true }], 0);
            expect(result!.breaches).toEqual([]);
            expect(result!.measures).not.toEqual((await playOne(seed)).measures);
        },
    );

    test("gives the results in the order of its tasks", async () => {
        const tasks = [24, 34].map((seed): experiment.BatchTask => ({
            seed,
            size: "small",
            variant: { policy: "worth", leftOut: [] },
        }));
        expect(await experiment.simulateBatch(tasks, 0)).toEqual([await playOne(24), await playOne(34)]);
    });

    test.each(Object.entries(SHOWN_ON))(
        "without %s decides otherwise on seed %d, and keeps every promise",
        async (name, seed) => {
            const without = await playOne(seed, [name].filter(decisions.isMechanism));
            expect(without.breaches).toEqual([]);
            expect(without.measures).not.toEqual((await playOne(seed)).measures);
        },
    );
});

import * as decisions from "../../decisions/index";
import * as generate from "../generate";
import * as experiment from "../index";
import * as measures from "../measures";
import type * as simulationResult from "../simulationResult";

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

describe("a random deployment", () => {
    test.each(Object.values(experiment.Size))(
        "of size %s is the same for the same seed, and its workers can hold its tasks",
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

    test("differs between seeds in size, zones, classes, faults and worker speeds", () => {
        const loads = SEEDS.map(seed => experiment.createRandomLoad(seed));
        const countValues = (get: (load: experiment.Load) => unknown) => new Set(loads.map(get)).size;
        expect(countValues(load => load.workers)).toBeGreaterThan(15);
        expect(countValues(load => load.zones)).toBe(4);
        expect(countValues(load => load.classes.length)).toBe(3);
        expect(countValues(load => load.faults.length)).toBe(6);
        const kinds = new Set(loads.flatMap(load => load.faults.map(fault => fault.kind)));
        expect(kinds.size).toBe(10);
        expect(countValues(load => load.speeds?.join() ?? "")).toBe(3);
    });
});

describe("the measures", () => {
    const [planned] = generate.generateJobs(experiment.createRandomLoad(1), generate.createSeededRandom(1));
    const createJob = (zone: string, arrivesAt: number, afterMs: number | undefined): simulationResult.JobOutcome => ({
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
    const simulated: simulationResult.SimulationResult = {
        jobs: [
            createJob("a", 0, 500),
            createJob("a", 0, 500),
            createJob("b", 5_000, 500),
            createJob("b", 9_000, undefined),
        ],
        samples: [],
        thrownAwayCoreSeconds: 4,
        stoppedRuns: 2,
        thrownAwayByReason: { preempted: 4 },
        workerCalls: 8,
        violations: [],
        simulatedMs: 0,
    };

    test("rate the worst zone and windows separately from the whole", () => {
        expect(measures.measure(simulated)).toMatchObject({
            whole: 0.75,
            worstZone: 0.5,
            worstWindows: 0.5,
            thrownAway: 0.1,
            stoppedRuns: 0.5,
            looks: 2,
        });
    });

    test("are compared by paired differences per deployment", () => {
        const baseline = measures.measure(simulated);
        const differences = experiment.compare(
            [baseline, baseline],
            [{ ...baseline, whole: baseline.whole + 0.01 }, { ...baseline, whole: baseline.whole + 0.03 }],
        );
        const whole = differences.find(difference => difference.measure === "whole")!;
        expect(whole.baseline).toBeCloseTo(0.75);
        expect(whole.mean).toBeCloseTo(0.02);
        expect(whole.standardError).toBeCloseTo(0.01);
        expect(differences.find(difference => difference.measure === "looks")).toMatchObject({
            mean: 0,
            standardError: 0,
        });
    });

    test.each([
        [[1, 2, 3], [10, 20, 30], 1],
        [[1, 2, 3], [3, 2, 1], -1],
    ])("of %j and %j have the rank correlation %d", (a, b, correlation) => {
        expect(experiment.getRankCorrelation(a, b)).toBeCloseTo(correlation);
    });
});

// A simulation takes half a second on an idle machine; the timeout allows for a busy one.
jest.setTimeout(60_000);

/** For each mechanism, the seed of a deployment on which it changes the results. The excluded ones have other tests. */
const SEED_BY_MECHANISM: Readonly<
    Record<
        Exclude<
            decisions.Mechanism,
            | "unansweredLooks"
            | "repeatedOrders"
            | "relay"
            | "firstLooks"
            | "isolation"
            | "learnedDurations"
        >,
        number
    >
> = {
    preemption: 30,
    sparing: 35,
    lateness: 21,
    repeatedStops: 21,
    rests: 30,
    rackPatience: 33,
    dataPatience: 7,
    gangData: 30,
    idlePatience: 19,
    inTimeOrder: 21,
    prediction: 7,
    hangingTasks: 19,
    failingWorkers: 33,
    earlyFailures: 33,
    slowWorkers: 36,
    slowMoves: 36,
    leavingWorkers: 36,
    departures: 36,
    gangExposure: 36,
    handover: 32,
    heartbeats: 21,
    prolonging: 27,
    admission: 11,
    gangReservations: 21,
    headroom: 21,
    fairShares: 4,
    workerSpeeds: 34,
};

describe("a batch", () => {
    const simulateOne = async (seed: number, leftOut: readonly decisions.Mechanism[] = []) => {
        const task: experiment.BatchTask = { seed, size: "small", variant: { policy: "worth", leftOut } };
        const [result] = await experiment.simulateBatch([task], 0);
        return result!;
    };

    test.each([1, 3, 4, 5, 6, 7, 8, 9])(
        "violates no guarantee with hazards on seed %i, and has different measures than without",
        async seed => {
            const variant = { policy: "worth", leftOut: [] } as const;
            const [result] = await experiment.simulateBatch([{ seed, size: "small", variant, hazards: true }], 0);
            expect(result!.violations).toEqual([]);
            expect(result!.measures).not.toEqual((await simulateOne(seed)).measures);
        },
    );

    test("returns the results in the order of its tasks", async () => {
        const tasks = [24, 34].map((seed): experiment.BatchTask => ({
            seed,
            size: "small",
            variant: { policy: "worth", leftOut: [] },
        }));
        expect(await experiment.simulateBatch(tasks, 0)).toEqual([await simulateOne(24), await simulateOne(34)]);
    });

    test.each(Object.entries(SEED_BY_MECHANISM))(
        "without %s violates no guarantee on seed %d, and has different measures than with it",
        async (name, seed) => {
            const without = await simulateOne(seed, [name].filter(decisions.isMechanism));
            expect(without.violations).toEqual([]);
            expect(without.measures).not.toEqual((await simulateOne(seed)).measures);
        },
    );
});

import * as planner from "../plan";
import * as types from "../types";
import * as fixtures from "./fixtures";

const NOW = 100_000;
const WHOLE = { cpuMillis: 8_000, memoryMb: 8_192, accelerators: 8 };
const ONE = { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 1 };

/** Full workers; `endsAfterMs` is when the eight tasks on each of them end. */
function createSite(endsAfterMs: readonly number[]) {
    const workers = endsAfterMs.map((_, number) => fixtures.createWorker(`w${number}`, { used: WHOLE }));
    const ends = new Map(endsAfterMs.map((after, number) => [`w${number}`, after]));
    const getExpectedEnds = (id: string): readonly types.ExpectedEnd[] =>
        Array.from({ length: 8 }, () => ({ needs: ONE, endsAt: NOW + ends.get(id)! }));
    return { workers, getExpectedEnds };
}

function createGang(key: string, fields: Partial<types.WaitingUnit> = {}): types.WaitingUnit {
    return fixtures.createUnit(key, { needs: WHOLE, count: 2, gang: true, objectiveMs: 20_000, ...fields });
}

function plan(
    workers: readonly types.PlaceableWorker[],
    units: readonly types.WaitingUnit[],
    getExpectedEnds: types.ReservationInput["getExpectedEnds"],
    { kept = [], now = NOW, groups = [] }: {
        readonly kept?: readonly types.Reservation[];
        readonly now?: number;
        readonly groups?: readonly types.RunningGroup[];
    } = {},
) {
    const result = planner.plan({
        now,
        workers,
        units,
        getRunningGroups: () => groups,
        reservations: { kept, getExpectedEnds },
    });
    return {
        reservations: result.reservations!,
        starts: result.starts.map(start => [start.unit.key, ...start.workerIds]),
        stops: result.stops.map(stop => stop.group.key),
    };
}

describe("a gang that does not fit", () => {
    test("gets the workers on which it can start earliest", () => {
        const { workers, getExpectedEnds } = createSite([5_000, 1_000, 3_000]);
        const { reservations } = plan(workers, [createGang("gang")], getExpectedEnds);
        expect(reservations).toMatchObject([{ unit: "gang", workerIds: ["w1", "w2"], startsAt: NOW + 3_000 }]);
    });

    test("on one rack gets the rack on which it can start earliest", () => {
        const { workers, getExpectedEnds } = createSite([1_000, 5_000, 3_000, 4_000]);
        const racked = workers.map((worker, number) => ({ ...worker, rack: number < 2 ? "r0" : "r1" }));
        const { reservations } = plan(racked, [createGang("gang", { sameRack: true })], getExpectedEnds);
        expect(reservations).toMatchObject([{ workerIds: ["w2", "w3"], startsAt: NOW + 4_000 }]);
    });

    test.each([
        ["keeps its workers if others are earlier by a second at most", 1_000, ["w0", "w1"], NOW - 10_000],
        ["gets other workers if they are earlier by more than a second", 1_001, ["w2", "w3"], NOW],
    ])("%s", (_name, gainMs, workerIds, madeAt) => {
        const { workers, getExpectedEnds } = createSite([4_000, 4_000, 4_000 - gainMs, 4_000 - gainMs]);
        const kept = [{
            unit: "gang",
            service: "booking",
            workerIds: ["w0", "w1"],
            startsAt: NOW + 4_000,
            madeAt: NOW - 10_000,
            searchedAt: NOW - 10_000,
        }];
        const { reservations } = plan(workers, [createGang("gang")], getExpectedEnds, { kept });
        expect(reservations).toMatchObject([{ workerIds, madeAt }]);
    });

    test("gets other workers in the next pass if one of its workers is lost", () => {
        const { workers, getExpectedEnds } = createSite([1_000, 1_000, 9_000]);
        const first = plan(workers, [createGang("gang")], getExpectedEnds);
        const next = plan(workers.slice(1), [createGang("gang")], getExpectedEnds, {
            kept: first.reservations,
            now: NOW + 4,
        });
        expect(next.reservations).toMatchObject([{ workerIds: ["w1", "w2"], madeAt: NOW + 4 }]);
    });

    test("gives its reservation back once it no longer waits", () => {
        const { workers, getExpectedEnds } = createSite([1_000, 1_000]);
        const { reservations } = plan(workers, [createGang("gang")], getExpectedEnds);
        expect(plan(workers, [], getExpectedEnds, { kept: reservations }).reservations).toEqual([]);
    });

    test("shares the reservations of its service with the gang that has waited longest, and no other", () => {
        const { workers, getExpectedEnds } = createSite([1_000, 1_000, 2_000, 2_000, 3_000, 3_000]);
        const units = [createGang("first"), createGang("other"), createGang("longest", { waitedMs: 9_000 })];
        const { reservations } = plan(workers, units, getExpectedEnds);
        expect(reservations.map(({ unit }) => unit)).toEqual(["first", "longest"]);
        expect(new Set(reservations.flatMap(({ workerIds }) => workerIds)).size).toBe(4);
    });
});

describe("other work on a reserved worker", () => {
    /** `w0` is idle and reserved for a gang that waits for `w1`, which is full for 3 s. */
    const createHalfFreeSite = () => {
        const { workers, getExpectedEnds } = createSite([0, 3_000]);
        const [idle, full] = workers;
        return {
            workers: [{ ...idle!, used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } }, full!],
            getExpectedEnds: (id: string) => id === "w0" ? [] : getExpectedEnds(id),
        };
    };
    const createTask = (fields: Partial<types.WaitingUnit> = {}) =>
        fixtures.createUnit("task", { needs: ONE, expectedDurationMs: 3_001, ...fields });

    const cases: ReadonlyArray<
        readonly [name: string, gang: Partial<types.WaitingUnit>, task: Partial<types.WaitingUnit>, starts: boolean]
    > = [
        ["does not start if it ends after the gang's start", {}, {}, false],
        ["starts if it ends before the gang's start", {}, { expectedDurationMs: 3_000 }, true],
        ["starts beside the gang", { needs: { ...WHOLE, accelerators: 7 } }, {}, true],
        ["starts if it is urgent", {}, { tier: types.PreemptionTier.Urgent }, true],
        ["starts if it is guaranteed", {}, { tier: types.PreemptionTier.Guaranteed }, true],
        ["does not start if its data is far and it would then end too late", {}, {
            expectedDurationMs: 2_000,
            dataRack: "r9",
        }, false],
    ];
    test.each(cases)("%s", (_name, gang, task, starts) => {
        const { workers, getExpectedEnds } = createHalfFreeSite();
        const result = plan(workers, [createGang("gang", gang), createTask(task)], getExpectedEnds);
        expect(result.starts).toEqual(starts ? [["task", "w0"]] : []);
    });

    test("earlier in the order starts, unless the gang has waited for longer than its objective", () => {
        const { workers, getExpectedEnds } = createHalfFreeSite();
        const { reservations: kept } = plan(workers, [createGang("gang")], getExpectedEnds);
        const decide = (waitedMs: number) =>
            plan(workers, [createTask(), createGang("gang", { waitedMs })], getExpectedEnds, { kept }).starts;
        expect(decide(19_999)).toEqual([["task", "w0"]]);
        expect(decide(20_000)).toEqual([]);
    });

    test("is stopped for a guarantee as if there were no reservation", () => {
        const { workers, getExpectedEnds } = createSite([3_000, 3_000]);
        const groups = workers.flatMap(({ id }) =>
            Array.from({ length: 8 }, (_, number) => fixtures.createGroup(`${id}-${number}`, id))
        );
        const guaranteed = createGang("guaranteed", { tier: types.PreemptionTier.Guaranteed });
        const { stops } = plan(workers, [createGang("gang", { waitedMs: 30_000 }), guaranteed], getExpectedEnds, {
            groups,
        });
        expect(stops).toHaveLength(16);
    });

    test("starts in the time before the gang only as far as there is room", () => {
        const { workers, getExpectedEnds } = createHalfFreeSite();
        const tasks = Array.from(
            { length: 10 },
            (_, number) => fixtures.createUnit(`task-${number}`, { needs: ONE, expectedDurationMs: 1_000 }),
        );
        const result = plan(workers, [createGang("gang"), ...tasks], getExpectedEnds);
        expect(result.starts).toHaveLength(8);
    });
});

describe("a pass with headroom", () => {
    const decide = (units: readonly types.WaitingUnit[], mayStart: types.PlanInput["mayStart"]) =>
        planner.plan({ now: NOW, workers: [fixtures.createWorker("w0")], units, getRunningGroups: () => [], mayStart })
            .starts.map(start => start.unit.key);

    test("starts work of the tier None only as long as it may, with what would remain free", () => {
        const units = ["a", "b", "c"].map(key => fixtures.createUnit(key, { needs: ONE }));
        expect(decide(units, (_unit, freeAfter) => freeAfter.accelerators >= 6)).toEqual(["a", "b"]);
    });

    test("starts work of higher tiers without asking", () => {
        const tiers = [types.PreemptionTier.Guaranteed, types.PreemptionTier.Urgent, types.PreemptionTier.Lasting];
        const units = tiers.map(tier => fixtures.createUnit(`tier-${tier}`, { tier }));
        expect(decide(units, () => false)).toHaveLength(3);
    });
});

import * as planner from "../plan";
import * as types from "../types";
import * as fixtures from "./fixtures";

const FULL = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 };
const WHOLE_WORKER = { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 8 };
const { None, Urgent, Guaranteed } = types.PreemptionTier;

const slow = (id: string, fields: Partial<types.PlaceableWorker> = {}) =>
    fixtures.createWorker(id, { speed: 0.46, ...fields });
const fast = (id: string, fields: Partial<types.PlaceableWorker> = {}) => fixtures.createWorker(id, fields);
/** In time on fast workers only: 4.3 s on slow ones, of 3.2 s that it may take. */
const tight = { expectedDurationMs: 2_000, inTimeDurationMs: 3_200, needs: WHOLE_WORKER };
const gangOfTwo = { ...tight, gang: true, count: 2, tier: Urgent };
/** In time on any worker, with reserve. */
const withSlack = { expectedDurationMs: 2_000, inTimeDurationMs: 9_000 };

interface Case {
    readonly name: string;
    readonly workers: readonly types.PlaceableWorker[];
    readonly unit: Partial<types.WaitingUnit>;
    readonly groups?: readonly types.RunningGroup[];
    /** Expected workers; `undefined` if the unit does not start. */
    readonly starts: readonly string[] | undefined;
    readonly stops?: readonly string[];
    readonly choice?: types.SpeedChoice["kind"];
}

const CASES: readonly Case[] = [
    {
        name: "an urgent gang starts on fast workers only, although slow ones come first",
        workers: [slow("s1"), slow("s2"), fast("f1"), fast("f2")],
        unit: gangOfTwo,
        starts: ["f1", "f2"],
        choice: "placed",
    },
    {
        name: "a gang that needs one rack starts on the fast workers of one",
        workers: [
            slow("s1"),
            fast("f1"),
            slow("s2", { rack: "r2" }),
            fast("f2", { rack: "r2" }),
            fast("f3", { rack: "r2" }),
        ],
        unit: { ...gangOfTwo, sameRack: true },
        starts: ["f2", "f3"],
        choice: "placed",
    },
    {
        name: "a gang with slack takes the fastest class that has room, and no mixture",
        workers: [slow("s1"), slow("s2"), fast("f1"), fast("f2", { used: FULL })],
        unit: { ...gangOfTwo, inTimeDurationMs: 9_000 },
        starts: ["s1", "s2"],
    },
    {
        name: "an urgent gang waits within its slack for fast workers that are busy with guaranteed work",
        workers: [slow("s1"), slow("s2"), fast("f1", { used: FULL }), fast("f2", { used: FULL })],
        unit: gangOfTwo,
        groups: [
            fixtures.createGroup("g1", "f1", { tier: Guaranteed }),
            fixtures.createGroup("g2", "f2", { tier: Guaranteed }),
        ],
        starts: undefined,
        choice: "waits",
    },
    {
        name: "an urgent gang preempts cheap work on fast workers rather than start on free slow ones",
        workers: [slow("s1"), slow("s2"), fast("f1"), fast("f2", { used: FULL })],
        unit: gangOfTwo,
        groups: [fixtures.createGroup("g", "f2", { members: [{ workerId: "f2", needs: FULL }] })],
        starts: undefined,
        stops: ["g"],
        choice: "preempts",
    },
    {
        name: "an urgent gang does not preempt work that costs more than its delay",
        workers: [slow("s1"), slow("s2"), fast("f1"), fast("f2", { used: FULL })],
        unit: gangOfTwo,
        groups: [
            fixtures.createGroup("g", "f2", { members: [{ workerId: "f2", needs: FULL }], lossCoreSeconds: 5_000 }),
        ],
        starts: undefined,
        stops: [],
        choice: "waits",
    },
    {
        name: "a gang that is late on every worker starts on those that are free",
        workers: [slow("s1"), slow("s2"), fast("f1", { used: FULL }), fast("f2", { used: FULL })],
        unit: { ...gangOfTwo, inTimeDurationMs: 1_500 },
        starts: ["s1", "s2"],
    },
    {
        name: "guaranteed work does not wait beyond its bound for fast workers",
        workers: [slow("s1"), slow("s2"), fast("f1", { used: FULL }), fast("f2", { used: FULL })],
        unit: { ...gangOfTwo, tier: Guaranteed, waitedMs: 1_600 },
        starts: ["s1", "s2"],
    },
    {
        name: "a gang for which there are too few fast workers does not wait for them",
        workers: [slow("s1"), fast("f1"), slow("s2")],
        unit: gangOfTwo,
        starts: ["s1", "s2"],
    },
    {
        name: "a task stays in the rack of its data, where it is three times as fast, on a slow worker",
        workers: [slow("s1"), fast("f1", { rack: "r2" })],
        unit: { ...tight, tier: None, dataRack: "r1" },
        starts: ["s1"],
    },
    {
        name: "a single task with slack starts on a slow worker and leaves the fast ones to others",
        workers: [fast("f1", { used: { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 1 } }), slow("s1")],
        unit: { ...withSlack, tier: None },
        starts: ["s1"],
    },
    {
        name: "a single task without reserve starts on a fast worker",
        workers: [slow("s1"), fast("f1")],
        unit: { ...withSlack, inTimeDurationMs: 5_000, tier: None },
        starts: ["f1"],
    },
    {
        name: "speeds that differ by less than 15% do not change the placement",
        workers: [fixtures.createWorker("w1", { speed: 0.93 }), fixtures.createWorker("w2", { speed: 1.05 })],
        unit: { ...tight, tier: Urgent },
        starts: ["w1"],
    },
];

// Guards against urgent gangs that are late because of one slow member, and against the opposite fault: work that waits
// for fast workers, or stops others, without being in time for it.
test.each(CASES)("$name", ({ workers, unit, groups = [], starts, stops = [], choice }) => {
    const plan = planner.plan({
        now: 0,
        workers,
        units: [fixtures.createUnit("u", unit)],
        getRunningGroups: () => groups,
    });
    expect(plan.starts.map(start => [...start.workerIds].sort())).toEqual(starts ? [starts] : []);
    expect(plan.stops.map(stop => stop.group.key)).toEqual(stops);
    expect(plan.speedChoices?.map(({ kind }) => kind) ?? []).toEqual(choice ? [choice] : []);
});

test("resources of an index by speed follow each start", () => {
    // Guards against a second index that misses a start: tasks would be placed on full workers.
    const workers = Array.from(
        { length: 12 },
        (_, number) => number % 3 === 0 ? slow(`w${number}`) : fast(`w${number}`, { rack: `r${number % 2}` }),
    );
    const units = Array.from({ length: 40 }, (_, number) =>
        fixtures.createUnit(`u${number}`, {
            ...(number % 2 === 0 ? withSlack : tight),
            needs: { cpuMillis: 7_000, memoryMb: 1_000, accelerators: 3 },
            gang: number % 4 === 0,
            count: number % 4 === 0 ? 3 : 1,
            tier: number % 4 === 0 ? Urgent : None,
        }));
    const plan = planner.plan({ now: 0, workers, units, getRunningGroups: () => [] });
    const counts = new Map<string, number>();
    plan.starts.flatMap(start => start.workerIds).forEach(id => counts.set(id, (counts.get(id) ?? 0) + 1));
    expect(Math.max(...counts.values())).toBe(2);
    expect([...counts.values()].reduce((sum, count) => sum + count, 0)).toBeGreaterThan(16);
});

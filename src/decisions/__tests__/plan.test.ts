import * as planner from "../plan";
import * as types from "../types";
import * as fixtures from "./fixtures";

const FULL = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 };
const HALF_WORKER = { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 4 };
const WHOLE_WORKER = { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 8 };

interface Case {
    readonly name: string;
    readonly workers: readonly types.PlaceableWorker[];
    readonly units: readonly types.WaitingUnit[];
    readonly groups?: readonly types.RunningGroup[];
    /** Expected workers by key of each unit that starts. */
    readonly starts: Readonly<Record<string, readonly string[]>>;
    /** Expected keys of the groups that are stopped. */
    readonly stops?: readonly string[];
}

/**
 * Guards against jobs that wait for seconds or hours although workers are idle: the rack of the data, or each rack that
 * could hold the gang, is full while the rest of the site is free. Happens if the wait for a better placement depends
 * only on the expected duration of the task.
 */
function createWaitCases(): Case[] {
    const patient = { expectedDurationMs: 20_000 };
    const near = { ...patient, dataRack: "r1" };
    const gang = { ...patient, gang: true, sameRack: true, count: 2, needs: WHOLE_WORKER };
    const idle = [
        fixtures.createWorker("r1w1", { used: FULL }),
        fixtures.createWorker("r1w2"),
        fixtures.createWorker("r2w1", { rack: "r2" }),
    ];
    const nearFull = [
        fixtures.createWorker("r1w1", { used: FULL }),
        fixtures.createWorker("r2w1", { rack: "r2" }),
        fixtures.createWorker("r2w2", { rack: "r2" }),
    ];
    const busy = [...nearFull.slice(0, 2), fixtures.createWorker("r2w2", { rack: "r2", used: FULL })];
    return [
        {
            name: "while workers are idle, a task waits briefly for the rack of its data",
            workers: nearFull,
            units: [fixtures.createUnit("t", { ...near, waitedMs: 1_900 })],
            starts: {},
        },
        {
            name: "while workers are idle, a task waits for the rack of its data for at most 2 s",
            workers: nearFull,
            units: [fixtures.createUnit("t", { ...near, waitedMs: 2_000 })],
            starts: { t: ["r2w1"] },
        },
        {
            name: "on a busy site, a task waits longer for the rack of its data",
            workers: busy,
            units: [fixtures.createUnit("t", { ...near, waitedMs: 2_000 })],
            starts: {},
        },
        {
            name: "while workers are idle, a same-rack gang waits for a single rack for at most 2 s",
            workers: idle,
            units: [fixtures.createUnit("g", { ...gang, waitedMs: 2_000 })],
            starts: { g: ["r1w2", "r2w1"] },
        },
        ...createDataCases(nearFull, busy),
        {
            name: "while workers are idle, a same-rack gang waits briefly for a single rack",
            workers: idle,
            units: [fixtures.createUnit("g", { ...gang, waitedMs: 1_900 })],
            starts: {},
        },
    ];
}

/**
 * Guards against gangs that take three times as long as needed, since they are placed in a rack with more free or
 * better-fitting resources than the rack of their data. Happens if the data is considered only for same-rack gangs, and
 * even these do not wait for its rack.
 */
function createDataCases(
    nearFull: readonly types.PlaceableWorker[],
    busy: readonly types.PlaceableWorker[],
): Case[] {
    const data = { expectedDurationMs: 20_000, gang: true, count: 2, dataRack: "r2" };
    const half = { ...FULL, accelerators: 4, cpuMillis: 16_000, memoryMb: 32_768 };
    const fuller = [
        fixtures.createWorker("r1w1", { used: half }),
        fixtures.createWorker("r2w1", { rack: "r2" }),
        fixtures.createWorker("r2w2", { rack: "r2" }),
    ];
    const wide = { ...data, dataRack: "r1", needs: HALF_WORKER };
    return [
        {
            name: "a gang goes to the rack of its data even if workers in another rack are fuller",
            workers: fuller,
            units: [fixtures.createUnit("g", data)],
            starts: { g: ["r2w1", "r2w1"] },
        },
        {
            name: "while workers are idle, a gang waits briefly for the rack of its data",
            workers: nearFull,
            units: [fixtures.createUnit("g", { ...wide, waitedMs: 1_900 })],
            starts: {},
        },
        {
            name: "while workers are idle, a gang waits for the rack of its data for at most 2 s",
            workers: nearFull,
            units: [fixtures.createUnit("g", { ...wide, waitedMs: 2_000 })],
            starts: { g: ["r2w1", "r2w1"] },
        },
        {
            name: "a same-rack gang waits for the rack of its data",
            workers: busy,
            units: [fixtures.createUnit("g", { ...wide, sameRack: true, waitedMs: 2_000 })],
            starts: {},
        },
        {
            name: "a gang that the rack of its data cannot hold is placed elsewhere at once",
            workers: nearFull,
            units: [fixtures.createUnit("g", { ...wide, count: 3 })],
            starts: { g: ["r2w1", "r2w1", "r2w2"] },
        },
        ...([[1_400, {}], [1_500, { g: ["r2w1", "r2w1"] }]] as const).map(([waitedMs, starts]) => ({
            // Guards against guaranteed work that starts seconds late although workers are free: it waits as long as any
            // other gang for the rack of its data, which is full of other guaranteed work.
            name: `a guaranteed gang waits for the rack of its data for at most 1.5 s: ${waitedMs} ms`,
            workers: busy,
            units: [fixtures.createUnit("g", { ...wide, waitedMs, tier: types.PreemptionTier.Guaranteed })],
            groups: [fixtures.createGroup("other", "r1w1", { tier: types.PreemptionTier.Guaranteed })],
            starts,
        })),
        {
            name: "an urgent gang preempts work in the rack of its data although victims elsewhere cost less",
            workers: [
                fixtures.createWorker("r1w1", { used: FULL }),
                fixtures.createWorker("r2w1", { rack: "r2", used: FULL }),
            ],
            units: [fixtures.createUnit("g", { ...wide, tier: types.PreemptionTier.Urgent })],
            groups: ([["near", "r1w1", 100], ["far", "r2w1", 1]] as const).map(([key, workerId, lossCoreSeconds]) =>
                fixtures.createGroup(key, workerId, { lossCoreSeconds, members: [{ workerId, needs: FULL }] })
            ),
            starts: {},
            stops: ["near"],
        },
    ];
}

const cases: readonly Case[] = [
    {
        name: "a single task goes to the fullest worker that fits",
        workers: [
            fixtures.createWorker("empty"),
            fixtures.createWorker("half", { used: { ...FULL, accelerators: 4, cpuMillis: 0, memoryMb: 0 } }),
        ],
        units: [fixtures.createUnit("t")],
        starts: { t: ["half"] },
    },
    {
        // Guards against exceeding `maxPerWorker` when several tasks of a step start in one pass, which happens if the
        // pass counts only the tasks that ran before it.
        name: "`maxPerWorker` includes tasks that the same pass places",
        workers: [fixtures.createWorker("w1"), fixtures.createWorker("w2")],
        units: ["a", "b", "c"].map(key =>
            fixtures.createUnit(key, { step: "s", equivalenceClass: "s", maxPerWorker: 1 })
        ),
        starts: { a: ["w1"], b: ["w2"] },
    },
    {
        name: "`maxPerWorker` includes tasks that already run",
        workers: [fixtures.createWorker("w1"), fixtures.createWorker("w2")],
        units: [fixtures.createUnit("a", { maxPerWorker: 1, stepTasksByWorker: new Map([["w1", 1]]) })],
        starts: { a: ["w2"] },
    },
    {
        // Guards against stopping work in vain: two tasks of a step preempt on one worker that may run one of them.
        name: "`maxPerWorker` includes tasks that preempt in the same pass",
        workers: [fixtures.createWorker("w1", { used: FULL }), fixtures.createWorker("w2", { used: FULL })],
        units: ["a", "b"].map(key =>
            fixtures.createUnit(key, {
                step: "s",
                equivalenceClass: "s",
                maxPerWorker: 1,
                tier: types.PreemptionTier.Urgent,
            })
        ),
        groups: [
            fixtures.createGroup("cheap1", "w1", { lossCoreSeconds: 1 }),
            fixtures.createGroup("cheap2", "w1", { lossCoreSeconds: 2 }),
            fixtures.createGroup("costly", "w2", { lossCoreSeconds: 90 }),
        ],
        starts: {},
        stops: ["cheap1", "costly"],
    },
    {
        name: "a gang starts only as a whole",
        workers: [fixtures.createWorker("w1"), fixtures.createWorker("w2")],
        units: [fixtures.createUnit("g", { gang: true, count: 3, needs: WHOLE_WORKER })],
        starts: {},
    },
    {
        name: "a same-rack gang is not spread while a rack could hold it later",
        workers: [
            fixtures.createWorker("r1w1"),
            fixtures.createWorker("r1w2", { used: FULL }),
            fixtures.createWorker("r2w1", { rack: "r2" }),
        ],
        units: [fixtures.createUnit("g", { gang: true, sameRack: true, count: 2, needs: WHOLE_WORKER })],
        starts: {},
    },
    {
        name: "a same-rack gang that no rack can ever hold is spread",
        workers: [fixtures.createWorker("r1w1"), fixtures.createWorker("r2w1", { rack: "r2" })],
        units: [fixtures.createUnit("g", { gang: true, sameRack: true, count: 2, needs: WHOLE_WORKER })],
        starts: { g: ["r1w1", "r2w1"] },
    },
    {
        name: "urgent work preempts the cheapest sufficient victim",
        workers: [fixtures.createWorker("w1", { used: FULL }), fixtures.createWorker("w2", { used: FULL })],
        units: [fixtures.createUnit("u", { tier: types.PreemptionTier.Urgent })],
        groups: [
            fixtures.createGroup("costly", "w1", { lossCoreSeconds: 90 }),
            fixtures.createGroup("cheap", "w2", { lossCoreSeconds: 3 }),
        ],
        starts: {},
        stops: ["cheap"],
    },
    {
        // Guards against stopping work on workers on which the urgent unit is never placed: the cheapest victim is chosen
        // first, then one whose worker holds the whole unit, and the first victim is not dropped.
        name: "victims that are not needed once all are chosen keep running",
        workers: [fixtures.createWorker("w1", { used: FULL }), fixtures.createWorker("w2", { used: FULL })],
        units: [fixtures.createUnit("u", { tier: types.PreemptionTier.Urgent, gang: true, count: 8 })],
        groups: [
            fixtures.createGroup("cheap", "w1", { lossCoreSeconds: 1 }),
            fixtures.createGroup("whole", "w2", {
                lossCoreSeconds: 16,
                members: [{ workerId: "w2", needs: { cpuMillis: 8_000, memoryMb: 8_192, accelerators: 8 } }],
            }),
        ],
        starts: {},
        stops: ["whole"],
    },
    {
        name: "an urgent unit waits for resources that are being released, without further stops",
        workers: [fixtures.createWorker("w1", {
            used: FULL,
            releasing: { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 1 },
        })],
        units: [fixtures.createUnit("u", { tier: types.PreemptionTier.Urgent }), fixtures.createUnit("later")],
        groups: [fixtures.createGroup("g", "w1")],
        starts: {},
    },
    ...createWaitCases(),
    {
        name: "guaranteed work is never preempted, and work without a tier preempts nothing",
        workers: [fixtures.createWorker("w1", { used: FULL })],
        units: [
            fixtures.createUnit("u", { tier: types.PreemptionTier.Guaranteed }),
            fixtures.createUnit("v"),
        ],
        groups: [fixtures.createGroup("g", "w1", { tier: types.PreemptionTier.Guaranteed })],
        starts: {},
    },
    {
        name: "a lasting task preempts urgent work and is preempted only by guaranteed work",
        workers: [fixtures.createWorker("w1", { used: FULL }), fixtures.createWorker("w2", { used: FULL })],
        units: [
            fixtures.createUnit("lasting", { tier: types.PreemptionTier.Lasting }),
            fixtures.createUnit("urgent", { tier: types.PreemptionTier.Urgent }),
        ],
        groups: [
            fixtures.createGroup("u", "w1", { tier: types.PreemptionTier.Urgent }),
            fixtures.createGroup("l", "w2", { tier: types.PreemptionTier.Lasting }),
        ],
        starts: {},
        stops: ["u"],
    },
    {
        // Guards against stopping all tasks of a lasting step: a guaranteed gang needs the resources of two of them, and
        // each is the cheapest victim.
        name: "no more tasks of a lasting step are stopped than its disruption budget allows, also for two units",
        workers: ["w1", "w2", "w3"].map(id => fixtures.createWorker(id, { used: FULL })),
        units: [
            fixtures.createUnit("gang", { tier: types.PreemptionTier.Guaranteed, gang: true, count: 2 }),
            fixtures.createUnit("single", { tier: types.PreemptionTier.Guaranteed }),
        ],
        groups: [
            ...["l1", "l2"].map((key, index) =>
                fixtures.createGroup(key, `w${index + 1}`, {
                    tier: types.PreemptionTier.Lasting,
                    lossCoreSeconds: 1,
                    disruptionBudget: { step: "serves", allowedDisruptions: 1 },
                })
            ),
            fixtures.createGroup("costly", "w3", { lossCoreSeconds: 90 }),
        ],
        starts: {},
        stops: ["costly", "l1"],
    },
    {
        name: "a latency-sensitive task avoids workers with best-effort tasks if another worker fits",
        workers: [
            fixtures.createWorker("filling", {
                bestEffortTasks: 1,
                used: { ...FULL, accelerators: 4, cpuMillis: 0, memoryMb: 0 },
            }),
            fixtures.createWorker("empty"),
        ],
        units: [fixtures.createUnit("s", { latencySensitive: true })],
        starts: { s: ["empty"] },
    },
    {
        name: "a task that may crash its worker goes to an idle worker, and no other task is started there",
        workers: [
            fixtures.createWorker("settled", {
                occupancy: types.Occupancy.Stable,
                used: { cpuMillis: 0, memoryMb: 0, accelerators: 6 },
            }),
            fixtures.createWorker("idle"),
        ],
        units: [
            fixtures.createUnit("s", { mayCrashWorker: true }),
            ...["a", "b", "c"].map(key => fixtures.createUnit(key)),
        ],
        starts: { s: ["idle"], a: ["settled"], b: ["settled"] },
    },
    {
        name: "a task that may crash its worker avoids workers with recent starts",
        workers: [
            fixtures.createWorker("unsettled", { occupancy: types.Occupancy.RecentStart }),
            fixtures.createWorker("settled", { occupancy: types.Occupancy.Stable }),
        ],
        units: [fixtures.createUnit("s", { mayCrashWorker: true }), fixtures.createUnit("t", { mayCrashWorker: true })],
        starts: { s: ["settled"] },
    },
    {
        // Guards against starting a task that needs no accelerator on a worker that has fewer accelerators than its tasks
        // use, since its capacity has shrunk.
        name: "no task starts on a worker that exceeds its capacity in any dimension",
        workers: [fixtures.createWorker("shrunk", {
            capacity: { ...FULL, accelerators: 4 },
            used: { cpuMillis: 0, memoryMb: 0, accelerators: 6 },
        })],
        units: [fixtures.createUnit("t", { needs: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 } })],
        starts: {},
    },
    {
        name: "a unit starts only on a worker that has its service and label, is allowed and is not excluded",
        workers: [
            fixtures.createWorker("otherService", { service: "other" }),
            fixtures.createWorker("noLabel", { labels: ["b", "r1"] }),
            fixtures.createWorker("failed"),
            fixtures.createWorker("noTicket"),
            fixtures.createWorker("good"),
        ],
        units: [fixtures.createUnit("t", {
            requiredLabel: "a",
            excludedWorkerIds: new Set(["failed"]),
            allowedWorkerIds: new Set(["good", "failed", "noLabel", "otherService"]),
        })],
        starts: { t: ["good"] },
    },
];

/**
 * Guards against a wide gang that is spread over as many workers as have free resources while workers are being taken
 * away: the loss of any of them ends it.
 */
function createExposureCases(): Case[] {
    const gang = { gang: true, count: 6, needs: HALF_WORKER };
    const used = (accelerators: number) => ({ cpuMillis: 0, memoryMb: 0, accelerators });
    const workers = [
        fixtures.createWorker("half1", { used: used(4) }),
        fixtures.createWorker("half2", { used: used(4) }),
        fixtures.createWorker("whole1", { rack: "r2" }),
        fixtures.createWorker("whole2", { rack: "r2" }),
        fixtures.createWorker("whole3", { rack: "r3" }),
    ];
    return [
        {
            name: "a gang takes the fullest workers",
            workers,
            units: [fixtures.createUnit("g", gang)],
            starts: { g: ["half1", "half2", "whole1", "whole1", "whole2", "whole2"] },
        },
        {
            name: "a gang that is to be on few workers takes those that hold most of its members",
            workers,
            units: [fixtures.createUnit("g", { ...gang, fewWorkers: true })],
            starts: { g: ["whole1", "whole1", "whole2", "whole2", "whole3", "whole3"] },
        },
        {
            name: "the rest of a gang on few workers goes to the fullest worker that holds it",
            workers,
            units: [fixtures.createUnit("g", { ...gang, count: 5, fewWorkers: true })],
            starts: { g: ["whole1", "whole1", "whole2", "whole2", "half1"] },
        },
        {
            name: "a same-rack gang on few workers goes to the rack where it takes the fewest",
            workers,
            units: [fixtures.createUnit("g", { ...gang, count: 2, sameRack: true, fewWorkers: true })],
            starts: { g: ["whole3", "whole3"] },
        },
        {
            name: "a gang on few workers keeps to its limit of tasks per worker",
            workers,
            units: [fixtures.createUnit("g", { ...gang, count: 3, maxPerWorker: 1, fewWorkers: true })],
            starts: { g: ["half1", "half2", "whole1"] },
        },
        {
            name: "a gang that does not fit waits although it is to be on few workers",
            workers,
            units: [fixtures.createUnit("g", { ...gang, count: 9, fewWorkers: true })],
            starts: {},
        },
    ];
}

describe("plan", () => {
    test.each([...cases, ...createExposureCases()])("$name", ({ workers, units, groups = [], starts, stops = [] }) => {
        const plan = planner.plan({ now: 0, workers, units, getRunningGroups: () => groups });
        expect(Object.fromEntries(plan.starts.map(start => [start.unit.key, start.workerIds]))).toEqual(starts);
        expect(plan.stops.map(stop => stop.group.key)).toEqual(stops);
    });
});

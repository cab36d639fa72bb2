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
    /** Workers by unit that starts. */
    readonly starts: Readonly<Record<string, readonly string[]>>;
    readonly stops?: readonly string[];
}

/**
 * Symptom: a job waits for seconds beside idle workers, at worst to the end of the day. Sequence: the rack with its
 * data, or each rack that could hold its gang, is full, and the rest of the site is free. Cause: the wait for a better
 * place knew only how long the task takes.
 */
function createPatienceCases(): Case[] {
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
            name: "beside idle workers a task waits a while for the rack of its data",
            workers: nearFull,
            units: [fixtures.createUnit("t", { ...near, waitedMs: 1_900 })],
            starts: {},
        },
        {
            name: "beside idle workers a task does not wait for that rack any longer",
            workers: nearFull,
            units: [fixtures.createUnit("t", { ...near, waitedMs: 2_000 })],
            starts: { t: ["r2w1"] },
        },
        {
            name: "on a busy site it waits longer, since far from its data it takes three times as long",
            workers: busy,
            units: [fixtures.createUnit("t", { ...near, waitedMs: 2_000 })],
            starts: {},
        },
        {
            name: "beside idle workers a gang does not wait any longer for a rack",
            workers: idle,
            units: [fixtures.createUnit("g", { ...gang, waitedMs: 2_000 })],
            starts: { g: ["r1w2", "r2w1"] },
        },
        ...createDataCases(nearFull, busy),
        {
            name: "a gang waits for a rack a while",
            workers: idle,
            units: [fixtures.createUnit("g", { ...gang, waitedMs: 1_900 })],
            starts: {},
        },
    ];
}

/**
 * Symptom: a gang takes three times as long as it could. Sequence: its data lies in one rack, and there is more room, or
 * room that fits better, in another. Cause: of a gang's members none was placed by its data but those of same-rack gangs,
 * and these did not wait for its rack.
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
            name: "a gang goes to the rack of its data, also where another rack's workers are fuller",
            workers: fuller,
            units: [fixtures.createUnit("g", data)],
            starts: { g: ["r2w1", "r2w1"] },
        },
        {
            name: "a gang waits a while for the rack of its data",
            workers: nearFull,
            units: [fixtures.createUnit("g", { ...wide, waitedMs: 1_900 })],
            starts: {},
        },
        {
            name: "beside idle workers a gang does not wait any longer for that rack",
            workers: nearFull,
            units: [fixtures.createUnit("g", { ...wide, waitedMs: 2_000 })],
            starts: { g: ["r2w1", "r2w1"] },
        },
        {
            name: "a same-rack gang waits for the rack of its data as well",
            workers: busy,
            units: [fixtures.createUnit("g", { ...wide, sameRack: true, waitedMs: 2_000 })],
            starts: {},
        },
        {
            name: "a gang that the rack of its data cannot hold goes elsewhere at once",
            workers: nearFull,
            units: [fixtures.createUnit("g", { ...wide, count: 3 })],
            starts: { g: ["r2w1", "r2w1", "r2w2"] },
        },
        ...([[1_400, {}], [1_500, { g: ["r2w1", "r2w1"] }]] as const).map(([waitedMs, starts]) => ({
            // Symptom: work within a guarantee begins seconds too late, beside free workers. Sequence: the rack of its
            // data is full of other guaranteed work. Cause: it waited for that rack as long as any other gang.
            name: `a gang within a guarantee waits 1.5 s for the rack of its data, not longer: ${waitedMs} ms`,
            workers: busy,
            units: [fixtures.createUnit("g", { ...wide, waitedMs, tier: types.Claim.Guaranteed })],
            groups: [fixtures.createGroup("other", "r1w1", { tier: types.Claim.Guaranteed })],
            starts,
        })),
        {
            name: "an urgent gang stops work in the rack of its data, though stops elsewhere cost less",
            workers: [
                fixtures.createWorker("r1w1", { used: FULL }),
                fixtures.createWorker("r2w1", { rack: "r2", used: FULL }),
            ],
            units: [fixtures.createUnit("g", { ...wide, tier: types.Claim.Urgent })],
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
        // Symptom: more tasks of a step run on one worker than it allows. Sequence: several of them start in one
        // pass. Cause: the pass counted only the tasks that were there before it.
        name: "the bound of a step's tasks on a worker counts what the same pass places",
        workers: [fixtures.createWorker("w1"), fixtures.createWorker("w2")],
        units: ["a", "b", "c"].map(key =>
            fixtures.createUnit(key, { step: "s", equivalenceClass: "s", maxPerWorker: 1 })
        ),
        starts: { a: ["w1"], b: ["w2"] },
    },
    {
        name: "the bound counts tasks that run already",
        workers: [fixtures.createWorker("w1"), fixtures.createWorker("w2")],
        units: [fixtures.createUnit("a", { maxPerWorker: 1, stepTasksByWorker: new Map([["w1", 1]]) })],
        starts: { a: ["w2"] },
    },
    {
        name: "a gang starts whole or not at all",
        workers: [fixtures.createWorker("w1"), fixtures.createWorker("w2")],
        units: [fixtures.createUnit("g", { gang: true, count: 3, needs: WHOLE_WORKER })],
        starts: {},
    },
    {
        name: "a same-rack gang does not spread while its rack could take it later",
        workers: [
            fixtures.createWorker("r1w1"),
            fixtures.createWorker("r1w2", { used: FULL }),
            fixtures.createWorker("r2w1", { rack: "r2" }),
        ],
        units: [fixtures.createUnit("g", { gang: true, sameRack: true, count: 2, needs: WHOLE_WORKER })],
        starts: {},
    },
    {
        name: "a same-rack gang that no rack can ever hold spreads",
        workers: [fixtures.createWorker("r1w1"), fixtures.createWorker("r2w1", { rack: "r2" })],
        units: [fixtures.createUnit("g", { gang: true, sameRack: true, count: 2, needs: WHOLE_WORKER })],
        starts: { g: ["r1w1", "r2w1"] },
    },
    {
        name: "urgent work stops the least work that makes room",
        workers: [fixtures.createWorker("w1", { used: FULL }), fixtures.createWorker("w2", { used: FULL })],
        units: [fixtures.createUnit("u", { tier: types.Claim.Urgent })],
        groups: [
            fixtures.createGroup("costly", "w1", { lossCoreSeconds: 90 }),
            fixtures.createGroup("cheap", "w2", { lossCoreSeconds: 3 }),
        ],
        starts: {},
        stops: ["cheap"],
    },
    {
        // Symptom: work is stopped on workers on which the urgent unit is never placed. Sequence: the cheapest room is
        // chosen first, then a worker that holds the whole unit. Cause: what was chosen before stayed chosen.
        name: "what is not needed once all victims are chosen goes on",
        workers: [fixtures.createWorker("w1", { used: FULL }), fixtures.createWorker("w2", { used: FULL })],
        units: [fixtures.createUnit("u", { tier: types.Claim.Urgent, gang: true, count: 8 })],
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
        name: "room that is being freed is waited for, and nothing more is stopped",
        workers: [fixtures.createWorker("w1", {
            used: FULL,
            releasing: { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 1 },
        })],
        units: [fixtures.createUnit("u", { tier: types.Claim.Urgent }), fixtures.createUnit("later")],
        groups: [fixtures.createGroup("g", "w1")],
        starts: {},
    },
    ...createPatienceCases(),
    {
        name: "work within a guarantee is stopped for nobody, work of lower priority stops nothing",
        workers: [fixtures.createWorker("w1", { used: FULL })],
        units: [
            fixtures.createUnit("u", { tier: types.Claim.Guaranteed }),
            fixtures.createUnit("v"),
        ],
        groups: [fixtures.createGroup("g", "w1", { tier: types.Claim.Guaranteed })],
        starts: {},
    },
    {
        name: "a lasting task stops urgent work beyond a guarantee, and nothing stops a lasting one but a guarantee",
        workers: [fixtures.createWorker("w1", { used: FULL }), fixtures.createWorker("w2", { used: FULL })],
        units: [
            fixtures.createUnit("lasting", { tier: types.Claim.Lasting }),
            fixtures.createUnit("urgent", { tier: types.Claim.Urgent }),
        ],
        groups: [
            fixtures.createGroup("u", "w1", { tier: types.Claim.Urgent }),
            fixtures.createGroup("l", "w2", { tier: types.Claim.Lasting }),
        ],
        starts: {},
        stops: ["u"],
    },
    {
        // Symptom: no task of a lasting step is at work. Sequence: a guaranteed gang needs the room of two of them.
        // Cause: each was the cheapest victim.
        name: "of a lasting step no more tasks are stopped than it may miss, also for two units",
        workers: ["w1", "w2", "w3"].map(id => fixtures.createWorker(id, { used: FULL })),
        units: [
            fixtures.createUnit("gang", { tier: types.Claim.Guaranteed, gang: true, count: 2 }),
            fixtures.createUnit("single", { tier: types.Claim.Guaranteed }),
        ],
        groups: [
            ...["l1", "l2"].map((key, index) =>
                fixtures.createGroup(key, `w${index + 1}`, {
                    tier: types.Claim.Lasting,
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
        name: "what serves and what fills are kept apart while there is a choice",
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
        name: "a task that may take its worker down goes to a worker without tasks, and nothing joins it",
        workers: [
            fixtures.createWorker("settled", {
                occupancy: types.Company.Stable,
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
        name: "a task that may take its worker down joins only tasks that have settled in",
        workers: [
            fixtures.createWorker("unsettled", { occupancy: types.Company.RecentStart }),
            fixtures.createWorker("settled", { occupancy: types.Company.Stable }),
        ],
        units: [fixtures.createUnit("s", { mayCrashWorker: true }), fixtures.createUnit("t", { mayCrashWorker: true })],
        starts: { s: ["settled"] },
    },
    {
        // A task that needs no accelerator was started on a worker whose accelerators had become fewer than were taken.
        name: "nothing starts on a worker that is over its capacity, whatever it needs",
        workers: [fixtures.createWorker("shrunk", {
            capacity: { ...FULL, accelerators: 4 },
            used: { cpuMillis: 0, memoryMb: 0, accelerators: 6 },
        })],
        units: [fixtures.createUnit("t", { needs: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 } })],
        starts: {},
    },
    {
        name: "only workers with the label, the service and a ticket, and without an earlier failure",
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

describe("plan", () => {
    test.each(cases)("$name", ({ workers, units, groups = [], starts, stops = [] }) => {
        const plan = planner.plan({ now: 0, workers, units, getRunningGroups: () => groups });
        expect(Object.fromEntries(plan.starts.map(start => [start.unit.key, start.workerIds]))).toEqual(starts);
        expect(plan.stops.map(stop => stop.group.key)).toEqual(stops);
    });
});

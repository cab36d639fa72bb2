// Compares the plan with a reference implementation without an index. Each start, reservation and stop of a pass changes
// the free resources and the index separately; if the index misses a change, tasks are placed on full workers or free
// resources stay unused.
import * as random from "../../random/index";
import * as planner from "../plan";
import * as types from "../types";
import * as fixtures from "./fixtures";
import * as referencePlan from "./referencePlan";

const SEEDS = 400;
const SERVICES = ["booking", "other"];
const LABELS = ["a", "b"];
const NEEDS = [
    { cpuMillis: 13_000, memoryMb: 9_000, accelerators: 1 },
    { cpuMillis: 3_700, memoryMb: 22_000, accelerators: 2 },
    { cpuMillis: 2_800, memoryMb: 0, accelerators: 4 },
    { cpuMillis: 0, memoryMb: 1_000, accelerators: 0 },
    { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 8 },
];

interface Task {
    readonly workerId: string;
    readonly needs: typeof NEEDS[number];
}

function createWorkers(source: random.Random) {
    const tasks: Task[] = [];
    const workers = Array.from({ length: 1 + source.nextInt(24) }, (_, number) => {
        const used = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
        const id = `w${number}`;
        while (source.nextInt(4) > 0) {
            const needs = source.pick(NEEDS);
            if (used.accelerators + needs.accelerators > 8 || used.cpuMillis + needs.cpuMillis > 32_000) {
                break;
            }
            used.accelerators += needs.accelerators;
            used.cpuMillis += needs.cpuMillis;
            used.memoryMb += needs.memoryMb;
            tasks.push({ workerId: id, needs });
        }
        const worker = fixtures.createWorker(id, {
            service: source.nextInt(6) === 0 ? SERVICES[1]! : SERVICES[0]!,
            rack: `r${source.nextInt(5)}`,
            labels: [source.pick(LABELS)],
            used,
            releasing: source.nextInt(4) === 0 ? used : { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
            latencySensitiveTasks: source.nextInt(3),
            bestEffortTasks: source.nextInt(3),
            occupancy: source.pick(Object.values(types.Occupancy)),
        });
        return worker;
    });
    return { workers, tasks };
}

function createGroups(tasks: readonly Task[], source: random.Random): types.RunningGroup[] {
    const groups: types.RunningGroup[] = [];
    for (let index = 0; index < tasks.length;) {
        const size = source.nextInt(5) === 0 ? 1 + source.nextInt(4) : 1;
        groups.push({
            key: `group-${index}`,
            tier: source.pick([
                types.PreemptionTier.None,
                types.PreemptionTier.None,
                types.PreemptionTier.Urgent,
                types.PreemptionTier.Lasting,
            ]),
            members: tasks.slice(index, index + size),
            lossCoreSeconds: 0,
            costCoreSeconds: source.nextInt(4) === 0 ? 0 : 1_000 * source.nextFloat(),
            disruptionBudget: source.nextInt(5) === 0
                ? { step: `s${source.nextInt(2)}`, allowedDisruptions: source.nextInt(3) }
                : undefined,
        });
        index += size;
    }
    return groups;
}

function createUnits(workers: readonly types.PlaceableWorker[], source: random.Random): types.WaitingUnit[] {
    const pickWorkers = () => new Set(workers.filter(() => source.nextInt(3) === 0).map(worker => worker.id));
    return Array.from({ length: 1 + source.nextInt(30) }, (_, number) => {
        const gang = source.nextInt(3) === 0;
        return fixtures.createUnit(`u${number}`, {
            service: source.nextInt(6) === 0 ? SERVICES[1]! : SERVICES[0]!,
            equivalenceClass: `f${source.nextInt(20)}`,
            step: `step-${source.nextInt(8)}`,
            needs: source.pick(NEEDS),
            gang,
            count: gang ? 1 + source.nextInt(12) : 1,
            sameRack: gang && source.nextInt(2) === 0,
            requiredLabel: source.nextInt(5) === 0 ? source.pick(LABELS) : undefined,
            dataRack: source.nextInt(4) === 0 ? `r${source.nextInt(6)}` : undefined,
            maxPerWorker: source.nextInt(4) === 0 ? 1 + source.nextInt(2) : 0,
            tier: source.pick([
                types.PreemptionTier.None,
                types.PreemptionTier.Urgent,
                types.PreemptionTier.Lasting,
                types.PreemptionTier.Guaranteed,
            ]),
            latencySensitive: source.nextInt(6) === 0,
            bestEffort: source.nextInt(6) === 0,
            mayCrashWorker: source.nextInt(8) === 0,
            excludedWorkerIds: source.nextInt(5) === 0 ? pickWorkers() : new Set(),
            allowedWorkerIds: source.nextInt(6) === 0 ? pickWorkers() : undefined,
            waitedMs: source.nextInt(8_000),
        });
    });
}

function describePlan(plan: types.Plan) {
    return {
        starts: plan.starts.map(start => [start.unit.key, start.workerIds]),
        stops: plan.stops.map(stop => [stop.group.key, stop.forUnit]),
    };
}

test("the index of workers does not change the plan", () => {
    let starts = 0;
    let stops = 0;
    for (let seed = 0; seed < SEEDS; seed++) {
        const source = random.createRandom(seed);
        const { workers, tasks } = createWorkers(source);
        const groups = createGroups(tasks, source);
        const input = { now: 0, workers, units: createUnits(workers, source), getRunningGroups: () => groups };
        const plan = describePlan(planner.plan(input));
        expect({ seed, ...plan }).toEqual({ seed, ...describePlan(referencePlan.planByReference(input)) });
        starts += plan.starts.length;
        stops += plan.stops.length;
    }
    // Ensures that the random sites are full enough for both to happen often.
    expect(starts).toBeGreaterThan(SEEDS);
    expect(stops).toBeGreaterThan(SEEDS);
});

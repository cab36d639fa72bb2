/**
 * Measures the time of one scheduling pass by numbers of workers and waiting units, with 75% of the accelerators in
 * use. The last two columns are the time with a quarter of slow workers, and its ratio to the time without speeds.
 */
import * as perfHooks from "node:perf_hooks";
import * as decisions from "../src/decisions/index";
import * as random from "../src/random/index";

const WORKER_COUNTS = [33, 350, 4_800];
const WAITING_UNIT_COUNTS = [100, 1_000, 10_000];
const ROUNDS = 5;
const WARM_UP_ROUNDS = 20;
const WORKERS_PER_RACK = 20;
const CAPACITY = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 };
const NEEDS = { cpuMillis: 2_000, memoryMb: 4_096, accelerators: 1 };
/** Tasks that run on each worker; they use 75% of its accelerators. */
const RUNNING_TASKS_PER_WORKER = 6;
/** One in this many waiting units is urgent. */
const URGENT_ONE_IN = 20;
/** One in this many waiting units is a gang. */
const GANG_ONE_IN = 10;
const GANG_MEMBERS = 8;
/** One in this many workers is slow if the speeds are known. */
const SLOW_ONE_IN = 4;
/** What the model makes of one speed with its errors of measurement. */
const SLOW_SPEEDS = [0.43, 0.497, 0.497, 0.57];
/** Longest durations with which urgent and other units are in time: the first are so on fast workers only. */
const URGENT_IN_TIME_MS = 7_500;
const OTHER_IN_TIME_MS = 18_000;

function createInput(workerCount: number, unitCount: number, source: random.Random): decisions.PlanInput {
    const workers = Array.from({ length: workerCount }, (_, number): decisions.PlaceableWorker => ({
        id: `worker-${number}`,
        service: "service",
        rack: `rack-${Math.floor(number / WORKERS_PER_RACK)}`,
        labels: [],
        capacity: CAPACITY,
        used: {
            cpuMillis: RUNNING_TASKS_PER_WORKER * 2_000,
            memoryMb: RUNNING_TASKS_PER_WORKER * 4_096,
            accelerators: RUNNING_TASKS_PER_WORKER,
        },
        releasing: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        latencySensitiveTasks: 0,
        bestEffortTasks: 0,
        occupancy: decisions.Occupancy.Idle,
        // As the leader has it; objects of another shape would take longer.
        speed: undefined,
    }));
    const groups = workers.flatMap(worker =>
        Array.from({ length: RUNNING_TASKS_PER_WORKER }, (_, number): decisions.RunningGroup => ({
            key: `${worker.id}-${number}`,
            tier: decisions.PreemptionTier.None,
            members: [{ workerId: worker.id, needs: NEEDS }],
            lossCoreSeconds: 10 * source.nextFloat(),
            costCoreSeconds: 10 * source.nextFloat(),
        }))
    );
    const units = Array.from({ length: unitCount }, (_, number): decisions.WaitingUnit => {
        const gang = number % GANG_ONE_IN === 0;
        return {
            key: `unit-${number}`,
            equivalenceClass: `unit-${number}`,
            step: `unit-${number}`,
            service: "service",
            needs: NEEDS,
            count: gang ? GANG_MEMBERS : 1,
            gang,
            sameRack: gang,
            maxPerWorker: 0,
            tier: number % URGENT_ONE_IN === 0 ? decisions.PreemptionTier.Urgent : decisions.PreemptionTier.None,
            latencySensitive: false,
            bestEffort: false,
            mayCrashWorker: false,
            excludedWorkerIds: new Set(),
            waitedMs: 0,
            expectedDurationMs: 5_000,
            inTimeDurationMs: undefined,
        };
    });
    return { now: 0, workers, units, getRunningGroups: () => groups };
}

/** The same input with the speeds of the workers, of which a few percent of measurement errors remain. */
function addSpeeds(input: decisions.PlanInput, source: random.Random): decisions.PlanInput {
    return {
        ...input,
        workers: input.workers.map((worker, number) => ({
            ...worker,
            speed: number % SLOW_ONE_IN === 0 ? source.pick(SLOW_SPEEDS) : undefined,
        })),
        units: input.units.map(unit => ({
            ...unit,
            inTimeDurationMs: unit.tier === decisions.PreemptionTier.Urgent ? URGENT_IN_TIME_MS : OTHER_IN_TIME_MS,
        })),
    };
}

function measurePass(input: decisions.PlanInput): { readonly passMs: number; readonly plan: decisions.Plan; } {
    const times: number[] = [];
    let plan: decisions.Plan | undefined;
    for (let round = 0; round < ROUNDS; round++) {
        const startedAt = perfHooks.performance.now();
        plan = decisions.plan(input);
        times.push(perfHooks.performance.now() - startedAt);
    }
    return { passMs: getMedian(times), plan: plan! };
}

/** Adds what reservations and headroom need; the tasks on a worker end within the next 10 s. */
function withCapacityAhead(input: decisions.PlanInput): decisions.PlanInput {
    const getExpectedEnds = (workerId: string) =>
        Array.from({ length: RUNNING_TASKS_PER_WORKER }, (_, number) => ({
            needs: NEEDS,
            endsAt: (1_700 * number + 37 * workerId.length) % 10_000,
        }));
    return { ...input, reservations: { kept: [], getExpectedEnds }, mayStart: () => true };
}

function getMedian(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

/** Runs passes that are not measured; otherwise the first row would include the time of the JIT compiler. */
function warmUp(): void {
    const input = createInput(WORKER_COUNTS[0]!, WAITING_UNIT_COUNTS[1]!, random.createRandom(0));
    for (let round = 0; round < WARM_UP_ROUNDS; round++) {
        decisions.plan(input);
        decisions.plan(addSpeeds(input, random.createRandom(0)));
    }
}

warmUp();
process.stdout.write(
    "workers  waiting  pass ms  us a unit  starts  stops  us a start or stop  ratio with speeds, capacity ahead, both\n",
);
for (const workerCount of WORKER_COUNTS) {
    for (const unitCount of WAITING_UNIT_COUNTS) {
        const input = createInput(workerCount, unitCount, random.createRandom(unitCount + workerCount));
        const { passMs, plan } = measurePass(input);
        const uneven = addSpeeds(input, random.createRandom(unitCount));
        const ratios = [uneven, withCapacityAhead(input), withCapacityAhead(uneven)].map(variant =>
            (measurePass(variant).passMs / passMs).toFixed(2)
        );
        process.stdout.write(
            `${String(workerCount).padStart(7)}${String(unitCount).padStart(9)}${passMs.toFixed(1).padStart(9)}`
                + `${(1_000 * passMs / unitCount).toFixed(0).padStart(11)}${String(plan.starts.length).padStart(8)}`
                + `${String(plan.stops.length).padStart(7)}`
                + `${(1_000 * passMs / (plan.starts.length + plan.stops.length)).toFixed(0).padStart(20)}`
                + `  ${ratios.join("  ")}\n`,
        );
    }
}

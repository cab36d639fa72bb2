/**
 * Tests of the guarantee plan and of the check that keeps every guarantee reclaimable. Without the check, a
 * non-evictable task on another account's home would block that account's guaranteed jobs for as long as it runs.
 */
import * as fc from "fast-check";
import * as configuration from "../../configuration/index";
import * as placement from "../index";

const CAPACITY = { accelerators: 8, slots: 8, cpus: 32, memoryMb: 8192 };
const NEEDS = (accelerators: number) => ({ accelerators, slots: 1, cpus: accelerators, memoryMb: 64 * accelerators });

function createWorker(
    homes: Record<string, number>,
    tasks: ReadonlyArray<[account: string, accelerators: number, evictable: boolean]>,
): placement.WorkerAllocation {
    return {
        capacity: CAPACITY,
        homes: new Map(Object.entries(homes)),
        homeTotal: Object.values(homes).reduce((sum, value) => sum + value, 0),
        tasks: new Map(
            tasks.map((
                [account, accelerators, evictable],
                index,
            ) => [`t${index}`, { account, needs: NEEDS(accelerators), evictable }]),
        ),
    };
}

test.each(
    [
        {
            name: "evictable task may use another account's home",
            homes: { beta: 8 },
            tasks: [],
            task: ["alpha", 8, true],
            allowed: true,
        },
        {
            name: "non-evictable task may not use another account's home",
            homes: { beta: 8 },
            tasks: [],
            task: ["alpha", 1, false],
            allowed: false,
        },
        {
            name: "non-evictable task may use its own account's home",
            homes: { beta: 8 },
            tasks: [],
            task: ["beta", 8, false],
            allowed: true,
        },
        {
            name: "non-evictable task may use accelerators outside all homes",
            homes: { beta: 4 },
            tasks: [],
            task: ["alpha", 4, false],
            allowed: true,
        },
        {
            name: "non-evictable tasks together may not exceed the accelerators outside all homes",
            homes: { beta: 4 },
            tasks: [["alpha", 3, false]],
            task: ["alpha", 2, false],
            allowed: false,
        },
        {
            name: "evictable tasks do not count towards the accelerators outside all homes",
            homes: { beta: 4 },
            tasks: [["alpha", 4, true]],
            task: ["alpha", 4, false],
            allowed: true,
        },
        {
            name: "non-evictable tasks of an account may not exceed its home into another account's home",
            homes: { beta: 4, alpha: 4 },
            tasks: [["beta", 4, false]],
            task: ["beta", 1, false],
            allowed: false,
        },
    ] as const,
)("$name", ({ homes, tasks, task: [account, accelerators, evictable], allowed }) => {
    const worker = createWorker(
        homes as Record<string, number>,
        tasks as unknown as Parameters<typeof createWorker>[1],
    );
    expect(placement.staysReclaimable(worker, { account, needs: NEEDS(accelerators), evictable })).toBe(allowed);
});

function createTopology(racks: number, workersPerRack: number): configuration.Topology {
    return {
        zones: ["z"],
        capacity: CAPACITY,
        racks: Array.from({ length: racks }, (_, rack) => ({
            id: `r${rack}`,
            zone: "z",
            workers: Array.from({ length: workersPerRack }).map((_unused, index) => ({
                id: `r${rack}w${index}`,
                address: "x:1",
            })),
        })),
    };
}

const guaranteeArbitrary = fc.record({
    account: fc.constantFrom("alpha", "beta", "gamma"),
    blocks: fc.integer({ min: 1, max: 3 }),
    acceleratorsPerBlock: fc.constantFrom(1, 2, 4, 8, 16, 24),
    adjacency: fc.constantFrom("any" as const, "worker" as const, "rack" as const, "adjacentRacks" as const),
    zones: fc.constant<string[]>([]),
});

// Guards against overlapping homes, and against the loss of one worker reassigning homes on other workers.
test("a plan is deterministic, assigns no accelerator twice, and without a lost worker moves at most one further block", () => {
    fc.assert(
        fc.property(
            fc.array(guaranteeArbitrary, { maxLength: 6 }),
            fc.integer({ min: 0, max: 7 }),
            (guarantees, lostIndex) => {
                const topology = createTopology(2, 4);
                const preset: configuration.Preset = {
                    name: "p",
                    kind: "ordinary",
                    guarantees,
                    spareWorkersPerZone: 0,
                    drainedWorkers: [],
                };
                const plan = placement.createPlan(preset, topology, new Set());
                expect(placement.createPlan(preset, topology, new Set())).toEqual(plan);
                const byWorker = new Map<string, number>();
                for (const part of plan.parts) {
                    byWorker.set(part.workerId, (byWorker.get(part.workerId) ?? 0) + part.accelerators);
                }
                expect(Math.max(0, ...byWorker.values())).toBeLessThanOrEqual(8);
                const lost = configuration.getWorkers(topology)[lostIndex]!.id;
                const after = placement.createPlan(preset, topology, new Set([lost]));
                expect(after.parts.some(part => part.workerId === lost)).toBe(false);
                const workerBlocks = guarantees.every(item =>
                    item.adjacency === "worker" && item.acceleratorsPerBlock === 8
                );
                if (workerBlocks && after.unplaced.length === 0) {
                    const kept = plan.parts.filter(part => part.workerId !== lost);
                    const moved = kept.filter(part =>
                        !after.parts.some(other => other.blockId === part.blockId && other.workerId === part.workerId)
                    );
                    expect(moved.length).toBeLessThanOrEqual(1);
                }
            },
        ),
        { seed: 1 },
    );
});

import * as emulator from "../../emulator/index";
import type * as leader from "../../leader/index";
import * as fixtures from "./fixtures";

const HALF_WORKER = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 4 };
const ONE_AT_A_TIME: leader.Wave = { number: 1, machines: ["m0", "m1", "m2"], withinMs: 40_000, maxCount: 1 };
const TWO_WAVES: readonly leader.Wave[] = [
    { number: 1, machines: ["m0", "m1"], withinMs: 20_000, maxCount: 1 },
    { number: 2, machines: ["m2", "m3"], withinMs: 20_000, maxCount: 2 },
];

interface Case {
    readonly name: string;
    /** Symptom, sequence, cause. */
    readonly story: string;
    readonly waves?: readonly leader.Wave[];
    /** What becomes of the number-th order. */
    readonly fault?: (number: number, order: leader.UpkeepOrder) => emulator.MachineFault;
    readonly lateMs?: number;
    /** The leader is killed as the number-th upkeep begins, or as the number-th order is sent. */
    readonly killAtUpkeep?: number;
    readonly killAtOrder?: number;
    /** Waves that are completed in the end; absent: all. */
    readonly completes?: readonly number[];
}

const cases: readonly Case[] = [
    { name: "a calm wave", story: "Each machine goes down once it is empty, one at a time." },
    {
        name: "two waves at once",
        story:
            `Symptom: the second wave is late. Sequence: two waves are ordered, and the platform takes no order of the
            first. Cause: one was carried out after the other.`,
        waves: TWO_WAVES,
        fault: (_number, order) => order.wave === 1 ? "refuse" : "none",
        completes: [2],
    },
    {
        name: "the leader is killed as an upkeep begins",
        story: `Symptom: two machines are down where one may be. Sequence: the leader dies when the platform has carried
            out its order, and has stored nothing of it. Cause: its successor takes the machine for one that waits.`,
        killAtUpkeep: 1,
    },
    {
        name: "an order without an answer is carried out after the next leader has begun",
        story: `Symptom: two machines are down where one may be. Sequence: an order is on its way, its leader dies, the
            successor takes down another machine, the order arrives. Cause: the order was not stored before it went
            out.`,
        fault: number => number === 1 ? "late" : "none",
        lateMs: 3_500,
        killAtOrder: 1,
    },
    {
        name: "answers are lost",
        story:
            `Symptom: a wave never ends. Sequence: the upkeep begins and its answer is lost. Cause: the machine's return
            was not taken for the end of its upkeep.`,
        fault: number => number % 2 === 1 ? "loseAnswer" : "none",
    },
    {
        name: "the platform turns orders away",
        story: "Orders are repeated until the platform takes them.",
        fault: number => number % 3 !== 0 ? "refuse" : "none",
    },
];

describe("waves of upkeep", () => {
    test.each(cases)("$name", async item => {
        const waves = item.waves ?? [ONE_AT_A_TIME];
        let orders = 0;
        let upkeeps = 0;
        let killed = false;
        const unstored: string[] = [];
        const killLeader = () => {
            const leading = site.getLeader();
            if (!killed && leading !== undefined) {
                killed = true;
                site.kill(leading);
            }
        };
        let machines: emulator.EmulatedMachines | undefined;
        const site = fixtures.openSite({
            instances: 3,
            workers: 5,
            machines: time => {
                machines = emulator.createEmulatedMachines({
                    clock: time,
                    upkeepMs: 2_000,
                    waves,
                    lateMs: item.lateMs,
                    decide: order => {
                        orders++;
                        const row = site.store.getRows("upkeep").find(candidate => candidate.key === `${order.wave}`);
                        if (!row?.value.includes(`"${order.machine}"`)) {
                            unstored.push(order.machine);
                        }
                        if (orders === item.killAtOrder) {
                            killLeader();
                        }
                        return item.fault?.(orders, order) ?? "none";
                    },
                    onUpkeep: () => {
                        upkeeps++;
                        if (upkeeps === item.killAtUpkeep) {
                            killLeader();
                        }
                    },
                });
                return machines;
            },
        });
        await site.clock.advance(100);
        const job = fixtures.createJob(1, { count: 6, estimateMs: 6_000, needs: HALF_WORKER });
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
        await site.clock.advance(45_000);
        const completed = waves.filter(wave => item.completes?.includes(wave.number) ?? true);
        expect(machines!.violations).toEqual([]);
        expect(unstored).toEqual([]);
        expect(machines!.reports.filter(report => report.endsWith("completed")).sort())
            .toEqual(completed.map(wave => `${wave.number} completed`));
        expect(machines!.countUpkeeps()).toBe(completed.flatMap(wave => wave.machines).length);
        expect(machines!.countEndedTasks()).toBe(0);
        expect(site.workers.breaches).toEqual([]);
        site.close();
    });
});

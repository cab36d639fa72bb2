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
    /** The failure that the case guards against, and how it comes about. */
    readonly description: string;
    readonly waves?: readonly leader.Wave[];
    /** Fault of the number-th order. */
    readonly fault?: (number: number, order: leader.UpkeepOrder) => emulator.MachineFault;
    readonly lateMs?: number;
    /** Number of the upkeep at whose beginning the leader is killed. */
    readonly killAtUpkeep?: number;
    /** Number of the order at whose sending the leader is killed. */
    readonly killAtOrder?: number;
    /** Waves that are completed in the end; absent for all. */
    readonly completes?: readonly number[];
}

const cases: readonly Case[] = [
    { name: "a wave without failures", description: "Each machine goes down once it is empty, one at a time." },
    {
        name: "two waves at once",
        description:
            `The second wave is late: the platform refuses all orders of the first, and the waves are carried out one
            after the other.`,
        waves: TWO_WAVES,
        fault: (_number, order) => order.wave === 1 ? "refuse" : "none",
        completes: [2],
    },
    {
        name: "the leader is killed as an upkeep begins",
        description:
            `Two machines are down where one may be: the leader dies when the platform has carried out its order, and
            has stored nothing of it, so its successor treats the machine as still waiting.`,
        killAtUpkeep: 1,
    },
    {
        name: "an order without an answer is carried out after the next leader has begun",
        description:
            `Two machines are down where one may be: an order was not stored before it was sent, its leader dies, the
            successor takes down another machine, and then the order arrives.`,
        fault: number => number === 1 ? "late" : "none",
        lateMs: 3_500,
        killAtOrder: 1,
    },
    {
        name: "answers are lost",
        description:
            `A wave never ends: an upkeep begins, the answer to its order is lost, and the machine's return is not
            recognized as the end of its upkeep.`,
        fault: number => number % 2 === 1 ? "loseAnswer" : "none",
    },
    {
        name: "the platform refuses orders",
        description: "A wave never ends, since a refused order is not repeated.",
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
        expect(site.workers.violations).toEqual([]);
        site.close();
    });
});

import * as emulator from "../../emulator/index";
import type * as leader from "../../leader/index";
import * as fixtures from "./fixtures";

const WHOLE_WORKER = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 };
/** After the last poll of the lost worker has timed out, and before its leases have certainly expired. */
const ORDER_AFTER_MS = 5_000;

interface Case {
    readonly order: "preemption" | "upkeep";
    readonly isWorkerLost: boolean;
    readonly stops: number;
}

/** Returns how many tasks of the step are stopped when an order needs the worker of one of them. */
async function runOrder({ order, isWorkerLost }: Case): Promise<number> {
    const createGuaranteed = (number: number, estimateMs: number) =>
        fixtures.createJob(number, { estimateMs, needs: WHOLE_WORKER }, { queue: "urgent" });
    const serving = fixtures.createJob(
        2,
        { count: 2, lasting: true, mayMiss: 1, needs: WHOLE_WORKER },
        { account: "other" },
    );
    const waves: leader.Wave[] = [];
    const site = await fixtures.openSiteWithJobs({
        workers: 3,
        maxLeaseMs: 10_000,
        machines: clock => emulator.createEmulatedMachines({ clock, upkeepMs: 2_000, waves }),
    }, [createGuaranteed(1, 60_000), serving]);
    await site.clock.advance(4_000);
    const [first, second] = fixtures.getStarts(site, serving);
    if (isWorkerLost) {
        site.workers.kill(first!.workerId, false);
    }
    await site.clock.advance(ORDER_AFTER_MS);
    switch (order) {
        case "preemption":
            await fixtures.advanceUntilSettled(site.clock, site.submit(createGuaranteed(3, 1_000), 1));
            break;
        case "upkeep":
            waves.push({
                number: 1,
                machines: [second!.workerId.replace("worker-", "m")],
                withinMs: 20_000,
                maxCount: 1,
            });
            break;
    }
    await site.clock.advance(2_000);
    const stops = site.lines.filter(line => line["event"] === "stopWanted");
    site.close();
    return stops.length;
}

const cases: readonly Case[] = [
    { order: "preemption", isWorkerLost: true, stops: 0 },
    { order: "preemption", isWorkerLost: false, stops: 1 },
    { order: "upkeep", isWorkerLost: true, stops: 0 },
    { order: "upkeep", isWorkerLost: false, stops: 1 },
];

// Guards against a lasting step of which nothing is at work: an order stops its last task, while the other one still
// counts as at work on a worker that no longer answers.
describe("of a step that may miss one of its two tasks", () => {
    test.each(cases)("$order stops $stops if a worker is lost: $isWorkerLost", async item => {
        expect(await runOrder(item)).toBe(item.stops);
    });
});

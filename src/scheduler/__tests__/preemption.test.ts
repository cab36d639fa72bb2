import * as fixtures from "./fixtures";

/** Takes the whole memory of a worker, so that only one such task fits on each. */
const WHOLE_MEMORY = { cpuMillis: 1_000, memoryMb: 65_536, accelerators: 1 };
const LONG = { estimateMs: 20_000, needs: WHOLE_MEMORY };

describe("work preempted for urgent work", () => {
    test("is not preempted again while other work can be preempted", async () => {
        // Guards against a large job that never ends under a steady load of urgent work: it is preempted, runs again,
        // and is preempted for the next urgent job, since work that has just begun is the cheapest to stop.
        const site = await fixtures.openSiteWithJobs({ workers: 2 }, [fixtures.createJob(1, LONG, { queue: "batch" })]);
        await site.clock.advance(500);
        const second = fixtures.createJob(2, LONG, { queue: "batch" });
        await fixtures.advanceUntilSettled(site.clock, site.submit(second, 1));
        for (const number of [3, 4]) {
            await site.clock.advance(3_000);
            const urgent = fixtures.createJob(number, { estimateMs: 1_000, needs: WHOLE_MEMORY }, { queue: "urgent" });
            await fixtures.advanceUntilSettled(site.clock, site.submit(urgent, 1));
        }
        await site.clock.advance(10_000);
        const stopped = site.lines.filter(line => line["event"] === "preempting").map(line => line["group"]);
        expect(stopped).toHaveLength(2);
        expect(new Set(stopped).size).toBe(2);
        site.close();
    });
});

import * as fixtures from "./fixtures";

/** Takes a worker's whole memory, so that one such task fits on each worker. */
const WHOLE_MEMORY = { cpuMillis: 1_000, memoryMb: 65_536, accelerators: 1 };
const LONG = { estimateMs: 20_000, needs: WHOLE_MEMORY };

describe("work that gives way to urgent work", () => {
    test("is not stopped again while other work can give way", async () => {
        // Symptom: a large job never ends under a steady load of urgent work. Sequence: it is stopped for an urgent
        // job, runs again, and the next urgent job comes. Cause: work that has just begun is the cheapest to stop.
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

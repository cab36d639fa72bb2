// Symptom: looks at workers that never get a task. Sequence: somebody writes an entry of a service that nobody has
// configured to the list of workers. Cause: every listed worker was looked at, whatever it serves.
import * as fixtures from "./fixtures";

const STRANGE = { ...fixtures.createWorkerInfo(9), service: "nobody's" };

async function openWithStranger() {
    const looked: string[] = [];
    const site = await fixtures.openSiteWithJobs({
        workers: 2,
        workerFaults: () => ({
            decide: (worker, call) => {
                if (call === "look") {
                    looked.push(worker);
                }
                return "none";
            },
            lateMs: 0,
            getSlowdown: () => 1,
        }),
    }, []);
    site.workers.add(STRANGE);
    await site.clock.advance(3_000);
    return { site, looked };
}

describe("a worker of a service that is not configured", () => {
    test("is not looked at, is told once, and the others work", async () => {
        const { site, looked } = await openWithStranger();
        const job = fixtures.createJob(1, { count: 4 });
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 0));
        await site.clock.advance(4_000);
        expect(looked).not.toContain(STRANGE.id);
        expect(site.workers.doneCounts.size).toBe(4);
        expect(site.lines.filter(line => line["event"] === "workerOfUnknownService")).toHaveLength(1);
        site.close();
    });

    test("is used as soon as its service is configured", async () => {
        const { site, looked } = await openWithStranger();
        const services = [...fixtures.CATALOG.services, {
            name: STRANGE.service,
            refusesOverload: false,
            spare: false,
        }];
        site.applyCatalog({ ...fixtures.CATALOG, version: 2, services });
        await site.clock.advance(1_000);
        expect(looked).toContain(STRANGE.id);
        site.close();
    });

    test("keeps its session as long as something runs there", async () => {
        const site = await fixtures.openSiteWithJobs({ workers: 1 }, [fixtures.createJob(1, { estimateMs: 8_000 })]);
        await site.clock.advance(500);
        site.applyCatalog({ ...fixtures.CATALOG, version: 2, services: [] });
        await site.clock.advance(12_000);
        expect(site.workers.doneCounts.size).toBe(1);
        expect(site.workers.starts).toHaveLength(1);
        site.close();
    });
});

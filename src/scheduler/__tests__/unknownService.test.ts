// Guards against polls of workers that never get a task: the list of workers contains an entry of a service that is
// not configured, and every listed worker is polled, whatever its service.
import * as fixtures from "./fixtures";

const UNKNOWN_SERVICE_WORKER = { ...fixtures.createWorkerInfo(9), service: "nobody's" };

async function openWithUnknownServiceWorker() {
    const polledWorkers: string[] = [];
    const site = await fixtures.openSiteWithJobs({
        workers: 2,
        workerFaults: () => ({
            decide: (worker, call) => {
                if (call === "poll") {
                    polledWorkers.push(worker);
                }
                return "none";
            },
            lateMs: 0,
            getSlowdown: () => 1,
        }),
    }, []);
    site.workers.add(UNKNOWN_SERVICE_WORKER);
    await site.clock.advance(3_000);
    return { site, polledWorkers };
}

describe("a worker of a service that is not configured", () => {
    test("is not polled and is logged once, and the other workers are used", async () => {
        const { site, polledWorkers } = await openWithUnknownServiceWorker();
        const job = fixtures.createJob(1, { count: 4 });
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 0));
        await site.clock.advance(4_000);
        expect(polledWorkers).not.toContain(UNKNOWN_SERVICE_WORKER.id);
        expect(site.workers.completionCounts.size).toBe(4);
        expect(site.lines.filter(line => line["event"] === "workerOfUnknownService")).toHaveLength(1);
        site.close();
    });

    test("is used as soon as its service is configured", async () => {
        const { site, polledWorkers } = await openWithUnknownServiceWorker();
        const services = [...fixtures.CATALOG.services, {
            name: UNKNOWN_SERVICE_WORKER.service,
            refusesOverload: false,
            spare: false,
        }];
        site.applyCatalog({ ...fixtures.CATALOG, version: 2, services });
        await site.clock.advance(1_000);
        expect(polledWorkers).toContain(UNKNOWN_SERVICE_WORKER.id);
        site.close();
    });

    test("keeps its session as long as a task runs there", async () => {
        const site = await fixtures.openSiteWithJobs({ workers: 1 }, [fixtures.createJob(1, { estimateMs: 8_000 })]);
        await site.clock.advance(500);
        site.applyCatalog({ ...fixtures.CATALOG, version: 2, services: [] });
        await site.clock.advance(12_000);
        expect(site.workers.completionCounts.size).toBe(1);
        expect(site.workers.starts).toHaveLength(1);
        site.close();
    });
});

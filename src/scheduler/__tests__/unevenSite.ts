/** A site of which a quarter of the workers is slow by nature and does not say so. */
import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

const WORKERS = 8;
const SLOW_WORKERS = 2;
const SLOW_SPEED = 0.55;
const FAST_SPEED = 1.2;
/** Takes a whole worker. */
const WHOLE = { cpuMillis: 1_000, memoryMb: 65_536, accelerators: 1 };
/** Slack too short for a slow worker. */
const URGENT = { stretch: 1.5, objectiveMs: 250 };
/** Steps of one task for each worker, from which the speeds are measured. */
const MEASURED_STEPS = 5;

/** Opens the site and runs a few tasks on each worker. */
export async function openUnevenSite(): Promise<fixtures.TestSite> {
    const { queues, ...catalog } = fixtures.CATALOG;
    const site = await fixtures.openSiteWithJobs({
        instances: 3,
        workers: WORKERS,
        workersPerRack: WORKERS,
        catalog: {
            ...catalog,
            queues: queues.map(queue => queue.name === "urgent" ? { ...queue, ...URGENT } : queue),
        },
        workerFaults: () => ({
            decide: () => "none",
            lateMs: 0,
            getSlowdown: id => 1 / (isSlow(id) ? SLOW_SPEED : FAST_SPEED),
        }),
    }, []);
    for (let number = 1; number <= MEASURED_STEPS; number++) {
        const job = fixtures.createJob(number, { count: WORKERS, needs: WHOLE, maxPerWorker: 1, estimateMs: 3_000 });
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
        await site.clock.advance(7_000);
    }
    return site;
}

export function isSlow(workerId: string): boolean {
    return Number(/^worker-(\d+)/.exec(workerId)![1]) < SLOW_WORKERS;
}

/** Submits an urgent gang of that size, and returns the workers of its first run. */
export async function startUrgentGang(site: fixtures.TestSite, number: number, size: number): Promise<string[]> {
    const job: emulator.EmulatedJob = fixtures.createJob(
        number,
        { count: size, gang: true, needs: WHOLE, estimateMs: 3_000 },
        { queue: "urgent", account: "other" },
    );
    await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
    await site.clock.advance(1_000);
    return fixtures.getStarts(site, job).filter(start => start.run === 1).map(start => start.workerId);
}

import * as fixtures from "./fixtures";

const WHOLE_WORKER = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 };
const FAILING = "worker-3";

describe("runs that fail as soon as they begin", () => {
    // Guards against urgent jobs that fail within half a second: a worker fails all that it starts while the others are
    // full, so it is free again at once and gets one unit after the other, if a single failure does not count against
    // it.
    test("quarantine their worker after the first failure", async () => {
        const filling = fixtures.createJob(1, { count: 3, needs: WHOLE_WORKER, estimateMs: 3_000 });
        const urgent = [2, 3, 4].map(number => fixtures.createJob(number, { needs: WHOLE_WORKER }));
        const site = await fixtures.openSiteWithJobs({
            workerFaults: () => ({
                decide: () => "none",
                lateMs: 0,
                getSlowdown: () => 1,
                isFailing: id => id === FAILING,
            }),
        }, [filling]);
        for (const job of urgent) {
            await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
            await site.clock.advance(300);
        }
        await site.clock.advance(2_000);
        expect(site.workers.starts.filter(start => start.workerId === FAILING)).toHaveLength(1);
        await site.clock.advance(12_000);
        for (const job of urgent) {
            const state = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1));
            expect(state).toEqual({ kind: "state", state: "completed" });
        }
        site.close();
    });

    // Guards against 5 s without a start beside healthy workers: each task of a job that always fails runs on another
    // worker, and every failure counts against the worker.
    test("of a job that always fails leave most workers in use", async () => {
        const alwaysFailing = fixtures.createJob(
            1,
            { count: 8, estimateMs: 4_000, needs: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 4 } },
            { durationsMs: [50], fails: () => true },
        );
        const site = await fixtures.openSiteWithJobs({}, [alwaysFailing]);
        await site.clock.advance(600);
        const healthyJob = fixtures.createJob(2, { count: 2, needs: WHOLE_WORKER, estimateMs: 1_000 });
        await fixtures.advanceUntilSettled(site.clock, site.submit(healthyJob, 1));
        await site.clock.advance(500);
        expect(fixtures.getStarts(site, healthyJob)).toHaveLength(2);
        site.close();
    });
});

// Guards against a job that has failed on every worker that it fits on and waits forever for another one.
describe("a job that fails on every worker ends as failed", () => {
    const cases: ReadonlyArray<readonly [name: string, step: Parameters<typeof fixtures.createStep>[0]]> = [
        ["as a task", {}],
        ["as a gang that takes two workers", { count: 2, gang: true, needs: WHOLE_WORKER }],
    ];
    test.each(cases)("%s", async (_name, step) => {
        const job = fixtures.createJob(1, step, { queue: "batch", fails: () => true });
        const site = await fixtures.openSiteWithJobs({ workers: 2 }, [job]);
        await site.clock.advance(40_000);
        const state = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1));
        site.close();
        expect(state).toEqual({ kind: "state", state: "failed" });
        expect(site.workers.violations).toEqual([]);
    });
});

import * as fixtures from "./fixtures";

const WORKER = "worker-0";
const CUT_AT_MS = 3_000;

// Guards against completed work that is repeated, and a next step that waits for it.
describe("a task that completes on a worker that is cut off", () => {
    test.each([
        { name: "counts as completed if its lease expired before its end was reported", cutForMs: 7_500 },
        { name: "counts as completed if its lease outlives the cut", cutForMs: 3_500 },
    ])("$name", async ({ cutForMs }) => {
        const short = fixtures.createJob(1, { estimateMs: 2_500 });
        const long = fixtures.createJob(2, { estimateMs: 20_000 });
        const site = await fixtures.openSiteWithJobs({
            workers: 1,
            workerFaults: time => ({
                decide: id =>
                    id === WORKER && time.now() >= CUT_AT_MS && time.now() < CUT_AT_MS + cutForMs ? "cut" : "none",
                lateMs: 0,
                getSlowdown: () => 1,
            }),
        }, [short, long]);
        await site.clock.advance(40_000);
        expect(fixtures.getStarts(site, short)).toHaveLength(1);
        expect(await fixtures.advanceUntilSettled(site.clock, site.getState(short.jobId, 1)))
            .toEqual({ kind: "state", state: "completed" });
        expect(site.workers.violations).toEqual([]);
        site.close();
    });

    test.each([
        { name: "alone", fields: {} },
        { name: "in a gang", fields: { gang: true, count: 2 } },
    ])("$name counts as completed although restarted elsewhere, and its next step begins", async ({ fields }) => {
        const step = fixtures.createStep({ estimateMs: 2_500, ...fields });
        const job = fixtures.createJob(1, {}, {
            spec: {
                ...fixtures.createJob(1).spec,
                steps: [step, fixtures.createStep({ estimateMs: 500, after: [0] })],
            },
            durationsMs: [2_500, 500],
        });
        const first = new Set<string>();
        const site: fixtures.TestSite = fixtures.openSite({
            workers: 4,
            workerFaults: time => ({
                decide: id => first.has(id) && time.now() >= CUT_AT_MS && time.now() < 15_000 ? "cut" : "none",
                lateMs: 0,
                getSlowdown: id => first.has(id) ? 1 : 20,
            }),
        });
        await site.clock.advance(1_000);
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
        await site.clock.advance(20);
        fixtures.getStarts(site, job).forEach(start => first.add(start.workerId));
        await site.clock.advance(13_000);
        expect(fixtures.getStarts(site, job)).toHaveLength(2 * step.count);
        await site.clock.advance(4_000);
        const next = fixtures.getStarts(site, job).filter(start => start.task.endsWith(".1.0"));
        expect(next).toHaveLength(1);
        expect(site.workers.getRunningTasks().filter(task => task.endsWith(".0.0"))).toEqual([]);
        await site.clock.advance(30_000);
        expect(await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1)))
            .toEqual({ kind: "state", state: "completed" });
        expect(site.workers.violations).toEqual([]);
        expect(fixtures.getStarts(site, job)).toHaveLength(2 * step.count + 1);
        site.close();
    });
});

import * as fixtures from "./fixtures";

const WORKER = "worker-0";
const CUT_AT_MS = 3_000;

describe("a task that ends well on a worker that is cut off", () => {
    // Symptom: at the end of a day a step does not go on beside idle workers. Sequence: a worker is cut off; a task ends
    // well there, and the lease of another runs out; the worker is heard again. Cause: the end that was not recorded
    // before the lease ran out stands for nothing, and the leader took it for done.
    test.each([
        { name: "runs again where the lease ran out before the end was heard of", cutForMs: 7_500, starts: 2 },
        { name: "is done where the lease outlives the cut", cutForMs: 3_500, starts: 1 },
    ])("$name", async ({ cutForMs, starts }) => {
        const short = fixtures.createJob(1, { estimateMs: 2_500 });
        const long = fixtures.createJob(2, { estimateMs: 20_000 });
        const site = await fixtures.openWithJobs({
            workers: 1,
            workerFaults: time => ({
                decide: id =>
                    id === WORKER && time.now() >= CUT_AT_MS && time.now() < CUT_AT_MS + cutForMs ? "cut" : "none",
                lateMs: 0,
                getSlowness: () => 1,
            }),
        }, [short, long]);
        await site.clock.advance(40_000);
        expect(fixtures.getStarts(site, short)).toHaveLength(starts);
        expect(await fixtures.settle(site.clock, site.getState(short.jobId, 1)))
            .toEqual({ kind: "state", state: "completed" });
        expect(site.workers.breaches).toEqual([]);
        site.close();
    });
});

import * as work from "../../work/index";
import * as fixtures from "./fixtures";

const WHOLE_WORKER = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 };
const HALF_WORKER = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 4 };

async function getJobState(site: fixtures.TestSite, jobId: string): Promise<string> {
    const reply = await fixtures.advanceUntilSettled(site.clock, site.getState(jobId, 1));
    return reply.kind === "state" ? reply.state : reply.kind;
}

describe("steps and occurrences", () => {
    test("a step begins when all tasks of the steps before it are completed", async () => {
        const job = fixtures.createJob(1, {}, {
            spec: {
                payload: "",
                steps: [fixtures.createStep({ count: 3 }), fixtures.createStep({ count: 2, after: [0] })],
                repeats: 0,
                firstDueAt: 0,
                periodMs: 0,
            },
            durationsMs: [2_000, 1_000],
        });
        const site = await fixtures.openSiteWithJobs({}, [job]);
        await site.clock.advance(1_500);
        expect(fixtures.getStarts(site, job).map(start => start.task.split(".")[2])).toEqual(["0", "0", "0"]);
        await site.clock.advance(3_000);
        expect(await getJobState(site, job.jobId)).toBe("completed");
        site.close();
    });

    test("each occurrence starts when it is due, not before", async () => {
        const job = fixtures.createJob(1);
        const dueAt = 1_000_000 + 3_000;
        const timed = { ...job, spec: { ...job.spec, repeats: 3, firstDueAt: dueAt, periodMs: 1_500 } };
        const site = await fixtures.openSiteWithJobs({}, [timed]);
        await site.clock.advance(10_000);
        const startedAt = fixtures.getStarts(site, job).map(start => start.at + 1_000_000);
        expect(startedAt).toHaveLength(3);
        startedAt.forEach((at, number) => {
            expect(at).toBeGreaterThanOrEqual(dueAt + number * 1_500);
            expect(at).toBeLessThan(dueAt + number * 1_500 + 600);
        });
        expect(await getJobState(site, job.jobId)).toBe("completed");
        site.close();
    });

    test("a step starts at most maxPerWorker of its tasks on one worker", async () => {
        const job = fixtures.createJob(1, { count: 6, maxPerWorker: 1 });
        const site = await fixtures.openSiteWithJobs({ workers: 4 }, [job]);
        await site.clock.advance(1_000);
        const workers = fixtures.getStarts(site, job).map(start => start.workerId);
        expect(workers).toHaveLength(4);
        expect(new Set(workers).size).toBe(4);
        site.close();
    });
});

describe("cancellation", () => {
    test("cancelling a job stops its tasks at once, and no more of them start", async () => {
        const job = fixtures.createJob(1, { count: 4, estimateMs: 9_000 });
        const site = await fixtures.openSiteWithJobs({}, [job]);
        await site.clock.advance(1_000);
        const reply = await fixtures.advanceUntilSettled(site.clock, site.cancel(job.jobId, 0));
        expect(reply.kind).toBe("cancelled");
        await site.clock.advance(1_000);
        const before = fixtures.getStarts(site, job).length;
        await site.clock.advance(10_000);
        expect(fixtures.getStarts(site, job)).toHaveLength(before);
        expect(site.workers.completionCounts.size).toBe(0);
        expect(await getJobState(site, job.jobId)).toBe("cancelled");
        site.close();
    });

    test("a job that was never submitted is unknown to queries and cancellations", async () => {
        const submitted = fixtures.createJob(1);
        const site = await fixtures.openSiteWithJobs({}, [submitted]);
        site.registerJob(fixtures.createJob(2));
        const other = fixtures.createJob(2).jobId;
        expect(await getJobState(site, other)).toBe("unknownJob");
        expect((await fixtures.advanceUntilSettled(site.clock, site.cancel(other, 0))).kind).toBe("unknownJob");
        site.close();
    });
});

describe("placement and preemption", () => {
    test("work within a guarantee starts in time on a full service", async () => {
        const filler = fixtures.createJob(1, { count: 8, needs: HALF_WORKER, estimateMs: 30_000 }, { queue: "batch" });
        const urgent = fixtures.createJob(2, { count: 2, gang: true, needs: WHOLE_WORKER }, { queue: "urgent" });
        const site = await fixtures.openSiteWithJobs({ workers: 4 }, [filler]);
        await site.clock.advance(3_000);
        const submittedAt = site.clock.now();
        await fixtures.advanceUntilSettled(site.clock, site.submit(urgent, 0));
        await site.clock.advance(2_000);
        const starts = fixtures.getStarts(site, urgent);
        expect(starts).toHaveLength(2);
        expect(Math.max(...starts.map(start => start.at)) - submittedAt).toBeLessThan(1_500);
        expect(site.workers.violations).toEqual([]);
        site.close();
    });

    test("urgent work preempts tasks with checkpoints before those without, however long they have run", async () => {
        const saving = fixtures.createJob(1, {
            count: 2,
            needs: WHOLE_WORKER,
            checkpoints: true,
            estimateMs: 30_000,
        }, { queue: "batch" });
        const plain = fixtures.createJob(2, { count: 2, needs: WHOLE_WORKER, estimateMs: 30_000 }, { queue: "batch" });
        const urgent = fixtures.createJob(3, { needs: WHOLE_WORKER }, { queue: "urgent" });
        const site = await fixtures.openSiteWithJobs({ workers: 4 }, [saving]);
        await site.clock.advance(5_000);
        await fixtures.advanceUntilSettled(site.clock, site.submit(plain, 0));
        await site.clock.advance(1_500);
        await fixtures.advanceUntilSettled(site.clock, site.submit(urgent, 0));
        await site.clock.advance(2_000);
        const stopped = site.lines.filter(line => line["event"] === "preempting").map(line => String(line["group"]));
        expect(stopped).toHaveLength(1);
        expect(stopped[0]).toContain(saving.jobId);
        site.close();
    });

    test("preempted work is not started again for a while", async () => {
        // Guards against work that is started and preempted several times in a row: it is preempted for an urgent job,
        // starts again as soon as one of these ends, and is preempted for the next one.
        const plain = fixtures.createJob(1, { count: 2, needs: WHOLE_WORKER, estimateMs: 30_000 }, { queue: "batch" });
        const urgent = fixtures.createJob(2, { needs: WHOLE_WORKER, estimateMs: 500 }, { queue: "urgent" });
        const site = await fixtures.openSiteWithJobs({ workers: 2 }, [plain]);
        await site.clock.advance(2_000);
        await fixtures.advanceUntilSettled(site.clock, site.submit(urgent, 0));
        await site.clock.advance(1_500);
        expect(await getJobState(site, urgent.jobId)).toBe("completed");
        expect(fixtures.getStarts(site, plain)).toHaveLength(2);
        await site.clock.advance(2_000);
        expect(fixtures.getStarts(site, plain)).toHaveLength(3);
        site.close();
    });

    test("a lasting task is restarted whenever it ends, also on a full service", async () => {
        const filler = fixtures.createJob(1, { count: 7, needs: HALF_WORKER, estimateMs: 60_000 }, { queue: "plan" });
        const lasting = fixtures.createJob(2, { lasting: true, needs: HALF_WORKER }, { queue: "batch" });
        const site = await fixtures.openSiteWithJobs({ workers: 4 }, [lasting, filler]);
        await site.clock.advance(2_000);
        const home = fixtures.getStarts(site, lasting)[0]!.workerId;
        site.workers.kill(home, false);
        await site.clock.advance(12_000);
        const starts = fixtures.getStarts(site, lasting);
        expect(starts.length).toBeGreaterThanOrEqual(2);
        expect(starts.at(-1)!.workerId).not.toBe(home);
        expect(await getJobState(site, lasting.jobId)).toBe("running");
        site.close();
    });

    test("no task starts on a draining worker, and one that cannot end there moves with its checkpoint", async () => {
        const job = fixtures.createJob(1, { checkpoints: true, estimateMs: 8_000 });
        const site = await fixtures.openSiteWithJobs({ workers: 2 }, [job]);
        await site.clock.advance(2_500);
        const home = fixtures.getStarts(site, job)[0]!.workerId;
        site.workers.drain(home, 3_000);
        await site.clock.advance(12_000);
        const starts = fixtures.getStarts(site, job);
        expect(starts).toHaveLength(2);
        expect(starts[1]!.workerId).not.toBe(home);
        expect(await getJobState(site, job.jobId)).toBe("completed");
        site.close();
    });
});

describe("advice", () => {
    test("tasks start only on workers that the adviser names, with their ticket", async () => {
        const askedWorkers: string[][] = [];
        const site = await fixtures.openSiteWithJobs({
            catalog: {
                ...fixtures.CATALOG,
                queues: fixtures.CATALOG.queues.map(queue => ({
                    ...queue,
                    advice: { decideMs: 50, eachMs: 1, validMs: 3_000 },
                })),
            },
            adviser: {
                advise: async (_step, workerNames) => {
                    askedWorkers.push([...workerNames]);
                    const good = workerNames.filter(id => id === "worker-2");
                    return {
                        kind: "advised",
                        suitable: good.map(id => ({ workerName: id, ticket: "t" })),
                        validMs: 3_000,
                    };
                },
            },
        }, [fixtures.createJob(1, { count: 3 })]);
        await site.clock.advance(6_000);
        expect(new Set(site.workers.starts.map(start => start.workerId))).toEqual(new Set(["worker-2"]));
        expect(askedWorkers.length).toBeGreaterThan(0);
        expect(askedWorkers.length).toBeLessThan(5);
        site.close();
    });
});

describe("retention", () => {
    test("rows of a job are removed after the retention time, those of other jobs stay", async () => {
        const ended = fixtures.createJob(1);
        const running = fixtures.createJob(2, { lasting: true });
        const site = await fixtures.openSiteWithJobs({ retentionMs: 60_000 }, [ended, running]);
        await site.clock.advance(50_000);
        expect(await getJobState(site, ended.jobId)).toBe("completed");
        await site.clock.advance(40_000);
        expect(await getJobState(site, ended.jobId)).toBe("unknownJob");
        expect(await getJobState(site, running.jobId)).toBe("running");
        expect(site.store.getRows("progress").map(row => row.key)).toEqual([running.jobId, `${running.jobId}.0`]);
        site.close();
    });

    test("progress rows without a submission are removed after a takeover and start nothing", async () => {
        const job = fixtures.createJob(1);
        const site = await fixtures.openSiteWithJobs({}, [job]);
        await site.clock.advance(4_000);
        // Simulates a leader that was lost between removing the submission and removing its progress.
        site.store.remove({ table: "jobs", part: work.getIntakePart(job.jobId), key: job.jobId });
        const before = site.workers.starts.length;
        site.kill(site.getLeader()!);
        await site.clock.advance(3_000);
        expect(site.workers.starts).toHaveLength(before);
        expect(site.store.getRows("progress")).toEqual([]);
        site.close();
    });
});

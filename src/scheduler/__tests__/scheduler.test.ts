import * as work from "../../work/index";
import * as fixtures from "./fixtures";

const WHOLE_WORKER = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 };
const HALF_WORKER = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 4 };

async function stateOf(site: fixtures.TestSite, jobId: string): Promise<string> {
    const reply = await fixtures.advanceUntilSettled(site.clock, site.getState(jobId, 1));
    return reply.kind === "state" ? reply.state : reply.kind;
}

describe("steps and occurrences", () => {
    test("a step begins when all tasks of the steps before it are done", async () => {
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
        expect(await stateOf(site, job.jobId)).toBe("completed");
        site.close();
    });

    test("each occurrence starts when it is due and not before", async () => {
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
        expect(await stateOf(site, job.jobId)).toBe("completed");
        site.close();
    });

    test("no more tasks of a step on one worker than it allows", async () => {
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
    test("a cancelled job's tasks are stopped at once, and none starts", async () => {
        const job = fixtures.createJob(1, { count: 4, estimateMs: 9_000 });
        const site = await fixtures.openSiteWithJobs({}, [job]);
        await site.clock.advance(1_000);
        const reply = await fixtures.advanceUntilSettled(site.clock, site.cancel(job.jobId, 0));
        expect(reply.kind).toBe("cancelled");
        await site.clock.advance(1_000);
        const before = fixtures.getStarts(site, job).length;
        await site.clock.advance(10_000);
        expect(fixtures.getStarts(site, job)).toHaveLength(before);
        expect(site.workers.doneCounts.size).toBe(0);
        expect(await stateOf(site, job.jobId)).toBe("cancelled");
        site.close();
    });

    test("a job that nobody handed in is unknown, to whoever asks", async () => {
        const handedIn = fixtures.createJob(1);
        const site = await fixtures.openSiteWithJobs({}, [handedIn]);
        site.registerJob(fixtures.createJob(2));
        const other = fixtures.createJob(2).jobId;
        expect(await stateOf(site, other)).toBe("unknownJob");
        expect((await fixtures.advanceUntilSettled(site.clock, site.cancel(other, 0))).kind).toBe("unknownJob");
        site.close();
    });
});

describe("room", () => {
    test("work within a guarantee starts in time on a full service, with the least work stopped", async () => {
        const filler = fixtures.createJob(1, { count: 8, needs: HALF_WORKER, estimateMs: 30_000 }, { queue: "batch" });
        const urgent = fixtures.createJob(2, { count: 2, gang: true, needs: WHOLE_WORKER }, { queue: "urgent" });
        const site = await fixtures.openSiteWithJobs({ workers: 4 }, [filler]);
        await site.clock.advance(3_000);
        const handedInAt = site.clock.now();
        await fixtures.advanceUntilSettled(site.clock, site.submit(urgent, 0));
        await site.clock.advance(2_000);
        const starts = fixtures.getStarts(site, urgent);
        expect(starts).toHaveLength(2);
        expect(Math.max(...starts.map(start => start.at)) - handedInAt).toBeLessThan(1_500);
        expect(site.workers.breaches).toEqual([]);
        site.close();
    });

    test("for urgent work what saves is stopped before what does not, however long it has run", async () => {
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

    test("what was stopped for urgent work leaves the room alone for a while", async () => {
        // Symptom: the same work is started and stopped several times in a row. Sequence: it is stopped for an urgent
        // job, starts again in the room of the next one that ends, and is stopped for the one after that.
        const plain = fixtures.createJob(1, { count: 2, needs: WHOLE_WORKER, estimateMs: 30_000 }, { queue: "batch" });
        const urgent = fixtures.createJob(2, { needs: WHOLE_WORKER, estimateMs: 500 }, { queue: "urgent" });
        const site = await fixtures.openSiteWithJobs({ workers: 2 }, [plain]);
        await site.clock.advance(2_000);
        await fixtures.advanceUntilSettled(site.clock, site.submit(urgent, 0));
        await site.clock.advance(1_500);
        expect(await stateOf(site, urgent.jobId)).toBe("completed");
        expect(fixtures.getStarts(site, plain)).toHaveLength(2);
        await site.clock.advance(2_000);
        expect(fixtures.getStarts(site, plain)).toHaveLength(3);
        site.close();
    });

    test("a lasting task is started again however it ends, also on a full service", async () => {
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
        expect(await stateOf(site, lasting.jobId)).toBe("running");
        site.close();
    });

    test("no task starts on a worker that drains, and what would not end there moves with its work saved", async () => {
        const job = fixtures.createJob(1, { checkpoints: true, estimateMs: 8_000 });
        const site = await fixtures.openSiteWithJobs({ workers: 2 }, [job]);
        await site.clock.advance(2_500);
        const home = fixtures.getStarts(site, job)[0]!.workerId;
        site.workers.drain(home, 3_000);
        await site.clock.advance(12_000);
        const starts = fixtures.getStarts(site, job);
        expect(starts).toHaveLength(2);
        expect(starts[1]!.workerId).not.toBe(home);
        expect(await stateOf(site, job.jobId)).toBe("completed");
        site.close();
    });
});

describe("advice", () => {
    test("tasks start only on workers that the adviser names, with their ticket", async () => {
        const asked: string[][] = [];
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
                    asked.push([...workerNames]);
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
        expect(asked.length).toBeGreaterThan(0);
        expect(asked.length).toBeLessThan(5);
        site.close();
    });
});

describe("retention", () => {
    test("rows of a job that ended long ago are removed, those of others stay", async () => {
        const ended = fixtures.createJob(1);
        const running = fixtures.createJob(2, { lasting: true });
        const site = await fixtures.openSiteWithJobs({ retentionMs: 60_000 }, [ended, running]);
        await site.clock.advance(50_000);
        expect(await stateOf(site, ended.jobId)).toBe("completed");
        await site.clock.advance(40_000);
        expect(await stateOf(site, ended.jobId)).toBe("unknownJob");
        expect(await stateOf(site, running.jobId)).toBe("running");
        expect(site.store.getRows("progress").map(row => row.key)).toEqual([running.jobId, `${running.jobId}.0`]);
        site.close();
    });

    test("progress without a submission is removed after a takeover and runs nothing", async () => {
        const job = fixtures.createJob(1);
        const site = await fixtures.openSiteWithJobs({}, [job]);
        await site.clock.advance(4_000);
        // A leader was lost between removing the submission and removing its progress.
        site.store.remove({ table: "jobs", part: work.getIntakePart(job.jobId), key: job.jobId });
        const before = site.workers.starts.length;
        site.kill(site.getLeader()!);
        await site.clock.advance(3_000);
        expect(site.workers.starts).toHaveLength(before);
        expect(site.store.getRows("progress")).toEqual([]);
        site.close();
    });
});

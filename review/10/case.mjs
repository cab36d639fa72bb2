/**
 * TWICE after a late order. Trouble: both copies of one start order get no answer and are carried out 10 s later, and the
 * worker crashes meanwhile and starts again under its id. TROUBLE=late and TROUBLE=crash are each of the two alone.
 */
import * as site3 from "../standins-3/site.mjs";

const LATE_MS = 10000;
const CRASH_AFTER_MS = 2500;
const DOWN_MS = 4500;
const TASK_MS = 20000;

await site3.runCase(import.meta.url, async ({ record, trouble, open }) => {
    const hasLate = trouble && process.env.TROUBLE !== "crash";
    const hasCrash = trouble && process.env.TROUBLE !== "late";
    const site = await open({
        configuration: site3.createConfiguration(1),
        // One of eight workers is of kind b.
        workers: Array.from({ length: 8 }, (_, index) => ({
            service: "booking",
            capacity: site3.WORKER_CAPACITY,
            kind: index === 0 ? "b" : "a",
        })),
    });
    const id = site3.createId();
    const task = `${id}.0.0.0`;
    let orders = 0;
    let late = 0;
    let isCounting = false;
    let target;
    site.onOrder = (worker, { call, body }) => {
        orders += Number(isCounting);
        if (call !== "POST /-/run-start" || body.task !== task || body.run !== 1) {
            return undefined;
        }
        target ??= worker;
        if (!hasLate) {
            return undefined;
        }
        late++;
        record.write(
            `worker ${worker}: the start of ${task} run 1 gets no answer and is carried out ${LATE_MS} ms later`,
        );
        return {
            lateMs: LATE_MS,
            onDone: reply =>
                record.write(
                    `the late start is carried out: ${reply?.status ?? "no worker"} ${reply?.body?.reason ?? ""}`,
                ),
        };
    };
    /** Runs of the task: from when to when, on which worker. */
    const runs = [];
    site.onStart = start => start.task === task && runs.push({ ...start, endedAt: undefined });
    site.onEnd = end => {
        for (const run of runs) {
            if (end.task === task && run.run === end.run && run.endedAt === undefined) {
                run.endedAt = end.at;
            }
        }
    };
    await site.start();
    const [entry] = site.instances;
    isCounting = true;
    const submit = async (jobId, job) => (await site3.ask(site, entry, "POST", jobId, { body: job })).status === 200;
    // Other jobs, so that the late orders are a small share of the orders.
    let others = true;
    const traffic = (async () => {
        while (others) {
            await submit(site3.createId(), site3.createJob(1, 200, { "required-label": "a" }));
            await site3.sleep(100);
        }
    })();
    await site3.sleep(2000);
    // The worker of kind b is the fullest with room, so the task is placed there; these end before the crash.
    const onKindB = { "required-label": "b" };
    let isAccepted = await submit(site3.createId(), site3.createJob(5, 3000, onKindB));
    await site3.sleep(1300);
    isAccepted &&= await submit(id, site3.createJob(1, TASK_MS));
    await site3.sleep(100);
    // A task that fails by its own fault right after its start, so that the worker gets nothing for a while.
    const failing = site3.createJob(1, 40, onKindB);
    failing.spec = JSON.stringify({ ms: 40, how: "failed" });
    const failingId = site3.createId();
    isAccepted &&= await submit(failingId, failing);
    if (!isAccepted) {
        return { kind: "cannotRun", why: "a job was not accepted" };
    }
    await site3.sleep(1500);
    // Its second attempt would hold the worker's entry at the leader.
    await site3.ask(site, entry, "DELETE", failingId);
    await site3.sleep(CRASH_AFTER_MS - 1500);
    const worker = site.workers.find(candidate => candidate.getId() === target);
    if (!worker || worker.labels[0] !== "b") {
        return { kind: "cannotRun", why: `the task was ordered on ${target}` };
    }
    if (hasCrash) {
        worker.crash();
        await site3.sleep(DOWN_MS);
        worker.start(true);
    }
    else {
        await site3.sleep(DOWN_MS);
    }
    await site3.sleep(LATE_MS - CRASH_AFTER_MS - DOWN_MS + 3500);
    others = false;
    await traffic;
    const now = record.now();
    const copies = runs.map(run => ({ ...run, endedAt: run.endedAt ?? now }));
    for (const run of copies) {
        record.write(
            `run ${run.run} on ${run.worker}, from ${run.at.toFixed(3)} to ${run.endedAt.toFixed(3)} or later`,
        );
    }
    const [first, second] = [
        copies.find(run => run.run === 1 && run.at > copies[0].at),
        copies.find(run => run.run > 1),
    ];
    const overlapS = first && second ? Math.min(first.endedAt, second.endedAt) - Math.max(first.at, second.at) : 0;
    record.write(
        `${late} of ${orders} orders got no answer; two runs at a time for ${Math.max(0, overlapS).toFixed(1)} s`,
    );
    return overlapS > 0
        ? {
            kind: "broken",
            why: `TWICE: run 1 and run ${second.run} of one task ran at a time for ${overlapS.toFixed(1)} s`,
        }
        : { kind: "held", why: `${copies.length} runs, none at a time with another` };
});

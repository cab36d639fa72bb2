/**
 * UNASKED after a cancel. Trouble: the store leaves one write of a submission without an answer and does it 2.5 s later,
 * so the client has no answer after 0.5 s, gives up and cancels; without it, the submission is answered.
 */
import * as site3 from "../standins-3/site.mjs";

const TASK_MS = 20000;
const PATIENCE_MS = 500;
const LATE_MS = 2500;

await site3.runCase(import.meta.url, async ({ record, trouble, open }) => {
    const id = site3.createId();
    let writes = 0;
    let lost = 0;
    const site = await open({
        configuration: site3.createConfiguration(1),
        workers: Array.from({ length: 4 }, () => ({ service: "booking", capacity: site3.WORKER_CAPACITY })),
        onTransact: (instance, body) => {
            writes++;
            if (!trouble || lost > 0 || !body.put?.some(row => row.table === "jobs" && row.key === id)) {
                return undefined;
            }
            lost++;
            record.write(
                `store: a write of ${instance} with the job's row gets no answer and is done ${LATE_MS} ms later`,
            );
            return {
                lateMs: LATE_MS,
                onDone: result => record.write(`store: the late write is carried out: ${result.status}`),
            };
        },
    });
    const starts = [];
    site.onStart = start => start.task.startsWith(id) && starts.push(start);
    await site.start();
    const [first, second] = site.instances.filter(instance => instance !== site.getLeader());

    // Other clients, so that the lost answer is a small share of the writes.
    let others = true;
    const traffic = (async () => {
        while (others) {
            await site3.ask(site, second, "POST", site3.createId(), { body: site3.createJob(1, 300) });
            await site3.sleep(150);
        }
    })();
    await site3.sleep(1000);

    // The client hands its job in, and leaves when it has waited long enough.
    const submitted = site3.ask(site, first, "POST", id, {
        body: site3.createJob(2, TASK_MS),
        deadlineMs: site3.DEADLINE_MS,
        leaveAfterMs: PATIENCE_MS,
    });
    await Promise.all([submitted, site3.sleep(PATIENCE_MS + 50)]);
    const cancelled = await site3.ask(site, second, "DELETE", id);
    if (cancelled.status !== 200 && cancelled.status !== 410) {
        return { kind: "cannotRun", why: `the cancel was answered ${cancelled.status}` };
    }
    const ackedAt = record.now();
    record.write(
        `the cancel is acknowledged with ${cancelled.status}; ${lost} of ${writes} writes went without an answer`,
    );
    // cancel_ms and stop-ms, and a calm contact-ms after the last lost answer.
    await site3.sleep(site3.BOUNDS["cancel_ms"] + site3.BOUNDS["stop-ms"]);
    await site3.sleep(LATE_MS + site3.BOUNDS["contact-ms"] + 1000);
    others = false;
    await traffic;
    const running = site.workers.flatMap(worker => worker.getRunning()).filter(task => task.startsWith(id));
    const state = (await site3.ask(site, second, "GET", id)).body?.state;
    const afterS = (record.now() - ackedAt).toFixed(1);
    record.write(
        `${afterS} s after the acknowledgement ${running.length} tasks of the job run; it is shown as ${state}`,
    );
    return running.length > 0
        ? {
            kind: "broken",
            why: `UNASKED: ${running.length} tasks run ${afterS} s after the cancel was acknowledged with ${cancelled.status}`,
        }
        : { kind: "held", why: `no task of the cancelled job runs; starts ${starts.length}, state ${state}` };
});

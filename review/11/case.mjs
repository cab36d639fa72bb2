/**
 * LOST while tasks save their progress. Trouble: what a worker gives as `saved` has 400 characters; without it, 16.
 */
import * as site3 from "../standins-3/site.mjs";

const TASKS = 200;
const TASK_MS = 10000;
const LONG = 400;
const SHORT = 16;
const LOST_MS = 3000;

await site3.runCase(import.meta.url, async ({ record, trouble, open }) => {
    const length = trouble ? LONG : SHORT;
    const site = await open({
        configuration: site3.createConfiguration(1),
        workers: Array.from({ length: 4 }, () => ({ service: "booking", capacity: site3.WORKER_CAPACITY })),
        makeSaved: (task, count) => `${task}/${count}/`.padEnd(length, "0").slice(-length),
    });
    const ended = new Set();
    site.onEnd = ({ task, how }) => how === "done" && ended.add(task);
    await site.start();
    const [entry] = site.instances;
    const getState = async id => (await site3.ask(site, entry, "GET", id)).body?.state;

    const first = site3.createId();
    // 40 of 128 cores, 51 of 262 GB, no GPU.
    const wide = site3.createJob(TASKS, TASK_MS, { cpu: 200, memory: 256, gpu: 0, checkpoint: true });
    if ((await site3.ask(site, entry, "POST", first, { body: wide })).status !== 200) {
        return { kind: "cannotRun", why: "the first job was not accepted" };
    }
    // All its tasks have had their time and 4 s more.
    await site3.sleep(TASK_MS + 4000);
    record.write(`${ended.size} of ${TASKS} tasks of the first job have ended as done`);
    record.write(`the store has refused ${site.store.tooLong} transactions: a value was longer than row-bytes`);

    const second = site3.createId();
    if ((await site3.ask(site, entry, "POST", second, { body: site3.createJob(2, 1000) })).status !== 200) {
        return { kind: "cannotRun", why: "the second job was not accepted" };
    }
    let idleSince = performance.now();
    let longestIdleMs = 0;
    const until = performance.now() + site3.BOUNDS["finish_s"] * 1000;
    let states = [];
    while (performance.now() < until && !(states.length > 0 && states.every(state => state === "completed"))) {
        if (site.workers.some(worker => worker.getRunning().length > 0)) {
            idleSince = performance.now();
        }
        longestIdleMs = Math.max(longestIdleMs, performance.now() - idleSince);
        states = [await getState(first), await getState(second)];
        await site3.sleep(500);
    }
    record.write(`first job ${states[0]}, second job ${states[1]}, longest time without a run ${Math.round(longestIdleMs)} ms`);
    record.write(`the store has refused ${site.store.tooLong} transactions: a value was longer than row-bytes`);
    const isBroken = states.some(state => state !== "completed") && longestIdleMs > LOST_MS;
    if (isBroken) {
        await site.replaceLeader();
        record.write(`10 s after the leader was killed: first job ${await getState(first)}, second ${await getState(second)}`);
    }
    return isBroken
        ? {
            kind: "broken",
            why: `LOST: accepted jobs are ${states.join(" and ")}, with nothing running for ${
                Math.round(longestIdleMs)
            } ms and all workers idle`,
        }
        : { kind: "held", why: "both jobs were completed" };
});

/**
 * LOST after a change of the configuration. Trouble: a version sends the queue to another service and drops the old one
 * between two occurrences of a scheduled job; without it, the configuration stays.
 */
import * as site3 from "../standins-3/site.mjs";

const REPEATS = 6;
const PERIOD_MS = 4500;
const LOST_MS = 3000;

await site3.runCase(import.meta.url, async ({ record, trouble, open }) => {
    const [old, next] = ["booking", "booking-two"];
    const site = await open({
        configuration: site3.createConfiguration(1, { service: old, services: [old, next] }),
        workers: [old, old, next, next].map(service => ({ service, capacity: site3.WORKER_CAPACITY })),
    });
    await site.start();
    const [entry] = site.instances;
    const getState = async id => (await site3.ask(site, entry, "GET", id)).body?.state;

    const scheduled = site3.createId();
    const ended = new Set();
    site.onEnd = ({ task, how }) => how === "done" && task.startsWith(scheduled) && ended.add(task);
    const firstDueAt = Date.now() + 1000;
    const lastDueAt = firstDueAt + (REPEATS - 1) * PERIOD_MS;
    const schedule = { repeats: REPEATS, "initial-delay-ms": firstDueAt, "period-ms": PERIOD_MS };
    const reply = await site3.ask(site, entry, "POST", scheduled, {
        body: { ...site3.createJob(2, 1000), ...schedule },
    });
    if (reply.status !== 200) {
        return { kind: "cannotRun", why: "the scheduled job was not accepted" };
    }
    await site3.sleep(firstDueAt + PERIOD_MS + 2500 - Date.now());
    if (ended.size !== 4) {
        return { kind: "cannotRun", why: `${ended.size} of 4 tasks of the first two occurrences have ended` };
    }
    if (trouble) {
        record.write(`operator: version 2 sends the queue to ${next}, and has no service ${old} any more`);
        site.store.put("config", site3.createConfiguration(2, { service: next, services: [next] }));
        await site3.sleep(site3.BOUNDS["config-apply-ms"] + 500);
    }
    const later = site3.createId();
    if ((await site3.ask(site, entry, "POST", later, { body: site3.createJob(2, 1000) })).status !== 200) {
        return { kind: "cannotRun", why: "the last job was not accepted" };
    }
    // The last occurrence is due, and finish_s more.
    const until = lastDueAt + site3.BOUNDS["finish_s"] * 1000;
    let idleSince = performance.now();
    let states = [];
    while (Date.now() < until && !(states.length > 0 && states.every(state => state === "completed"))) {
        if (site.workers.some(worker => worker.getRunning().length > 0)) {
            idleSince = performance.now();
        }
        states = [await getState(scheduled), await getState(later)];
        await site3.sleep(500);
    }
    const idleMs = performance.now() - idleSince;
    const listed = site.workers.map(worker => `${worker.getId()} (${worker.service})`).join(", ");
    record.write(`listed, ready and idle for ${Math.round(idleMs)} ms: ${listed}`);
    record.write(`${ended.size} of ${2 * REPEATS} tasks of the scheduled job have ended as done; it is ${states[0]}`);
    const isBroken = states[0] !== "completed" && idleMs > LOST_MS;
    const done = ended.size;
    if (isBroken) {
        await site.replaceLeader();
        record.write(`10 s after the leader was killed, the scheduled job is ${await getState(scheduled)}`);
    }
    return isBroken
        ? {
            kind: "broken",
            why: `LOST: the scheduled job is ${states[0]} with ${done} of ${2 * REPEATS} tasks done and nothing`
                + ` running for ${Math.round(idleMs)} ms, all due and all workers idle; a job sent later is ${
                    states[1]
                }`,
        }
        : { kind: "held", why: `the jobs are ${states.join(" and ")}` };
});

/**
 * LOST after a wave of upkeep. Trouble: the workers come back under the ids that they had; without it, under new ones.
 */
import * as site3 from "../standins-3/site.mjs";

const WAVE = 7;
const JOBS = 4;
const LOST_MS = 3000;

await site3.runCase(import.meta.url, async ({ record, trouble, open }) => {
    const site = await open({
        cloud: true,
        configuration: site3.createConfiguration(1),
        workers: Array.from({ length: 4 }, () => ({ service: "booking", capacity: site3.WORKER_CAPACITY })),
    });
    const cloud = await site3.openCloud(site, { sameId: trouble });
    await site.start();
    const [entry] = site.instances;
    const getState = async id => (await site3.ask(site, entry, "GET", id)).body?.state;

    const before = site3.createId();
    await site3.ask(site, entry, "POST", before, { body: site3.createJob(2, 1000) });
    await site3.sleep(4000);
    if (await getState(before) !== "completed") {
        return { kind: "cannotRun", why: "the job before the wave was not completed" };
    }

    const machines = site.workers.map(worker => worker.machine);
    record.write(`operator: op/wave/${WAVE} with ${machines.join(", ")}, within 40 s, 2 at once`);
    site.store.put(`wave/${WAVE}`, { wave: WAVE, machines, "within-s": 40, "max-count": 2 });
    for (let tries = 0; site.store.get("status", "", `wave/${WAVE}`)?.state !== "completed"; tries++) {
        if (tries > 450) {
            return { kind: "cannotRun", why: "the wave was not completed in 45 s" };
        }
        await site3.sleep(100);
    }
    record.write(`status/wave/${WAVE} is completed, ${cloud.countBegun(WAVE)} upkeeps have begun`);
    // The last worker is back and has been in touch for longer than contact-ms.
    await site3.sleep(site3.BOUNDS["contact-ms"] + 1000);

    const accepted = [];
    for (let number = 0; number < JOBS; number++) {
        const id = site3.createId();
        const reply = await site3.ask(site, entry, "POST", id, { body: site3.createJob(2, 1000) });
        if (reply.status === 200) {
            accepted.push(id);
        }
    }
    if (accepted.length < JOBS) {
        return { kind: "cannotRun", why: "a job was not accepted" };
    }
    // Longest time in which nothing ran on any worker, all of which are listed and idle.
    let idleSince = performance.now();
    let longestIdleMs = 0;
    const until = performance.now() + site3.BOUNDS["finish_s"] * 1000;
    const states = new Map();
    while (performance.now() < until && [...states.values()].filter(state => state === "completed").length < JOBS) {
        const running = site.workers.flatMap(worker => worker.getRunning());
        if (running.length > 0) {
            idleSince = performance.now();
        }
        longestIdleMs = Math.max(longestIdleMs, performance.now() - idleSince);
        for (const id of performance.now() - until > -1000 || running.length === 0 ? accepted : []) {
            states.set(id, await getState(id));
        }
        await site3.sleep(250);
    }
    const listed = site.store.list("servers", "").length;
    const open2 = [...states.values()].filter(state => state !== "completed").length;
    record.write(
        `${listed} workers are listed as ready and idle; longest time without a run ${Math.round(longestIdleMs)} ms`,
    );
    const isBroken = open2 > 0 && longestIdleMs > LOST_MS;
    if (isBroken) {
        await site.replaceLeader();
        const after = await Promise.all(accepted.map(id => getState(id)));
        record.write(`10 s after the leader was killed, the jobs are ${after.join(", ")}`);
    }
    return isBroken
        ? {
            kind: "broken",
            why: `LOST: ${open2} of ${JOBS} accepted jobs have nothing running for ${Math.round(longestIdleMs)} ms`
                + ` while all ${listed} workers are idle`,
        }
        : {
            kind: "held",
            why: `all ${JOBS} jobs were completed, longest time without a run ${Math.round(longestIdleMs)} ms`,
        };
});

/** Preemption stops the last task of a step that may miss one, while the other has been away for over `notice-ms`. */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as s from "../standins-2/site.mjs";

/** `max-hold-ms` of facile-rennes. */
s.useBounds({ maxLeaseMs: 10_000 });
/** One of eight workers crashes: the pages allow a share of 0.14. */
const WORKERS = 8;
const NOTICE_MS = 4_500;
/** When the urgent job is handed in, after the crash. */
const URGENT_AFTER_MS = 5_500;

await s.runCase(path.dirname(fileURLToPath(import.meta.url)), async trouble => {
    const block = await s.findBlock();
    const temporary = s.createTemporary();
    const site = { events: [], store: await s.createStore(`${block}.1`), instances: [] };
    site.store.put("op", "config", s.createConfiguration({ guaranteed: 8 * (WORKERS - 1) }));
    const workers = [];
    for (let index = 0; index < WORKERS; index++) {
        workers.push(
            await s.createWorker(site, {
                name: `worker-${index}`,
                host: `${block}.${100 + index}`,
                service: "booking",
                zone: "zone-a",
                labels: ["a", `rack-${Math.floor(index / 4)}`],
                getDurationMs: (_task, spec) => spec === "lasts" ? Infinity : spec === "long" ? 60_000 : 2_000,
            }),
        );
    }
    site.instances = ["a", "b", "c"].map((zone, index) =>
        s.createInstance({
            name: `front-${zone}-1`,
            zone: `zone-${zone}`,
            address: `${block}.${11 + index}`,
            store: site.store.address,
            temporary,
        })
    );
    site.instances.forEach(instance => instance.start());
    await s.waitUntilServing(site);
    const office = s.createCaller(site, { host: "plan.example", prefix: "/plan/", key: "key-office" });
    const desk = s.createCaller(site, { host: "plan.example", prefix: "/now/", key: "key-desk" });
    const find = id =>
        workers.flatMap(worker =>
            [...worker.running.values()].filter(run => run.task.startsWith(id)).map(run => ({ task: run.task, worker }))
        );
    const hasEvent = (kind, id) => site.events.some(event => event.kind === kind && event.task.startsWith(id));
    const gpus = count => ({ cpu: 1_000, "mem-mb": 1_024, gpu: count });

    // Six workers work for the guarantee of the desk; the others hold a task each of a step that may miss one.
    const longId = s.createJobId();
    await desk.submitUntilAccepted(longId, {
        spec: "long",
        steps: [{ count: WORKERS - 2, ...gpus(8), "estimate-ms": 60_000 }],
    });
    await s.waitFor("long job", 10_000, () => find(longId).length === WORKERS - 2);
    const lastingId = s.createJobId();
    await office.submitUntilAccepted(lastingId, {
        spec: "lasts",
        steps: [{ count: 2, ...gpus(8), "estimate-ms": 60_000, "long-running": true, "may-miss": 1 }],
    });
    await s.waitFor("two tasks at work", 10_000, () => find(lastingId).length === 2);
    await s.sleep(4_000);
    const [first, second] = find(lastingId);
    s.record("tasks", {
        first: `${first.task} on ${first.worker.name}`,
        second: `${second.task} on ${second.worker.name}`,
    });

    const crashedAt = s.now();
    if (trouble) {
        s.record("disruption", { what: "worker lost for good", worker: first.worker.name });
        first.worker.crash();
        setTimeout(() => site.store.remove("servers", first.worker.name), 3 * 1_500).unref();
    }
    await s.sleep(URGENT_AFTER_MS);
    const urgentId = s.createJobId();
    await desk.submitUntilAccepted(urgentId, {
        spec: "urgent",
        steps: [{ count: 1, ...gpus(8), "estimate-ms": 2_000 }],
    });
    await s.sleep(7_000);

    const broken = [];
    const names = [first, second].map(({ task }) => task);
    /** Since when the task had not been at work at that moment; `undefined` if it was. */
    const findAwaySince = (task, at) => {
        const last = site.events.filter(event => event.task === task && event.at <= at).at(-1);
        return last.kind === "end" ? last.at : undefined;
    };
    for (const ended of site.events) {
        if (ended.kind !== "end" || ended.how !== "stopped" || !names.includes(ended.task)) {
            continue;
        }
        const other = names.find(name => name !== ended.task);
        const awaySince = findAwaySince(other, ended.at);
        const awayMs = awaySince === undefined ? 0 : Math.round(ended.at - awaySince);
        s.record("judged", {
            stopped: ended.task,
            afterMs: Math.round(ended.at - crashedAt),
            other,
            otherAwayMs: awayMs,
        });
        if (awayMs >= NOTICE_MS) {
            broken.push(
                `AVAIL: ${ended.task}, at work on ${ended.worker}, a sound worker, was stopped while ${other}, `
                    + `the one that may be missed, had been away for ${awayMs} ms`,
            );
        }
    }
    s.record("judged", { urgentStarted: hasEvent("start", urgentId) });
    return broken;
});

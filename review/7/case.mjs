/** An upkeep stops the last task of a step that may miss one, while the other has been away for over `notice-ms`. */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { createMachineService } from "../standins-2/machines.mjs";
import * as s from "../standins-2/site.mjs";

/** `max-hold-ms` of facile-rennes. */
s.useBounds({ maxLeaseMs: 10_000 });
const NOTICE_MS = 4_500;
/** When the wave is asked for, after the crash. */
const WAVE_AFTER_MS = 5_500;

await s.runCase(path.dirname(fileURLToPath(import.meta.url)), async trouble => {
    const block = await s.findBlock();
    const temporary = s.createTemporary();
    const site = { events: [], store: await s.createStore(`${block}.1`), instances: [] };
    site.store.put("op", "config", s.createConfiguration());
    const workers = new Map();
    const machines = await createMachineService(site, {
        host: `${block}.2`,
        machines: ["m1", "m2", "m3", "m4"].map((machine, index) => ({
            machine,
            pool: "booking",
            zone: index < 2 ? "zone-a" : "zone-b",
            labels: ["a", index < 2 ? "rack-1" : "rack-2"],
        })),
        createLife: async ({ machine, zone, labels }, life) => {
            const worker = await s.createWorker(site, {
                name: `${machine}-life-${life}`,
                host: `${block}.${100 + Number(machine.slice(1)) * 10 + life}`,
                service: "booking",
                zone,
                labels,
                getDurationMs: () => Infinity,
            });
            workers.set(worker.name, { worker, machine });
            return worker;
        },
    });
    site.instances = ["a", "b", "c"].map((zone, index) =>
        s.createInstance({
            name: `front-${zone}-1`,
            zone: `zone-${zone}`,
            address: `${block}.${11 + index}`,
            store: site.store.address,
            machines: machines.address,
            temporary,
        })
    );
    site.instances.forEach(instance => instance.start());
    await s.waitUntilServing(site);
    const caller = s.createCaller(site, { host: "plan.example", prefix: "/plan/", key: "key-office" });
    const id = s.createJobId();
    await caller.submitUntilAccepted(id, {
        spec: "lasts",
        steps: [{
            count: 2,
            cpu: 4_000,
            "mem-mb": 2_048,
            "estimate-ms": 60_000,
            "long-running": true,
            "may-miss": 1,
            "anti-affinity": 1,
        }],
    });
    const findRuns = () =>
        [...workers.values()].flatMap(({ worker, machine }) =>
            [...worker.running.values()].map(run => ({ task: run.task, worker, machine }))
        );
    await s.waitFor("two tasks at work", 10_000, () => findRuns().length === 2);
    // Lets the leader pass the time for which it orders no upkeep after a takeover.
    await s.sleep(5_000);
    const [first, second] = findRuns();
    s.record("tasks", {
        first: `${first.task} on ${first.worker.name}`,
        second: `${second.task} on ${second.worker.name}`,
    });
    const crashedAt = s.now();
    if (trouble) {
        s.record("disruption", { what: "worker crashes and stays away", worker: first.worker.name });
        first.worker.crash();
        machines.setDown(first.machine);
        setTimeout(() => site.store.remove("servers", first.worker.name), 3 * 1_500).unref();
    }
    await s.sleep(WAVE_AFTER_MS);
    site.store.put("op", "wave/1", { wave: 1, machines: [second.machine], "within-s": 60, "max-count": 1 });
    s.record("operator.wave", { wave: 1, machines: [second.machine] });
    await s.waitFor("upkeep", 60_000, () => machines.getUpkeepAt(second.machine, 1) !== undefined);
    const ended = site.events.find(event => event.kind === "end" && event.task === second.task && event.at > crashedAt);
    // When the other task of the step was at work again.
    const back = site.events.find(event => event.kind === "start" && event.task === first.task && event.at > crashedAt);
    const awayMs = trouble ? Math.min(ended.at, back?.at ?? Infinity) - crashedAt : 0;
    s.record("judged", {
        ended: ended.how,
        afterMs: Math.round(ended.at - crashedAt),
        otherAwayMs: Math.round(awayMs),
        otherBackAtMs: back && Math.round(back.at - crashedAt),
    });
    await s.sleep(1_000);
    const isAway = trouble && (back === undefined || back.at > ended.at) && awayMs >= NOTICE_MS;
    return isAway && ["stopped", "gone"].includes(ended.how)
        ? [
            `AVAIL: the upkeep of ${second.machine} ended ${second.task} (${ended.how}), at work on a sound worker, while ${first.task}, `
            + `the one that may be missed, had been away for ${Math.round(awayMs)} ms`,
        ]
        : [];
});

/** Jobs of a queue with advice that come at once: most of them never get an answer of the advice service. */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { createAdviceService } from "../standins-2/advice.mjs";
import * as s from "../standins-2/site.mjs";

const WORKERS = 30;
/** A call for 30 workers takes 0.5 s, so the service answers 2 calls a second. */
const DECIDE_MS = Number(process.env.DECIDE ?? 200);
const EACH_MS = Number(process.env.EACH ?? 10);
/** `slot-confirm` of cedarflue-hq: jobs a second; the largest burst of that class there is 2.2 times that for 6 s. */
const JOBS_PER_S = Number(process.env.RATE ?? 1.34);
const BURST = Number(process.env.BURST ?? 2.2);
const BURST_MS = 6_000;
const BEFORE_MS = 10_000;
const AFTER_MS = 15_000;
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;

await s.runCase(path.dirname(fileURLToPath(import.meta.url)), async trouble => {
    const block = await s.findBlock();
    const temporary = s.createTemporary();
    const site = { events: [], store: await s.createStore(`${block}.1`), instances: [] };
    site.store.put(
        "op",
        "config",
        s.createConfiguration({ advice: { "decide-ms": DECIDE_MS, "each-ms": EACH_MS, "valid-ms": 10_000 } }),
    );
    const advice = await createAdviceService(site, {
        host: `${block}.3`,
        decideMs: DECIDE_MS,
        eachMs: EACH_MS,
        validMs: 10_000,
        isGood: () => true,
    });
    for (let index = 0; index < WORKERS; index++) {
        await s.createWorker(site, {
            name: `worker-${index}`,
            host: `${block}.${100 + index}`,
            service: "booking",
            zone: index % 2 === 0 ? "zone-a" : "zone-b",
            labels: ["a", `rack-${Math.floor(index / 8)}`],
            getDurationMs: () => 2_000,
        });
    }
    site.instances = ["a", "b", "c"].map((zone, index) =>
        s.createInstance({
            name: `front-${zone}-1`,
            zone: `zone-${zone}`,
            address: `${block}.${11 + index}`,
            store: site.store.address,
            adviser: advice.address,
            temporary,
        })
    );
    site.instances.forEach(instance => instance.start());
    await s.waitUntilServing(site);
    await s.sleep(2_000);
    const caller = s.createCaller(site, { host: "plan.example", prefix: "/plan/", key: "key-office" });
    const job = {
        spec: "needs advice",
        steps: [{ count: 3, cpu: 3_700, "mem-mb": 9_800, gpu: 1, "estimate-ms": 2_500 }],
    };
    const ids = [];
    const submissions = [];
    const sendFor = async (ms, perSecond) => {
        const until = s.now() + ms;
        let at = s.now();
        while (at < until) {
            const id = s.createJobId();
            ids.push(id);
            submissions.push(caller.submitUntilAccepted(id, job));
            at += 1_000 / perSecond;
            await s.sleep(at - s.now());
        }
    };
    const hasStarted = id => site.events.some(event => event.kind === "start" && event.task.startsWith(id));
    const watch = setInterval(
        () => s.record("state", { accepted: ids.length, started: ids.filter(hasStarted).length, ...advice.stats }),
        1_000,
    );
    await sendFor(BEFORE_MS, JOBS_PER_S);
    if (trouble) {
        s.record("disruption", { what: "burst", x: BURST, forMs: BURST_MS });
    }
    await sendFor(BURST_MS, trouble ? BURST * JOBS_PER_S : JOBS_PER_S);
    s.record("traffic", { what: "as usual again" });
    await sendFor(AFTER_MS, JOBS_PER_S);
    await Promise.all(submissions);
    s.record("traffic", { what: "over", jobs: ids.length });
    await s.sleep(FINISH_MS);
    const idle = ids.filter(id => !hasStarted(id));
    await s.sleep(IDLE_MS);
    clearInterval(watch);
    const stillIdle = idle.filter(id => !hasStarted(id));
    for (const id of stillIdle.slice(0, 5)) {
        s.record("judged", { job: id, state: await caller.getState(id) });
    }
    return stillIdle.length === 0
        ? []
        : [`LOST: ${stillIdle.length} of ${ids.length} accepted jobs have nothing running ${
            (FINISH_MS + IDLE_MS) / 1_000
        } s after the end of the traffic`];
});

/**
 * REFUSED after a lost answer of the store. Trouble: the store leaves the writes of one submission without an answer and
 * does them 4 s later; without it, they are answered. In both a key is taken away one second after the submission.
 */
import * as site3 from "../standins-3/site.mjs";

const LATE_MS = 4000;
const REVOKED_AFTER_MS = 1000;

await site3.runCase(import.meta.url, async ({ record, trouble, open }) => {
    const id = site3.createId();
    let writes = 0;
    let lost = 0;
    let isCounting = false;
    const site = await open({
        configuration: site3.createConfiguration(1, { keys: ["key-a", "key-b"] }),
        workers: Array.from({ length: 4 }, () => ({ service: "booking", capacity: site3.WORKER_CAPACITY })),
        onTransact: (instance, body) => {
            writes += Number(isCounting);
            if (!trouble || !body.put?.some(row => row.table === "jobs" && row.key === id)) {
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
    const entry = site.instances.find(instance => instance !== site.getLeader());
    isCounting = true;

    // Other clients, so that the lost answers are a small share of the writes.
    let others = true;
    const traffic = (async () => {
        while (others) {
            const at = site.instances.find(instance => instance !== entry);
            await site3.ask(site, at, "POST", site3.createId(), { body: site3.createJob(1, 500) });
            await site3.sleep(150);
        }
    })();
    const submitted = site3.ask(site, entry, "POST", id, { key: "key-b", body: site3.createJob(2, 3000) });
    await site3.sleep(REVOKED_AFTER_MS);
    record.write("operator: version 2 takes key-b away");
    site.store.put("config", site3.createConfiguration(2, { keys: ["key-a"] }));
    const reply = await submitted;
    record.write(`the only attempt to hand the job in is answered ${reply.status || "not at all"}`);
    await site3.sleep(LATE_MS + 3000);
    others = false;
    await traffic;
    record.write(`${lost} of ${writes} writes went without an answer; starts of the job: ${starts.length}`);
    const isRejected = [401, 404, 429, 503].includes(reply.status);
    return isRejected && starts.length > 0
        ? {
            kind: "broken",
            why: `REFUSED: the job's only attempt was rejected with ${reply.status}, and ${starts.length} tasks of it started`,
        }
        : { kind: "held", why: `the attempt was answered ${reply.status || "not at all"}, starts ${starts.length}` };
});

// Not a case, see ../../REPORT.md: a task that crashes its workers is started without end once it has run on a slow worker.
//
// Three instances and six workers. The task crashes each worker after an eighth of its work; the worker is back after
// 2.5 s under its id. One of the six workers is slow for 7 s, and the second start falls on it. With TROUBLE=0 no worker is
// slow.
import fs from "node:fs";
import path from "node:path";
import url from "node:url";
import { createId, createSite, sleep } from "../../standins/site.mjs";

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const IS_SLOW = process.env.TROUBLE !== "0";
const WORK_MS = 4_000;
const CRASH_MS = 500;
const BACK_MS = 2_500;
const SLOWDOWN = 6.5;
const SLOW_MS = 7_000;
const WATCHED_MS = Number(process.env.WATCHED_MS ?? 45_000);

const site = await createSite({ recordFile: path.join(FOLDER, "record.txt"), workers: 6, bornWorkers: true });
let exitCode = 2;
let isClosing = false;
const startWorker = number => {
    const worker = site.startWorker(number);
    worker.process.once("exit", () => {
        setTimeout(() => {
            if (!isClosing) {
                startWorker(number);
            }
        }, BACK_MS);
    });
    return { ...worker, number };
};
try {
    await site.start(startWorker);
    await sleep(3_000);
    const id = createId();
    const job = {
        spec: JSON.stringify({ ms: WORK_MS, crashMs: CRASH_MS }),
        steps: [{ count: 1, cpu: 1_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": WORK_MS }],
    };
    const slowFile = path.join(site.folder, "slow.json");
    if (await site.submit(id, job) !== 200) {
        throw new Error("the job was not accepted");
    }
    const list = event => site.readRecord().filter(line => line.event === event && line.task?.startsWith(id));
    const until = Date.now() + WATCHED_MS;
    let hasBeenSlow = false;
    let state;
    while (Date.now() < until && state !== "failed") {
        if (IS_SLOW && !hasBeenSlow && list("crash").length === 1) {
            hasBeenSlow = true;
            const first = list("start")[0].worker;
            const slow = site.workers.find(worker => worker.id !== first && worker.number === 1) ?? site.workers[0];
            fs.writeFileSync(slowFile, JSON.stringify({ [slow.id]: SLOWDOWN }));
            site.record("slow", { worker: slow.id, times: SLOWDOWN, forMs: SLOW_MS });
            setTimeout(() => {
                fs.writeFileSync(slowFile, "{}");
                site.record("slowOver", { worker: slow.id });
            }, SLOW_MS);
        }
        await sleep(250);
        ({ state } = await site.getStateAt(site.instances[0], id));
    }
    const crashes = list("crash");
    const thirdCrashAt = crashes[2]?.at ?? Infinity;
    const startsAfter = list("start").filter(line => line.at > thirdCrashAt).length;
    const result = { state, starts: list("start").length, crashes: crashes.length, startsAfterThirdCrash: startsAfter };
    site.record("result", result);
    process.stdout.write(`${JSON.stringify(result)}\n`);
    exitCode = startsAfter >= 3 ? 1 : 0;
}
catch (err) {
    site.record("error", { message: String(err) });
    process.stderr.write(`${err.stack}\n`);
}
isClosing = true;
await site.close();
process.exit(exitCode);

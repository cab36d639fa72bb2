// Case 1: one job whose steps name all earlier steps in `after` stops the whole site.
//
// Three instances and four workers. A client hands in five ordinary jobs, then the job with the steps, then ten more
// ordinary jobs. 14 s after the last of them all accepted jobs are asked for at all instances. With TROUBLE=0 the job
// has as many steps, and each names only the step before it.
import path from "node:path";
import url from "node:url";
import { createId, createSite, sleep } from "../standins/site.mjs";

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const STEPS = Number(process.env.STEPS ?? 32);
const FIRST_JOBS = 5;
const LATER_JOBS = 10;
const WORK_MS = 300;
/** `finish_s`: jobs are asked for this long after the end of the traffic. */
const FINISH_MS = 14_000;
/** A question waits for its answer for the client's deadline of 3 s, and is asked this many times at each instance. */
const QUESTIONS = 3;

const step = fields => ({ count: 1, cpu: 1_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": WORK_MS, ...fields });
const spec = JSON.stringify({ ms: WORK_MS });
const ordinary = { spec, steps: [step()] };
const listAfter = number => HAS_TROUBLE ? Array.from({ length: number }, (_, earlier) => earlier) : [number - 1];
const chain = {
    spec,
    steps: Array.from({ length: STEPS }, (_, number) => step({ after: number === 0 ? undefined : listAfter(number) })),
};

const site = await createSite({ recordFile: path.join(FOLDER, "record.txt") });
let exitCode = 2;
try {
    await site.start();
    const accepted = [];
    const submit = async (job, first) => {
        const id = createId();
        if (await site.submit(id, job, first) === 200) {
            accepted.push(id);
        }
        return id;
    };
    const askAll = async () => {
        const unanswered = new Set(accepted);
        const states = new Map();
        for (let question = 0; question < QUESTIONS && unanswered.size > 0; question++) {
            await Promise.all([...unanswered].flatMap(id =>
                site.instances.map(async instance => {
                    const { status, state } = await site.getStateAt(instance, id);
                    if (status === 200) {
                        unanswered.delete(id);
                        states.set(id, state);
                    }
                })
            ));
        }
        return { unanswered, states };
    };

    for (let number = 0; number < FIRST_JOBS; number++) {
        await submit(ordinary, number);
    }
    await sleep(3_000);
    const before = await askAll();
    site.record("before", {
        accepted: accepted.length,
        unanswered: before.unanswered.size,
        completed: [...before.states.values()].filter(state => state === "completed").length,
    });
    if (before.unanswered.size > 0 || accepted.length < FIRST_JOBS) {
        throw new Error("the site does not serve ordinary jobs");
    }
    const chainId = await submit(chain, 0);
    site.record("chain", { id: chainId, isAccepted: accepted.includes(chainId), bytes: JSON.stringify(chain).length });
    const later = [];
    for (let number = 0; number < LATER_JOBS; number++) {
        await sleep(300);
        later.push(submit(ordinary, number));
    }
    await sleep(FINISH_MS);
    for (const instance of site.instances) {
        const { status, why } = await site.call(instance.ready, "GET", "/-/ready", { timeoutMs: 1_000 });
        site.record("ready", { instance: instance.name, status, why, isRunning: instance.process.exitCode === null });
    }
    const after = await askAll();
    await Promise.all(later);
    const uncompleted = [...after.states].filter(([id, state]) => id !== chainId && state !== "completed");
    const result = {
        accepted: accepted.length,
        unanswered: after.unanswered.size,
        notCompleted: uncompleted.length,
        chain: after.states.get(chainId) ?? "no answer",
    };
    site.record("result", result);
    process.stdout.write(`${JSON.stringify(result)}\n`);
    exitCode = after.unanswered.size > 0 || uncompleted.length > 0 ? 1 : 0;
}
catch (err) {
    site.record("error", { message: String(err) });
    process.stderr.write(`${err.stack}\n`);
}
await site.close();
process.exit(exitCode);

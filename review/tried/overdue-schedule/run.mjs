// Not a case, see ../../REPORT.md: one scheduled job whose times have passed ends every instance for want of memory, one
// leader after another.
//
// Three instances and four workers. A client hands in five ordinary jobs, then a job of ten tasks that was to run every
// hour for a year, then twenty more ordinary jobs. An instance that ends is started again after 0.5 s, as the platform
// does. 14 s after the last job all accepted ones are asked for at all instances. With TROUBLE=0 the scheduled job is the
// same, and its first time is in an hour.
import path from "node:path";
import url from "node:url";
import { createId, createSite, sleep } from "../../standins/site.mjs";

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOUR_MS = 3_600_000;
const REPEATS = Number(process.env.REPEATS ?? 8_760);
const TASKS = 10;
const FIRST_JOBS = 5;
const LATER_JOBS = 20;
const WORK_MS = 300;
const RESTART_MS = 500;
/** `finish_s`: jobs are asked for this long after the end of the traffic. */
const FINISH_MS = 14_000;
/** The day goes on for this long after the scheduled job was accepted, unless the rule on ends is broken before. */
const LONGEST_MS = 98_000;
const ENDS_ALLOWED = 2;
const QUESTIONS = 3;

const step = { count: 1, cpu: 1_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": WORK_MS };
const spec = JSON.stringify({ ms: WORK_MS });
const ordinary = { spec, steps: [step] };
const scheduled = {
    spec,
    steps: [{ ...step, count: TASKS }],
    repeats: REPEATS,
    "initial-delay-ms": Date.now() + (HAS_TROUBLE ? -REPEATS : 1) * HOUR_MS,
    "period-ms": HOUR_MS,
};

const site = await createSite({ recordFile: path.join(FOLDER, "record.txt") });
let exitCode = 2;
/** Ends of processes by themselves, by instance. */
const ends = new Map();
let isClosing = false;
const keepRunning = index => {
    const instance = site.instances[index];
    instance.process.once("exit", (code, signal) => {
        if (isClosing) {
            return;
        }
        ends.set(instance.name, (ends.get(instance.name) ?? 0) + 1);
        site.record("endedByItself", { instance: instance.name, code, signal, times: ends.get(instance.name) });
        setTimeout(() => {
            if (!isClosing) {
                site.instances[index] = site.startInstance(instance.number);
                keepRunning(index);
            }
        }, RESTART_MS);
    });
};
try {
    await site.start();
    site.instances.forEach((_, index) => keepRunning(index));
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
    await sleep(2_000);
    const before = await askAll();
    if (accepted.length < FIRST_JOBS || [...before.states.values()].some(state => state !== "completed")) {
        throw new Error("the site does not serve ordinary jobs");
    }
    const scheduledId = await submit(scheduled, 0);
    const scheduledAt = Date.now();
    site.record("scheduled", { id: scheduledId, isAccepted: accepted.includes(scheduledId) });
    const later = [];
    for (let number = 0; number < LATER_JOBS; number++) {
        await sleep(1_000);
        later.push(submit(ordinary, number));
    }
    await sleep(FINISH_MS);
    const after = await askAll();
    const hasEndedOften = () => [...ends.values()].filter(times => times > ENDS_ALLOWED).length >= 2;
    while (HAS_TROUBLE && !hasEndedOften() && Date.now() - scheduledAt < LONGEST_MS) {
        await sleep(500);
    }
    await Promise.all(later);
    const uncompleted = [...after.states].filter(([id, state]) => id !== scheduledId && state !== "completed");
    const result = {
        accepted: accepted.length,
        unanswered: after.unanswered.size,
        notCompleted: uncompleted.length,
        endsByThemselves: Object.fromEntries(ends),
    };
    site.record("result", result);
    process.stdout.write(`${JSON.stringify(result)}\n`);
    exitCode = hasEndedOften() || after.unanswered.size > 0 || uncompleted.length > 0 ? 1 : 0;
}
catch (err) {
    site.record("error", { message: String(err) });
    process.stderr.write(`${err.stack}\n`);
}
isClosing = true;
await site.close();
process.exit(exitCode);

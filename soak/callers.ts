/** Callers: they hand jobs in, come back when they are turned away, ask how their jobs are doing, and cancel some. */
import * as events from "node:events";
import * as standin from "../platform/standin/index";
import type * as catalogs from "../src/catalog/index";
import type * as clock from "../src/clock/index";
import * as emulator from "../src/emulator/index";
import type * as random from "../src/random/index";
import type * as balancers from "./loadBalancer";
import * as verdict from "./violations";

export interface CallersOptions {
    readonly clock: clock.Clock;
    readonly source: random.Random;
    /** For what is handed in and when, so that a seed always brings the same. */
    readonly jobSource: random.Random;
    /** For which jobs have tasks that take their workers down. */
    readonly poisonSource: random.Random;
    readonly balancer: balancers.LoadBalancer;
    readonly workers: emulator.EmulatedWorkers;
    readonly queues: readonly catalogs.Queue[];
    readonly key: string;
    /** Where new jobs are made known to the workers. */
    readonly jobs: Map<string, emulator.EmulatedJob>;
}

export interface Callers {
    readonly records: readonly verdict.JobRecord[];
    /** What was shown in contradiction to what had happened. */
    readonly violations: readonly string[];
    /** Hands in jobs, so many a second on average, until the signal. */
    run(perSecond: number, signal: AbortSignal): Promise<void>;
    /** Whether every job that was accepted has come to an end, and no caller is still trying. */
    isDone(): boolean;
    close(): void;
}

const PATIENCE_MS = 3_000;
const CONNECTIONS = 16;
const TRIES = 4;
const COME_BACK_MS = { least: 500, most: 1_100 };
const ASK_EVERY_MS = 700;
/** One job of so many is cancelled, after up to this long. */
const CANCEL_EVERY = 8;
const CANCEL_WITHIN_MS = 6_000;
const END_STATES = ["completed", "failed", "cancelled"];

export function createCallers(options: CallersOptions): Callers {
    const { clock: time, source, balancer, key } = options;
    const client = standin.createCallerClient({ timeoutMs: PATIENCE_MS, maxConnections: CONNECTIONS });
    const records: verdict.JobRecord[] = [];
    const breaches: string[] = [];
    const closed = new AbortController();
    events.setMaxListeners(0, closed.signal);
    let handingIn = 0;
    let nextNumber = 0;

    const getQueue = (job: emulator.EmulatedJob) => options.queues.find(queue => queue.name === job.queue)!;
    const comeBack = () =>
        time.sleep(COME_BACK_MS.least + source.nextInt(COME_BACK_MS.most - COME_BACK_MS.least), closed.signal);

    const handIn = async (record: verdict.JobRecord) => {
        const { job } = record;
        let open = false;
        for (let attempt = 1; attempt <= TRIES && record.acceptedAt === undefined; attempt++) {
            const reply = await client.submit(balancer.pick(), getQueue(job), key, job.jobId, job.spec);
            if (reply.kind === "done") {
                record.acceptedAt = time.now();
                break;
            }
            open ||= reply.kind !== "refused";
            await comeBack();
        }
        record.refused = record.acceptedAt === undefined && !open;
    };
    const cancel = async (record: verdict.JobRecord) => {
        const { job } = record;
        record.cancelSentAt = time.now();
        while (record.cancelledAt === undefined && !closed.signal.aborted) {
            const reply = await client.cancel(balancer.pick(), getQueue(job), key, job.jobId);
            if (reply.kind === "done" || reply.kind === "unknownJob") {
                record.cancelledAt = time.now();
                return;
            }
            await comeBack();
        }
    };
    const follow = async (record: verdict.JobRecord) => {
        const { job } = record;
        while (!closed.signal.aborted && !hasEnded(record)) {
            await time.sleep(ASK_EVERY_MS, closed.signal);
            const reply = await client.getState(balancer.pick(), getQueue(job), key, job.jobId);
            if (reply.kind === "state") {
                record.state = reply.state;
                breaches.push(...verdict.checkReportedState(record, reply.state, options.workers));
            }
        }
    };
    const live = async (record: verdict.JobRecord) => {
        handingIn++;
        await handIn(record);
        handingIn--;
        if (record.acceptedAt === undefined) {
            return;
        }
        if (source.nextInt(CANCEL_EVERY) === 0) {
            void time.sleep(source.nextInt(CANCEL_WITHIN_MS), closed.signal).then(() => cancel(record));
        }
        await follow(record);
    };
    return {
        records,
        violations: breaches,
        run: async (perSecond, signal) => {
            while (!signal.aborted) {
                const drawn = emulator.createRandomJob(options.jobSource, nextNumber++);
                const job = emulator.withRandomCrashes(options.poisonSource, drawn);
                options.jobs.set(job.jobId, job);
                const record: verdict.JobRecord = {
                    job,
                    refused: false,
                    acceptedAt: undefined,
                    cancelSentAt: undefined,
                    cancelledAt: undefined,
                    state: undefined,
                };
                records.push(record);
                void live(record);
                await time.sleep(options.jobSource.nextExponential(1_000 / perSecond), signal);
            }
        },
        isDone: () => handingIn === 0 && records.every(record => record.acceptedAt === undefined || hasEnded(record)),
        close: () => {
            closed.abort();
            client.close();
        },
    };
}

function hasEnded(record: verdict.JobRecord): boolean {
    return record.state !== undefined && END_STATES.includes(record.state);
}

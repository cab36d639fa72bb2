/**
 * Simulated callers: they submit jobs, retry refused requests, poll the states of their jobs, and cancel some of them.
 */
import * as events from "node:events";
import * as standin from "../platform/standin/index";
import type * as catalogs from "../src/catalog/index";
import type * as clock from "../src/clock/index";
import * as emulator from "../src/emulator/index";
import type * as random from "../src/random/index";
import type * as loadBalancers from "./loadBalancer";
import * as violationChecks from "./violations";

export interface CallersOptions {
    readonly clock: clock.Clock;
    readonly source: random.Random;
    /** Source of the jobs and of their arrival times, which depend on the seed alone. */
    readonly jobSource: random.Random;
    /** Source of the choice of jobs whose tasks crash their workers. */
    readonly crashSource: random.Random;
    /** Source of jobs of unusual shapes; without it there are none. */
    readonly unusualJobSource?: random.Random;
    readonly balancer: loadBalancers.LoadBalancer;
    readonly workers: emulator.EmulatedWorkers;
    readonly queues: readonly catalogs.Queue[];
    readonly key: string;
    /** Submitted jobs by id, which the emulated workers read. */
    readonly jobs: Map<string, emulator.EmulatedJob>;
}

export interface Callers {
    readonly records: readonly violationChecks.JobRecord[];
    /** Reported states that contradict what the workers had run before the report. */
    readonly violations: readonly string[];
    /** Submits jobs at this average rate until the signal is aborted. */
    run(perSecond: number, signal: AbortSignal): Promise<void>;
    /** Whether every accepted job has ended and no submission is in progress. */
    isDone(): boolean;
    close(): void;
}

const REQUEST_TIMEOUT_MS = 3_000;
const MAX_CONNECTIONS = 16;
const MAX_SUBMIT_ATTEMPTS = 4;
const RETRY_DELAY_MS = { minMs: 500, maxMs: 1_100 };
const POLL_INTERVAL_MS = 700;
/** One job in this many is cancelled. */
const CANCEL_ONE_IN = 8;
/** Longest time from the acceptance of a job to its cancellation. */
const MAX_CANCEL_DELAY_MS = 6_000;
/** One job of an unusual shape is added to this many others on average. */
const UNUSUAL_ONE_IN = 6;
const END_STATES = ["completed", "failed", "cancelled"];

export function createCallers(options: CallersOptions): Callers {
    const { clock: time, source, balancer, key } = options;
    const client = standin.createCallerClient({ timeoutMs: REQUEST_TIMEOUT_MS, maxConnections: MAX_CONNECTIONS });
    const records: violationChecks.JobRecord[] = [];
    const violations: string[] = [];
    const closed = new AbortController();
    events.setMaxListeners(0, closed.signal);
    let submitting = 0;
    let nextNumber = 0;

    const getQueue = (job: emulator.EmulatedJob) => options.queues.find(queue => queue.name === job.queue)!;
    const waitToRetry = () =>
        time.sleep(RETRY_DELAY_MS.minMs + source.nextInt(RETRY_DELAY_MS.maxMs - RETRY_DELAY_MS.minMs), closed.signal);

    const submit = async (record: violationChecks.JobRecord) => {
        const { job } = record;
        // An attempt without a clear answer may still have been accepted.
        let mayBeAccepted = false;
        for (let attempt = 1; attempt <= MAX_SUBMIT_ATTEMPTS && record.acceptedAt === undefined; attempt++) {
            const reply = await client.submit(balancer.pick(), getQueue(job), key, job.jobId, job.spec);
            if (reply.kind === "done") {
                record.acceptedAt = time.now();
                break;
            }
            mayBeAccepted ||= reply.kind !== "refused";
            await waitToRetry();
        }
        record.refused = record.acceptedAt === undefined && !mayBeAccepted;
    };
    const cancel = async (record: violationChecks.JobRecord) => {
        const { job } = record;
        record.cancelSentAt = time.now();
        while (record.cancelledAt === undefined && !closed.signal.aborted) {
            const reply = await client.cancel(balancer.pick(), getQueue(job), key, job.jobId);
            if (reply.kind === "done" || reply.kind === "unknownJob") {
                record.cancelledAt = time.now();
                return;
            }
            await waitToRetry();
        }
    };
    const pollUntilEnded = async (record: violationChecks.JobRecord) => {
        const { job } = record;
        while (!closed.signal.aborted && !hasEnded(record)) {
            await time.sleep(POLL_INTERVAL_MS, closed.signal);
            const reply = await client.getState(balancer.pick(), getQueue(job), key, job.jobId);
            if (reply.kind === "state") {
                record.state = reply.state;
                violations.push(...violationChecks.checkReportedState(record, reply.state, options.workers));
            }
        }
    };
    const runJob = async (record: violationChecks.JobRecord) => {
        submitting++;
        await submit(record);
        submitting--;
        if (record.acceptedAt === undefined) {
            return;
        }
        if (source.nextInt(CANCEL_ONE_IN) === 0) {
            void time.sleep(source.nextInt(MAX_CANCEL_DELAY_MS), closed.signal).then(() => cancel(record));
        }
        await pollUntilEnded(record);
    };
    const addJob = (job: emulator.EmulatedJob) => {
        options.jobs.set(job.jobId, job);
        const record: violationChecks.JobRecord = {
            job,
            refused: false,
            acceptedAt: undefined,
            cancelSentAt: undefined,
            cancelledAt: undefined,
            state: undefined,
        };
        records.push(record);
        void runJob(record);
    };
    return {
        records,
        violations,
        run: async (perSecond, signal) => {
            const { unusualJobSource } = options;
            while (!signal.aborted) {
                const randomJob = emulator.createRandomJob(options.jobSource, nextNumber);
                addJob(emulator.withRandomCrashes(options.crashSource, randomJob));
                if (unusualJobSource?.nextInt(UNUSUAL_ONE_IN) === 0) {
                    addJob(emulator.createUnusualJob(unusualJobSource, nextNumber, time.wallTime()));
                }
                nextNumber++;
                await time.sleep(options.jobSource.nextExponential(1_000 / perSecond), signal);
            }
        },
        isDone: () => submitting === 0 && records.every(record => record.acceptedAt === undefined || hasEnded(record)),
        close: () => {
            closed.abort();
            client.close();
        },
    };
}

function hasEnded(record: violationChecks.JobRecord): boolean {
    return record.state !== undefined && END_STATES.includes(record.state);
}

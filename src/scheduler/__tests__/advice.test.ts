import type * as clocks from "../../clock/index";
import type * as leader from "../../leader/index";
import * as fixtures from "./fixtures";

const ADVICE = { decideMs: 20, eachMs: 1, validMs: 3_000 };
const CATALOG = { ...fixtures.CATALOG, queues: fixtures.CATALOG.queues.map(queue => ({ ...queue, advice: ADVICE })) };
const WHOLE_MEMORY = { cpuMillis: 1_000, memoryMb: 65_536, accelerators: 0 };

interface Case {
    readonly name: string;
    /** The failure that the case guards against, and how it comes about. */
    readonly description: string;
    readonly workers: number;
    readonly members: number;
    readonly mayRun: (workerName: string) => boolean;
    readonly endsWithinMs: number;
    readonly fails?: (run: number) => boolean;
}

const cases: readonly Case[] = [
    {
        name: "a gang asks the adviser until workers for all its members are known",
        description:
            `A gang waits for seconds beside free workers: one of the first 30 workers may run it, and no more are
            asked about until its ticket expires.`,
        workers: 62,
        members: 3,
        mayRun: id => Number(id.split("-")[1]) % 30 === 0,
        endsWithinMs: 2_500,
    },
    {
        name: "after a failed run the adviser is asked about the step of the task",
        description:
            `A task that failed once never runs again: the only worker that may run it is avoided for its failure,
            and the adviser is asked for others by the name of the task, which it does not know.`,
        workers: 40,
        members: 1,
        mayRun: id => ["worker-0", "worker-35"].includes(id),
        endsWithinMs: 5_000,
        fails: run => run === 1,
    },
];

describe("advice", () => {
    test.each(cases)("$name", async ({ workers, members, mayRun, endsWithinMs, fails }) => {
        const job = fixtures.createJob(1, { count: members, gang: members > 1, needs: WHOLE_MEMORY }, {
            fails: (_task, run) => fails?.(run) ?? false,
        });
        const step = `${job.jobId}.0.0`;
        const adviser: leader.Adviser = {
            advise: async (name, workerNames) =>
                name === step
                    ? {
                        kind: "advised",
                        suitable: workerNames.filter(mayRun).map(workerName => ({
                            workerName,
                            ticket: `t-${workerName}`,
                        })),
                        validMs: ADVICE.validMs,
                    }
                    : { kind: "unavailable", message: `no such step: ${name}` },
        };
        const site = await fixtures.openSiteWithJobs({ workers, catalog: CATALOG, adviser }, [job]);
        await site.clock.advance(endsWithinMs);
        const state = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1));
        expect(state).toEqual({ kind: "state", state: "completed" });
        expect(fixtures.getStarts(site, job).filter(start => !mayRun(start.workerId))).toEqual([]);
        site.close();
    });
});

/**
 * An adviser that handles one call at a time, the abandoned ones too, refuses beyond 32 that wait, and allows every
 * worker. A call takes `serviceMs`.
 */
function createSerialAdviser(getClock: () => clocks.Clock, serviceMs: number): leader.Adviser & { calls: number; } {
    const MAX_WAITING = 32;
    let waitingCalls = 0;
    let freeAt = 0;
    const adviser = {
        calls: 0,
        advise: async (_step: string, workerNames: readonly string[], timeoutMs: number) => {
            const time = getClock();
            const { signal } = new AbortController();
            adviser.calls++;
            if (waitingCalls >= MAX_WAITING) {
                return { kind: "unavailable", message: "status 429" } as const;
            }
            waitingCalls++;
            freeAt = Math.max(freeAt, time.now()) + serviceMs;
            const answerInMs = freeAt - time.now();
            time.setTimer(answerInMs, () => waitingCalls--);
            await time.sleep(Math.min(answerInMs, timeoutMs), signal);
            return answerInMs > timeoutMs
                ? { kind: "unavailable", message: `no answer within ${timeoutMs} ms` } as const
                : {
                    kind: "advised",
                    suitable: workerNames.map(workerName => ({ workerName, ticket: `t-${workerName}` })),
                    validMs: 10_000,
                } as const;
        },
    };
    return adviser;
}

interface BurstCase {
    readonly name: string;
    readonly jobs: number;
    /** What the adviser takes for a call on 30 workers, of which the queue declares 500 ms. */
    readonly serviceMs: number;
    readonly startsWithinMs: number;
    readonly maxCalls: number;
}

const bursts: readonly BurstCase[] = [
    { name: "at once", jobs: 24, serviceMs: 500, startsWithinMs: 24 * 500 / 0.9 + 500, maxCalls: 24 },
    // One call is given up before the timeout is long enough, and is worked on as well.
    {
        name: "of an adviser that is slower than declared",
        jobs: 4,
        serviceMs: 3_000,
        startsWithinMs: 5 * 3_000 / 0.9 + 500,
        maxCalls: 5,
    },
];

// Guards against a burst of jobs after which the adviser works only on calls that have been given up, and none starts.
describe("more jobs wait for the adviser than it answers within a timeout", () => {
    test.each(bursts)("$name", async ({ jobs, serviceMs, startsWithinMs, maxCalls }) => {
        const queues = CATALOG.queues.map(queue => ({
            ...queue,
            advice: { decideMs: 200, eachMs: 10, validMs: 10_000 },
        }));
        const adviser = createSerialAdviser(() => site.clock, serviceMs);
        const site = fixtures.openSite({ workers: 30, catalog: { ...CATALOG, queues }, adviser });
        await site.clock.advance(1_000);
        const burst = Array.from({ length: jobs }, (_, number) => fixtures.createJob(number + 1));
        await Promise.all(burst.map(job => fixtures.advanceUntilSettled(site.clock, site.submit(job, 1))));
        await site.clock.advance(startsWithinMs);
        expect(burst.filter(job => fixtures.getStarts(site, job).length === 0)).toEqual([]);
        expect(adviser.calls).toBeLessThanOrEqual(maxCalls);
        site.close();
    });
});

// Guards against a job that waits beside free workers, since the adviser is kept busy for jobs that have no room: their
// tickets expire unused, and all of them are asked for again.
test("a job with room gets the next call of an adviser that is asked for many without", async () => {
    const CALL_MS = 500;
    const advice = { decideMs: 200, eachMs: 10, validMs: 10_000 };
    const [, plan, batch] = fixtures.CATALOG.queues;
    const queues = [batch!, { ...plan!, advice }, { ...plan!, name: "spare", service: "spare", advice }];
    const services = [...CATALOG.services, { ...CATALOG.services[0]!, name: "spare" }];
    const whole = { needs: WHOLE_MEMORY, estimateMs: 120_000 };
    const adviser = createSerialAdviser(() => site.clock, CALL_MS);
    const site = fixtures.openSite({ workers: 30, catalog: { ...CATALOG, queues, services }, adviser });
    site.workers.add({ ...fixtures.createWorkerInfo(99), service: "spare" });
    await site.clock.advance(1_000);
    const filling = fixtures.createJob(1, { ...whole, count: 30 }, { queue: "batch" });
    const waiting = Array.from({ length: 40 }, (_, number) => fixtures.createJob(number + 2, whole));
    for (const job of [filling, ...waiting]) {
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
    }
    await site.clock.advance(25_000);
    const spare = fixtures.createJob(50, {}, { queue: "spare" });
    await fixtures.advanceUntilSettled(site.clock, site.submit(spare, 1));
    await site.clock.advance(2 * CALL_MS + 500);
    expect(fixtures.getStarts(site, spare)).toHaveLength(1);
    site.close();
});

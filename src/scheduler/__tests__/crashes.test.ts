import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

const AT_ONCE_MS = 10;
const GANG = { count: 3, gang: true };
/** Duration of a restart that is longer than the maximum lease. */
const LONG_RESTART_MS = 9_000;

interface Case {
    readonly name: string;
    readonly job: emulator.EmulatedJob;
    /** Jobs that run at the same time and must all complete. */
    readonly others?: readonly emulator.EmulatedJob[];
    readonly workers?: number;
    readonly workerRestartMs?: number;
    readonly events?: ReadonlyArray<readonly [atMs: number, act: (site: fixtures.TestSite) => void]>;
    readonly runMs?: number;
    readonly state: string;
}

const crashing = (afterMs: number, isCrashing = (_task: string) => true): Partial<emulator.EmulatedJob> => ({
    getCrashAfterMs: task => isCrashing(task) ? afterMs : undefined,
});
const isFirst = (task: string) => task.endsWith(".0");
const killLeader = (site: fixtures.TestSite) => {
    const leader = site.getLeader();
    if (leader !== undefined) {
        site.kill(leader);
        site.restart(leader);
    }
};
const range = (count: number) => Array.from({ length: count }, (_, number) => number);

const cases: readonly Case[] = [
    {
        name: "as soon as it starts",
        job: fixtures.createJob(1, {}, crashing(AT_ONCE_MS)),
        state: "failed",
    },
    {
        name: "after working for two seconds",
        job: fixtures.createJob(1, { estimateMs: 5_000 }, crashing(2_000)),
        state: "failed",
    },
    {
        name: "for longer than the longest lease",
        job: fixtures.createJob(1, {}, crashing(AT_ONCE_MS)),
        workerRestartMs: LONG_RESTART_MS,
        runMs: 90_000,
        state: "failed",
    },
    {
        name: "after working, for longer than the longest lease",
        job: fixtures.createJob(1, { estimateMs: 5_000 }, crashing(2_000)),
        workerRestartMs: LONG_RESTART_MS,
        runMs: 120_000,
        state: "failed",
    },
    {
        name: "while the leader is lost after each crash",
        job: fixtures.createJob(1, {}, crashing(AT_ONCE_MS)),
        events: range(15).map(number => [1_500 + 3_300 * number, killLeader]),
        runMs: 90_000,
        state: "failed",
    },
    {
        name: "after its leader was lost during the first run, and its fourth worker began to drain",
        job: fixtures.createJob(1, { estimateMs: 5_000 }, crashing(1_500)),
        events: [[600, killLeader], [15_200, site => drainWorkerOf(site, 4)]],
        runMs: 60_000,
        state: "failed",
    },
    {
        name: "as a member of a gang",
        job: fixtures.createJob(1, GANG, crashing(AT_ONCE_MS, isFirst)),
        workers: 8,
        state: "failed",
    },
    {
        name: "with all tasks of a wide step",
        job: fixtures.createJob(1, { count: 6, needs: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 } }, {
            ...crashing(AT_ONCE_MS),
        }),
        workers: 8,
        runMs: 60_000,
        state: "failed",
    },
    {
        name: "as a lasting task",
        job: fixtures.createJob(1, { lasting: true }, crashing(AT_ONCE_MS)),
        state: "failed",
    },
    {
        name: "beside healthy tasks, which all complete",
        job: fixtures.createJob(1, {}, crashing(AT_ONCE_MS)),
        others: range(6).map(number => fixtures.createJob(2 + number, { count: 4, estimateMs: 4_000 })),
        runMs: 60_000,
        state: "failed",
    },
    {
        name: "never, but runs on workers that crash in groups",
        job: fixtures.createJob(1, { count: 12, estimateMs: 9_000 }),
        workers: 12,
        events: range(6).map(number => [
            500 + 5_000 * number,
            site => range(4).forEach(worker => crash(site, (number * 4 + worker) % 12)),
        ]),
        runMs: 90_000,
        state: "completed",
    },
    {
        name: "never, but has a worker that crashes twice",
        job: fixtures.createJob(1, { estimateMs: 6_000 }),
        events: [
            [3_000, site => crashWorkerOf(site, 1)],
            [9_500, site => crashWorkerOf(site, 1)],
        ],
        runMs: 40_000,
        state: "completed",
    },
];

/** Crashes the worker at the address of that number, whatever its current incarnation. */
function crash(site: fixtures.TestSite, number: number): void {
    const id = site.workers.findByAddress(fixtures.createWorkerInfo(number).address);
    if (id !== undefined) {
        site.crashWorker(id);
    }
}

/** Drains the worker that runs the only task of job 1; this must be its run number `run`. */
function drainWorkerOf(site: fixtures.TestSite, run: number): void {
    const starts = fixtures.getStarts(site, fixtures.createJob(1));
    expect(starts).toHaveLength(run);
    expect(site.workers.countRunning(starts.at(-1)!.workerId)).toBe(1);
    site.workers.drain(starts.at(-1)!.workerId, 10_000);
}

/** Crashes the worker that runs the job's task. */
function crashWorkerOf(site: fixtures.TestSite, jobNumber: number): void {
    const latest = fixtures.getStarts(site, fixtures.createJob(jobNumber)).at(-1)!;
    expect(site.workers.countRunning(latest.workerId)).toBe(1);
    site.crashWorker(latest.workerId);
}

// Guards against a task that crashes each of its workers and is restarted without end.
describe("a task that crashes its worker", () => {
    test.each(cases)("$name", async ({ job, others = [], events = [], runMs = 40_000, ...testCase }) => {
        const site = await fixtures.openSiteWithJobs({ workers: 4, ...testCase }, [job, ...others]);
        const startedAt = site.clock.now();
        for (const [atMs, act] of events) {
            await site.clock.advance(Math.max(0, startedAt + atMs - site.clock.now()));
            act(site);
        }
        await site.clock.advance(startedAt + runMs - site.clock.now());
        const states: unknown[] = [];
        for (const { jobId } of [job, ...others]) {
            const reply = await fixtures.advanceUntilSettled(site.clock, site.getState(jobId, site.getLeader() ?? 1));
            states.push(reply.kind === "state" ? reply.state : reply.kind);
        }
        site.close();
        expect(site.workers.violations).toEqual([]);
        expect(states).toEqual([testCase.state, ...others.map(() => "completed")]);
    });
});

// Guards against healthy work that is lost because it runs beside the second start of a task that crashed its worker.
test("a task that has crashed its worker is started apart from others", async () => {
    const healthyJob = fixtures.createJob(1, { count: 7, estimateMs: 6_000 });
    // Runs longer than its workers are down, so that each run certainly ended in the crash.
    const crashingJob = fixtures.createJob(2, { estimateMs: 9_000 }, crashing(AT_ONCE_MS));
    const site = await fixtures.openSiteWithJobs({ workers: 4 }, [healthyJob]);
    await site.clock.advance(2_000);
    await fixtures.advanceUntilSettled(site.clock, site.submit(crashingJob, 1));
    // The next job is submitted just after the second run of the crashing task has begun.
    await site.clock.advance(3_200);
    const later = fixtures.createJob(3, { count: 3 });
    await fixtures.advanceUntilSettled(site.clock, site.submit(later, 1));
    await site.clock.advance(15_000);
    site.close();
    expect(site.workers.violations).toEqual([]);
    expect(fixtures.getStarts(site, crashingJob)).toHaveLength(2);
    expect(fixtures.getStarts(site, healthyJob)).toHaveLength(14);
    expect(fixtures.getStarts(site, later)).toHaveLength(3);
});

// Guards against a healthy job that fails because starts sent to workers already down count as crashes of its task.
test("a task lost with its worker is only sent to a worker that answers", async () => {
    const sent: Array<{ worker: string; call: string; isDown: boolean; }> = [];
    const down = new Set<string>();
    const job = fixtures.createJob(1, { estimateMs: 6_000 });
    const site: fixtures.TestSite = await fixtures.openSiteWithJobs({
        workers: 4,
        workerFaults: () => ({
            decide: (worker, call) => {
                sent.push({ worker, call, isDown: down.has(worker) });
                return "none";
            },
            lateMs: 0,
            getSlowdown: () => 1,
        }),
    }, [job]);
    await site.clock.advance(2_000);
    crashWorkerOf(site, 1);
    const [first] = fixtures.getStarts(site, job);
    const others = range(4).map(number => `worker-${number}`).filter(worker => worker !== first!.workerId);
    // The other workers crash as the first one restarts and its task is found to be lost.
    await site.clock.advance(2_500);
    others.forEach(worker => {
        down.add(worker);
        site.crashWorker(worker);
    });
    await site.clock.advance(20_000);
    site.close();
    expect(sent.filter(({ call, isDown }) => call === "start" && isDown)).toEqual([]);
    expect(sent.filter(({ call, isDown }) => call === "poll" && isDown).length).toBeGreaterThan(0);
    expect(fixtures.getStarts(site, job)).toHaveLength(2);
    expect(site.workers.completionCounts.size).toBe(1);
});

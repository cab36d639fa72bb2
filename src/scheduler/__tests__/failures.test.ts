import type * as clocks from "../../clock/index";
import * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

interface Case {
    readonly name: string;
    /** The failure that the case guards against, and how it comes about. */
    readonly description: string;
    readonly jobs: readonly emulator.EmulatedJob[];
    readonly instances?: number;
    readonly workers?: number;
    readonly storeFaults?: (time: clocks.Clock) => emulator.StoreFaults;
    readonly workerFaults?: (time: clocks.Clock) => emulator.WorkerFaults;
    /** Actions while the jobs run, each at a time in milliseconds after their submission. */
    readonly events?: ReadonlyArray<readonly [atMs: number, act: (site: fixtures.TestSite) => void]>;
    readonly runMs: number;
    readonly states?: readonly string[];
}

const FROM_START_MS = 1_000;

/** Returns a function that injects `fault` into every `every`-th call between two times. */
function createFaultSource<T>(
    time: clocks.Clock,
    fromMs: number,
    toMs: number,
    every: number,
    fault: T,
    none: T,
): () => T {
    let calls = 0;
    return () => {
        const now = time.now() - FROM_START_MS;
        return now >= fromMs && now < toMs && calls++ % every === 0 ? fault : none;
    };
}

const MIXED_JOBS = [
    fixtures.createJob(1, { count: 6 }),
    fixtures.createJob(2, {
        count: 4,
        gang: true,
        sameRack: true,
        needs: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 2 },
    }),
    fixtures.createJob(3, { count: 3, checkpoints: true, estimateMs: 6_000 }, { queue: "batch" }),
    fixtures.createJob(4, { count: 2, gang: true }, { queue: "urgent" }),
];

const cases: readonly Case[] = [
    {
        name: "no failures",
        description: "Nothing fails: every task runs once.",
        jobs: MIXED_JOBS,
        runMs: 12_000,
    },
    {
        name: "the leader is killed",
        description:
            `Tasks run twice: a leader dies with starts in flight, and its successor places the same tasks elsewhere,
            since the rows do not name the starts before they are sent.`,
        jobs: MIXED_JOBS,
        events: [[300, site => site.kill(site.getLeader()!)]],
        runMs: 25_000,
    },
    {
        name: "the leader is killed as its first starts are sent",
        description:
            `A task runs on two workers: the leader dies between storing a placement and the worker's answer, and its
            successor finds the task on no worker and starts it at once, though the start may still be in flight.`,
        jobs: MIXED_JOBS,
        events: [[12, site => site.kill(site.getLeader()!)]],
        runMs: 25_000,
    },
    {
        name: "every instance is killed and restarts",
        description:
            "Accepted jobs are lost: all instances die at once, and something confirmed to a caller was not stored.",
        jobs: MIXED_JOBS,
        events: [
            [500, site => [0, 1].forEach(site.kill)],
            [1_500, site => [0, 1].forEach(site.restart)],
        ],
        runMs: 30_000,
    },
    {
        name: "the leader is shut down cleanly",
        description:
            "Nothing starts for seconds at each shutdown: the leader does not release its lease, which has to expire.",
        jobs: MIXED_JOBS,
        events: [[300, site => void site.stop(site.getLeader()!)]],
        runMs: 15_000,
    },
    {
        name: "starts without an answer are carried out late",
        description:
            `A task runs twice: a start without an answer is treated as refused, the task is started elsewhere, and
            then the first worker carries out the start.`,
        jobs: MIXED_JOBS,
        workerFaults: time => {
            const next = createFaultSource<emulator.OrderFault>(time, 0, 4_000, 3, "late", "none");
            return { decide: (_id, call) => call === "start" ? next() : "none", lateMs: 2_500, getSlowdown: () => 1 };
        },
        runMs: 40_000,
    },
    {
        name: "answers of workers are lost",
        description:
            `A task runs twice, or never again: a worker carries out a command, its answer is lost, and the command is
            repeated as a new run without polling the worker first.`,
        jobs: MIXED_JOBS,
        workerFaults: time => {
            const next = createFaultSource<emulator.OrderFault>(time, 0, 4_000, 4, "loseAnswer", "none");
            return { decide: () => next(), lateMs: 0, getSlowdown: () => 1 };
        },
        runMs: 40_000,
    },
    {
        name: "answers of the store are lost, writes come late",
        description:
            `A task runs twice after a takeover: a write without an answer is carried out after a newer one and undoes
            it, since it is not conditional on the row's version.`,
        jobs: MIXED_JOBS,
        storeFaults: time => {
            const lose = createFaultSource<emulator.StoreFault>(time, 0, 5_000, 4, "loseAnswer", "none");
            const late = createFaultSource<emulator.StoreFault>(time, 0, 5_000, 5, "late", "none");
            return {
                decide: (_caller, call) => {
                    if (call !== "transact") {
                        return "none";
                    }
                    const fault = lose();
                    return fault === "none" ? late() : fault;
                },
                lateMs: 1_700,
            };
        },
        events: [[4_000, site => site.getLeader() !== undefined && site.kill(site.getLeader()!)]],
        runMs: 40_000,
    },
    {
        name: "the store is unreachable for five seconds",
        description:
            `All running work is lost: the store is unreachable for longer than the leader's lease, and the leader
            stops renewing the leases of running tasks although nobody can have taken over.`,
        jobs: [fixtures.createJob(1, { count: 4, estimateMs: 9_000 })],
        storeFaults: time => ({
            decide: createFaultSource<emulator.StoreFault>(time, 2_000, 7_000, 1, "silent", "none"),
            lateMs: 0,
        }),
        runMs: 14_000,
    },
    {
        name: "only the leader loses the store, and reaches it again later",
        description:
            `Two leaders send commands at once: only the leader's calls to the store fail, another instance takes
            over, and the first goes on without noticing that its lease has expired.`,
        jobs: MIXED_JOBS,
        storeFaults: time => ({
            decide: caller => {
                const now = time.now() - FROM_START_MS;
                return caller === emulator.getInstanceName(0) && now > 200 && now < 9_000 ? "silent" : "none";
            },
            lateMs: 0,
        }),
        runMs: 40_000,
    },
    {
        name: "a worker is lost for good",
        description: `Tasks never end: a worker crashes while it runs tasks, and they count as running forever, since
            nobody reports their end.`,
        jobs: MIXED_JOBS,
        events: [[600, site => site.workers.kill("worker-0", false)]],
        runMs: 40_000,
    },
    {
        name: "workers are cut off for three seconds and keep running",
        description:
            `A task runs twice: a worker is unreachable and counts as dead before its granted lease has expired, so
            its tasks are started elsewhere while it still runs them.`,
        jobs: MIXED_JOBS,
        workerFaults: time => ({
            decide: id => {
                const now = time.now() - FROM_START_MS;
                return (id === "worker-0" || id === "worker-1") && now > 500 && now < 3_500 ? "cut" : "none";
            },
            lateMs: 0,
            getSlowdown: () => 1,
        }),
        runMs: 40_000,
    },
    {
        name: "tasks on one worker are stalled",
        description:
            `Jobs never end: a worker answers every poll while its tasks make no progress, and a renewed lease is
            taken for progress.`,
        jobs: [fixtures.createJob(1, { count: 8, needs: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 4 } })],
        workerFaults: () => ({
            decide: () => "none",
            lateMs: 0,
            getSlowdown: id => id === "worker-1" ? Infinity : 1,
        }),
        runMs: 20_000,
    },
    {
        name: "a run fails and the next one succeeds",
        description:
            "A task that failed is run again on another worker; other members of its gang end and restart with it.",
        jobs: [
            fixtures.createJob(1, { count: 3 }, { fails: (task, run) => task.endsWith(".1") && run === 1 }),
            fixtures.createJob(2, { count: 3, gang: true }, { fails: (task, run) => task.endsWith(".1") && run === 1 }),
        ],
        runMs: 15_000,
    },
    {
        name: "a job whose tasks always fail ends as failed",
        description: "A job that always fails occupies workers forever: its attempts are not counted across runs.",
        jobs: [fixtures.createJob(1, { count: 2 }, { fails: () => true })],
        runMs: 15_000,
        states: ["failed"],
    },
    {
        name: "attempts are counted across a takeover",
        description: `A task runs more often than its queue allows: the leader dies after a failed run, and the count of
            attempts is not stored with the end of the run.`,
        jobs: [fixtures.createJob(1, { count: 1 }, { fails: () => true })],
        events: [[2_300, site => site.kill(site.getLeader()!)]],
        runMs: 25_000,
        states: ["failed"],
    },
];

/** Submits a job as callers do: while the outcome is undecided they retry with the same id. */
async function submitUntilDecided(site: fixtures.TestSite, job: emulator.EmulatedJob): Promise<void> {
    let reply = await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
    for (let retry = 0; retry < MAX_RETRIES && reply.kind === "undecided"; retry++) {
        reply = await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
    }
    expect(reply.kind).toBe("accepted");
}

/** Callers try five times in total. */
const MAX_RETRIES = 4;

describe("jobs under failures", () => {
    test.each(cases)("$name", async testCase => {
        const site = fixtures.openSite(testCase);
        await site.clock.advance(FROM_START_MS);
        for (const job of testCase.jobs) {
            await submitUntilDecided(site, job);
        }
        const startedAt = site.clock.now();
        for (const [atMs, act] of testCase.events ?? []) {
            await site.clock.advance(startedAt + atMs - site.clock.now());
            act(site);
        }
        await site.clock.advance(startedAt + testCase.runMs - site.clock.now());
        const states: string[] = [];
        for (const job of testCase.jobs) {
            const alive = site.getLeader() ?? 1;
            const reply = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, alive));
            states.push(reply.kind === "state" ? reply.state : reply.kind);
        }
        site.close();
        expect(site.workers.violations).toEqual([]);
        expect(states).toEqual(testCase.states ?? testCase.jobs.map(() => "completed"));
    });
});

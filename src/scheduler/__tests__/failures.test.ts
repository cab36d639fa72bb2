import type * as clocks from "../../clock/index";
import * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

interface Case {
    /** Symptom, sequence, cause: what the users would see without the guard, and how it comes about. */
    readonly name: string;
    readonly story: string;
    readonly jobs: readonly emulator.EmulatedJob[];
    readonly instances?: number;
    readonly workers?: number;
    readonly storeFaults?: (time: clocks.Clock) => emulator.StoreFaults;
    readonly workerFaults?: (time: clocks.Clock) => emulator.WorkerFaults;
    /** What happens while the jobs run: at each time, in milliseconds after they were handed in. */
    readonly events?: ReadonlyArray<readonly [atMs: number, act: (site: fixtures.TestSite) => void]>;
    readonly runMs: number;
    readonly states?: readonly string[];
}

const FROM_START_MS = 1_000;

/** Faults of one kind between two times, by a coin that repeats. */
function between<T>(time: clocks.Clock, fromMs: number, toMs: number, every: number, fault: T, none: T): () => T {
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
        name: "a calm day",
        story: "Nothing fails: every task runs once.",
        jobs: MIXED_JOBS,
        runMs: 12_000,
    },
    {
        name: "the leader is killed",
        story: `Symptom: tasks run twice. Sequence: a leader dies with orders out; its successor places the same tasks
            elsewhere. Cause: the successor does not know the orders, unless the rows name them before they go out.`,
        jobs: MIXED_JOBS,
        events: [[300, site => site.kill(site.getLeader()!)]],
        runMs: 25_000,
    },
    {
        name: "the leader is killed as its first orders go out",
        story: `Symptom: a task runs on two workers. Sequence: the leader dies between storing a placement and the
            worker's answer. Cause: the successor finds the task on no list and starts it at once, though the order
            may still be under way.`,
        jobs: MIXED_JOBS,
        events: [[12, site => site.kill(site.getLeader()!)]],
        runMs: 25_000,
    },
    {
        name: "every instance is killed and comes back",
        story: `Symptom: accepted jobs vanish. Sequence: all instances die at once. Cause: something that was promised
            lay in memory only.`,
        jobs: MIXED_JOBS,
        events: [
            [500, site => [0, 1].forEach(site.kill)],
            [1_500, site => [0, 1].forEach(site.restart)],
        ],
        runMs: 30_000,
    },
    {
        name: "the leader stops in good order",
        story: `Symptom: seconds without a start at each replacement. Sequence: the leader is stopped. Cause: nobody
            is told, and the lease has to lapse.`,
        jobs: MIXED_JOBS,
        events: [[300, site => void site.stop(site.getLeader()!)]],
        runMs: 15_000,
    },
    {
        name: "orders without an answer are carried out late",
        story: `Symptom: a task runs twice. Sequence: a start gets no answer, the task is started elsewhere, then the
            first worker carries the order out. Cause: silence was taken for a refusal.`,
        jobs: MIXED_JOBS,
        workerFaults: time => {
            const next = between<emulator.OrderFault>(time, 0, 4_000, 3, "late", "none");
            return { decide: (_id, call) => call === "start" ? next() : "none", lateMs: 2_500, getSlowdown: () => 1 };
        },
        runMs: 40_000,
    },
    {
        name: "answers of workers are lost",
        story: `Symptom: a task runs twice, or never again. Sequence: a worker carries an order out and the answer is
            lost. Cause: the order was repeated under a new run without looking first.`,
        jobs: MIXED_JOBS,
        workerFaults: time => {
            const next = between<emulator.OrderFault>(time, 0, 4_000, 4, "loseAnswer", "none");
            return { decide: () => next(), lateMs: 0, getSlowdown: () => 1 };
        },
        runMs: 40_000,
    },
    {
        name: "answers of the store are lost, writes come late",
        story:
            `Symptom: a task runs twice after a takeover. Sequence: a write gets no answer, a newer one succeeds, then
            the first is carried out and undoes it. Cause: the write was not bound to the row's version.`,
        jobs: MIXED_JOBS,
        storeFaults: time => {
            const lose = between<emulator.StoreFault>(time, 0, 5_000, 4, "loseAnswer", "none");
            const late = between<emulator.StoreFault>(time, 0, 5_000, 5, "late", "none");
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
        name: "the store is away for five seconds",
        story: `Symptom: all running work is lost. Sequence: the store is away for longer than the leader's lease.
            Cause: the leader stops prolonging what runs although nobody can have taken over.`,
        jobs: [fixtures.createJob(1, { count: 4, estimateMs: 9_000 })],
        storeFaults: time => ({
            decide: between<emulator.StoreFault>(time, 2_000, 7_000, 1, "silent", "none"),
            lateMs: 0,
        }),
        runMs: 14_000,
    },
    {
        name: "the leader alone loses the store and wakes up later",
        story: `Symptom: two leaders order at once. Sequence: the store turns the leader away, another takes over, the
            first goes on. Cause: its lease was over and it did not look.`,
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
        name: "a worker dies and another life takes its place",
        story: `Symptom: its tasks never end. Sequence: a worker crashes with work. Cause: the work counts as running
            for ever, since nobody hears of its end.`,
        jobs: MIXED_JOBS,
        events: [[600, site => site.workers.kill("worker-0", false)]],
        runMs: 40_000,
    },
    {
        name: "workers are cut off for three seconds and run on",
        story: `Symptom: a task runs twice. Sequence: a worker cannot be reached and its tasks are started elsewhere
            while it works on. Cause: silence was taken for death before the granted lease was over.`,
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
        name: "tasks on one worker stand still",
        story: `Symptom: jobs never end. Sequence: a worker answers every look, and its tasks make no progress. Cause:
            a held lease was taken for progress.`,
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
        story: "A task that fails once is run again, elsewhere; a gang's other members end with it and start together.",
        jobs: [
            fixtures.createJob(1, { count: 3 }, { fails: (task, run) => task.endsWith(".1") && run === 1 }),
            fixtures.createJob(2, { count: 3, gang: true }, { fails: (task, run) => task.endsWith(".1") && run === 1 }),
        ],
        runMs: 15_000,
    },
    {
        name: "a job whose tasks always fail ends as failed",
        story: `Symptom: a job that cannot be done takes room for ever. Cause: attempts were not counted across runs.`,
        jobs: [fixtures.createJob(1, { count: 2 }, { fails: () => true })],
        runMs: 15_000,
        states: ["failed"],
    },
    {
        name: "attempts are counted across a takeover",
        story: `Symptom: more runs than the queue allows. Sequence: the leader dies after a failed run. Cause: the count
            was not stored with the end.`,
        jobs: [fixtures.createJob(1, { count: 1 }, { fails: () => true })],
        events: [[2_300, site => site.kill(site.getLeader()!)]],
        runMs: 25_000,
        states: ["failed"],
    },
];

/** As callers do: where the outcome is open they ask again with the same id. */
async function handIn(site: fixtures.TestSite, job: emulator.EmulatedJob): Promise<void> {
    let reply = await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
    for (let again = 0; again < MOST_REPEATS && reply.kind === "undecided"; again++) {
        reply = await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
    }
    expect(reply.kind).toBe("accepted");
}

/** Callers try five times. */
const MOST_REPEATS = 4;

describe("jobs under failures", () => {
    test.each(cases)("$name", async testCase => {
        const site = fixtures.openSite(testCase);
        await site.clock.advance(FROM_START_MS);
        for (const job of testCase.jobs) {
            await handIn(site, job);
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
        expect(site.workers.breaches).toEqual([]);
        expect(states).toEqual(testCase.states ?? testCase.jobs.map(() => "completed"));
    });
});

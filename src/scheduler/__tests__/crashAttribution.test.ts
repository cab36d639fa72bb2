import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

const AT_ONCE_MS = 10;
const STEP_MS = 5;
/** Long enough for a run to be well under way. */
const AT_WORK_MS = 1_500;
const CUT_MS = 3_000;

interface Script {
    readonly site: fixtures.TestSite;
    /** Ids of workers that are cut off: calls to them get no answer. */
    readonly cut: Set<string>;
}

interface Case {
    readonly name: string;
    readonly job: emulator.EmulatedJob;
    readonly workers: number;
    /** Fault of a call to a worker that is not cut off; `number` counts the calls of that kind. */
    readonly decide?: (script: Script, call: string, number: number, worker: string) => emulator.OrderFault;
    /** Called as soon as a run of the task has begun. */
    readonly onRunStart?: (script: Script, run: number, workerId: string) => void;
    readonly runMs: number;
    readonly state: string;
}

const killLeader = ({ site }: Script) => {
    const leader = site.getLeader();
    if (leader !== undefined) {
        site.kill(leader);
        site.restart(leader);
    }
};
const crashRackOf = ({ site }: Script, workerId: string) => {
    const { rack } = site.workers.getInfo(workerId);
    for (let number = 0; number < RACKS * PER_RACK; number++) {
        const id = site.workers.findByAddress(fixtures.createWorkerInfo(number, PER_RACK).address);
        if (id !== undefined && id !== workerId && site.workers.getInfo(id).rack === rack) {
            site.crashWorker(id);
        }
    }
};
const RACKS = 2;
const PER_RACK = 4;

const crashing = fixtures.createJob(1, { estimateMs: 5_000 }, { getCrashAfterMs: () => AT_ONCE_MS });
const healthyJob = fixtures.createJob(1, { estimateMs: 600 });

const cases: readonly Case[] = [
    {
        name: "a task that crashes its workers is failed in time though no start is answered",
        job: crashing,
        workers: 4,
        decide: (_script, call) => call === "start" ? "loseAnswer" : "none",
        runMs: 60_000,
        state: "failed",
    },
    {
        name:
            "a task that crashes its workers is failed in time though each run loses the leader and the worker's rack",
        job: crashing,
        workers: RACKS * PER_RACK,
        onRunStart: (script, _run, workerId) => {
            crashRackOf(script, workerId);
            killLeader(script);
        },
        runMs: 90_000,
        state: "failed",
    },
    {
        name: "a task that crashes its workers is failed in time though one was draining and a leader was lost",
        job: fixtures.createJob(1, { estimateMs: 5_000 }, { getCrashAfterMs: () => AT_WORK_MS }),
        workers: 4,
        onRunStart: (script, run, workerId) => {
            switch (run) {
                case 1:
                    script.site.clock.setTimer(AT_WORK_MS - 200, () => killLeader(script));
                    break;
                case 2:
                    script.site.workers.drain(workerId, 20_000);
                    break;
            }
        },
        runMs: 90_000,
        state: "failed",
    },
    {
        name: "a task that may have ended before its unreachable workers crashed is not failed",
        job: healthyJob,
        workers: 4,
        decide: ({ site, cut }, call, number, worker) => {
            if (call === "start" && number <= 2) {
                cut.add(worker);
                site.clock.setTimer(CUT_MS, () => {
                    site.crashWorker(worker);
                    cut.delete(worker);
                });
            }
            return "none";
        },
        runMs: 60_000,
        state: "completed",
    },
];

// Guards against starts beyond the crash limit of a task, and against a healthy job that is failed because a lost run
// that need not be a crash was counted as one.
describe("of runs lost without a confirmed cause", () => {
    test.each(cases)("$name", async ({ job, workers, decide, onRunStart, runMs, state }) => {
        const calls = new Map<string, number>();
        const cut = new Set<string>();
        const site: fixtures.TestSite = fixtures.openSite({
            workers,
            workerFaults: () => ({
                decide: (worker, call) => {
                    calls.set(call, (calls.get(call) ?? 0) + 1);
                    return cut.has(worker) ? "cut" : decide?.({ site, cut }, call, calls.get(call)!, worker) ?? "none";
                },
                lateMs: 0,
                getSlowdown: () => 1,
            }),
        });
        await site.clock.advance(1_000);
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
        let begun = 0;
        for (const endAt = site.clock.now() + runMs; site.clock.now() < endAt;) {
            await site.clock.advance(STEP_MS);
            for (const start of site.workers.starts.slice(begun)) {
                onRunStart?.({ site, cut }, ++begun, start.workerId);
            }
        }
        const reply = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, site.getLeader() ?? 1));
        site.close();
        expect(site.workers.violations).toEqual([]);
        expect(reply).toMatchObject({ state });
    });
});

// Guards against a withdrawn start that is counted as a lost run because the leader was lost before storing the
// withdrawal.
test("after the loss of a worker no further run of its task is stored until the next worker has answered", async () => {
    const job = fixtures.createJob(1, { estimateMs: 6_000 });
    const site = await fixtures.openSiteWithJobs({ workers: 4, workerRestartMs: 60_000 }, [job]);
    await site.clock.advance(2_000);
    const [first] = fixtures.getStarts(site, job);
    site.crashWorker(first!.workerId);
    while (!site.lines.some(line => line["event"] === "runLost")) {
        await site.clock.advance(STEP_MS);
    }
    for (let number = 0; number < 4; number++) {
        const id = site.workers.findByAddress(fixtures.createWorkerInfo(number).address);
        if (id !== undefined) {
            site.crashWorker(id);
        }
    }
    await site.clock.advance(300);
    killLeader({ site, cut: new Set() });
    await site.clock.advance(20_000);
    site.close();
    expect(site.lines.filter(line => line["event"] === "runLost").map(line => line["run"])).toEqual([1]);
});

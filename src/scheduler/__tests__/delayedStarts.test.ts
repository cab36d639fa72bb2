import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

const LATE_MS = 9_000;
const DOWN_MS = 2_000;
/** Time after which a run whose start got no answer is stopped, and its task runs elsewhere. */
const STOPPED_MS = 4_000;
const JOB = 1;

interface Case {
    readonly name: string;
    /** How many copies of the task's first start order get no answer and are carried out late. */
    readonly lateCopies: number;
    readonly taskMs: number;
    /** Ends the worker of the first start after `afterMs`; it starts again under its name after `DOWN_MS`. */
    readonly afterMs: number;
    end(site: fixtures.TestSite, worker: string): void;
    /** What the worker reports of itself after that. */
    readonly changes?: Parameters<emulator.EmulatedWorkers["restart"]>[1];
}

const crash: Case["end"] = (site, worker) => site.workers.kill(worker, true);
const crashUnlisted: Case["end"] = (site, worker) => site.workers.kill(worker, false);

// Guards against a task that runs twice: a delayed copy of its start order is carried out by the next incarnation of the
// worker, which knows neither that the run was stopped nor that it has ended.
const cases: readonly Case[] = [
    {
        name: "that was stopped, after the worker's entry was removed",
        lateCopies: 2,
        taskMs: 20_000,
        afterMs: STOPPED_MS,
        end: crashUnlisted,
    },
    {
        name: "that was stopped, while the worker's entry remained",
        lateCopies: 2,
        taskMs: 20_000,
        afterMs: STOPPED_MS,
        end: crash,
    },
    {
        name: "that was stopped, after the worker drained and left",
        lateCopies: 2,
        taskMs: 20_000,
        afterMs: STOPPED_MS,
        end: (site, worker) => {
            site.workers.drain(worker, 0);
            site.workers.kill(worker, false);
        },
    },
    {
        name: "that was stopped, by a worker that has come back in a service without queues",
        lateCopies: 2,
        taskMs: 20_000,
        afterMs: STOPPED_MS,
        end: crashUnlisted,
        changes: { service: "reports" },
    },
    { name: "whose repetition was accepted", lateCopies: 1, taskMs: 20_000, afterMs: 2_000, end: crash },
    { name: "that has ended as done", lateCopies: 1, taskMs: 1_000, afterMs: 2_500, end: crashUnlisted },
];

describe("the next incarnation of a worker does not carry out a delayed start", () => {
    test.each(cases)("$name", async ({ lateCopies, taskMs, afterMs, end, changes }) => {
        let first: string | undefined;
        let left = lateCopies;
        const site = await fixtures.openSiteWithJobs({
            workerFaults: () => ({
                decide: (worker, call) => {
                    if (call !== "start" || (first !== undefined && first !== worker)) {
                        return "none";
                    }
                    first = worker;
                    // Further starts are refused, so the task's next run is on another worker.
                    return left-- > 0 ? "late" : lateCopies === 1 && left === -1 ? "none" : "unwell";
                },
                lateMs: LATE_MS,
                isLateOrderKept: true,
                getSlowdown: () => 1,
            }),
        }, [fixtures.createJob(JOB, { estimateMs: taskMs })]);
        await site.clock.advance(afterMs);
        end(site, first!);
        await site.clock.advance(DOWN_MS);
        site.workers.restart(first!, changes);
        await site.clock.advance(LATE_MS + taskMs);
        site.close();
        expect(site.workers.violations).toEqual([]);
        expect([...site.workers.completionCounts.values()]).toEqual([1]);
    });
});

// Guards against work that is begun twice and lost once: a worker starts a task, its answer is lost, and the task is
// stopped without first polling the worker for it.
import * as decisions from "../../decisions/index";
import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

describe("a start that is carried out but whose answer is lost", () => {
    const cases: ReadonlyArray<
        readonly [name: string, disabledMechanisms: readonly decisions.Mechanism[], starts: number]
    > = [
        ["is kept after it was sent again", [], 1],
        ["is kept after a poll of its worker if it is not sent again", ["repeatedOrders"], 1],
        ["is stopped and started again if such polls are disabled", ["unansweredLooks", "repeatedOrders"], 2],
    ];
    test.each(cases)("%s", async (_name, disabledMechanisms, starts) => {
        let lost = false;
        const job = fixtures.createJob(1, { estimateMs: 6_000 });
        const site = await fixtures.openSiteWithJobs({
            policy: decisions.disableMechanisms(decisions.POLICIES.worth, disabledMechanisms),
            workerFaults: () => ({
                decide: (_worker, call) => {
                    const fault = call === "start" && !lost ? "loseAnswer" : "none";
                    lost ||= call === "start";
                    return fault;
                },
                lateMs: 0,
                getSlowdown: () => 1,
            }),
        }, [job]);
        await site.clock.advance(12_000);
        expect(site.workers.completionCounts.size).toBe(1);
        expect(fixtures.getStarts(site, job)).toHaveLength(starts);
        site.close();
    });
});

// Guards against an urgent gang that is stopped as a whole and ends late because one start was left unanswered.
describe("an urgent gang of which a worker leaves an order unanswered and carries it out late", () => {
    const LATE_MS = 3_000;
    const RUN_MS = 2_000;
    const START_MS = 400;
    const STEP_MS = 20;
    test.each([
        { name: "ends in time after a lost start", call: "start", waits: false },
        { name: "ends in time after a lost stop of work that has to make room", call: "stop", waits: true },
    ])("$name", async ({ call, waits }) => {
        let hasFailed = false;
        const needs = { cpuMillis: 2_000, memoryMb: 4_096, accelerators: 8 };
        const filling = fixtures.createJob(1, { count: 4, needs, estimateMs: 60_000 }, { queue: "batch" });
        const site = await fixtures.openSiteWithJobs({
            workers: 4,
            workerFaults: () => ({
                decide: (_worker, sent) => {
                    const fails = sent === call && !hasFailed && site.workers.starts.length >= (waits ? 4 : 0);
                    hasFailed ||= fails;
                    return fails ? "late" : "none";
                },
                lateMs: LATE_MS,
                getSlowdown: () => 1,
            }),
        }, waits ? [filling] : []);
        await site.clock.advance(1_000);
        const gang = fixtures.createJob(2, { count: 4, gang: true, needs, estimateMs: RUN_MS }, { queue: "urgent" });
        await fixtures.advanceUntilSettled(site.clock, site.submit(gang, 1));
        const sentAt = site.clock.now();
        while (site.workers.completionCounts.size < 4 && site.clock.now() - sentAt < 10_000) {
            await site.clock.advance(STEP_MS);
        }
        const stopMs = waits ? 200 : 0;
        expect(site.clock.now() - sentAt).toBeLessThanOrEqual(RUN_MS + START_MS + stopMs);
        expect(hasFailed).toBe(true);
        expect(fixtures.getStarts(site, gang)).toHaveLength(4);
        await site.clock.advance(2 * LATE_MS);
        expect(site.workers.violations).toEqual([]);
        site.close();
    });
});

// Guards against a task that runs twice: a start that may still be carried out was taken for one that was never sent,
// since its repetition was refused.
test.each(["unwell", "cut"] as const)(
    "a start without an answer stays open when its repetition meets a worker that is %s",
    async second => {
        const faults: emulator.OrderFault[] = ["late", second];
        const job = fixtures.createJob(1, { estimateMs: 6_000 });
        const site = await fixtures.openSiteWithJobs({
            workerFaults: () => ({
                decide: (_worker, call) => call === "start" ? faults.shift() ?? "none" : "none",
                lateMs: 1_500,
                getSlowdown: () => 1,
            }),
        }, [job]);
        await site.clock.advance(12_000);
        site.close();
        expect(site.workers.violations).toEqual([]);
        expect(site.workers.completionCounts.size).toBe(1);
    },
);

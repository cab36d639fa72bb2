// Guards against work that is begun twice and lost once: a worker starts a task, its answer is lost, and the task is
// stopped without first polling the worker for it.
import * as decisions from "../../decisions/index";
import * as fixtures from "./fixtures";

describe("a start that is carried out but whose answer is lost", () => {
    const cases: ReadonlyArray<
        readonly [name: string, disabledMechanisms: readonly decisions.Mechanism[], starts: number]
    > = [
        ["is kept after a poll of its worker", [], 1],
        ["is stopped and started again if such polls are disabled", ["unansweredLooks"], 2],
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

// Symptom: work is begun twice and thrown away once whenever answers are slow. Sequence: a worker starts a task and its
// answer is lost. Cause: a start without an answer was stopped at once, though it had been carried out.
import * as decisions from "../../decisions/index";
import * as fixtures from "./fixtures";

describe("a start that is carried out and not answered", () => {
    const cases: ReadonlyArray<readonly [name: string, leftOut: readonly decisions.Mechanism[], starts: number]> = [
        ["goes on when it is looked for", [], 1],
        ["is stopped and started again where nobody looks", ["unansweredLooks"], 2],
    ];
    test.each(cases)("%s", async (_name, leftOut, starts) => {
        let lost = false;
        const job = fixtures.createJob(1, { estimateMs: 6_000 });
        const site = await fixtures.openSiteWithJobs({
            policy: decisions.disableMechanisms(decisions.POLICIES.worth, leftOut),
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
        expect(site.workers.doneCounts.size).toBe(1);
        expect(fixtures.getStarts(site, job)).toHaveLength(starts);
        site.close();
    });
});

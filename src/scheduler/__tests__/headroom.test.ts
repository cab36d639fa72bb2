// Guards against work that waits for urgent work beyond its slack, or without a forecast.
import * as decisions from "../../decisions/index";
import * as emulator from "../../emulator/index";
import * as work from "../../work/index";
import * as fixtures from "./fixtures";

const RUN_MS = 4_000;
const JOB = fixtures.createJob(1, { estimateMs: RUN_MS });
/** Objective of the queue: three times the run and a second. */
const SLACK_MS = 2 * RUN_MS + 1_000;

/** Returns the time from the submission of the job to its start, and the deferrals in the log. */
async function measureWait(site: fixtures.TestSite) {
    const submittedAt = site.clock.now();
    await fixtures.advanceUntilSettled(site.clock, site.submit(JOB, 1));
    await site.clock.advance(SLACK_MS + 2_000);
    site.close();
    const [start] = fixtures.getStarts(site, JOB);
    return {
        waitMs: start!.at - submittedAt,
        deferrals: site.lines.filter(line => line["event"] === "startDeferred").length,
    };
}

test("a start that urgent work would probably stop waits, and its job is still in time", async () => {
    const { waitMs, deferrals } = await measureWait(await fixtures.openSiteWithUrgentWaves());
    expect(waitMs).toBeGreaterThan(2_000);
    expect(waitMs).toBeLessThan(SLACK_MS);
    expect(deferrals).toBe(1);
});

test("without the mechanism it starts at once", async () => {
    const policy = decisions.disableMechanisms(decisions.POLICIES.worth, ["headroom"]);
    const { waitMs, deferrals } = await measureWait(await fixtures.openSiteWithUrgentWaves({ policy }));
    expect(waitMs).toBeLessThan(500);
    expect(deferrals).toBe(0);
});

describe("after the loss of the leader", () => {
    const loseLeader = async (row: string | undefined) => {
        const site = await fixtures.openSiteWithUrgentWaves({ instances: 3 });
        site.kill(site.getLeader()!);
        if (row !== undefined) {
            const store = site.store.open(emulator.getInstanceName(1));
            const key = { table: work.Table.Learned, part: work.LEADER_PART, key: "forecast" };
            const puts = [{ ...key, value: row }];
            await fixtures.advanceUntilSettled(
                site.clock,
                store.transact({ conditions: [], puts, removals: [] }, 500),
            );
        }
        await site.clock.advance(2_000);
        return { ...await measureWait(site), site };
    };

    test("a start waits by the stored forecast", async () => {
        expect((await loseLeader(undefined)).deferrals).toBe(1);
    });

    test("no start waits if the row of the forecast is unreadable", async () => {
        const { waitMs, deferrals, site } = await loseLeader("{\"at\":0,\"text\":\"none\"}");
        expect(site.lines.filter(line => line["event"] === "learnedStateUnusable")).toMatchObject([
            { section: "forecast" },
        ]);
        expect(deferrals).toBe(0);
        expect(waitMs).toBeLessThan(500);
    });
});

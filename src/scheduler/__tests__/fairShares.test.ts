import * as decisions from "../../decisions/index";
import * as fixtures from "./fixtures";

/** Two accounts with a guarantee of 8 of the 32 accelerators each; others share nothing but the least weight. */
const CATALOG = {
    ...fixtures.CATALOG,
    accounts: ["greedy", "modest"].map(name => ({ name, keys: [name], guaranteedAccelerators: 8 })),
};
const WIDTH = 32;

/** A job of the account that fills the site of four workers for 2 s. */
function createFillingJob(number: number, account: string) {
    return fixtures.createJob(number, { count: WIDTH }, { account });
}

/** A site whose greedy account has waiting work for `jobs` times 2 s, and has held all of it for 3 s. */
async function openFilledSite(jobs: number, policy: decisions.Policy = decisions.POLICIES.worth) {
    const filling = Array.from({ length: jobs }, (_, number) => createFillingJob(number + 1, "greedy"));
    const site = await fixtures.openSiteWithJobs({ instances: 3, catalog: CATALOG, policy }, filling);
    await site.clock.advance(3_000);
    return site;
}

function getUsage(site: fixtures.TestSite, account: string): number {
    const pattern = new RegExp(`plantainchute_account_usage\\{service="booking",account="${account}"\\} ([0-9.]+)`);
    return Number(pattern.exec(site.metrics.render())?.[1]);
}

/** Time from the submission of a job to its first start. */
async function measureWaitMs(site: fixtures.TestSite, job: ReturnType<typeof createFillingJob>): Promise<number> {
    const sentAt = site.clock.now();
    await fixtures.advanceUntilSettled(site.clock, site.submit(job, site.getLeader()!));
    await site.clock.advance(15_000);
    return fixtures.getStarts(site, job)[0]!.at - sentAt;
}

const MODEST_JOB = fixtures.createJob(100, { count: 4 }, { account: "modest" });

describe("a job of another account than the one that has filled the site", () => {
    // Guards against a job that waits behind all jobs that another account submitted before.
    test("goes before that account's waiting work, and the decision is counted and logged", async () => {
        const site = await openFilledSite(6);
        expect(getUsage(site, "greedy")).toBeCloseTo(1);
        expect(await measureWaitMs(site, MODEST_JOB)).toBeLessThan(2_500);
        expect(site.metrics.render()).toMatch(/usage_decisions_total\{kind="start"\} [1-9]/);
        const line = site.lines.find(item => item["event"] === "decidedByUsage")!;
        expect(line).toMatchObject({ kind: "start", unit: expect.stringContaining(MODEST_JOB.jobId) });
        expect(line["usageAgeMs"]).toBeLessThanOrEqual(500);
        expect(line["overtakenUsage"]).toBeGreaterThan(1.05);
        site.close();
    });

    test("waits for that work without the mechanism", async () => {
        const policy = decisions.disableMechanisms(decisions.POLICIES.worth, ["fairShares"]);
        const site = await openFilledSite(6, policy);
        expect(await measureWaitMs(site, MODEST_JOB)).toBeGreaterThan(2_500);
        expect(site.lines.filter(item => item["event"] === "decidedByUsage")).toEqual([]);
        site.close();
    });

    // Guards against jobs that are never served because the account was removed while they waited.
    test("goes before it also if the configuration no longer names its account", async () => {
        const site = await openFilledSite(6);
        const removed = fixtures.createJob(100, { count: 4 }, { account: "removed" });
        expect(await measureWaitMs(site, removed)).toBeLessThan(2_500);
        site.close();
    });
});

// Guards against an account that regains its precedence with each change of the leader.
test("a successor continues with the stored usage", async () => {
    const site = await openFilledSite(3);
    await site.clock.advance(6_000);
    site.kill(site.getLeader()!);
    await site.clock.advance(2_000);
    await fixtures.advanceUntilSettled(site.clock, site.submit(createFillingJob(50, "modest"), site.getLeader()!));
    await fixtures.advanceUntilSettled(site.clock, site.submit(createFillingJob(51, "greedy"), site.getLeader()!));
    await site.clock.advance(500);
    expect(site.lines.findLast(item => item["event"] === "learnedStateRead")!["restored"]).toContain("shares");
    expect(getUsage(site, "greedy")).toBeGreaterThan(1.25);
    site.close();
});

// Guards against a guarantee that waits because its account is over its share.
test("work within the guarantee of an account over its share starts in time", async () => {
    const site = await openFilledSite(6);
    await fixtures.advanceUntilSettled(site.clock, site.submit(createFillingJob(50, "modest"), site.getLeader()!));
    const urgent = fixtures.createJob(101, { count: 8, gang: true }, { account: "greedy", queue: "urgent" });
    expect(await measureWaitMs(site, urgent)).toBeLessThan(2_700);
    site.close();
});

import * as fixtures from "./fixtures";

/** Time from the loss of the leader to the first start of a job handed in right after it. */
async function measureFailoverMs(end: (site: fixtures.TestSite) => void): Promise<number> {
    const site = fixtures.openSite({ instances: 3 });
    await site.clock.advance(1_500);
    const leader = site.getLeader()!;
    const lostAt = site.clock.now();
    end(site);
    const job = fixtures.createJob(1);
    await fixtures.settle(site.clock, site.submit(job, (leader + 1) % 3));
    await site.clock.advance(8_000);
    site.close();
    return fixtures.getStarts(site, job)[0]!.at - lostAt;
}

describe("time without a leader", () => {
    const cases = [
        { name: "killed", end: (site: fixtures.TestSite) => site.kill(site.getLeader()!), mostMs: 300 },
        {
            name: "stopped in good order",
            end: (site: fixtures.TestSite) => void site.stop(site.getLeader()!),
            mostMs: 400,
        },
        { name: "silent", end: (site: fixtures.TestSite) => site.silence(site.getLeader()!), mostMs: 1_800 },
    ];
    test.each(cases)("a leader that is $name is succeeded in time", async ({ end, mostMs }) => {
        expect(await measureFailoverMs(end)).toBeLessThan(mostMs);
    });
});

import * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

/** Measures the time from the loss of the leader to the first start of a job that is submitted right after it. */
async function measureFailoverMs(endLeader: (site: fixtures.TestSite) => void): Promise<number> {
    const site = fixtures.openSite({ instances: 3 });
    await site.clock.advance(1_500);
    const leader = site.getLeader()!;
    const lostAt = site.clock.now();
    endLeader(site);
    const job = fixtures.createJob(1);
    await fixtures.advanceUntilSettled(site.clock, site.submit(job, (leader + 1) % 3));
    await site.clock.advance(8_000);
    site.close();
    return fixtures.getStarts(site, job)[0]!.at - lostAt;
}

describe("time without a leader", () => {
    const cases = [
        { name: "killed", end: (site: fixtures.TestSite) => site.kill(site.getLeader()!), maxMs: 300 },
        {
            name: "shut down cleanly",
            end: (site: fixtures.TestSite) => void site.stop(site.getLeader()!),
            maxMs: 400,
        },
        { name: "silent", end: (site: fixtures.TestSite) => site.powerOff(site.getLeader()!), maxMs: 1_100 },
    ];
    test.each(cases)("a leader that is $name is replaced in time", async ({ end, maxMs }) => {
        expect(await measureFailoverMs(end)).toBeLessThan(maxMs);
    });
});

describe("a leader that loses the store while other instances reach it", () => {
    // Guards against urgent work that starts 1.7 s late: the store rejects only the leader's calls, and its successor
    // waits for the lease to expire although the leader knows that it cannot renew it.
    const LOST_AT_MS = 1_000;
    const cases: ReadonlyArray<{
        readonly name: string;
        readonly fault: emulator.StoreFault;
        /** Instances that lose the store. */
        readonly lost: readonly number[];
        readonly maxMs: number;
    }> = [
        { name: "calls are refused", fault: "refuse", lost: [0], maxMs: 900 },
        { name: "calls get no answer", fault: "silent", lost: [0], maxMs: 1_100 },
        { name: "calls of another instance are refused, too", fault: "refuse", lost: [0, 1], maxMs: 900 },
    ];
    test.each(cases)("is replaced as soon as it notices: $name", async ({ fault, lost, maxMs }) => {
        const site = fixtures.openSite({
            instances: 3,
            storeFaults: time => ({
                decide: caller =>
                    time.now() >= LOST_AT_MS && lost.some(number => caller === emulator.getInstanceName(number))
                        ? fault
                        : "none",
                lateMs: 0,
            }),
        });
        await site.clock.advance(LOST_AT_MS);
        expect(site.getLeader()).toBe(0);
        const job = fixtures.createJob(1);
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 2));
        await site.clock.advance(5_000);
        site.close();
        expect(fixtures.getStarts(site, job)[0]!.at - LOST_AT_MS).toBeLessThan(maxMs);
        expect(site.workers.violations).toEqual([]);
    });

    test("keeps leading if no other instance reaches the store, and renews the leases of running tasks", async () => {
        // Guards against the loss of all running work in an outage of the store: the leader ends its term without
        // asking whether another instance can take over, and none can.
        const AWAY_MS = 7_000;
        const site = fixtures.openSite({
            instances: 3,
            storeFaults: time => ({
                decide: () => time.now() >= 3_000 && time.now() < 3_000 + AWAY_MS ? "refuse" : "none",
                lateMs: 0,
            }),
        });
        await site.clock.advance(1_000);
        const job = fixtures.createJob(1, { estimateMs: 12_000 });
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 2));
        await site.clock.advance(20_000);
        site.close();
        expect(fixtures.getStarts(site, job)).toHaveLength(1);
        expect(site.workers.completionCounts.size).toBe(1);
    });
});

describe("a store that recovers for all instances", () => {
    // Guards against most of a second without starts after each outage of the store: another instance notices the
    // recovery first, the leader knows only its own last probe and hands over, and the new leader has to read all jobs
    // and poll all workers.
    const AWAY_FROM_MS = 3_000;
    const cases = [0, 40, 80, 120, 160].flatMap(laterMs =>
        (["refuse", "silent"] as const).map(fault => ({ fault, awayMs: 4_000 + laterMs }))
    );
    test.each(cases)("keeps its leader after an outage of $awayMs ms ($fault)", async ({ fault, awayMs }) => {
        const site = fixtures.openSite({
            instances: 9,
            storeFaults: time => ({
                decide: () => time.now() >= AWAY_FROM_MS && time.now() < AWAY_FROM_MS + awayMs ? fault : "none",
                lateMs: 0,
            }),
        });
        await site.clock.advance(AWAY_FROM_MS + awayMs - 300);
        await site.clock.advance(3_000);
        site.close();
        expect(site.lines.filter(line => line["event"] === "leadershipTaken")).toHaveLength(1);
    });
});

describe("work on a worker that is lost while leaders change", () => {
    // Guards against a job that makes no progress for 17 s beside idle workers: its worker is permanently lost
    // while all instances are killed, and one restarts and leads. It must not wait the 9 s for which a predecessor that
    // is cut off may renew leases, since that predecessor was its own earlier incarnation, which has ended.
    const LEASE_MS = 6_500;
    /** How long a leader that is cut off goes on renewing the leases of tasks. */
    const CUT_OFF_RENEWAL_MS = 9_000;
    const DOWN_MS = 1_000;
    const cases = [
        {
            name: "that restarts and leads again waits for the task's lease only",
            act: async (site: fixtures.TestSite) => {
                const leader = site.getLeader()!;
                [0, 1].forEach(site.kill);
                await site.clock.advance(DOWN_MS);
                site.restart(leader);
            },
            minMs: 0,
            maxMs: DOWN_MS + LEASE_MS + 1_000,
        },
        {
            name: "that may still run, with a successor that restarts: the first one's lease renewals are waited for",
            act: async (site: fixtures.TestSite) => {
                site.powerOff(site.getLeader()!);
                await site.clock.advance(3_000);
                const successor = site.getLeader()!;
                site.kill(successor);
                await site.clock.advance(DOWN_MS);
                site.restart(successor);
            },
            minMs: CUT_OFF_RENEWAL_MS + LEASE_MS,
            maxMs: CUT_OFF_RENEWAL_MS + LEASE_MS + 5_000,
        },
        {
            name: "that may still run, with a successor that hands over: the first one's lease renewals are waited for",
            act: async (site: fixtures.TestSite) => {
                const first = site.getLeader()!;
                site.powerOff(first);
                await site.clock.advance(3_000);
                const successor = site.getLeader()!;
                await fixtures.advanceUntilSettled(site.clock, site.stop(successor));
                site.restart(first);
            },
            minMs: CUT_OFF_RENEWAL_MS + LEASE_MS,
            maxMs: CUT_OFF_RENEWAL_MS + LEASE_MS + 5_000,
        },
    ];
    test.each(cases)("a leader $name", async ({ act, minMs, maxMs }) => {
        const site = fixtures.openSite({ instances: 2 });
        await site.clock.advance(1_500);
        const job = fixtures.createJob(1, { estimateMs: 20_000 });
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 0));
        await site.clock.advance(2_000);
        const [first] = fixtures.getStarts(site, job);
        const lostAt = site.clock.now();
        site.workers.kill(first!.workerId, false);
        await act(site);
        await site.clock.advance(30_000);
        site.close();
        const [, second] = fixtures.getStarts(site, job);
        expect(second!.at - lostAt).toBeGreaterThanOrEqual(minMs);
        expect(second!.at - lostAt).toBeLessThan(maxMs);
    });
});

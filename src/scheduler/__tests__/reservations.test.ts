// Guards against a gang that is never started, or workers that stay idle, because one failure interferes with the
// reservation of the gang's workers.
import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

const WHOLE = { cpuMillis: 8_000, memoryMb: 8_192, accelerators: 8 };
/** Ends of the tasks that occupy the four workers when the gang arrives. */
const ENDS_MS = [3_000, 4_000, 6_000, 8_000];
const GANG = fixtures.createJob(20, { gang: true, count: 2, needs: WHOLE });

/** Opens a site whose four workers are full, with a gang that has a reservation for the first two. */
async function openSiteWithReservation(options: Parameters<typeof fixtures.openSite>[0] = {}) {
    const site = await fixtures.openSiteWithJobs(
        { instances: 3, ...options },
        ENDS_MS.map((estimateMs, index) => fixtures.createJob(index + 1, { estimateMs, needs: WHOLE })),
    );
    await site.clock.advance(100);
    await submit(site, GANG);
    await site.clock.advance(100);
    return site;
}

async function submit(site: fixtures.TestSite, job: emulator.EmulatedJob): Promise<void> {
    await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
}

function getLines(site: fixtures.TestSite, event: string) {
    return site.lines.filter(line => line["event"] === event);
}

/** Names of the workers, without what tells their incarnations apart. */
function getReservedWorkers(site: fixtures.TestSite): readonly string[] {
    const ids = getLines(site, "gangReserved").at(-1)!["workers"] as readonly string[];
    return ids.map(id => id.split("@")[0]!);
}

test("a gang starts on its reserved workers although single tasks of its priority keep arriving", async () => {
    const site = await openSiteWithReservation();
    const workers = getReservedWorkers(site);
    for (let number = 30; number < 60; number++) {
        await submit(site, fixtures.createJob(number, { estimateMs: 4_000 }));
        await site.clock.advance(150);
    }
    site.close();
    const starts = fixtures.getStarts(site, GANG);
    expect(new Set(starts.map(start => start.workerId))).toEqual(new Set(workers));
    expect(getLines(site, "gangReserved")).toHaveLength(1);
    expect(getLines(site, "gangReservationEnded")).toMatchObject([{ outcome: "used" }]);
});

test("a gang whose reserved worker is lost gets other workers at once", async () => {
    const site = await openSiteWithReservation();
    const [lostWorker] = getReservedWorkers(site);
    site.workers.kill(lostWorker!, false);
    await site.clock.advance(12_000);
    site.close();
    expect(getLines(site, "gangReserved")).toMatchObject([{ outcome: "made" }, { outcome: "replaced" }]);
    expect(getReservedWorkers(site)).not.toContain(lostWorker);
    expect(fixtures.getStarts(site, GANG)).toHaveLength(2);
});

test("the successor of a lost leader makes the reservation anew", async () => {
    const site = await openSiteWithReservation();
    const workers = getReservedWorkers(site);
    site.kill(site.getLeader()!);
    await site.clock.advance(12_000);
    site.close();
    expect(getLines(site, "gangReserved").map(line => line["outcome"])).toEqual(["made", "made"]);
    expect(new Set(getReservedWorkers(site))).toEqual(new Set(workers));
    expect(fixtures.getStarts(site, GANG)).toHaveLength(2);
});

test("the workers that were reserved for a cancelled job take other work", async () => {
    const site = await openSiteWithReservation();
    const task = fixtures.createJob(30, { estimateMs: 20_000, needs: WHOLE });
    await submit(site, task);
    await fixtures.advanceUntilSettled(site.clock, site.cancel(GANG.jobId, 1));
    await site.clock.advance(ENDS_MS[0]! + 1_000);
    site.close();
    expect(getLines(site, "gangReservationEnded")).toMatchObject([{ outcome: "withdrawn" }]);
    expect(fixtures.getStarts(site, task)).toHaveLength(1);
});

test("while the store is unavailable nothing is placed, and afterwards the gang starts", async () => {
    const outage = { from: Infinity, until: Infinity };
    const site = await openSiteWithReservation({
        storeFaults: time => ({
            decide: () => time.now() >= outage.from && time.now() < outage.until ? "refuse" : "none",
            lateMs: 0,
        }),
    });
    outage.from = site.clock.now();
    outage.until = outage.from + 8_000;
    await site.clock.advance(8_000);
    expect(fixtures.getStarts(site, GANG)).toEqual([]);
    await site.clock.advance(10_000);
    site.close();
    expect(fixtures.getStarts(site, GANG)).toHaveLength(2);
});

import * as fixtures from "./fixtures";

const LEAD_MS = 2_000;
const SLOW_FOR_MS = 3_200;
const SLOWDOWN = 98;
/** Time that a transaction occupies its part of the store: normally 200 transactions a second for each part. */
const PART_MS = 5;
const INSTANCES = 4;
/** Ten submissions a second, as from the callers of a site with some hundred instances. */
const JOBS = 32;
const EVERY_MS = 100;

describe("a store that is 98 times slower for 3.2 s", () => {
    const openSlow = () =>
        fixtures.openSite({
            instances: INSTANCES,
            workers: 16,
            storePartMs: PART_MS,
            storeFaults: time => ({
                decide: () => "none",
                lateMs: 0,
                getSlowdown: () => time.now() >= LEAD_MS && time.now() < LEAD_MS + SLOW_FOR_MS ? SLOWDOWN : 1,
            }),
        });

    // Guards against submissions that are refused or undecided though the store answers: each occupies its part of the
    // store for half a second, and ten arrive in a second. In a single part, they would be written one by one.
    test("accepts ten submissions a second", async () => {
        const site = openSlow();
        await site.clock.advance(LEAD_MS);
        const replies: string[] = [];
        for (let number = 0; number < JOBS; number++) {
            const job = fixtures.createJob(number + 1, { estimateMs: 500 });
            void site.submit(job, number % INSTANCES).then(reply => replies.push(reply.kind));
            await site.clock.advance(EVERY_MS);
        }
        await site.clock.advance(4_000);
        site.close();
        expect(replies.filter(kind => kind === "accepted")).toHaveLength(JOBS);
    });

    // Guards against a second or more without starts after a store was slow, and against stopped work: a leader that
    // sends several transactions at a time to one part of the store, which serializes them, delays its own renewals
    // behind writes of progress. They time out and are repeated, and the lease expires.
    test("keeps its leader", async () => {
        const site = openSlow();
        await site.clock.advance(LEAD_MS - 1_000);
        for (let number = 0; number < JOBS; number++) {
            await site.clock.advance(EVERY_MS);
            void site.submit(fixtures.createJob(number + 1, { estimateMs: 300 }), number % INSTANCES);
        }
        await site.clock.advance(4_000);
        site.close();
        expect(site.lines.filter(line => line["event"] === "leadershipTaken")).toHaveLength(1);
    });
});

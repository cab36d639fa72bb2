import * as fixtures from "./fixtures";

const LEAD_MS = 2_000;
const SLOW_FOR_MS = 3_200;
const SLOWNESS = 98;
/** A part of the store takes 200 transactions a second as a rule. */
const PART_MS = 5;
const INSTANCES = 4;
/** As ten a second come from the callers of a site of some hundred instances. */
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
                getSlowdown: () => time.now() >= LEAD_MS && time.now() < LEAD_MS + SLOW_FOR_MS ? SLOWNESS : 1,
            }),
        });

    // Symptom: submissions are refused or left open though the store answers. Sequence: each holds its part of the store
    // for half a second, and ten come in a second. Cause: all submissions lay in one part, which takes them one by one.
    test("takes ten submissions a second", async () => {
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

    // Symptom: nothing starts for a second and more after a store was slow, and work is stopped. Sequence: the leader's
    // renewals wait behind its own writes of progress, are given up and sent again, and the lease lapses. Cause: it sent
    // several transactions at a time to a part of the store that takes one after another.
    test("has one leader all the while", async () => {
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

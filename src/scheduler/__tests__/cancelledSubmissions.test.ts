import type * as emulator from "../../emulator/index";
import * as work from "../../work/index";
import * as fixtures from "./fixtures";

const LATE_MS = 2_500;
const PATIENCE_MS = 500;
const SETTLED_MS = 15_000;
const JOB = fixtures.createJob(1, { estimateMs: 6_000 });

interface Case {
    readonly name: string;
    /** Fates of the first writes of the submission; later ones succeed. */
    readonly faults: readonly emulator.StoreFault[];
    /** Whether the cancellation goes to the instance that has the submission, or to another one. */
    readonly isSameInstance?: boolean;
    /** Called once the submission's first write has been sent, and before the cancellation. */
    before?(site: fixtures.TestSite, submitter: number): void;
    /** Called after the acknowledgement. */
    after?(site: fixtures.TestSite): void;
}

// Guards against jobs that run after their cancellation was acknowledged, since a write of the submission is carried out
// only then, by whichever instance and leader.
const cases: readonly Case[] = [
    { name: "that is repeated at another instance", faults: ["late"] },
    { name: "that is repeated at the same instance", faults: ["late"], isSameInstance: true },
    { name: "that got no answer and is not repeated any more", faults: ["late", "late", "late", "late"] },
    {
        name: "whose instance has ended",
        faults: ["late"],
        before: (site, submitter) => site.kill(submitter),
    },
    {
        name: "beside a change of the leader",
        faults: ["late"],
        after: site => site.kill(site.getLeader()!),
    },
];

/** Rows of the intake that concern the job. */
function getIntakeKeys(site: fixtures.TestSite): readonly string[] {
    return site.store.getRows(work.Table.Jobs).map(row => row.key);
}

describe("a cancellation is acknowledged for a submission", () => {
    test.each(cases)("$name", async ({ faults, isSameInstance = false, before, after }) => {
        const left = [...faults];
        const faulty: { caller?: string; } = {};
        const site = await fixtures.openSiteWithJobs({
            instances: 3,
            storeFaults: () => ({
                decide: (caller, call) =>
                    call === "transact" && caller === faulty.caller ? left.shift() ?? "none" : "none",
                lateMs: LATE_MS,
            }),
        }, []);
        const others = [0, 1, 2].filter(instance => instance !== site.getLeader());
        const submitter = others[0]!;
        faulty.caller = `instance-${submitter}`;
        void site.submit(JOB, submitter);
        await site.clock.advance(PATIENCE_MS);
        expect(left.length).toBeLessThan(faults.length);
        before?.(site, submitter);
        const canceller = isSameInstance ? submitter : others[1]!;
        left.splice(0, isSameInstance ? left.length : 0);
        const reply = await fixtures.advanceUntilSettled(site.clock, site.cancel(JOB.jobId, canceller));
        expect(reply.kind).toBe("unknownJob");
        after?.(site);
        await site.clock.advance(SETTLED_MS);
        site.close();
        expect(site.workers.starts).toEqual([]);
        expect(getIntakeKeys(site)).toEqual([work.getCancelKey(JOB.jobId)]);
    });
});

test("a submission that arrives after its cancellation is refused for certain, and the job stays unknown", async () => {
    const site = await fixtures.openSiteWithJobs({}, []);
    site.registerJob(JOB);
    await fixtures.advanceUntilSettled(site.clock, site.cancel(JOB.jobId, 0));
    const reply = await fixtures.advanceUntilSettled(site.clock, site.submit(JOB, 1));
    expect(reply).toMatchObject({ kind: "notAccepted", final: true });
    expect(await fixtures.advanceUntilSettled(site.clock, site.getState(JOB.jobId, 0))).toEqual({ kind: "unknownJob" });
    await site.clock.advance(SETTLED_MS);
    site.close();
    expect(site.workers.starts).toEqual([]);
});

// Guards against rows that each cancellation of an unknown job would leave in the store for good.
test("the row of a cancellation without a submission is removed after the retention time, under a next leader too", async () => {
    const retentionMs = 20_000;
    const site = await fixtures.openSiteWithJobs({ retentionMs }, []);
    const cancelledJobs = [1, 2, 3].map(number => fixtures.createJob(number));
    for (const job of cancelledJobs) {
        site.registerJob(job);
        await fixtures.advanceUntilSettled(site.clock, site.cancel(job.jobId, 0));
    }
    site.kill(site.getLeader()!);
    await site.clock.advance(retentionMs - 1_000);
    expect(getIntakeKeys(site)).toHaveLength(cancelledJobs.length);
    await site.clock.advance(retentionMs);
    expect(getIntakeKeys(site)).toEqual([]);
    site.close();
});

import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

const WORKERS = 2;
/** A job with enough tasks for several ends on each worker before it restarts. */
const EARLIER_JOB = fixtures.createJob(1, { count: 12, estimateMs: 500 });
const EARLIER_MS = 3_000;
const DOWN_MS = 750;

/** Opens a site whose workers have all restarted under the same ids after ends that were recorded. */
async function openRestartedSite(): Promise<fixtures.TestSite> {
    const site = await fixtures.openSiteWithJobs({ workers: WORKERS }, [EARLIER_JOB]);
    await site.clock.advance(EARLIER_MS);
    for (let number = 0; number < WORKERS; number++) {
        site.restartWorker(fixtures.createWorkerInfo(number).id, DOWN_MS);
    }
    await site.clock.advance(2 * DOWN_MS);
    return site;
}

interface Case {
    readonly name: string;
    readonly job: emulator.EmulatedJob;
    readonly state: string;
    /** Expected runs of the job's first task. */
    readonly runs: number;
}

// Guards against task ends that are ignored after a worker has restarted, since their sequence numbers are compared
// with those that were acknowledged to its earlier incarnation.
const cases: readonly Case[] = [
    {
        name: "a task that completes on a restarted worker is not started again",
        job: fixtures.createJob(2, { estimateMs: 1_200 }),
        state: "completed",
        runs: 1,
    },
    {
        name: "a run that fails on a restarted worker is counted",
        job: fixtures.createJob(2, { estimateMs: 1_200 }, { fails: () => true }),
        state: "failed",
        runs: 2,
    },
    {
        name: "a step starts after the one before it has completed on a restarted worker",
        job: {
            ...fixtures.createJob(2),
            spec: {
                payload: "p",
                steps: [fixtures.createStep({ count: 2 }), fixtures.createStep({ after: [0] })],
                repeats: 0,
                firstDueAt: 0,
                periodMs: 0,
            },
            durationsMs: [1_200, 1_200],
        },
        state: "completed",
        runs: 1,
    },
];

test.each(cases)("$failure", async ({ job, state, runs }) => {
    const site = await openRestartedSite();
    await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
    await site.clock.advance(6_000);
    expect(site.workers.violations).toEqual([]);
    expect(await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 0))).toMatchObject({ state });
    expect(site.workers.starts.filter(start => start.task === `${job.jobId}.0.0.0`)).toHaveLength(runs);
    site.close();
});

import * as fixtures from "./fixtures";

interface Case {
    readonly name: string;
    /** Symptom, sequence, cause. */
    readonly story: string;
    readonly estimateMs: number;
    readonly durationMs: number;
    /** From when on the tasks of the first worker stand still, in milliseconds after the job was handed in. */
    readonly standsStillAt?: number;
    readonly endsWithinMs: number;
    readonly mostStarts: number;
    /** Members of the gang, one a worker; absent: a single task. */
    readonly members?: number;
    /** How many times slower the first worker is, and from when on. */
    readonly slowness?: number;
    readonly slowFrom?: number;
    readonly checkpoints?: boolean;
}

const cases: readonly Case[] = [
    {
        name: "a task that stands still is moved before a short job is late",
        story: `Symptom: an urgent job of 2.5 s ends after 7.5 s. Sequence: its worker stops working half a second after
            the start and goes on answering. Cause: 4.5 s without progress were allowed to any task.`,
        estimateMs: 2_500,
        durationMs: 2_500,
        standsStillAt: 500,
        endsWithinMs: 6_000,
        mostStarts: 2,
    },
    {
        name: "a task of ten minutes runs once",
        story:
            `Symptom: a long task is stopped every few seconds and never ends. Sequence: its progress, in whole percent,
            rises every six seconds. Cause: the time without progress was the same for tasks of any duration.`,
        estimateMs: 600_000,
        durationMs: 600_000,
        endsWithinMs: 603_000,
        mostStarts: 1,
    },
    {
        name: "a task whose estimate is 600 times too short ends",
        story: `Symptom and sequence as before. Cause: the time without progress follows the estimate, which is wrong.`,
        estimateMs: 1_000,
        durationMs: 600_000,
        endsWithinMs: 640_000,
        mostStarts: 5,
    },
    {
        name: "a gang whose members work at different speeds ends",
        story: `Symptom: a gang on sound workers is stopped again and again. Sequence: one of its workers is four times
            slower than the others. Cause: the members that are through stand at 100 percent, and were taken to hang.`,
        estimateMs: 3_000,
        durationMs: 3_000,
        members: 2,
        slowness: 4,
        endsWithinMs: 13_000,
        mostStarts: 2,
    },
    {
        name: "a task that saves leaves a worker that has turned slow",
        story:
            `Symptom: a job ends when its slowest worker is through. Sequence: a sound worker turns eight times slower
            after 2 s. Cause: only work without any progress was moved.`,
        estimateMs: 6_000,
        durationMs: 6_000,
        slowness: 8,
        slowFrom: 2_000,
        checkpoints: true,
        endsWithinMs: 9_500,
        mostStarts: 2,
    },
];

describe("tasks without progress", () => {
    test.each(cases)("$name", async item => {
        const { estimateMs, durationMs, standsStillAt, endsWithinMs, mostStarts, members = 1 } = item;
        const { slowness = 1, slowFrom = 0, checkpoints = false } = item;
        const job = fixtures.createJob(1, {
            estimateMs,
            count: members,
            checkpoints,
            gang: members > 1,
            needs: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 },
        }, { queue: "urgent", durationsMs: [durationMs] });
        let firstWorker = "";
        let startedAt = Infinity;
        const site = await fixtures.openSiteWithJobs({
            workerFaults: time => ({
                decide: () => "none",
                lateMs: 0,
                getSlowdown: id => {
                    const stands = standsStillAt !== undefined && time.now() > startedAt + standsStillAt;
                    if (id !== firstWorker) {
                        return 1;
                    }
                    const slow = time.now() >= startedAt + slowFrom ? slowness : 1;
                    return stands ? Infinity : slow;
                },
            }),
        }, [job]);
        startedAt = site.clock.now();
        await site.clock.advance(400);
        firstWorker = fixtures.getStarts(site, job)[0]!.workerId;
        await site.clock.advance(endsWithinMs - 400);
        const state = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1));
        expect(state).toEqual({ kind: "state", state: "completed" });
        expect(fixtures.getStarts(site, job).length).toBeLessThanOrEqual(mostStarts);
        site.close();
    }, 60_000);
});

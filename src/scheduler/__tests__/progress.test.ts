import * as fixtures from "./fixtures";

interface Case {
    readonly name: string;
    /** The failure that the case guards against, and how it comes about. */
    readonly description: string;
    readonly estimateMs: number;
    readonly durationMs: number;
    /** When the tasks of the first worker stall, in milliseconds after the submission; absent: never. */
    readonly stallsAt?: number;
    readonly endsWithinMs: number;
    readonly maxStarts: number;
    /** Members of the gang, one per worker; absent for a single task. */
    readonly members?: number;
    /** How many times slower the first worker is. */
    readonly slowdown?: number;
    /** When it becomes slow, in milliseconds after the submission. */
    readonly slowFrom?: number;
    readonly checkpoints?: boolean;
}

const cases: readonly Case[] = [
    {
        name: "a stalled task is moved before a short job is late",
        description:
            `An urgent job of 2.5 s ends after 7.5 s: its worker stops working half a second after the start but still
            answers, and any task is allowed 4.5 s without progress.`,
        estimateMs: 2_500,
        durationMs: 2_500,
        stallsAt: 500,
        endsWithinMs: 6_000,
        maxStarts: 2,
    },
    {
        name: "a task of ten minutes runs once",
        description:
            `A long task is stopped every few seconds and never ends: its progress, in whole percent, rises every six
            seconds, and the allowed time without progress does not depend on the duration of the task.`,
        estimateMs: 600_000,
        durationMs: 600_000,
        endsWithinMs: 603_000,
        maxStarts: 1,
    },
    {
        name: "a task whose estimate is 600 times too short ends",
        description:
            `A long task is stopped every few seconds and never ends: the allowed time without progress follows its
            estimate, which is wrong.`,
        estimateMs: 1_000,
        durationMs: 600_000,
        endsWithinMs: 640_000,
        maxStarts: 5,
    },
    {
        name: "a gang whose members work at different speeds ends",
        description: `A gang on healthy workers is stopped repeatedly: one of its workers is four times slower, and the
            members that have finished stay at 100 percent and are taken for stalled.`,
        estimateMs: 3_000,
        durationMs: 3_000,
        members: 2,
        slowdown: 4,
        endsWithinMs: 13_000,
        maxStarts: 2,
    },
    {
        name: "a task with checkpoints moves away from a worker that has become slow",
        description:
            `A job ends only when its slowest worker is done: a healthy worker becomes eight times slower after 2 s,
            and only work without any progress is moved.`,
        estimateMs: 6_000,
        durationMs: 6_000,
        slowdown: 8,
        slowFrom: 2_000,
        checkpoints: true,
        endsWithinMs: 9_500,
        maxStarts: 2,
    },
];

describe("tasks with little or no progress", () => {
    test.each(cases)("$name", async item => {
        const { estimateMs, durationMs, stallsAt, endsWithinMs, maxStarts, members = 1 } = item;
        const { slowdown = 1, slowFrom = 0, checkpoints = false } = item;
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
                    const isStalled = stallsAt !== undefined && time.now() > startedAt + stallsAt;
                    if (id !== firstWorker) {
                        return 1;
                    }
                    const slow = time.now() >= startedAt + slowFrom ? slowdown : 1;
                    return isStalled ? Infinity : slow;
                },
            }),
        }, [job]);
        startedAt = site.clock.now();
        await site.clock.advance(400);
        firstWorker = fixtures.getStarts(site, job)[0]!.workerId;
        await site.clock.advance(endsWithinMs - 400);
        const state = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1));
        expect(state).toEqual({ kind: "state", state: "completed" });
        expect(fixtures.getStarts(site, job).length).toBeLessThanOrEqual(maxStarts);
        site.close();
    }, 60_000);
});

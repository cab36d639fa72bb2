import * as fixtures from "../../scheduler/__tests__/fixtures";
import * as entries from "../entries";
import * as thrownAways from "../thrownAway";

/** Two cores and one accelerator, which counts as eight. */
const NEEDS = { cpuMillis: 2_000, memoryMb: 1, accelerators: 1 };
const CORES = 10;

function createTasks(members: number): readonly entries.TaskEntry[] {
    const job = fixtures.createJob(1);
    const [queue] = fixtures.CATALOG.queues;
    const steps = [fixtures.createStep({ count: members, gang: members > 1, needs: NEEDS })];
    const submission = { ...job, queue: queue!, account: "office", acceptedAt: 0, spec: { ...job.spec, steps } };
    return entries.createOccurrenceEntry(entries.createJobEntry(submission, queue!, 0), 0, 0).steps[0]!.tasks;
}

interface Case {
    readonly name: string;
    readonly orderedAt: number;
    readonly runningSince: number;
    readonly savedAt: number;
    readonly coreSeconds: number;
}

/** All runs end at 9 s. */
const cases: readonly Case[] = [
    { name: "the time from its start", orderedAt: 900, runningSince: 1_000, savedAt: 0, coreSeconds: 8 * CORES },
    {
        name: "the time from its last save",
        orderedAt: 900,
        runningSince: 1_000,
        savedAt: 7_000,
        coreSeconds: 2 * CORES,
    },
    {
        name: "nothing if it saved when it was stopped",
        orderedAt: 900,
        runningSince: 1_000,
        savedAt: 9_000,
        coreSeconds: 0,
    },
    {
        name: "the time from its order if the start was never confirmed",
        orderedAt: 8_000,
        runningSince: 1_000,
        savedAt: 0,
        coreSeconds: CORES,
    },
];

describe("thrown-away work", () => {
    test.each(cases)("of a run counts $name", ({ orderedAt, runningSince, savedAt, coreSeconds }) => {
        const [task] = createTasks(1);
        Object.assign(task!, { orderedAt, runningSince, savedAt });
        const thrownAway = thrownAways.createThrownAwayWork();
        expect(thrownAway.addRun(task!, "preempted", 9_000)).toBeCloseTo(coreSeconds);
        expect(thrownAway.getTotals()).toEqual({ preempted: coreSeconds });
    });

    test("of a gang counts what its members held until the last one had started", () => {
        const tasks = createTasks(3);
        [1_000, 1_500, 3_000].forEach((runningSince, index) => Object.assign(tasks[index]!, { runningSince }));
        const thrownAway = thrownAways.createThrownAwayWork();
        thrownAway.addGangWait(tasks[0]!.step);
        expect(thrownAway.getTotals()).toEqual({ gangWait: 3.5 * CORES });
    });

    // Guards against time that is counted as thrown away although nothing ran: until a loaded leader has read the end of a
    // stopped run, or until the lease of a worker that has left has expired.
    test.each([
        ["was not stopped", undefined, 9_000],
        ["was stopped just now", 8_900, 9_000],
        ["was stopped long ago", 6_000, 6_400],
    ])("of a run that %s counts until its end", (_, stopSentAt, endedAt) => {
        const [task] = createTasks(1);
        Object.assign(task!, { stopSentAt });
        expect(thrownAways.getStoppedAt(task!, 9_000)).toBe(endedAt);
    });

    test.each<readonly [name: string, worker: Partial<entries.WorkerEntry>, hasRestarted: boolean, endedAt: number]>([
        ["is only silent", { disconnectedAt: 2_000 }, false, 9_000],
        ["has restarted", { disconnectedAt: 2_000 }, true, 2_000],
        ["has restarted unseen", {}, true, 9_000],
        ["has left as announced", { drainingSince: 1_000 }, false, 3_000],
        ["has broken off when it left", { drainingSince: 1_000, disconnectedAt: 3_100 }, false, 3_100],
        ["was still there after the announced time", { drainingSince: 1_000, lastAnswerAt: 4_000 }, false, 4_000],
        ["leaves later", { drainingSince: 8_000 }, false, 9_000],
    ])("of a run on a worker that %s counts until it can have ended there", (_, fields, hasRestarted, endedAt) => {
        const info = { ...entries.createUnknownWorkerInfo("w"), draining: true, remainingMs: 2_000 };
        const worker = { ...entries.createWorkerEntry(info), ...fields };
        expect(thrownAways.getLostAt(worker, hasRestarted, 9_000)).toBe(endedAt);
    });

    test.each([
        ["preempted (urgent) for 0123.0.0.0", "preempted (urgent)"],
        ["workerLeaves", "workerLeaves"],
        ["gang member ended: failed", "gang member ended: failed"],
    ])("by the cause of %s", (reason, cause) => {
        expect(thrownAways.getCause(reason)).toBe(cause);
    });
});

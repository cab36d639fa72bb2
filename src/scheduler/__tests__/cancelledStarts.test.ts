import type * as clocks from "../../clock/index";
import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

/** Later than a caller's patience, sooner than the longest lease is over. */
const LATE_MS = 4_500;
const LONG_MS = 20_000;
/** As the users bound it: a worker has to be in touch for 3 s, and a stop takes 0.2 s. */
const STOPPED_WITHIN_MS = 3_200;

/** The first start is carried out late, and the worker that got it cannot be reached until shortly before that. */
function createFaults(cutForMs: number) {
    const struck: { workerId?: string; at?: number; } = {};
    const faults = (time: clocks.Clock): emulator.WorkerFaults => ({
        decide: (workerId, call) => {
            if (call === "start" && struck.workerId === undefined) {
                struck.workerId = workerId;
                struck.at = time.now();
                return "late";
            }
            return workerId === struck.workerId && time.now() < struck.at! + cutForMs ? "cut" : "none";
        },
        lateMs: LATE_MS,
        getSlowdown: () => 1,
    });
    return { struck, faults };
}

// Symptom: a task of a cancelled job runs on, and nobody looks at its worker. Sequence: a start gets no answer, the job
// is cancelled, the leader that sent the start is removed, and then the worker carries the start out. Cause: whoever
// leads next would have to know of a start that was never answered, of a job that is over.
describe("a start of a cancelled job that is carried out late", () => {
    const cases: ReadonlyArray<readonly [name: string, removesStarter: boolean, cutForMs: number]> = [
        ["by a worker that can be reached", false, 0],
        ["by a worker that is cut off meanwhile", false, LATE_MS - 500],
        ["by a worker that is cut off until after it", false, LATE_MS + 500],
        ["after its starter was removed", true, 0],
        ["after its starter was removed, by a worker that is cut off meanwhile", true, LATE_MS - 500],
        ["after its starter was removed, by a worker that is cut off until after it", true, LATE_MS + 500],
    ];
    test.each(cases)("%s is stopped in time", async (_name, removesStarter, cutForMs) => {
        const { struck, faults } = createFaults(cutForMs);
        const job = fixtures.createJob(1, { estimateMs: LONG_MS });
        const site = await fixtures.openSiteWithJobs({ workers: 3, workerFaults: faults }, [job]);
        await site.clock.advance(200);
        const starter = site.getLeader()!;
        expect(struck.workerId).toBeDefined();
        expect((await fixtures.advanceUntilSettled(site.clock, site.cancel(job.jobId, 1 - starter))).kind).toBe(
            "cancelled",
        );
        if (removesStarter) {
            site.powerOff(starter);
        }
        const reachableAt = Math.max(struck.at! + cutForMs, struck.at! + LATE_MS);
        await site.clock.advance(reachableAt - site.clock.now() + STOPPED_WITHIN_MS);
        expect(site.workers.getRunningTasks()).toEqual([]);
        await site.clock.advance(LONG_MS);
        expect(site.workers.getRunningTasks()).toEqual([]);
        expect(site.workers.doneCounts.size).toBe(0);
        expect(site.workers.breaches).toEqual([]);
        site.close();
    });
});

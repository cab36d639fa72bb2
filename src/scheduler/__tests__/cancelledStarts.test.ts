import type * as clocks from "../../clock/index";
import type * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

/** Delay of a late start: longer than a caller waits, shorter than the maximum lease. */
const LATE_MS = 4_500;
const LONG_MS = 20_000;
/** Bound of the users' brief: a worker is reachable for 3 s, and a stop takes 0.2 s. */
const STOPPED_WITHIN_MS = 3_200;

/** The first start is carried out late, and its worker is unreachable for `cutForMs` after the start was sent. */
function createFaults(cutForMs: number) {
    const target: { workerId?: string; at?: number; } = {};
    const faults = (time: clocks.Clock): emulator.WorkerFaults => ({
        decide: (workerId, call) => {
            if (call === "start" && target.workerId === undefined) {
                target.workerId = workerId;
                target.at = time.now();
                return "late";
            }
            return workerId === target.workerId && time.now() < target.at! + cutForMs ? "cut" : "none";
        },
        lateMs: LATE_MS,
        getSlowdown: () => 1,
    });
    return { target, faults };
}

// Guards against a task of a cancelled job that keeps running unnoticed: its start gets no answer, the job is
// cancelled, the leader that sent the start is lost, and then the worker carries the start out. The next leader must
// know of an unanswered start of a job that has ended.
describe("a start of a cancelled job that is carried out late", () => {
    const cases: ReadonlyArray<readonly [name: string, removesStarter: boolean, cutForMs: number]> = [
        ["by a reachable worker", false, 0],
        ["by a worker that is unreachable until shortly before the start", false, LATE_MS - 500],
        ["by a worker that is unreachable until after the start", false, LATE_MS + 500],
        ["after its leader was lost", true, 0],
        ["after its leader was lost, by a worker unreachable until shortly before the start", true, LATE_MS - 500],
        ["after its leader was lost, by a worker unreachable until after the start", true, LATE_MS + 500],
    ];
    test.each(cases)("%s is stopped in time", async (_name, removesStarter, cutForMs) => {
        const { target, faults } = createFaults(cutForMs);
        const job = fixtures.createJob(1, { estimateMs: LONG_MS });
        const site = await fixtures.openSiteWithJobs({ workers: 3, workerFaults: faults }, [job]);
        await site.clock.advance(200);
        const starter = site.getLeader()!;
        expect(target.workerId).toBeDefined();
        expect((await fixtures.advanceUntilSettled(site.clock, site.cancel(job.jobId, 1 - starter))).kind).toBe(
            "cancelled",
        );
        if (removesStarter) {
            site.powerOff(starter);
        }
        const reachableAt = Math.max(target.at! + cutForMs, target.at! + LATE_MS);
        await site.clock.advance(reachableAt - site.clock.now() + STOPPED_WITHIN_MS);
        expect(site.workers.getRunningTasks()).toEqual([]);
        await site.clock.advance(LONG_MS);
        expect(site.workers.getRunningTasks()).toEqual([]);
        expect(site.workers.completionCounts.size).toBe(0);
        expect(site.workers.violations).toEqual([]);
        site.close();
    });
});

import type * as work from "../../work/index";
import * as entries from "../entries";
import * as workerLosses from "../losses/index";
import * as fixtures from "./fixtures";

const WAITING = { kind: "waiting", run: 4, failures: 0, crashBudgetUsed: 0, knownCrashes: 0, saved: "" } as const;
const PLACED = { ...WAITING, kind: "placed", workerId: "w" } as const;
const RUNNING = { state: "running", ended: [], failed: false, endedAt: 0 } as const;

function restore(progress: work.TaskProgress, lasting = false): entries.JobEntry {
    const registry = fixtures.createJobRegistry();
    const job = registry.addJob(fixtures.createSubmission("job", { lasting }));
    registry.restoreJob(job, RUNNING, 1);
    const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
    registry.restoreOccurrence(job, 0, [[progress]], 1, () => worker);
    return job;
}

// Guards against one attempt too many: a leader failed after it counted the last attempt and before it stored the job's
// end.
describe("a job whose task is restored", () => {
    const cases: ReadonlyArray<readonly [name: string, progress: work.TaskProgress, state: work.JobState]> = [
        ["with an attempt left", { ...WAITING, failures: 1 }, "running"],
        ["with its attempts used up", { ...WAITING, failures: 2 }, "failed"],
        [
            "with a run beyond the attempts, after their configured number was lowered",
            { ...PLACED, failures: 3 },
            "running",
        ],
        ["with crashes short of the limit", { ...WAITING, crashBudgetUsed: 4, knownCrashes: 1 }, "running"],
        ["with two certain crashes", { ...WAITING, crashBudgetUsed: 2, knownCrashes: 2 }, "failed"],
        ["with its budget for crashes used up", { ...WAITING, crashBudgetUsed: 5 }, "failed"],
        ["with a run that was counted in advance", { ...PLACED, crashBudgetUsed: 5 }, "running"],
    ];
    test.each(cases)("%s", (_name, progress, state) => {
        expect(restore(progress).state).toBe(state);
    });

    // Guards against a run that each leader that restores it counts as lost again.
    test("with a run that its worker's next incarnation must refuse", () => {
        const task = restore({ ...WAITING, kind: "closing", workerId: "w" }).occurrences.get(0)!.steps[0]!.tasks[0]!;
        expect(task.phase).toBe("stopping");
        expect(workerLosses.listLostRuns(task.worker!, { ...fixtures.LIST_OPTIONS, hasNextIncarnation: true })).toEqual(
            [],
        );
    });

    test("with many failures of a lasting task", () => {
        expect(restore({ ...WAITING, failures: 9 }, true).state).toBe("running");
    });
});

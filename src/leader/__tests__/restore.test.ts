import type * as work from "../../work/index";
import * as entries from "../entries";
import * as lostRuns from "../lostRuns";
import * as fixtures from "./fixtures";

const WAITING = { kind: "waiting", run: 4, failures: 0, crashBudgetUsed: 0, knownCrashes: 0, saved: "" } as const;
const PLACED = { ...WAITING, kind: "placed", workerId: "w" } as const;
const RUNNING = { state: "running", ended: [], failed: false, endedAt: 0 } as const;

function restore(progress: work.TaskProgress, lasting = false): entries.JobEntry {
    const book = fixtures.createJobRegistry();
    const job = book.addJob(fixtures.createSubmission("job", { lasting }));
    book.restoreJob(job, RUNNING, 1);
    const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
    book.restoreOccurrence(job, 0, [[progress]], 1, () => worker);
    return job;
}

// A leader was lost after it had counted the last attempt and before it had stored the job's end: its successor tried once more.
describe("a job whose task is read", () => {
    const cases: ReadonlyArray<readonly [name: string, progress: work.TaskProgress, state: work.JobState]> = [
        ["with an attempt left", { ...WAITING, failures: 1 }, "running"],
        ["with its attempts used up", { ...WAITING, failures: 2 }, "failed"],
        [
            "with a run under way beyond the attempts, of which fewer are configured by now",
            { ...PLACED, failures: 3 },
            "running",
        ],
        ["with crashes short of the limit", { ...WAITING, crashBudgetUsed: 4, knownCrashes: 1 }, "running"],
        ["with two certain crashes", { ...WAITING, crashBudgetUsed: 2, knownCrashes: 2 }, "failed"],
        ["with its budget for crashes used up", { ...WAITING, crashBudgetUsed: 5 }, "failed"],
        ["with a run under way that was counted beforehand", { ...PLACED, crashBudgetUsed: 5 }, "running"],
    ];
    test.each(cases)("%s", (_name, progress, state) => {
        expect(restore(progress).state).toBe(state);
    });

    // Guards against a run that is counted as lost again by each leader that reads it.
    test("with a run that is only to be refused by its worker's next life", () => {
        const task = restore({ ...WAITING, kind: "closing", workerId: "w" }).occurrences.get(0)!.steps[0]!.tasks[0]!;
        expect(task.phase).toBe("stopping");
        expect(lostRuns.listLostRuns(task.worker!, { ...fixtures.LIST_OPTIONS, hasNextIncarnation: true })).toEqual([]);
    });

    test("with many failures, and lasts", () => {
        expect(restore({ ...WAITING, failures: 9 }, true).state).toBe("running");
    });
});

import * as decisions from "../../decisions/index";
import * as crashHistory from "../crashHistory";
import * as entries from "../entries";
import * as units from "../units";
import * as fixtures from "./fixtures";

const COUNTED = { knownCrashes: 0, crashBudgetUsed: 4 };

/** The cost of stopping a task that has been at work for two seconds. */
function getStopCost(crashes: crashHistory.CrashHistory): number {
    const book = fixtures.createJobRegistry();
    const job = book.addJob(fixtures.createSubmission("job", { estimateMs: 9_000 }));
    book.releaseDueOccurrences();
    const task = job.occurrences.get(0)!.steps[0]!.tasks[0]!;
    entries.assign(task, entries.createWorkerEntry(entries.createUnknownWorkerInfo("w")));
    Object.assign(task, { phase: "running", orderedAt: 0, runningSince: 0, crashes });
    const groups = units.collectRunningGroups([job], {
        now: 2_000,
        wallNow: 2_000,
        estimateRunMs: step => step.spec.estimateMs,
        policy: decisions.POLICIES.worth,
        isGuaranteed: () => false,
    });
    return groups.get(task.name)!.group.costCoreSeconds;
}

// Guards against a sound task that is given up since it was stopped for others when each of its starts counted.
test("a run whose start counts as a possible crash is dearer to stop", () => {
    const counted = getStopCost(crashHistory.restoreCrashHistory(COUNTED, true));
    const earlier = getStopCost(crashHistory.createCrashHistory({ ...COUNTED, crashBudgetUsed: 2 }));
    const none = getStopCost(crashHistory.createCrashHistory());
    expect(earlier).toBe(none);
    expect(counted).toBeGreaterThan(none);
});

import * as decisions from "../../decisions/index";
import * as crashHistory from "../crashHistory";
import * as entries from "../entries";
import * as units from "../units";
import * as fixtures from "./fixtures";

const COUNTED = { knownCrashes: 0, crashBudgetUsed: 4 };

/** The cost of stopping a task that has run for two seconds. */
function getStopCost(crashes: crashHistory.CrashHistory): number {
    const registry = fixtures.createJobRegistry();
    const job = registry.addJob(fixtures.createSubmission("job", { estimateMs: 9_000 }));
    registry.releaseDueOccurrences();
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

// Guards against a healthy task that is given up because it was preempted while each of its starts counted.
test("a run whose start counts as a possible crash costs more to stop", () => {
    const counted = getStopCost(crashHistory.restoreCrashHistory(COUNTED, true));
    const earlier = getStopCost(crashHistory.createCrashHistory({ ...COUNTED, crashBudgetUsed: 2 }));
    const none = getStopCost(crashHistory.createCrashHistory());
    expect(earlier).toBe(none);
    expect(counted).toBeGreaterThan(none);
});

// Guards against a task that is stopped, although it has come to work since its last report, while the others are away.
test("a task that is starting up is protected by the budget of its step", () => {
    const registry = fixtures.createJobRegistry();
    const job = registry.addJob(fixtures.createSubmission("job", { count: 2, lasting: true, mayMiss: 1 }));
    registry.releaseDueOccurrences();
    const [task] = job.occurrences.get(0)!.steps[0]!.tasks;
    entries.assign(task!, entries.createWorkerEntry(entries.createUnknownWorkerInfo("w")));
    Object.assign(task!, { phase: "running", percent: 40 });
    const groups = units.collectRunningGroups([job], fixtures.createUnitsOptions());
    expect(groups.get(task!.name)!.group.disruptionBudget).toEqual({ step: "job.0.0", allowedDisruptions: 0 });
});

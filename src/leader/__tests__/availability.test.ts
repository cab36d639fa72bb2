import * as availability from "../availability";
import * as entries from "../entries";
import * as fixtures from "./fixtures";

const NOW = 100_000;

/** A state of one task, as the leader sees it at `NOW`. */
type TaskState =
    | "available"
    | "startingUp"
    | "startSent"
    | "startNotSent"
    | "workerSilent"
    | "reportOutdated"
    | "beingStopped"
    | "waiting";

function setState(task: entries.TaskEntry, state: TaskState): void {
    const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo(task.name));
    worker.reachable = state !== "workerSilent";
    if (state !== "waiting") {
        entries.assign(task, worker);
    }
    const fields: Readonly<Record<TaskState, Partial<entries.TaskEntry>>> = {
        available: { phase: "running" },
        startingUp: { phase: "running", percent: 40 },
        startSent: { phase: "ordered", percent: 0 },
        startNotSent: { phase: "recording", percent: 0 },
        workerSilent: { phase: "running" },
        reportOutdated: { phase: "running", lastReportAt: NOW - 3_500 },
        beingStopped: { phase: "stopping" },
        waiting: { phase: "waiting", percent: 0 },
    };
    Object.assign(task, { percent: 100, lastReportAt: NOW - 1_500, ...fields[state] });
}

const cases: ReadonlyArray<{ mayMiss: number; others: readonly TaskState[]; task: TaskState; mayStop: boolean; }> = [
    { mayMiss: 1, others: ["available", "available"], task: "available", mayStop: true },
    { mayMiss: 1, others: ["available", "workerSilent"], task: "available", mayStop: false },
    { mayMiss: 1, others: ["available", "reportOutdated"], task: "available", mayStop: false },
    { mayMiss: 1, others: ["available", "startingUp"], task: "available", mayStop: false },
    { mayMiss: 1, others: ["available", "startSent"], task: "available", mayStop: false },
    { mayMiss: 1, others: ["available", "beingStopped"], task: "available", mayStop: false },
    { mayMiss: 1, others: ["available", "waiting"], task: "available", mayStop: false },
    { mayMiss: 2, others: ["available", "workerSilent"], task: "available", mayStop: true },
    { mayMiss: 0, others: ["waiting", "workerSilent"], task: "available", mayStop: true },
    // Such a task may be available meanwhile, so it is protected; it does not count against itself.
    { mayMiss: 1, others: ["waiting"], task: "startingUp", mayStop: false },
    { mayMiss: 1, others: ["waiting"], task: "startSent", mayStop: false },
    { mayMiss: 1, others: ["waiting"], task: "workerSilent", mayStop: false },
    { mayMiss: 1, others: ["available"], task: "startingUp", mayStop: true },
    { mayMiss: 1, others: ["available"], task: "workerSilent", mayStop: true },
    { mayMiss: 1, others: ["waiting"], task: "startNotSent", mayStop: true },
];

// Guards against a step of which nothing is at work any more: a task is stopped while others count as at work that are
// not, or is not protected since it counts as away itself.
describe("whether a task of a step may be stopped", () => {
    test.each(cases)("$task, beside $others of which $mayMiss may be missing", ({ mayMiss, others, task, mayStop }) => {
        const spec = { count: others.length + 1, lasting: true, mayMiss };
        const { step } = fixtures.createTask("job", spec);
        [task, ...others].forEach((state, index) => setState(step.tasks[index]!, state));
        expect(availability.mayStop(step.tasks[0]!, NOW)).toBe(mayStop);
    });

    test("a step of tasks that end by themselves has no budget", () => {
        const { step } = fixtures.createTask("job", { count: 2, mayMiss: 1 });
        step.tasks.forEach(task => setState(task, "available"));
        expect(availability.mayStop(step.tasks[0]!, NOW)).toBe(true);
    });
});

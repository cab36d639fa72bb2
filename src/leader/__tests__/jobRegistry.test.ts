import * as entries from "../entries";
import * as workerLosses from "../losses/index";
import * as fixtures from "./fixtures";

/** A registry with a gang of two, each on its own worker. */
function openRegistryWithGang() {
    const registry = fixtures.createJobRegistry();
    const job = registry.addJob(fixtures.createSubmission("job", { count: 2, gang: true }));
    registry.releaseDueOccurrences();
    const members = job.occurrences.get(0)!.steps[0]!.tasks;
    const workers = members.map(({ index }) => entries.createWorkerEntry(entries.createUnknownWorkerInfo(`w${index}`)));
    registry.place(members, workers);
    members.forEach(member =>
        Object.assign(member, { phase: "running", orderedAt: 1, runningSince: 2, lastReportAt: 3 })
    );
    return { registry, members, workers };
}

// Guards against a crash that is not counted because another member of the gang was missing from its worker's list.
test("a gang member that is stopped because another one is missing still counts when its worker is lost", () => {
    const { registry, members, workers } = openRegistryWithGang();
    registry.requestStop(members[0]!, entries.MISSING_RUN_REASON);
    expect(members.map(member => member.phase)).toEqual(["stopping", "stopping"]);
    expect(workers.map(worker => workerLosses.listLostRuns(worker, fixtures.LIST_OPTIONS).length)).toEqual([0, 1]);
});

// Guards against a start beyond the attempts that the queue allows, and against a task that is given up under the next
// leader and not under the present one.
test("a waiting task that has failed as often as its queue now allows is not started again", () => {
    let queue = { ...fixtures.QUEUE, maxAttempts: 4 };
    const registry = fixtures.createJobRegistry({ getQueue: () => queue });
    const job = registry.addJob(fixtures.createSubmission("job"));
    registry.releaseDueOccurrences();
    job.occurrences.get(0)!.steps[0]!.tasks[0]!.failures = 2;
    queue = { ...queue, maxAttempts: 3 };
    registry.updateQueues();
    expect(job.state).toBe("queued");
    queue = { ...queue, maxAttempts: 2 };
    registry.updateQueues();
    expect(job.state).toBe("failed");
});

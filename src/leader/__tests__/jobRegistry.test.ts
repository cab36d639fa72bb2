import * as entries from "../entries";
import * as lostRuns from "../lostRuns";
import * as fixtures from "./fixtures";

/** A gang of two, each on a worker of its own. */
function openBookWithGang() {
    const book = fixtures.createJobRegistry();
    const job = book.addJob(fixtures.createSubmission("job", { count: 2, gang: true }));
    book.releaseDueOccurrences();
    const members = job.occurrences.get(0)!.steps[0]!.tasks;
    const workers = members.map(({ index }) => entries.createWorkerEntry(entries.createUnknownWorkerInfo(`w${index}`)));
    book.place(members, workers);
    members.forEach(member =>
        Object.assign(member, { phase: "running", orderedAt: 1, runningSince: 2, lastReportAt: 3 })
    );
    return { book, members, workers };
}

// Guards against a crash that is not counted since another member of the gang was missing from its worker's list.
test("a gang's member that is stopped for one that is missing still counts where its worker is lost", () => {
    const { book, members, workers } = openBookWithGang();
    book.requestStop(members[0]!, entries.MISSING_RUN_REASON);
    expect(members.map(member => member.phase)).toEqual(["stopping", "stopping"]);
    expect(workers.map(worker => lostRuns.listLostRuns(worker, fixtures.LIST_OPTIONS).length)).toEqual([0, 1]);
});

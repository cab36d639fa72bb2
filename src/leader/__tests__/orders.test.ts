import * as clocks from "../../clock/index";
import * as telemetry from "../../telemetry/index";
import * as crashHistory from "../crashHistory";
import * as entries from "../entries";
import type * as bookOfTasks from "../jobRegistry";
import * as orders from "../orders";
import type * as workerSession from "../workerSession";
import * as fixtures from "./fixtures";

interface Case {
    readonly name: string;
    readonly crashBudgetUsed: number;
    /** What the look before the start finds out, and whether the worker may still be started on after it. */
    readonly answers?: boolean;
    readonly mayStartThen?: boolean;
    readonly calls: readonly string[];
    readonly isSetAside?: boolean;
}

const cases: readonly Case[] = [
    { name: "is started without a look", crashBudgetUsed: 0, calls: ["start"] },
    { name: "that was lost before is started after a look", crashBudgetUsed: 1, calls: ["look", "start"] },
    {
        name: "that was lost before is taken back from a worker that does not answer, which is set aside",
        crashBudgetUsed: 1,
        answers: false,
        calls: ["look", "takeBack"],
        isSetAside: true,
    },
    {
        name: "that was lost before is taken back from a worker that shrinks or drains while it is looked at",
        crashBudgetUsed: 1,
        mayStartThen: false,
        calls: ["look", "takeBack"],
    },
];

// The look before a start takes up to 0.6 s, in which the worker's last report may become too old.
describe("a task that is placed", () => {
    test.each(cases)(
        "$name",
        async ({ crashBudgetUsed, answers = true, mayStartThen = true, calls, isSetAside = false }) => {
            const time = clocks.createManualClock(1_000);
            const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
            const task = fixtures.createTask("job");
            entries.assign(task, worker);
            const crashes = crashHistory.createCrashHistory({ knownCrashes: 0, crashBudgetUsed });
            Object.assign(task, { run: 1, phase: "recording", crashes });
            const called: string[] = [];
            let mayStart = true;
            const session: Partial<workerSession.WorkerSession> = {
                ensureReachable: async () => {
                    called.push("look");
                    mayStart = mayStartThen;
                    return answers;
                },
                start: async () => {
                    called.push("start");
                    return { kind: "accepted", workerClock: 0 };
                },
            };
            const book: Partial<bookOfTasks.JobRegistry> = {
                confirmRunning: () => undefined,
                revertPlacement: () => called.push("takeBack"),
            };
            const ordersOfTerm = orders.createOrders({
                jobRegistry: book as bookOfTasks.JobRegistry,
                clock: time,
                log: fixtures.LOG,
                meter: telemetry.createMetrics().meter,
                signal: new AbortController().signal,
                getSession: () => session as workerSession.WorkerSession,
                mayOrder: () => true,
                mayStart: () => mayStart,
                disabledMechanisms: new Set(),
            });
            ordersOfTerm.start([{ task, run: 1 }]);
            await time.advance(10);
            expect(called).toEqual(calls);
            expect(worker.quarantinedUntil > time.now()).toBe(isSetAside);
        },
    );
});

import * as clocks from "../../../clock/index";
import * as telemetry from "../../../telemetry/index";
import * as fixtures from "../../__tests__/fixtures";
import * as crashHistory from "../../crashHistory";
import * as entries from "../../entries";
import type * as jobRegistry from "../../jobRegistry";
import * as orders from "../orders";
import * as unansweredStarts from "../unansweredStarts";
import type * as workerSession from "../workerSession";

interface Case {
    readonly name: string;
    readonly crashBudgetUsed: number;
    /** Whether the worker answered the last poll of its session. */
    readonly isReachable?: boolean;
    /** Whether the worker answers the poll before the start, and whether it may still get the start after that. */
    readonly answers?: boolean;
    readonly mayStartThen?: boolean;
    readonly calls: readonly string[];
    /** How long the start order is valid; `undefined` if it is valid as long as a lease. */
    readonly validMs?: number;
    readonly isSetAside?: boolean;
}

const cases: readonly Case[] = [
    { name: "without losses is started without a poll", crashBudgetUsed: 0, calls: ["start"] },
    {
        name: "is taken back from a worker that has fallen silent since, which is quarantined",
        crashBudgetUsed: 0,
        isReachable: false,
        calls: ["takeBack"],
        isSetAside: true,
    },
    {
        name: "that was lost before is started after a poll",
        crashBudgetUsed: 1,
        calls: ["poll", "start"],
        validMs: 500,
    },
    {
        name: "that was lost before is taken back from a worker that does not answer, which is quarantined",
        crashBudgetUsed: 1,
        answers: false,
        calls: ["poll", "takeBack"],
        isSetAside: true,
    },
    {
        name: "that was lost before is taken back from a worker that shrinks or drains during the poll",
        crashBudgetUsed: 1,
        mayStartThen: false,
        calls: ["poll", "takeBack"],
    },
];

/** Orders that may be issued, of a term that does not end. */
function createOrders(
    options: Pick<orders.OrdersOptions, "jobRegistry" | "getSession"> & Partial<orders.OrdersOptions>,
) {
    return orders.createOrders({
        clock: clocks.createManualClock(1_000),
        log: fixtures.LOG,
        meter: telemetry.createMetrics().meter,
        signal: new AbortController().signal,
        mayIssueOrders: () => true,
        findStartObstacle: () => undefined,
        unansweredStarts: unansweredStarts.createUnansweredStarts(clocks.createManualClock()),
        disabledMechanisms: new Set(),
        ...options,
    });
}

// Guards against starts on lost or changed workers: the poll before a start takes up to 0.6 s, in which the worker's
// last report may become too old.
describe("a task that is placed", () => {
    test.each(cases)(
        "$name",
        async ({ crashBudgetUsed, isReachable = true, answers = true, mayStartThen = true, ...expected }) => {
            const { calls, validMs, isSetAside = false } = expected;
            const time = clocks.createManualClock(1_000);
            const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
            worker.reachable = isReachable;
            const task = fixtures.createTask("job");
            entries.assign(task, worker);
            const crashes = crashHistory.createCrashHistory({ knownCrashes: 0, crashBudgetUsed });
            Object.assign(task, { run: 1, phase: "recording", crashes });
            const called: string[] = [];
            let mayStart = true;
            const session: Partial<workerSession.WorkerSession> = {
                ensureReachable: async () => {
                    called.push("poll");
                    mayStart = mayStartThen;
                    return answers;
                },
                start: async (_order, sent) => {
                    called.push("start");
                    expect(sent?.validMs).toBe(validMs);
                    return { kind: "accepted", workerClock: 0 };
                },
            };
            const jobs: Partial<jobRegistry.JobRegistry> = {
                confirmRunning: () => undefined,
                revertPlacement: () => called.push("takeBack"),
            };
            const ordersOfTerm = createOrders({
                jobRegistry: jobs as jobRegistry.JobRegistry,
                clock: time,
                getSession: () => session as workerSession.WorkerSession,
                findStartObstacle: () => mayStart ? undefined : "draining",
            });
            ordersOfTerm.start([{ task, run: 1 }]);
            await time.advance(10);
            expect(called).toEqual(calls);
            expect(worker.quarantinedUntil > time.now()).toBe(isSetAside);
        },
    );
});

// Guards against starts on a worker that does not answer, which hold up those on every other worker.
test("starts on a silent worker let those on others pass", async () => {
    const started: string[] = [];
    const ordersOfTerm = createOrders({
        jobRegistry: { confirmRunning: () => undefined } as Partial<jobRegistry.JobRegistry> as jobRegistry.JobRegistry,
        getSession: ({ id }) => {
            const session: Partial<workerSession.WorkerSession> = {
                start: ({ task }) => {
                    started.push(task);
                    return id === "silent"
                        ? new Promise(() => undefined)
                        : Promise.resolve({ kind: "accepted", workerClock: 0 });
                },
            };
            return session as workerSession.WorkerSession;
        },
    });
    const place = (workerId: string, count: number) => {
        const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo(workerId));
        worker.reachable = true;
        return Array.from({ length: count }, (_, index) => {
            const task = fixtures.createTask(`${workerId}-${index}`);
            entries.assign(task, worker);
            return { task: Object.assign(task, { run: 1, phase: "recording" }), run: 1 };
        });
    };
    ordersOfTerm.start([...place("silent", 100), ...place("well", 1)]);
    await new Promise(resolve => setImmediate(resolve));
    expect(started).toContain("well-0.0.0.0");
});

import * as fixtures from "../../scheduler/__tests__/fixtures";
import * as bestEffortPacing from "../bestEffortPacing";
import * as entries from "../entries";

const TARGET_MS = 100;

interface Case {
    readonly name: string;
    /** The known pace of the best-effort task; `undefined` if an earlier leader set it. */
    readonly pacePercent: number | undefined;
    /** Tail latency of the latency-sensitive task on the same worker. */
    readonly tailMs: number;
    /** Pace that is sent to the best-effort task; `undefined` if none is sent. */
    readonly expectedPercent: number | undefined;
}

const cases: readonly Case[] = [
    { name: "beyond the target best-effort tasks are paused", pacePercent: 100, tailMs: 120, expectedPercent: 0 },
    { name: "near the target their pace is halved", pacePercent: 80, tailMs: 90, expectedPercent: 40 },
    { name: "well below the target their pace is raised", pacePercent: 40, tailMs: 30, expectedPercent: 50 },
    { name: "in between their pace is unchanged", pacePercent: 40, tailMs: 70, expectedPercent: undefined },
    { name: "at full pace no order is sent", pacePercent: 100, tailMs: 30, expectedPercent: undefined },
    // Guards against a best-effort task that stays paused beside an idle latency-sensitive task: a new leader that
    // assumed a pace of 100 percent would have nothing to raise.
    {
        name: "a pace that an earlier leader set is sent again",
        pacePercent: undefined,
        tailMs: 30,
        expectedPercent: 10,
    },
    {
        name: "a pace that an earlier leader set is sent again beyond the target",
        pacePercent: undefined,
        tailMs: 120,
        expectedPercent: 0,
    },
];

describe("pace of best-effort tasks", () => {
    test.each(cases)("$name", ({ pacePercent, tailMs, expectedPercent }) => {
        const job = fixtures.createJob(1);
        const steps = [
            fixtures.createStep({ lasting: true, targetMs: TARGET_MS }),
            fixtures.createStep({ fills: true }),
        ];
        const entry = entries.createJobEntry(
            {
                jobId: job.jobId,
                queue: fixtures.CATALOG.queues[0]!,
                account: "office",
                acceptedAt: 0,
                spec: { ...job.spec, steps },
            },
            fixtures.CATALOG.queues[0]!,
            0,
        );
        const worker = entries.createWorkerEntry(fixtures.createWorkerInfo(0));
        const [latencySensitive, bestEffort] = entries.createOccurrenceEntry(entry, 0, 0).steps.map(step =>
            step.tasks[0]!
        );
        for (const task of [latencySensitive!, bestEffort!]) {
            entries.assign(task, worker);
            task.phase = "running";
        }
        latencySensitive!.recentFigure = tailMs;
        bestEffort!.pacePercent = pacePercent;
        const orders: Array<readonly [task: string, percent: number]> = [];
        bestEffortPacing.paceBestEffortTasks(worker, (task, percent) => orders.push([task.name, percent]));
        expect(orders).toEqual(expectedPercent === undefined ? [] : [[bestEffort!.name, expectedPercent]]);
    });
});

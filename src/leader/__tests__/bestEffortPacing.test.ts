import * as fixtures from "../../scheduler/__tests__/fixtures";
import * as sharing from "../bestEffortPacing";
import * as entries from "../entries";

const TARGET_MS = 100;

interface Case {
    readonly name: string;
    /** The filler's pace as it is known; `undefined`: told by an earlier leader. */
    readonly pacePercent: number | undefined;
    /** Tail of the serving task beside it. */
    readonly tailMs: number;
    /** What the filler is told; `undefined`: nothing. */
    readonly told: number | undefined;
}

const cases: readonly Case[] = [
    { name: "beyond the bound fillers stand still", pacePercent: 100, tailMs: 120, told: 0 },
    { name: "near the bound they are halved", pacePercent: 80, tailMs: 90, told: 40 },
    { name: "well below they are raised", pacePercent: 40, tailMs: 30, told: 50 },
    { name: "in between they are left alone", pacePercent: 40, tailMs: 70, told: undefined },
    { name: "at full pace there is nothing to tell", pacePercent: 100, tailMs: 30, told: undefined },
    // Symptom: a filler stands still for good beside an idle serving task. Sequence: the leader that paced it down is
    // succeeded. Cause: the successor took its pace for 100 percent, which leaves nothing to raise.
    { name: "a pace that an earlier leader told is told anew", pacePercent: undefined, tailMs: 30, told: 10 },
    { name: "the same beyond the bound", pacePercent: undefined, tailMs: 120, told: 0 },
];

describe("pace of fillers", () => {
    test.each(cases)("$name", ({ pacePercent, tailMs, told }) => {
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
        const [serving, filling] = entries.createOccurrenceEntry(entry, 0, 0).steps.map(step => step.tasks[0]!);
        for (const task of [serving!, filling!]) {
            entries.assign(task, worker);
            task.phase = "running";
        }
        serving!.recentFigure = tailMs;
        filling!.pacePercent = pacePercent;
        const orders: Array<readonly [task: string, percent: number]> = [];
        sharing.paceFillers(worker, (task, percent) => orders.push([task.name, percent]));
        expect(orders).toEqual(told === undefined ? [] : [[filling!.name, told]]);
    });
});

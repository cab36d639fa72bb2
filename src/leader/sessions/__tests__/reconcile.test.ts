import * as clocks from "../../../clock/index";
import * as fixtures from "../../__tests__/fixtures";
import * as entries from "../../entries";
import type * as jobRegistry from "../../jobRegistry";
import * as reconcile from "../reconcile";

const ORDERED_AT = 1_000;
const EXPIRES_AT = 1_515;
const TIMED_OUT_AT = 1_600;

interface Case {
    readonly name: string;
    readonly fields: Partial<entries.TaskEntry>;
    readonly sentAt: number;
    readonly reason: string | undefined;
}

const UNANSWERED = { phase: "ordered", startTimedOutAt: TIMED_OUT_AT, startExpiresAt: EXPIRES_AT } as const;
const STOPPING = { ...UNANSWERED, phase: "stopping", stopReason: "startUnanswered" } as const;

const cases: readonly Case[] = [
    { name: "that was sent before the start timed out", fields: UNANSWERED, sentAt: 1_550, reason: undefined },
    {
        name: "of a start that has expired",
        fields: UNANSWERED,
        sentAt: 1_700,
        reason: entries.MISSING_RUN_REASON,
    },
    {
        name: "of a start that may still be carried out",
        fields: { ...UNANSWERED, startExpiresAt: Infinity },
        sentAt: 1_700,
        reason: "startUnanswered",
    },
    {
        name: "of an expired start that is being stopped",
        fields: STOPPING,
        sentAt: 1_700,
        reason: entries.MISSING_RUN_REASON,
    },
    {
        name: "of an expired start that is being stopped, sent before it expired",
        fields: STOPPING,
        sentAt: 1_500,
        reason: undefined,
    },
    {
        name: "of a run that its worker had confirmed and that is being stopped",
        fields: { ...STOPPING, runningSince: ORDERED_AT + 2 },
        sentAt: 1_700,
        reason: undefined,
    },
    {
        name: "of a run that an earlier leader ordered and that is being stopped",
        fields: { ...STOPPING, inherited: true },
        sentAt: 1_700,
        reason: undefined,
    },
];

// Guards against a start that was never carried out and counts as lost with its worker, since its stop got no answer.
describe("a poll without the task's run", () => {
    test.each(cases)("$name", ({ fields, sentAt, reason }) => {
        const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo("w"));
        const task = fixtures.createTask("job");
        entries.assign(task, worker);
        Object.assign(task, { run: 1, orderedAt: ORDERED_AT, ...fields });
        const reasons: string[] = [];
        const jobs: Partial<jobRegistry.JobRegistry> = {
            getTask: () => task,
            requestStop: (_task, stopReason) => reasons.push(stopReason),
        };
        reconcile.reconcile(
            {
                jobRegistry: jobs as jobRegistry.JobRegistry,
                clock: clocks.createManualClock(),
                log: fixtures.LOG,
                stopUnknownRun: () => undefined,
            },
            worker,
            { sentAt, running: [], ended: [], isEndListComplete: true },
        );
        expect(reasons).toEqual(reason === undefined ? [] : [reason]);
    });
});

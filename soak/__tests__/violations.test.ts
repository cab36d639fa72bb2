import type * as emulator from "../../src/emulator/index";
import * as work from "../../src/work/index";
import * as violationChecks from "../violations";

const JOB: emulator.EmulatedJob = {
    jobId: "00000000000000aa",
    queue: "urgent",
    account: "office",
    spec: {
        payload: "",
        steps: [{ ...work.DEFAULT_STEP, count: 2, needs: work.NO_RESOURCES, estimateMs: 1_000 }],
        repeats: 0,
        firstDueAt: 0,
        periodMs: 0,
    },
    durationsMs: [1_000],
};
const TASKS = [`${JOB.jobId}.0.0.0`, `${JOB.jobId}.0.0.1`];
const ALWAYS_FAULT_FREE: violationChecks.FaultFreeTimes = { isFaultFree: () => true };
const NEVER_FAULT_FREE: violationChecks.FaultFreeTimes = { isFaultFree: () => false };

function createRecord(fields: Partial<violationChecks.JobRecord>): violationChecks.JobRecord {
    return {
        job: JOB,
        refused: false,
        acceptedAt: 0,
        cancelSentAt: undefined,
        cancelledAt: undefined,
        state: "completed",
        ...fields,
    };
}

type ObservedByWorkers = Pick<
    emulator.EmulatedWorkers,
    | "violations"
    | "starts"
    | "gangTimeouts"
    | "startsAfterShrink"
    | "lossTimes"
    | "lossCounts"
    | "completionCounts"
    | "getInfo"
>;

function createWorkers(fields: Partial<ObservedByWorkers>): emulator.EmulatedWorkers {
    const observed: ObservedByWorkers = {
        violations: [],
        starts: [],
        gangTimeouts: [],
        startsAfterShrink: [],
        lossTimes: [],
        lossCounts: new Map(),
        completionCounts: new Map(),
        getInfo: () => ({ zone: "a" }) as ReturnType<emulator.EmulatedWorkers["getInfo"]>,
        ...fields,
    };
    return observed as emulator.EmulatedWorkers;
}

function startAt(at: number, workerId = "w") {
    return { task: TASKS[0]!, run: 1, workerId, incarnationId: workerId, at };
}

interface Case {
    readonly name: string;
    readonly record?: Partial<violationChecks.JobRecord>;
    readonly workers?: Partial<ObservedByWorkers>;
    readonly drainedAt?: number;
    /** When the zone of all workers was evacuated and restored. */
    readonly evacuated?: readonly [from: number, to: number];
    readonly faultFreeTimes?: violationChecks.FaultFreeTimes;
    /** Part of the only violation that is expected; absent: none is. */
    readonly violation?: string;
}

const cases: readonly Case[] = [
    {
        name: "a start in a zone that was evacuated long ago",
        workers: { starts: [startAt(7_000)] },
        evacuated: [1_000, Infinity],
        violation: "started in zone a 6000 ms after its evacuation",
    },
    {
        name: "a start in a zone that was evacuated long ago, beside faults",
        workers: { starts: [startAt(7_000)] },
        evacuated: [1_000, Infinity],
        faultFreeTimes: NEVER_FAULT_FREE,
    },
    {
        name: "a start in a zone that was evacuated just before",
        workers: { starts: [startAt(6_000)] },
        evacuated: [1_000, Infinity],
    },
    {
        name: "a start in a zone that was restored",
        workers: { starts: [startAt(9_000)] },
        evacuated: [1_000, 8_000],
    },
    { name: "a job that is completed" },
    {
        name: "a job whose state is never reported",
        record: { state: undefined },
        violation: "is not reported, not completed",
    },
    { name: "a job that is reported as failed", record: { state: "failed" }, violation: "is failed, not completed" },
    { name: "a job that is cancelled", record: { state: "cancelled", cancelSentAt: 5, cancelledAt: 6 } },
    {
        name: "a job whose submissions were refused",
        record: { refused: true, acceptedAt: undefined, state: undefined },
    },
    {
        name: "a job that runs although its submissions were refused",
        record: { refused: true, acceptedAt: undefined, state: undefined },
        workers: { starts: [startAt(1)] },
        violation: "ran, but every submission",
    },
    { name: "a job whose submissions got no clear answer", record: { acceptedAt: undefined, state: undefined } },
    {
        name: "a start soon after the cancellation",
        record: { state: "cancelled", cancelSentAt: 0, cancelledAt: 0 },
        workers: { starts: [startAt(3_400)] },
    },
    {
        name: "a start long after the cancellation",
        record: { state: "cancelled", cancelSentAt: 0, cancelledAt: 0 },
        workers: { starts: [startAt(3_600)] },
        violation: "3600 ms after the cancellation",
    },
    {
        name: "a start long after the cancellation, during a fault",
        record: { state: "cancelled", cancelSentAt: 0, cancelledAt: 0 },
        workers: { starts: [startAt(3_600)] },
        faultFreeTimes: NEVER_FAULT_FREE,
    },
    { name: "a start on a worker that has just begun to drain", workers: { starts: [startAt(2_400)] }, drainedAt: 0 },
    {
        name: "a start on a worker that has been draining for long",
        workers: { starts: [startAt(2_600)] },
        drainedAt: 0,
        violation: "started on w 2600 ms after it began to drain",
    },
    {
        name: "a start on another worker while one drains",
        workers: { starts: [startAt(2_600, "v")] },
        drainedAt: 0,
    },
    {
        name: "a gang of which only a part started",
        workers: { gangTimeouts: [startAt(9_000)] },
        violation: "the rest of its gang did not start",
    },
    {
        name: "a gang of which only a part started, during a fault",
        workers: { gangTimeouts: [startAt(9_000)] },
        faultFreeTimes: NEVER_FAULT_FREE,
    },
    {
        name: "a gang of which only a part started, long after a worker was lost",
        workers: { gangTimeouts: [startAt(9_000)], lossTimes: [3_900] },
        violation: "the rest of its gang did not start",
    },
    {
        name: "a gang of which only a part started, soon after a worker was lost",
        workers: { gangTimeouts: [startAt(9_000)], lossTimes: [4_100] },
    },
    {
        name: "a start beyond a reduced capacity",
        workers: { startsAfterShrink: [startAt(9_000)] },
        violation: "beyond its reduced capacity",
    },
    {
        name: "a start beyond a reduced capacity, during a fault",
        workers: { startsAfterShrink: [startAt(9_000)] },
        faultFreeTimes: NEVER_FAULT_FREE,
    },
    {
        name: "a job that is reported as failed after each of its tasks lost one worker",
        record: { state: "failed" },
        workers: { lossCounts: new Map([[TASKS[0]!, 1], [TASKS[1]!, 1]]) },
        violation: "is failed, not completed",
    },
    {
        name: "a job that is reported as failed after one of its tasks lost two workers",
        record: { state: "failed" },
        workers: { lossCounts: new Map([[TASKS[0]!, 2]]) },
    },
    {
        name: "a violation that a worker has observed",
        workers: { violations: ["a task ran twice"] },
        violation: "a task ran twice",
    },
];

test.each(cases)("$name", ({ record = {}, workers = {}, drainedAt, evacuated, violation, ...testCase }) => {
    const { faultFreeTimes = ALWAYS_FAULT_FREE } = testCase;
    const violations = violationChecks.findViolations({
        jobs: [createRecord(record)],
        workers: createWorkers(workers),
        evacuations: evacuated ? [{ zone: "a", from: evacuated[0], to: evacuated[1] }] : [],
        drains: drainedAt === undefined ? [] : [{ incarnationId: "w", at: drainedAt }],
        faultFreeTimes,
    });
    expect(violations).toEqual(violation === undefined ? [] : [expect.stringContaining(violation)]);
});

test("a job may be reported as completed only when all of its tasks have succeeded", () => {
    const record = createRecord({});
    const half = createWorkers({ completionCounts: new Map([[TASKS[0]!, 1]]) });
    const whole = createWorkers({ completionCounts: new Map(TASKS.map(task => [task, 1])) });
    expect(violationChecks.checkReportedState(record, "completed", half)).toEqual([expect.stringContaining(TASKS[1]!)]);
    expect(violationChecks.checkReportedState(record, "completed", whole)).toEqual([]);
    expect(violationChecks.checkReportedState(record, "running", half)).toEqual([]);
});

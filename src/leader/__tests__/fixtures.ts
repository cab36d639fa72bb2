import type * as catalogs from "../../catalog/index";
import * as clocks from "../../clock/index";
import * as decisions from "../../decisions/index";
import type * as observe from "../../observe/index";
import * as telemetry from "../../telemetry/index";
import * as work from "../../work/index";
import * as entries from "../entries";
import * as jobRegistries from "../jobRegistry";
import type * as leases from "../lease/index";
import type * as workerLosses from "../losses/index";
import * as sessions from "../sessions/index";
import * as thrownAway from "../thrownAway";
import type * as units from "../units";

export const QUEUE: catalogs.Queue = {
    name: "plan",
    host: "example",
    pathPrefix: "/plan/",
    service: "booking",
    priority: 1,
    maxAttempts: 2,
    stretch: 3,
    objectiveMs: 1_000,
    needsKey: true,
};

export const LOG: observe.Log = { info: () => undefined, warn: () => undefined, error: () => undefined };

/** A job of one task; `step` overrides fields of its step. */
export function createSubmission(jobId: string, step: Partial<work.StepSpec> = {}): work.Submission {
    const spec = { ...work.DEFAULT_STEP, count: 1, needs: work.NO_RESOURCES, estimateMs: 1_000, ...step };
    return {
        jobId,
        queue: QUEUE,
        account: "a",
        acceptedAt: 0,
        spec: { payload: "", steps: [spec], repeats: 0, firstDueAt: 0, periodMs: 0 },
    };
}

/** The task of a job of `createSubmission`. */
export function createTask(jobId: string, step: Partial<work.StepSpec> = {}): entries.TaskEntry {
    const job = entries.createJobEntry(createSubmission(jobId, step), QUEUE, 0);
    return entries.createOccurrenceEntry(job, 0, 0).steps[0]!.tasks[0]!;
}

export const LIST_OPTIONS: workerLosses.ListLostRunsOptions = { estimateRunMs: ({ spec }) => spec.estimateMs };

/** A lease that never expires. */
export const LEADERSHIP: leases.Leadership = {
    token: 1,
    guard: { table: "t", part: "", key: "k", version: 1 },
    signal: new AbortController().signal,
    transact: async () => ({ kind: "refused", message: "" }),
    mayIssueOrders: () => true,
    mayExtendTaskLeases: () => true,
    predecessorsInactiveAt: 0,
};

/** An empty registry; `onStopRequested` is called for each task that is to be stopped. */
export function createJobRegistry(
    {
        clock = clocks.createManualClock(),
        getWorkers = () => [],
        getQueue = () => QUEUE,
        unansweredStarts = sessions.createUnansweredStarts(clock),
        onStopRequested = () => undefined,
    }: {
        clock?: clocks.Clock;
        getWorkers?(): Iterable<entries.WorkerEntry>;
        getQueue?(name: string): catalogs.Queue | undefined;
        unansweredStarts?: sessions.UnansweredStarts;
        onStopRequested?(task: entries.TaskEntry): void;
    } = {},
): jobRegistries.JobRegistry {
    return jobRegistries.createJobRegistry({
        clock,
        log: LOG,
        meter: telemetry.createMetrics().meter,
        signal: new AbortController().signal,
        listener: {
            onOccurrenceChanged: () => undefined,
            onJobChanged: () => undefined,
            onStopRequested,
            onRunObsolete: () => undefined,
            onChanged: () => undefined,
        },
        getQueue,
        getExpectedTimes: () => ({ objectiveMs: 0, criticalPathMs: 0 }),
        estimateRunMs: () => 1_000,
        getWorkers,
        unansweredStarts,
        disabledMechanisms: new Set(),
        thrownAway: thrownAway.createThrownAwayWork(),
    });
}

/** Returns the array with a counter: `onRead` is called for each read of an element. */
export function countReads<T extends object>(items: T, onRead: () => void): T {
    return new Proxy(items, {
        get: (target, key) => {
            if (typeof key === "string" && key !== "" && key <= "9") {
                onRead();
            }
            return target[key as keyof T];
        },
    });
}

/** Options of a pass at time 0 that estimates each run by its caller's estimate. */
export function createUnitsOptions(options: Partial<units.UnitsOptions> = {}): units.UnitsOptions {
    return {
        now: 0,
        wallNow: 0,
        estimateRunMs: step => step.spec.estimateMs,
        policy: decisions.POLICIES.worth,
        isGuaranteed: () => false,
        ...options,
    };
}

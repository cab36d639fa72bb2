/**
 * Checks what callers and workers have observed during a run for violations of the software's guarantees.
 *
 * Guarantees with a time limit are checked only where no fault was active or had just ended: during faults their limits
 * are longer, and a command that a link has held may be executed long after it was sent.
 */
import * as emulator from "../src/emulator/index";
import * as work from "../src/work/index";
import type * as evacuations from "./evacuations";
import * as instances from "./instance";

/** What a caller has observed of a job that it has submitted. */
export interface JobRecord {
    readonly job: emulator.EmulatedJob;
    /** Every attempt to submit the job was refused, and none was left without a clear answer. */
    refused: boolean;
    acceptedAt: number | undefined;
    /** When the caller first sent a cancellation. */
    cancelSentAt: number | undefined;
    /** When the cancellation was acknowledged. */
    cancelledAt: number | undefined;
    /** The last state that was reported to the caller. */
    state: string | undefined;
}

export interface FaultFreeTimes {
    /** Whether no fault was active between the two times or had ended shortly before them. */
    isFaultFree(from: number, to: number): boolean;
}

export interface RunObservations {
    readonly jobs: readonly JobRecord[];
    readonly workers: emulator.EmulatedWorkers;
    readonly drains: ReadonlyArray<{ readonly incarnationId: string; readonly at: number; }>;
    readonly evacuations: readonly evacuations.Evacuation[];
    readonly faultFreeTimes: FaultFreeTimes;
}

/** A task of a cancelled job may still start within this time after the acknowledgement. */
const MAX_CANCEL_MS = 3_000;
/** A task may still start on a worker within this time after the worker has reported that it drains. */
const MAX_DRAIN_NOTICE_MS = 2_000;
/** Allowance for late timers on a busy machine. */
const TIMER_SLACK_MS = 500;

/** Returns a description of each violation. */
export function findViolations(input: RunObservations): string[] {
    return [
        ...input.workers.violations,
        ...input.jobs.flatMap(record => checkFinalState(record, input.workers)),
        ...checkStartsAfterCancellation(input),
        ...checkStartsOverCapacity(input),
        ...checkStartsOnDrainingWorkers(input),
        ...checkStartsInEvacuatedZones(input),
        ...input.workers.gangTimeouts
            .filter(end =>
                input.faultFreeTimes.isFaultFree(end.at - MAX_GANG_WAIT_MS, end.at)
                && !isSoonAfterWorkerLoss(end.at, input.workers)
            )
            .map(end => `${end.task} run ${end.run} ended because the rest of its gang did not start in time`),
    ];
}

/** Whether a worker was lost shortly before; the lost worker may have run another member of the gang. */
function isSoonAfterWorkerLoss(at: number, workers: emulator.EmulatedWorkers): boolean {
    return workers.lossTimes.some(lostAt => lostAt <= at && lostAt > at - MAX_GANG_WAIT_MS);
}

/** Longest time from the start of a gang's first member until it ends as "alone". */
const MAX_GANG_WAIT_MS = 5_000;

/**
 * Returns a violation if the reported state contradicts the tasks that have ended so far. To be called at the moment at
 * which the state is reported.
 */
export function checkReportedState(record: JobRecord, state: string, workers: emulator.EmulatedWorkers): string[] {
    if (state !== "completed") {
        return [];
    }
    const { job } = record;
    return listTasks(job)
        .filter(task => !workers.completionCounts.has(task))
        .map(task => `job ${job.jobId} is reported as completed, but task ${task} has not succeeded`);
}

function checkFinalState(record: JobRecord, workers: emulator.EmulatedWorkers): string[] {
    const { job } = record;
    if (record.refused) {
        const ran = workers.starts.find(start => start.task.startsWith(`${job.jobId}.`));
        return ran ? [`${ran.task} ran, but every submission of its job was refused`] : [];
    }
    if (record.acceptedAt === undefined) {
        return [];
    }
    const expected = record.cancelSentAt === undefined
        ? emulator.getExpectedStates(job)
        : ["cancelled", "completed", "failed"];
    const mayHaveFailedByCrashes = record.state === "failed" && emulator.mayFailByCrashes(job, workers.lossCounts);
    return record.state !== undefined && (expected.includes(record.state) || mayHaveFailedByCrashes)
        ? []
        : [`job ${job.jobId} is ${record.state ?? "not reported"}, not ${expected.join(" or ")}`];
}

function checkStartsAfterCancellation({ jobs, workers, faultFreeTimes }: RunObservations): string[] {
    return jobs.flatMap(record => {
        const { cancelledAt } = record;
        if (cancelledAt === undefined) {
            return [];
        }
        return workers.starts
            .filter(start => start.task.startsWith(`${record.job.jobId}.`))
            .filter(start =>
                start.at > cancelledAt + MAX_CANCEL_MS + TIMER_SLACK_MS
                && faultFreeTimes.isFaultFree(cancelledAt, start.at)
            )
            .map(start =>
                `${start.task} run ${start.run} started ${Math.round(start.at - cancelledAt)} ms after the cancellation`
            );
    });
}

/** A start that a link has delayed may rely on a capacity that the worker had reported before. */
function checkStartsOverCapacity({ workers, faultFreeTimes }: RunObservations): string[] {
    return workers.startsAfterShrink
        .filter(start => faultFreeTimes.isFaultFree(start.at - MAX_STALE_CAPACITY_MS, start.at))
        .map(start => `${start.task} started on ${start.workerId} beyond its reduced capacity`);
}

/** Longest time for which a capacity report that a link has delayed may still be relied on. */
const MAX_STALE_CAPACITY_MS = 10_000;

function checkStartsOnDrainingWorkers({ drains, workers, faultFreeTimes }: RunObservations): string[] {
    return drains.flatMap(drain =>
        workers.starts
            .filter(start => start.incarnationId === drain.incarnationId)
            .filter(start =>
                start.at > drain.at + MAX_DRAIN_NOTICE_MS + TIMER_SLACK_MS
                && faultFreeTimes.isFaultFree(drain.at, start.at)
            )
            .map(start =>
                `${start.task} started on ${drain.incarnationId} ${
                    Math.round(start.at - drain.at)
                } ms after it began to drain`
            )
    );
}

/** Orders that a fault has delayed are carried out within this time after it. */
const MAX_ORDER_DELAY_MS = 1_000;

function checkStartsInEvacuatedZones({ evacuations: all, workers, faultFreeTimes }: RunObservations): string[] {
    return all.flatMap(({ zone, from, to }) =>
        workers.starts
            .filter(start => start.at > from + instances.EVACUATION_MS + TIMER_SLACK_MS && start.at < to)
            .filter(start => workers.getInfo(start.workerId).zone === zone)
            .filter(start => faultFreeTimes.isFaultFree(start.at - MAX_ORDER_DELAY_MS, start.at))
            .map(start =>
                `${start.task} started in zone ${zone} ${Math.round(start.at - from)} ms after its evacuation`
            )
    );
}

function listTasks(job: emulator.EmulatedJob): string[] {
    const listOfStep = (occurrence: number, { count }: work.StepSpec, number: number) =>
        Array.from({ length: count }, (_, index) => work.getTaskName(job.jobId, occurrence, number, index));
    return Array.from(
        { length: work.getOccurrenceCount(job.spec) },
        (_, occurrence) => job.spec.steps.flatMap((step, number) => listOfStep(occurrence, step, number)),
    ).flat();
}

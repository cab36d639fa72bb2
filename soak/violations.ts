/**
 * What callers and workers have seen, and what of it breaks a promise.
 *
 * Promises with a time bound are checked only where no trouble was near: in trouble their bounds are longer, and an
 * order that a link has held back may be carried out long after it was given.
 */
import * as emulator from "../src/emulator/index";

/** What a caller knows of a job that it has handed in. */
export interface JobRecord {
    readonly job: emulator.EmulatedJob;
    /** Each attempt to hand it in was turned away, and none is open. */
    refused: boolean;
    acceptedAt: number | undefined;
    /** When the caller asked to cancel it, and when that was acknowledged. */
    cancelSentAt: number | undefined;
    cancelledAt: number | undefined;
    /** The last state that was shown. */
    state: string | undefined;
}

export interface FaultFreeTimes {
    /** Whether no trouble was in force, or had been shortly before, in that span. */
    isFaultFree(from: number, to: number): boolean;
}

export interface RunObservations {
    readonly jobs: readonly JobRecord[];
    readonly workers: emulator.EmulatedWorkers;
    readonly drains: ReadonlyArray<{ readonly lifeId: string; readonly at: number; }>;
    readonly faultFreeTimes: FaultFreeTimes;
}

/** After the acknowledgement of a cancellation no task of the job starts. */
const CANCEL_MS = 3_000;
/** After a worker has said that it drains nothing starts there. */
const DRAIN_MS = 2_000;
/** Timers of a busy machine, beside the bounds. */
const SLACK_MS = 500;

/** Breaches in words; empty when every promise was kept. */
export function findViolations(input: RunObservations): string[] {
    return [
        ...input.workers.breaches,
        ...input.jobs.flatMap(record => checkJob(record, input.workers)),
        ...checkCancelled(input),
        ...checkShrunk(input),
        ...checkDrained(input),
        ...input.workers.aloneEnds
            .filter(end =>
                input.faultFreeTimes.isFaultFree(end.at - GANG_MS, end.at) && !isNearLoss(end.at, input.workers)
            )
            .map(end => `${end.task} run ${end.run} waited in vain for the rest of its gang`),
    ];
}

/** A task may have taken the worker of a gang's other member down. */
function isNearLoss(at: number, workers: emulator.EmulatedWorkers): boolean {
    return workers.lossTimes.some(lostAt => lostAt <= at && lostAt > at - GANG_MS);
}

/** From the start of a gang's first member to its end as "alone". */
const GANG_MS = 5_000;

/** A state that contradicts what has ended; to be asked at the moment at which the state is shown. */
export function checkReportedState(record: JobRecord, state: string, workers: emulator.EmulatedWorkers): string[] {
    if (state !== "completed") {
        return [];
    }
    const { job } = record;
    return listTasks(job)
        .filter(task => !workers.doneCounts.has(task))
        .map(task => `job ${job.jobId} is shown as completed, but ${task} has not ended well`);
}

function checkJob(record: JobRecord, workers: emulator.EmulatedWorkers): string[] {
    const { job } = record;
    if (record.refused) {
        const ran = workers.starts.find(start => start.task.startsWith(`${job.jobId}.`));
        return ran ? [`${ran.task} ran, but each attempt to hand its job in was turned away`] : [];
    }
    if (record.acceptedAt === undefined) {
        return [];
    }
    const expected = record.cancelSentAt === undefined
        ? emulator.getExpectedStates(job)
        : ["cancelled", "completed", "failed"];
    const isGivenUp = record.state === "failed" && emulator.mayFailByCrashes(job, workers.lossCounts);
    return record.state !== undefined && (expected.includes(record.state) || isGivenUp)
        ? []
        : [`job ${job.jobId} is ${record.state ?? "not shown"}, not ${expected.join(" or ")}`];
}

function checkCancelled({ jobs, workers, faultFreeTimes: calm }: RunObservations): string[] {
    return jobs.flatMap(record => {
        const { cancelledAt } = record;
        if (cancelledAt === undefined) {
            return [];
        }
        return workers.starts
            .filter(start => start.task.startsWith(`${record.job.jobId}.`))
            .filter(start => start.at > cancelledAt + CANCEL_MS + SLACK_MS && calm.isFaultFree(cancelledAt, start.at))
            .map(start =>
                `${start.task} run ${start.run} started ${Math.round(start.at - cancelledAt)} ms after the cancellation`
            );
    });
}

/** A start that a link has held up goes by what its worker had said before. */
function checkShrunk({ workers, faultFreeTimes: calm }: RunObservations): string[] {
    return workers.shrunkStarts
        .filter(start => calm.isFaultFree(start.at - SHRINK_MS, start.at))
        .map(start => `${start.task} started on ${start.workerId} over a capacity that had shrunk`);
}

/** From a report that a link has held up until nothing counts on it any more. */
const SHRINK_MS = 10_000;

function checkDrained({ drains, workers, faultFreeTimes: calm }: RunObservations): string[] {
    return drains.flatMap(drain =>
        workers.starts
            .filter(start => start.incarnationId === drain.lifeId)
            .filter(start => start.at > drain.at + DRAIN_MS + SLACK_MS && calm.isFaultFree(drain.at, start.at))
            .map(start =>
                `${start.task} started on ${drain.lifeId} ${Math.round(start.at - drain.at)} ms after it began to drain`
            )
    );
}

function listTasks(job: emulator.EmulatedJob): string[] {
    return job.spec.steps.flatMap((step, number) =>
        Array.from({ length: step.count }, (_, index) => `${job.jobId}.0.${number}.${index}`)
    );
}

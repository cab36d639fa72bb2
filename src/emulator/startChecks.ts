/** Checks each start on the emulated workers against the scheduler's invariants. */
import * as decisions from "../decisions/index";
import type * as work from "../work/index";
import * as workerIncarnation from "./workerIncarnation";

/** The start of a run on a worker. */
export interface StartRecord {
    readonly task: string;
    readonly run: number;
    readonly workerId: string;
    /** Incarnation of the worker on which the run started. */
    readonly incarnationId: string;
    /** Time of the start. */
    readonly at: number;
}

/** Collects invariant violations of starts. */
export interface StartChecks {
    /** Descriptions of invariant violations, apart from `startsAfterShrink`. */
    readonly violations: readonly string[];
    /** Starts that exceed a capacity which was reduced well before they were sent: violations, unless links delayed them. */
    readonly startsAfterShrink: readonly StartRecord[];
    /** Number of workers that each task has crashed. */
    readonly crashCounts: ReadonlyMap<string, number>;
    /** Checks a start that was sent at `sentAt` and has just been carried out. */
    checkStart(
        incarnation: workerIncarnation.Incarnation,
        model: workerIncarnation.TaskModel,
        start: StartRecord,
        sentAt: number,
    ): void;
    /** Records that the run has ended; `number` is the number of its end. */
    recordEnd(
        incarnation: workerIncarnation.Incarnation,
        run: workerIncarnation.Run,
        number: number,
        how: "done" | "failed",
    ): void;
    /** Records that the leader has recorded the ends up to this number. */
    recordAcknowledgedEnds(incarnation: workerIncarnation.Incarnation, upTo: number): void;
    /** Records that the task has crashed its worker. */
    recordCrash(task: string): void;
}

/** A run that completed or failed, and what followed. */
interface EndedRun {
    readonly task: string;
    readonly run: number;
    readonly incarnation: workerIncarnation.Incarnation;
    readonly number: number;
    readonly maxAttempts: number | undefined;
    /** Whether the leader has recorded the end while the worker's lease was valid. */
    recorded: boolean;
    /** Number of starts of the task since. */
    startsSince: number;
}

/** Time after which starts must respect a reduced capacity: that of a reachability check and one heartbeat. */
const CAPACITY_GRACE_MS = 4_500;
/** Number of crashed workers after which the further starts of a task are limited. */
const CRASH_LIMIT = 3;
/** Number of further starts of such a task that is a violation. */
const EXCESSIVE_STARTS = 3;

/**
 * Creates the checks; `incarnations` has the current incarnation of each worker, and `isZoneClosed` tells whether a start
 * sent at a time violates an evacuation.
 */
export function createStartChecks(
    incarnations: ReadonlyMap<string, workerIncarnation.Incarnation>,
    isZoneClosed: (zone: string, sentAt: number) => boolean = () => false,
): StartChecks {
    const violations: string[] = [];
    const startsAfterShrink: StartRecord[] = [];
    const crashCounts = new Map<string, number>();
    const startsAfterCrashes = new Map<string, number>();
    const completedRuns: EndedRun[] = [];
    /** Failed runs of each task, in order. */
    const failedRuns = new Map<string, EndedRun[]>();

    const reportRestart = (completedRun: EndedRun) => {
        if (completedRun.recorded && completedRun.startsSince > 0) {
            violations.push(`${completedRun.task} is started again after run ${completedRun.run} completed`);
        }
    };
    const checkCompletedRuns = (task: string) => {
        for (const completedRun of completedRuns) {
            if (completedRun.task === task) {
                // A violation only if that end is recorded, now or later, before its worker's lease expires.
                completedRun.startsSince++;
                reportRestart(completedRun);
            }
        }
    };
    const checkAttempts = (task: string, maxAttempts: number | undefined) => {
        const recorded = (failedRuns.get(task) ?? []).filter(failedRun =>
            failedRun.recorded && failedRun.startsSince > 0
        );
        if (maxAttempts !== undefined && recorded.length >= maxAttempts) {
            violations.push(`${task} is started again after ${recorded.length} failed runs`);
        }
    };
    const checkDuplicateRun = (incarnation: workerIncarnation.Incarnation, { task, run }: StartRecord) => {
        for (const other of incarnations.values()) {
            if (other.alive && other !== incarnation && other.runs.has(task)) {
                violations.push(
                    `${task} run ${run} is started on ${incarnation.info.id} while it runs on ${other.info.id}`,
                );
            }
        }
    };
    const checkCapacity = (incarnation: workerIncarnation.Incarnation, start: StartRecord, sentAt: number) => {
        const used: work.Resources = workerIncarnation.getUsedResources(incarnation);
        if (decisions.fitsWithin(used, workerIncarnation.getCapacitySince(incarnation, sentAt - CAPACITY_GRACE_MS))) {
            return;
        }
        const fittedBefore = incarnation.earlierCapacities.some(({ capacity }) => decisions.fitsWithin(used, capacity));
        if (fittedBefore) {
            startsAfterShrink.push(start);
            return;
        }
        violations.push(`${start.task} exceeds the capacity of ${incarnation.info.id}`);
    };
    const checkCrashLimit = (task: string) => {
        if ((crashCounts.get(task) ?? 0) < CRASH_LIMIT) {
            return;
        }
        const count = (startsAfterCrashes.get(task) ?? 0) + 1;
        startsAfterCrashes.set(task, count);
        if (count === EXCESSIVE_STARTS) {
            violations.push(`${task} is started ${count} more times after it crashed ${CRASH_LIMIT} workers`);
        }
    };
    return {
        violations,
        startsAfterShrink,
        crashCounts,
        checkStart: (incarnation, model, start, sentAt) => {
            checkCompletedRuns(start.task);
            for (const failedRun of failedRuns.get(start.task) ?? []) {
                failedRun.startsSince++;
            }
            checkAttempts(start.task, model.maxAttempts);
            checkDuplicateRun(incarnation, start);
            checkCapacity(incarnation, start, sentAt);
            if (isZoneClosed(incarnation.info.zone, sentAt)) {
                violations.push(`${start.task} is started in the evacuated zone ${incarnation.info.zone}`);
            }
            if (model.crashesAfterMs !== undefined) {
                checkCrashLimit(start.task);
            }
        },
        recordEnd: (incarnation, run, number, how) => {
            const ended = {
                task: run.task,
                run: run.run,
                incarnation,
                number,
                recorded: false,
                startsSince: 0,
                maxAttempts: run.model.maxAttempts,
            };
            if (how === "done") {
                completedRuns.push(ended);
                return;
            }
            failedRuns.set(run.task, [...failedRuns.get(run.task) ?? [], ended]);
        },
        recordAcknowledgedEnds: (incarnation, upTo) => {
            const isRecordedNow = (ended: EndedRun) =>
                !ended.recorded && ended.incarnation === incarnation && ended.number <= upTo
                && !(incarnation.lastExpiredEnd >= ended.number);
            for (const completedRun of completedRuns.filter(isRecordedNow)) {
                completedRun.recorded = true;
                reportRestart(completedRun);
            }
            for (const ended of failedRuns.values()) {
                for (const failedRun of ended.filter(isRecordedNow)) {
                    failedRun.recorded = true;
                    checkAttempts(failedRun.task, failedRun.maxAttempts);
                }
            }
        },
        recordCrash: task => {
            crashCounts.set(task, (crashCounts.get(task) ?? 0) + 1);
        },
    };
}

/** Describes a start that exceeds a reduced capacity. */
export function describeStartAfterShrink({ task, workerId }: StartRecord): string {
    return `${task} exceeds the reduced capacity of ${workerId}`;
}

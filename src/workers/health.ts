/**
 * Quarantines workers that fail the tasks they start.
 *
 * A worker that fails every task immediately is always free, so it attracts tasks that healthy workers would have
 * completed; its failure rate is far above that of its peers. Each job counts at most once against a worker, and a job
 * that fails on healthy workers too no longer counts against any.
 */
import type * as clock from "../clock/index";

/** Failures of the workers of one rack or zone. */
export interface WorkerHealth {
    /** Ends the worker's quarantine and forgets its failures. */
    recordSuccess(workerId: string): void;
    /** Counts the job against the worker; a failure in quarantine doubles its length. */
    recordFailure(workerId: string, jobId: string): void;
    /** Removes the job's failures from all workers, because it fails on healthy ones too. */
    clearFailuresOf(jobId: string): void;
    /** Whether the worker may take tasks: it is not in quarantine, or its quarantine has run out. */
    isUsable(workerId: string): boolean;
    /** Ids of the workers in quarantine, including those whose quarantine has run out without a success yet. */
    getQuarantined(): string[];
}

/** Options of `createWorkerHealth`. */
export interface WorkerHealthOptions {
    readonly clock: clock.Clock;
    /** Number of workers; at most half of them are quarantined at a time. */
    readonly workerCount: number;
    /** Called when a worker is quarantined. */
    readonly onQuarantined?: (workerId: string) => void;
    /** Called when a worker's quarantine ends by a success or a cleared failure. */
    readonly onRestored?: (workerId: string) => void;
}

interface HealthRecord {
    /** Jobs that failed on the worker since its last success. */
    readonly failedJobIds: Set<string>;
    /** Monotonic time in milliseconds; `undefined` when the worker is not in quarantine. */
    quarantinedUntil: number | undefined;
    /** Length of the current or next quarantine. */
    quarantineMs: number;
}

/** Distinct jobs that must fail on a worker before it is quarantined. */
const QUARANTINE_AFTER_JOBS = 3;
const MIN_QUARANTINE_MS = 10_000;
const MAX_QUARANTINE_MS = 10 * 60_000;

/** Creates the failure records; no worker has failed yet. */
export function createWorkerHealth(options: WorkerHealthOptions): WorkerHealth {
    const records = new Map<string, HealthRecord>();
    const getRecord = (workerId: string): HealthRecord => {
        const record = records.get(workerId)
            ?? { failedJobIds: new Set(), quarantinedUntil: undefined, quarantineMs: MIN_QUARANTINE_MS };
        records.set(workerId, record);
        return record;
    };
    const getSetAside = () =>
        [...records].filter(([, record]) => record.quarantinedUntil !== undefined).map(([id]) => id);

    const restore = (workerId: string, record: HealthRecord) => {
        if (record.quarantinedUntil !== undefined) {
            record.quarantinedUntil = undefined;
            options.onRestored?.(workerId);
        }
        record.quarantineMs = MIN_QUARANTINE_MS;
    };

    return {
        recordSuccess: workerId => {
            const record = records.get(workerId);
            if (record) {
                record.failedJobIds.clear();
                restore(workerId, record);
            }
        },
        recordFailure: (workerId, jobId) => {
            const record = getRecord(workerId);
            record.failedJobIds.add(jobId);
            if (record.quarantinedUntil !== undefined) {
                record.quarantineMs = Math.min(MAX_QUARANTINE_MS, record.quarantineMs * 2);
                record.quarantinedUntil = options.clock.now() + record.quarantineMs;
                return;
            }
            // If half the workers fail, the cause is not a single worker; quarantining all of them would stop the rack.
            const canQuarantine = (getSetAside().length + 1) * 2 <= Math.max(2, options.workerCount);
            if (record.failedJobIds.size >= QUARANTINE_AFTER_JOBS && canQuarantine) {
                record.quarantinedUntil = options.clock.now() + record.quarantineMs;
                options.onQuarantined?.(workerId);
            }
        },
        clearFailuresOf: jobId => {
            for (const [workerId, record] of records) {
                if (record.failedJobIds.delete(jobId) && record.failedJobIds.size < QUARANTINE_AFTER_JOBS) {
                    restore(workerId, record);
                }
            }
        },
        isUsable: workerId => {
            const endsAt = records.get(workerId)?.quarantinedUntil;
            return endsAt === undefined || options.clock.now() >= endsAt;
        },
        getQuarantined: getSetAside,
    };
}

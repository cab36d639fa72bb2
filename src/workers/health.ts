/**
 * Finds workers that fail the tasks they start.
 *
 * What goes wrong without it: a worker that fails every task at once is always free, so it attracts and ruins work that
 * healthy workers would have done; one notices it by a failure rate far above its peers'. A failure counts against a
 * worker once for each job, and no longer when the job proves to fail everywhere: then the job is at fault.
 */
import type * as clock from "../clock/index";

export interface WorkerHealth {
    recordSuccess(workerId: string): void;
    recordFailure(workerId: string, jobId: string): void;
    /** The job fails on good workers too: its failures no longer count against any worker. */
    absolve(jobId: string): void;
    /** Whether the worker takes work now. A worker set aside is let try one task when its time is up. */
    isUsable(workerId: string): boolean;
    getSetAside(): string[];
}

export interface WorkerHealthOptions {
    readonly clock: clock.Clock;
    /** Workers that are watched together: at most half of them are set aside. */
    readonly workerCount: number;
    readonly onSetAside?: (workerId: string) => void;
    readonly onBack?: (workerId: string) => void;
}

interface Record {
    /** Jobs that failed since the last success. */
    readonly blamedBy: Set<string>;
    setAsideUntil: number | undefined;
    setAsideMs: number;
}

const FAILURES_TO_SET_ASIDE = 3;
const FIRST_SET_ASIDE_MS = 10_000;
const MAX_SET_ASIDE_MS = 10 * 60_000;

export function createWorkerHealth(options: WorkerHealthOptions): WorkerHealth {
    const records = new Map<string, Record>();
    const getRecord = (workerId: string): Record => {
        const record = records.get(workerId)
            ?? { blamedBy: new Set(), setAsideUntil: undefined, setAsideMs: FIRST_SET_ASIDE_MS };
        records.set(workerId, record);
        return record;
    };
    const getSetAside = () => [...records].filter(([, record]) => record.setAsideUntil !== undefined).map(([id]) => id);

    const restore = (workerId: string, record: Record) => {
        if (record.setAsideUntil !== undefined) {
            record.setAsideUntil = undefined;
            options.onBack?.(workerId);
        }
        record.setAsideMs = FIRST_SET_ASIDE_MS;
    };

    return {
        recordSuccess: workerId => {
            const record = records.get(workerId);
            if (record) {
                record.blamedBy.clear();
                restore(workerId, record);
            }
        },
        recordFailure: (workerId, jobId) => {
            const record = getRecord(workerId);
            record.blamedBy.add(jobId);
            if (record.setAsideUntil !== undefined) {
                record.setAsideMs = Math.min(MAX_SET_ASIDE_MS, record.setAsideMs * 2);
                record.setAsideUntil = options.clock.now() + record.setAsideMs;
                return;
            }
            // When half the workers fail, the cause is not a worker; setting all aside would stop the rack.
            const mayBeSetAside = (getSetAside().length + 1) * 2 <= Math.max(2, options.workerCount);
            if (record.blamedBy.size >= FAILURES_TO_SET_ASIDE && mayBeSetAside) {
                record.setAsideUntil = options.clock.now() + record.setAsideMs;
                options.onSetAside?.(workerId);
            }
        },
        absolve: jobId => {
            for (const [workerId, record] of records) {
                if (record.blamedBy.delete(jobId) && record.blamedBy.size < FAILURES_TO_SET_ASIDE) {
                    restore(workerId, record);
                }
            }
        },
        isUsable: workerId => {
            const until = records.get(workerId)?.setAsideUntil;
            return until === undefined || options.clock.now() >= until;
        },
        getSetAside,
    };
}

/**
 * Remembers that several workers of a service were lost within seconds.
 *
 * A gang ends with the first of its workers. Workers that are taken away at once are rarely taken away only once, so for
 * some time afterwards gangs are placed on few workers.
 */
import * as storedFields from "./storedFields";

/** A worker that is announced to leave, or was lost without a notice. */
export interface WorkerLoss {
    readonly service: string;
    readonly workerId: string;
    /** Monotonic time at which it was noticed, in milliseconds. */
    readonly at: number;
    /** Number of workers of the service, the lost one included. */
    readonly serviceWorkers: number;
}

/** Recent simultaneous losses, by service. */
export interface LossMemory {
    /** Records a loss; a worker that is announced and then gone counts once. Returns whether the memory begins with it. */
    record(loss: WorkerLoss): boolean;
    /** Age of the latest simultaneous loss, in milliseconds; `undefined` if none is remembered. */
    getAgeMs(service: string, now: number): number | undefined;
    /** Wall-clock times of the remembered losses by service; `wallOffsetMs` converts monotonic times to them. */
    encode(now: number, wallOffsetMs: number): Readonly<Record<string, number>>;
    /** Takes over stored times. Throws if the value is of another format. */
    restore(stored: unknown, now: number, wallOffsetMs: number): void;
}

/** Losses count as simultaneous within this time: notices reach the directory with delays of up to two seconds. */
const WINDOW_MS = 10_000;
/** Fewer workers are lost one by one on any large site. */
const MIN_WORKERS = 3;
const MIN_SHARE = 0.02;
/** Longer than a gang waits and runs, so that one that is placed after the loss is also protected from the next. */
const REMEMBERED_MS = 120_000;

/** A memory without losses. */
export function createLossMemory(): LossMemory {
    /** Times of recent losses by worker, for each service; the oldest first. */
    const recent = new Map<string, Map<string, number>>();
    const latestAt = new Map<string, number>();
    const getAgeMs = (service: string, now: number) => {
        const at = latestAt.get(service);
        return at !== undefined && now - at < REMEMBERED_MS ? Math.max(0, now - at) : undefined;
    };
    return {
        getAgeMs,
        record: ({ service, workerId, at, serviceWorkers }) => {
            const lost = recent.get(service) ?? new Map<string, number>();
            recent.set(service, lost);
            for (const [id, lostAt] of lost) {
                if (at - lostAt <= WINDOW_MS) {
                    break;
                }
                lost.delete(id);
            }
            if (lost.has(workerId)) {
                return false;
            }
            lost.set(workerId, at);
            if (lost.size < Math.max(MIN_WORKERS, MIN_SHARE * serviceWorkers)) {
                return false;
            }
            const isNew = getAgeMs(service, at) === undefined;
            latestAt.set(service, at);
            return isNew;
        },
        encode: (now, wallOffsetMs) =>
            Object.fromEntries(
                [...latestAt].filter(([service]) => getAgeMs(service, now) !== undefined)
                    .map(([service, at]) => [service, roundToStored(at + wallOffsetMs)]),
            ),
        restore: (stored, now, wallOffsetMs) => {
            for (const [service, wallAt] of storedFields.readEntries(stored, storedFields.isNonNegative)) {
                // The clock of the instance that stored it may be ahead.
                const at = Math.min(now, wallAt - wallOffsetMs);
                latestAt.set(service, Math.max(at, latestAt.get(service) ?? at));
            }
        },
    };
}

/** The offset of the clocks varies by milliseconds, and a text that changes is written again. */
const STORED_UNIT_MS = 1_000;

function roundToStored(ms: number): number {
    return Math.round(ms / STORED_UNIT_MS) * STORED_UNIT_MS;
}

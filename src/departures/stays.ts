/**
 * Learns how long workers of a service stay beyond the time that they announce.
 *
 * Workers announce a minimum, and some stay for much longer: work that could have ended there is then stopped without
 * need. The estimate is a low quantile, since a stop that comes too late loses the work.
 */
import * as storedFields from "./storedFields";

/** Observed stays, by service. */
export interface StayModel {
    /** Records that a worker was gone, or was still there, that long after the announced time; negative if before it. */
    record(service: string, beyondMs: number): void;
    /** Low quantile of the observed times; `undefined` while too few are known. */
    getBeyondMs(service: string): number | undefined;
    /** Number of observations that the estimate rests on. */
    countObservations(service: string): number;
    /** The latest observations by service, in hundredths of a second. */
    encode(): Readonly<Record<string, readonly number[]>>;
    /** Takes over observations of services of which none is known yet. Throws if the value is of another format. */
    restore(stored: unknown): void;
}

const QUANTILE = 0.1;
/** One departure says nothing about the next; of three, the earliest is a usable lower bound. */
const MIN_OBSERVATIONS = 3;
/** One loss of a sixth of 245 workers gives 40 observations. Older ones describe another kind of departure. */
const MAX_OBSERVATIONS = 40;
/** Bounds what a worker that never leaves, or a clock that jumps, adds. */
const MAX_BEYOND_MS = 60_000;
/** Unit of stored observations; the observation itself is no more exact than a poll interval. */
const STORED_UNIT_MS = 10;

/** A model without observations. */
export function createStayModel(): StayModel {
    const observations = new Map<string, number[]>();
    const getObservations = (service: string) => observations.get(service) ?? [];
    const record = (service: string, beyondMs: number) => {
        const known = getObservations(service);
        known.push(Math.max(-MAX_BEYOND_MS, Math.min(MAX_BEYOND_MS, beyondMs)));
        observations.set(service, known.slice(-MAX_OBSERVATIONS));
    };
    return {
        record,
        getBeyondMs: service => {
            const sorted = [...getObservations(service)].sort((a, b) => a - b);
            return sorted.length < MIN_OBSERVATIONS ? undefined : sorted[Math.floor(QUANTILE * sorted.length)];
        },
        countObservations: service => getObservations(service).length,
        encode: () =>
            Object.fromEntries(
                [...observations].map(([service, times]) => [
                    service,
                    times.map(ms => Math.round(ms / STORED_UNIT_MS)),
                ]),
            ),
        restore: stored => {
            for (const [service, units] of storedFields.readEntries(stored, storedFields.isNumberList)) {
                if (getObservations(service).length === 0) {
                    units.forEach(value => record(service, value * STORED_UNIT_MS));
                }
            }
        },
    };
}

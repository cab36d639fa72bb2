/** When a refused caller should return. Callers are spread by a hash of the job, so that they do not return at once. */
import type * as decide from "./decide";

/** What the time depends on after a refusal for load. */
export interface LoadRetryInput {
    readonly jobId: string;
    /** Priority of the queue; 0 is the highest. */
    readonly priority: number;
    readonly inputs: Pick<decide.DecisionInputs, "capacityInMs">;
    /** Time since this instance first refused the job; 0 on the first refusal. */
    readonly sinceFirstRefusalMs: number;
}

const MIN_RETRY_MS = 500;
/** The forecast covers the work that waits now; a longer pause would outlast most overloads. */
const MAX_CAPACITY_IN_MS = 12_000;
/** Callers of each lower priority return later by this share, up to four priorities. */
const PRIORITY_SHARE = 0.25;
const MAX_PRIORITY = 4;
/** Callers of the same time are spread over this share of it. */
const SPREAD_SHARE = 0.25;
/** Most outages are shorter than 2 s; the longer one has lasted, the longer it is likely to last. */
const MAX_OUTAGE_RETRY_MS = 2_000;

/** Time until a job like the refused one could start in time, if the waiting work is served at the measured rate. */
export function getLoadRetryAfterMs(input: LoadRetryInput): number {
    const { inputs, jobId } = input;
    const capacityInMs = clamp(inputs.capacityInMs, MIN_RETRY_MS, MAX_CAPACITY_IN_MS);
    const factor = 1 + PRIORITY_SHARE * clamp(input.priority, 0, MAX_PRIORITY);
    return Math.round(Math.max(MIN_RETRY_MS, spread(capacityInMs * factor, jobId) - input.sinceFirstRefusalMs));
}

/** Time until a store that has not served this instance for `outageMs` is likely to serve it again. */
export function getOutageRetryAfterMs(outageMs: number, jobId: string): number {
    return Math.round(spread(clamp(outageMs, MIN_RETRY_MS, MAX_OUTAGE_RETRY_MS / (1 + SPREAD_SHARE)), jobId));
}

function spread(ms: number, jobId: string): number {
    return ms * (1 + SPREAD_SHARE * getFraction(jobId));
}

/** Uniform in [0, 1), the same at each instance: FNV-1a. */
function getFraction(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
    }
    // The low bits of neighbouring ids differ most; mixing spreads them over the result.
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b) >>> 0;
    return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}

function clamp(value: number, min: number, max: number): number {
    return Math.max(min, Math.min(max, value));
}

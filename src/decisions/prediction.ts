/** Corrects the callers' estimates of task durations by the durations measured for their queue. */

/** Corrections by queue. Durations are in milliseconds. */
export interface Predictor {
    /** Learns from a complete run that was neither resumed nor disturbed. */
    learn(queue: string, estimateMs: number, actualMs: number): void;
    /** The expected duration. An estimate of 0 means that the caller gave none. */
    predict(queue: string, estimateMs: number): number;
}

/** Weight of the latest run: about twenty runs dominate, which a busy queue has within half a minute. */
const LATEST_WEIGHT = 0.08;
/** Runs off by a larger factor are ignored: hanging tasks, or ones on another rack than their data. */
const MAX_ERROR_FACTOR = 3;
/** Used if the caller gives no estimate. */
const DEFAULT_ESTIMATE_MS = 5_000;

/** A predictor that has learned nothing yet. */
export function createPredictor(): Predictor {
    const ratios = new Map<string, number>();
    return {
        learn: (queue, estimateMs, actualMs) => {
            if (estimateMs <= 0) {
                return;
            }
            const ratio = actualMs / estimateMs;
            if (ratio > MAX_ERROR_FACTOR || ratio < 1 / MAX_ERROR_FACTOR) {
                return;
            }
            const previous = ratios.get(queue) ?? 1;
            ratios.set(queue, previous + LATEST_WEIGHT * (ratio - previous));
        },
        predict: (queue, estimateMs) => (estimateMs > 0 ? estimateMs : DEFAULT_ESTIMATE_MS) * (ratios.get(queue) ?? 1),
    };
}

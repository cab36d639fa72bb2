/** Learns by how much a queue's tasks take longer or shorter than their callers estimate. */

export interface Predictor {
    /** Takes note of a run from start to end that was neither resumed nor disturbed. */
    learn(queue: string, estimateMs: number, actualMs: number): void;
    predict(queue: string, estimateMs: number): number;
}

/** Weight of the newest run: about twenty runs decide, which a busy queue has within half a minute. */
const NEWEST_WEIGHT = 0.08;
/** A task that hangs, or runs three times as long far from its data, must not spoil what was learned. */
const MOST_OFF = 3;
/** Where a caller gives no estimate. */
const DEFAULT_ESTIMATE_MS = 5_000;

export function createPredictor(): Predictor {
    const ratios = new Map<string, number>();
    return {
        learn: (queue, estimateMs, actualMs) => {
            if (estimateMs <= 0) {
                return;
            }
            const ratio = actualMs / estimateMs;
            if (ratio > MOST_OFF || ratio < 1 / MOST_OFF) {
                return;
            }
            const before = ratios.get(queue) ?? 1;
            ratios.set(queue, before + NEWEST_WEIGHT * (ratio - before));
        },
        predict: (queue, estimateMs) => (estimateMs > 0 ? estimateMs : DEFAULT_ESTIMATE_MS) * (ratios.get(queue) ?? 1),
    };
}

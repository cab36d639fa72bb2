/** Corrects the callers' estimates of task durations by the durations measured for their queue. */

/** Corrections by queue. Durations are in milliseconds. */
export interface Predictor {
    /** Learns from a complete run that was neither resumed nor disturbed. */
    learn(queue: string, estimateMs: number, actualMs: number): void;
    /** The expected duration. An estimate of 0 means that the caller gave none. */
    predict(queue: string, estimateMs: number): number;
    /** The learned corrections, the latest first, as text of at most `maxBytes` bytes; `undefined` if there are none. */
    encode(maxBytes: number): string | undefined;
    /** Takes over corrections for queues of which none is learned yet. Throws if the text is of another format. */
    restore(text: string): void;
}

/** Weight of the latest run: about twenty runs dominate, which a busy queue has within half a minute. */
const LATEST_WEIGHT = 0.08;
/** Runs off by a larger factor are ignored: hanging tasks, or ones on another rack than their data. */
const MAX_ERROR_FACTOR = 3;
/** Used if the caller gives no estimate. */
const DEFAULT_ESTIMATE_MS = 5_000;

/** Digits of a stored correction; more would be noise. */
const STORED_DIGITS = 3;

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
            // Moves the queue to the end, so that the order of the map is that of the latest runs.
            ratios.delete(queue);
            ratios.set(queue, previous + LATEST_WEIGHT * (ratio - previous));
        },
        predict: (queue, estimateMs) => (estimateMs > 0 ? estimateMs : DEFAULT_ESTIMATE_MS) * (ratios.get(queue) ?? 1),
        encode: maxBytes => {
            let text = "";
            for (const [queue, ratio] of [...ratios].reverse()) {
                const entry = `${JSON.stringify(queue)}:${ratio.toFixed(STORED_DIGITS)}`;
                if (Buffer.byteLength(text) + Buffer.byteLength(entry) + JSON_OVERHEAD_BYTES > maxBytes) {
                    break;
                }
                text += text === "" ? entry : `,${entry}`;
            }
            return text === "" ? undefined : `{${text}}`;
        },
        restore: text => {
            const stored = JSON.parse(text) as unknown;
            if (
                typeof stored !== "object" || !stored || Array.isArray(stored)
                || !Object.values(stored).every(isPlausibleRatio)
            ) {
                throw new Error("not a correction by queue");
            }
            const newestLast = Object.entries(stored as Readonly<Record<string, number>>).reverse();
            newestLast.filter(([queue]) => !ratios.has(queue)).forEach(([queue, ratio]) => ratios.set(queue, ratio));
        },
    };
}

/** Two braces and the comma before the entry. */
const JSON_OVERHEAD_BYTES = 3;

function isPlausibleRatio(value: unknown): boolean {
    return typeof value === "number" && value >= 1 / MAX_ERROR_FACTOR && value <= MAX_ERROR_FACTOR;
}

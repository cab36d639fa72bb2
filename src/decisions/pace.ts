/**
 * How fast tasks that fill may work beside tasks that serve users of their own.
 *
 * The disturbance differs by image and changes within seconds, so it is not predicted: the pace is cut steeply while
 * a serving task is near its bound, and raised slowly while all are well below it.
 */

export interface PaceInput {
    /** The pace now, in percent. */
    readonly currentPercent: number;
    /** Tail of the response times of each serving task beside the fillers, as a share of its bound. */
    readonly tailLatencyRatios: readonly number[];
}

/** Near the bound: the figures are rough and half a second old, so a cut at the bound itself comes too late. */
const CUT_SHARE = 0.85;
/** Beyond the bound the fillers stand still at once: the harm is bounded in seconds, and each look takes most of one. */
const STOP_SHARE = 1;
/** Well below: raising the pace from here by one step does not reach the bound. */
const RAISE_SHARE = 0.6;
const RAISE_PERCENT = 10;

export function decidePace(input: PaceInput): number {
    const worst = Math.max(0, ...input.tailLatencyRatios);
    if (worst >= STOP_SHARE) {
        return 0;
    }
    if (worst >= CUT_SHARE) {
        return Math.floor(input.currentPercent / 2);
    }
    return worst < RAISE_SHARE ? Math.min(100, input.currentPercent + RAISE_PERCENT) : input.currentPercent;
}

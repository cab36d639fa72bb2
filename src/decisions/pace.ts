/**
 * Throttling of best-effort tasks that share a worker with latency-sensitive tasks.
 *
 * The interference differs by image and changes within seconds, so it is not predicted. The pace of best-effort tasks is
 * halved while a latency-sensitive task is near its latency bound and raised in small steps while all are well below it.
 */

/** What the next pace depends on. */
export interface PaceInput {
    /** Current pace of the best-effort tasks, in percent of full speed. */
    readonly currentPercent: number;
    /** Tail latency of each latency-sensitive task on the worker, divided by its bound. */
    readonly tailLatencyRatios: readonly number[];
}

/** This is below 1 since latencies are rough and half a second old: a cut at the bound itself would come too late. */
const CUT_RATIO = 0.85;
/** At the bound, best-effort tasks stop at once: violations count by the second, and each poll takes most of one. */
const STOP_RATIO = 1;
/** This is low enough that raising the pace by one step does not exceed the bound. */
const RAISE_BELOW_RATIO = 0.6;
const RAISE_PERCENT = 10;

/** The next pace of the best-effort tasks on a worker, in percent; 0 stops them. */
export function decidePace(input: PaceInput): number {
    const worstRatio = Math.max(0, ...input.tailLatencyRatios);
    if (worstRatio >= STOP_RATIO) {
        return 0;
    }
    if (worstRatio >= CUT_RATIO) {
        return Math.floor(input.currentPercent / 2);
    }
    return worstRatio < RAISE_BELOW_RATIO ? Math.min(100, input.currentPercent + RAISE_PERCENT) : input.currentPercent;
}

/** The expected end of a run, by its measured progress if there is enough of it. */

/** What is known of a run. Times are monotonic, in milliseconds. */
export interface RunProgress {
    readonly startedAt: number;
    /** Expected duration of a run from the beginning, by the caller's estimate as corrected by measured durations. */
    readonly estimateMs: number;
    /** Latest reported progress in whole percent, and when it last increased. */
    readonly percent: number;
    readonly progressAt: number;
    /** Percent per millisecond over the latest interval; `undefined` if unknown. */
    readonly recentRate: number | undefined;
    /** Whether the run resumed from a checkpoint, so that it did not begin at 0 percent. */
    readonly isResumed: boolean;
}

/** How the expected end was derived. */
export type EndBasis = "measured" | "average" | "estimate";

/** The expected end of a run. */
export interface ExpectedEnd {
    readonly at: number;
    readonly basis: EndBasis;
}

/** Progress from which the average rate of a run counts more than the estimate of its duration. */
const MIN_AVERAGE_PERCENT = 10;

/** Returns the expected end; it may have passed. */
export function getExpectedEnd(run: RunProgress): ExpectedEnd {
    const remainingPercent = 100 - run.percent;
    if (run.recentRate !== undefined && run.recentRate > 0) {
        return { at: run.progressAt + remainingPercent / run.recentRate, basis: "measured" };
    }
    const elapsedMs = run.progressAt - run.startedAt;
    if (!run.isResumed && run.percent >= MIN_AVERAGE_PERCENT && elapsedMs > 0) {
        return { at: run.progressAt + remainingPercent * elapsedMs / run.percent, basis: "average" };
    }
    return run.percent > 0
        ? { at: run.progressAt + remainingPercent / 100 * run.estimateMs, basis: "estimate" }
        : { at: run.startedAt + run.estimateMs, basis: "estimate" };
}

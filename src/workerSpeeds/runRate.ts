/**
 * The progress rate of one run, from the percentages in the polls of its worker.
 *
 * Only intervals that end with an increase of the progress count. So a run that hangs, or waits at 100 percent for the
 * other members of its gang, does not look like one on a slow worker.
 */

/** Measured progress of one run. */
export interface RunRate {
    /**
     * Records the progress at `now` (milliseconds). Returns the rate so far, if enough has been measured since the rate
     * was last returned.
     */
    record(percent: number, now: number): MeasuredRate | undefined;
    /** Excludes the progress since the last increase, since it was made under exceptional conditions. */
    interrupt(): void;
}

export interface MeasuredRate {
    /** Natural logarithm of the rate in percent per millisecond. */
    readonly logRate: number;
    /** Variance of `logRate` that is due to rounding and to delays of the polls. */
    readonly variance: number;
}

/** Progress is reported in whole percent, so a smaller one would be dominated by rounding. */
const MIN_PERCENT = 12;
/** A shorter time would be dominated by the delays of orders and polls. */
const MIN_MS = 300;
/** The rate is returned anew only after the measured progress has grown by this factor, to bound the updates. */
const REPORT_GROWTH = 1.5;
/** Standard deviation of a percentage that was rounded down. */
const PERCENT_DEVIATION = 0.4;
/** Standard deviation of the time between two reports of a worker, by delays on their way. */
const TIME_DEVIATION_MS = 40;
/** An interval slower than the rest of the run by this factor, and longer than `PAUSE_MS`, was a pause. */
const PAUSE_FACTOR = 2.5;
const PAUSE_MS = 1_200;

/** The rate of a run whose progress was `percent` at `at`; `undefined` for either if it is not known. */
export function createRunRate(start: { readonly percent: number; readonly at: number; } | undefined): RunRate {
    let last = start;
    let percentSum = 0;
    let msSum = 0;
    let reportedPercent = 0;
    return {
        record: (percent, now) => {
            if (last === undefined) {
                last = { percent, at: now };
                return undefined;
            }
            if (percent <= last.percent) {
                return undefined;
            }
            const progress = percent - last.percent;
            const elapsedMs = now - last.at;
            last = { percent, at: now };
            const isPause = msSum > 0 && elapsedMs > PAUSE_MS
                && progress / elapsedMs < percentSum / msSum / PAUSE_FACTOR;
            if (isPause) {
                return undefined;
            }
            percentSum += progress;
            msSum += elapsedMs;
            if (
                percentSum < MIN_PERCENT || msSum < MIN_MS
                || percentSum < Math.min(100, REPORT_GROWTH * reportedPercent)
            ) {
                return undefined;
            }
            reportedPercent = percentSum;
            return {
                logRate: Math.log(percentSum / msSum),
                variance: (PERCENT_DEVIATION / percentSum) ** 2 + (TIME_DEVIATION_MS / msSum) ** 2,
            };
        },
        interrupt: () => {
            last = undefined;
        },
    };
}

/** Latency histograms by client account and job class. */
import * as hdr from "hdr-histogram-js";

/** Percentiles of the completion times of one client account and job class. */
export interface HistogramSummary {
    readonly account: string;
    readonly jobClass: string;
    readonly count: number;
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}

/** Completion times of jobs by client account and job class, in milliseconds. */
export interface Histograms {
    record(account: string, jobClass: string, ms: number): void;
    getSummaries(): HistogramSummary[];
}

const MAX_MICROSECONDS = 7 * 24 * 3_600 * 1_000_000;

/** Values are recorded in microseconds, with two significant digits, so that one histogram takes a few kilobytes. */
export function createHistograms(): Histograms {
    const byKey = new Map<string, { account: string; jobClass: string; histogram: hdr.Histogram; }>();
    return {
        record: (account, jobClass, ms) => {
            const key = `${account}\n${jobClass}`;
            let entry = byKey.get(key);
            if (!entry) {
                entry = { account, jobClass, histogram: createHistogram() };
                byKey.set(key, entry);
            }
            entry.histogram.recordValue(Math.min(MAX_MICROSECONDS, Math.max(1, Math.round(ms * 1000))));
        },
        getSummaries: () => [...byKey.values()].map(entry => summarize(entry.account, entry.jobClass, entry.histogram)),
    };
}

function createHistogram(): hdr.Histogram {
    return hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_MICROSECONDS,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 32,
        autoResize: false,
        useWebAssembly: false,
    });
}

function summarize(account: string, jobClass: string, histogram: hdr.Histogram): HistogramSummary {
    const getMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / 1000;
    return {
        account,
        jobClass,
        count: histogram.totalCount,
        p50Ms: getMs(50),
        p90Ms: getMs(90),
        p99Ms: getMs(99),
        maxMs: histogram.maxValue / 1000,
    };
}

/**
 * Counters and latency histograms, served as text on the instance's metrics address.
 *
 * The histograms are fixed buckets rather than the library that the benchmarks use: loading that takes 65 ms of
 * processor time and 13 MB (Node.js 20, one run on an idle machine), which a restarted instance of two thirds of a
 * core pays before it is ready.
 */
import type * as observe from "../observe/index";

export interface Metrics {
    readonly counters: observe.Counters;
    readonly histograms: observe.Histograms;
    /** In the text format that metrics servers scrape. */
    render(): string;
}

/** Upper bounds in milliseconds: from a call within the zone to a caller's longest deadline and beyond. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000, Infinity];

interface Histogram {
    readonly account: string;
    readonly jobClass: string;
    readonly counts: number[];
    count: number;
    sumMs: number;
    maxMs: number;
}

export function createMetrics(): Metrics {
    const counts = new Map<string, number>();
    const histograms = new Map<string, Histogram>();
    return {
        counters: {
            increment: (name, by = 1) => void counts.set(name, (counts.get(name) ?? 0) + by),
            getAll: () => Object.fromEntries([...counts].sort(([a], [b]) => a < b ? -1 : 1)),
            close: () => undefined,
        },
        histograms: {
            record: (account, jobClass, ms) => {
                const key = `${account}\n${jobClass}`;
                let histogram = histograms.get(key);
                if (!histogram) {
                    histogram = { account, jobClass, counts: BUCKETS_MS.map(() => 0), count: 0, sumMs: 0, maxMs: 0 };
                    histograms.set(key, histogram);
                }
                histogram.counts[BUCKETS_MS.findIndex(bound => ms <= bound)]!++;
                histogram.count++;
                histogram.sumMs += ms;
                histogram.maxMs = Math.max(histogram.maxMs, ms);
            },
            getSummaries: () => [...histograms.values()].map(summarize),
        },
        render: () => [...renderCounters(counts), ...renderHistograms(histograms.values())].join("\n") + "\n",
    };
}

function summarize(histogram: Histogram): observe.HistogramSummary {
    return {
        account: histogram.account,
        jobClass: histogram.jobClass,
        count: histogram.count,
        p50Ms: getPercentile(histogram, 0.5),
        p90Ms: getPercentile(histogram, 0.9),
        p99Ms: getPercentile(histogram, 0.99),
        maxMs: histogram.maxMs,
    };
}

/** Upper bound of the bucket in which the percentile lies. */
function getPercentile(histogram: Histogram, share: number): number {
    let seen = 0;
    for (let bucket = 0; bucket < BUCKETS_MS.length; bucket++) {
        seen += histogram.counts[bucket]!;
        if (seen >= share * histogram.count) {
            return Math.min(BUCKETS_MS[bucket]!, histogram.maxMs);
        }
    }
    return histogram.maxMs;
}

function renderCounters(counts: ReadonlyMap<string, number>): string[] {
    return [...counts].map(([name, value]) => `plantainchute_${name.replace(/[^A-Za-z0-9]/g, "_")}_total ${value}`);
}

function renderHistograms(histograms: Iterable<Histogram>): string[] {
    const lines: string[] = [];
    for (const histogram of histograms) {
        const labels = `account="${histogram.account}",class="${histogram.jobClass}"`;
        let cumulative = 0;
        BUCKETS_MS.forEach((bound, bucket) => {
            cumulative += histogram.counts[bucket]!;
            const le = bound === Infinity ? "+Inf" : String(bound);
            lines.push(`plantainchute_latency_ms_bucket{${labels},le="${le}"} ${cumulative}`);
        });
        lines.push(`plantainchute_latency_ms_sum{${labels}} ${histogram.sumMs}`);
        lines.push(`plantainchute_latency_ms_count{${labels}} ${histogram.count}`);
    }
    return lines;
}

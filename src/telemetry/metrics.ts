/**
 * Counters, gauges and histograms, rendered as text for the instance's metrics endpoint.
 *
 * The histograms have fixed buckets instead of using the library of the benchmarks, which takes 65 ms of CPU time and
 * 13 MB to load. That would delay the readiness of a restarted instance with two thirds of a core.
 */
import * as observe from "../observe/index";

/** The metrics of an instance. */
export interface Metrics {
    readonly meter: observe.Meter;
    /** Renders all metrics in the Prometheus text format. */
    render(): string;
}

/** Upper bounds of the histogram buckets, from a call within the zone to a job that waits for minutes. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000, 120_000, Infinity];

interface Histogram {
    readonly labels: observe.Labels;
    readonly counts: number[];
    sumMs: number;
}

interface Counter {
    readonly labels: observe.Labels;
    value: number;
}

/** Creates metrics that have no values yet. */
export function createMetrics(): Metrics {
    const counters = new Map<observe.MetricName, Map<string, Counter>>();
    const histograms = new Map<observe.MetricName, Map<string, Histogram>>();
    const gaugeSources = new Set<() => readonly observe.GaugeSample[]>();
    const meter: observe.Meter = {
        increment: (metric, labels = {}, by = 1) => {
            getOrCreate(counters, metric, labels, () => ({ labels, value: 0 })).value += by;
        },
        record: (metric, labels, ms) => {
            const histogram = getOrCreate(
                histograms,
                metric,
                labels,
                () => ({ labels, counts: BUCKETS_MS.map(() => 0), sumMs: 0 }),
            );
            histogram.counts[BUCKETS_MS.findIndex(bound => ms <= bound)]!++;
            histogram.sumMs += ms;
        },
        registerGauges: read => {
            gaugeSources.add(read);
            return () => void gaugeSources.delete(read);
        },
    };
    const render = () => {
        const samples = [...gaugeSources].flatMap(read => read());
        const lines: string[] = [];
        for (const [name, spec] of listSpecs()) {
            lines.push(`# HELP ${PREFIX}${name} ${spec.help}`, `# TYPE ${PREFIX}${name} ${spec.kind}`);
            for (const counter of counters.get(name)?.values() ?? []) {
                lines.push(formatSample(name, counter.labels, counter.value));
            }
            for (const sample of samples.filter(item => item.metric === name)) {
                lines.push(formatSample(name, sample.labels ?? {}, sample.value));
            }
            for (const histogram of histograms.get(name)?.values() ?? []) {
                lines.push(...formatHistogram(name, histogram));
            }
        }
        return `${lines.join("\n")}\n`;
    };
    return { meter, render };
}

const PREFIX = "plantainchute_";

function listSpecs(): ReadonlyArray<[observe.MetricName, observe.MetricSpec]> {
    return Object.entries(observe.METRICS) as Array<[observe.MetricName, observe.MetricSpec]>;
}

function getOrCreate<T>(
    itemsByMetric: Map<observe.MetricName, Map<string, T>>,
    metric: observe.MetricName,
    labels: observe.Labels,
    create: () => T,
): T {
    let byLabels = itemsByMetric.get(metric);
    if (!byLabels) {
        byLabels = new Map();
        itemsByMetric.set(metric, byLabels);
    }
    const key = Object.values(labels).join("\n");
    let item = byLabels.get(key);
    if (!item) {
        item = create();
        byLabels.set(key, item);
    }
    return item;
}

function formatHistogram(name: string, { labels, counts, sumMs }: Histogram): string[] {
    let cumulative = 0;
    const buckets = BUCKETS_MS.map((bound, bucket) => {
        cumulative += counts[bucket]!;
        const le = bound === Infinity ? "+Inf" : String(bound);
        return formatSample(`${name}_bucket`, { ...labels, le }, cumulative);
    });
    return [
        ...buckets,
        formatSample(`${name}_sum`, labels, sumMs),
        formatSample(`${name}_count`, labels, cumulative),
    ];
}

function formatSample(name: string, labels: observe.Labels, value: number): string {
    const pairs = Object.entries(labels).map(([label, text]) => `${label}="${escape(text)}"`);
    return `${PREFIX}${name}${pairs.length > 0 ? `{${pairs.join(",")}}` : ""} ${value}`;
}

function escape(text: string): string {
    return text.replace(/["\\\n]/g, character => character === "\n" ? "\\n" : `\\${character}`);
}

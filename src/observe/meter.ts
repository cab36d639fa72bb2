/** The metrics of an instance, and the port through which they are recorded. */

/** Kind, label names and help text of a metric. */
export interface MetricSpec {
    readonly kind: "counter" | "gauge" | "histogram";
    readonly labels: readonly string[];
    readonly help: string;
}

function counter(help: string, ...labels: string[]) {
    return { kind: "counter", labels, help } as const;
}

function gauge(help: string, ...labels: string[]) {
    return { kind: "gauge", labels, help } as const;
}

function histogram(help: string, ...labels: string[]) {
    return { kind: "histogram", labels, help } as const;
}

/**
 * All metrics by name, without the prefix "plantainchute_". Names of counters end in `total`, durations are in
 * milliseconds. Metrics marked "leader" are zero or absent on other instances.
 */
export const METRICS = {
    requests_total: counter("callers' requests", "call", "outcome", "account", "queue"),
    request_duration_ms: histogram("time from a request to its reply", "call", "account"),
    requests_passed_total: counter(
        "requests forwarded to another instance, by status of the reply or kind of failure",
        "outcome",
    ),
    ready: gauge("1 while the instance accepts callers' connections"),
    configuration_version: gauge("version of the configuration in force"),
    configuration_fresh: gauge("1 while the configuration in force is recent enough to serve callers"),
    store_reachable: gauge("1 while the store is reachable"),
    store_calls_total: counter("calls to the store", "call", "outcome"),
    table_reads_total: counter("complete or failed reads of a followed table", "table", "outcome"),
    table_read_duration_ms: histogram("complete reads of a followed table, waits for changes included", "table"),
    table_age_ms: gauge("time since a followed table was certainly current", "table"),
    leading: gauge("1 while the instance leads"),
    terms_total: counter("terms as leader that have begun"),
    takeover_duration_ms: histogram("leader: time from winning the lease to the first scheduling pass"),
    pass_duration_ms: histogram("leader: duration of a scheduling pass"),
    jobs: gauge("leader: jobs that have not ended", "account", "queue", "state"),
    tasks: gauge("leader: tasks of jobs that have not ended", "queue", "phase"),
    workers: gauge("leader: workers", "service", "state"),
    accelerators: gauge("leader: accelerators of workers that accept tasks", "service", "state"),
    placement_wait_ms: histogram("leader: time from when a unit could start to its placement", "queue"),
    start_orders_total: counter("leader: start commands sent to workers", "answer"),
    stop_orders_total: counter("leader: stop commands sent to workers", "answer"),
    pace_orders_total: counter("leader: commands that set the pace of best-effort tasks", "answer"),
    runs_ended_total: counter("leader: runs that ended", "queue", "how"),
    runs_lost_total: counter("leader: runs lost with their worker", "queue", "reason"),
    preemptions_total: counter("leader: units preempted for urgent work", "queue"),
    preempted_core_seconds_total: counter("leader: work lost to preemption", "queue"),
    thrown_away_core_seconds_total: counter(
        "leader: work neither completed nor saved, by cause of its loss",
        "queue",
        "cause",
    ),
    jobs_ended_total: counter("leader: jobs that ended", "account", "queue", "state"),
    job_duration_ms: histogram("leader: time from acceptance to the end of a job", "account", "queue"),
    progress_writes_total: counter("leader: transactions that store progress", "outcome"),
    entries_unusable_total: counter("entries of other processes that were invalid and ignored", "kind"),
    log_lines_total: counter("log lines written to standard output", "level"),
    log_lines_dropped_total: counter("log lines dropped by the rate limit or for lack of a reader", "level"),
} satisfies Readonly<Record<string, MetricSpec>>;

/** Name of a metric, without the prefix. */
export type MetricName = keyof typeof METRICS;
type NameOf<Kind extends MetricSpec["kind"]> = {
    [Name in MetricName]: (typeof METRICS)[Name] extends { readonly kind: Kind; } ? Name : never;
}[MetricName];

/** Name of a counter. */
export type CounterName = NameOf<"counter">;
/** Name of a gauge. */
export type GaugeName = NameOf<"gauge">;
/** Name of a histogram. */
export type HistogramName = NameOf<"histogram">;

/** Label values by label name. */
export type Labels = Readonly<Record<string, string>>;

/** One value of a gauge. */
export interface GaugeSample {
    readonly metric: GaugeName;
    readonly labels?: Labels;
    readonly value: number;
}

/** Port through which metrics are recorded. */
export interface Meter {
    increment(metric: CounterName, labels?: Labels, by?: number): void;
    /** Records a duration in a histogram. */
    record(metric: HistogramName, labels: Labels, ms: number): void;
    /** Registers a source of gauges that is called on each scrape. Returns a function that unregisters it. */
    registerGauges(read: () => readonly GaugeSample[]): () => void;
}

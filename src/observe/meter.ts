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
    jobs_over_limit_total: counter("callers' submissions refused for good, by the limit", "limit"),
    request_duration_ms: histogram("from a request to its answer", "call", "account"),
    requests_passed_total: counter("requests passed on to another instance, by its status", "outcome"),
    refusals_withheld_total: counter("refusals of submissions of which another copy may be carried out, answered 504"),
    inbound_connections: gauge("open connections of clients and other instances", "server"),
    inbound_held_bytes: gauge("what these connections make the process hold, as estimated by their budget"),
    inbound_connections_closed_total: counter(
        "connections closed for the budget, or since they were silent in a request or did not take an answer",
        "server",
        "reason",
    ),
    inbound_requests_rejected_total: counter(
        "requests rejected before they were read or carried out",
        "server",
        "status",
    ),
    admission_decisions_total: counter("callers' submissions, by the decision of admission", "decision", "queue"),
    expected_wait_ms: gauge("leader: expected wait of a new job of a queue whose work waits", "queue"),
    ready: gauge("1 while the instance takes callers' connections"),
    configuration_version: gauge("version of the configuration in force"),
    configuration_fresh: gauge("1 while callers may be served under the configuration in force"),
    evacuated_zones: gauge("availability zones that operators have evacuated, as this instance knows them"),
    store_reachable: gauge("1 while the store answers"),
    store_calls_total: counter("calls to the store", "call", "outcome"),
    table_reads_total: counter("reads of a followed table, whole or failed", "table", "outcome"),
    table_read_duration_ms: histogram("reads of a followed table that came whole, with the wait for a change", "table"),
    table_age_ms: gauge("time since the moment as of which a followed table is known for certain", "table"),
    leading: gauge("1 while the instance leads"),
    terms_total: counter("terms as leader begun"),
    takeover_duration_ms: histogram("leader: from the lease to the first pass"),
    pass_duration_ms: histogram("leader: one pass of the decisions"),
    jobs: gauge("leader: jobs that are not over", "account", "queue", "state"),
    tasks: gauge("leader: tasks of such jobs, of the open occurrences", "queue", "phase"),
    starts_unanswered: gauge("leader: start orders that may still be carried out, in flight or without an answer"),
    occurrences_held_back: gauge("leader: due occurrences that are not open, since too many tasks wait"),
    workers: gauge("leader: workers", "service", "state"),
    accelerators: gauge("leader: accelerators of workers that may take tasks", "service", "state"),
    account_usage: gauge(
        "leader: usage of an account relative to its fair share, the highest ones",
        "service",
        "account",
    ),
    usage_decisions_total: counter("leader: starts and stops that the accounts' usage changed", "kind"),
    placement_wait_ms: histogram("leader: from when a unit could start to its place", "queue"),
    start_orders_total: counter("leader: orders to start", "answer"),
    stop_orders_total: counter("leader: orders to stop", "answer"),
    advice_calls_total: counter("leader: calls to the adviser", "answer"),
    advice_call_duration_ms: histogram("leader: a call to the adviser", "queue"),
    pace_orders_total: counter("leader: orders on the pace of fillers", "answer"),
    runs_ended_total: counter("leader: runs that ended", "queue", "how"),
    runs_lost_total: counter("leader: runs that were lost with their worker", "queue", "reason"),
    preemptions_total: counter("leader: units stopped for urgent work", "queue"),
    preempted_core_seconds_total: counter("leader: work that preemption threw away", "queue"),
    thrown_away_core_seconds_total: counter(
        "leader: work that was neither done nor saved, by what it was lost to",
        "queue",
        "cause",
    ),
    workers_departed_total: counter("leader: workers that announced to leave, or were lost without", "service", "how"),
    departure_decisions_total: counter("leader: decisions on units on leaving workers", "queue", "decision"),
    worker_stay_ms: gauge("leader: how long workers stay beyond the announced time, at least", "service"),
    simultaneous_loss_age_ms: gauge("leader: time since several workers were lost at once", "service"),
    jobs_ended_total: counter("leader: jobs that came to their end", "account", "queue", "state"),
    job_duration_ms: histogram("leader: from acceptance to the end", "account", "queue"),
    gang_reservations_total: counter("leader: reservations of workers for gangs, by what became of them", "outcome"),
    starts_deferred_total: counter("leader: steps whose start was deferred for urgent work", "queue"),
    worker_speeds: gauge(
        "leader: workers with measured rates, and those whose speed is known to differ",
        "service",
        "state",
    ),
    speed_choices_total: counter("leader: units whose outcome the speed of workers changed", "queue", "outcome"),
    learned_state_writes_total: counter("leader: transactions that store what was measured", "outcome"),
    learned_state_bytes_total: counter("leader: bytes stored of what was measured"),
    progress_writes_total: counter("leader: transactions that store progress", "outcome"),
    entries_unusable_total: counter("what others wrote that could not be used, and was left out", "kind"),
    log_lines_total: counter("lines written to standard output", "level"),
    log_lines_dropped_total: counter("lines beyond the budget, or without a reader", "level"),
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

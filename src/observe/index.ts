/** Counters, latency histograms, the log of state changes, and the metrics of an instance. */
export { type Counters, createCounters } from "./counters";
export { createHistograms, type Histograms, type HistogramSummary } from "./histograms";
export { createLog, type Log } from "./log";
export {
    type CounterName,
    type GaugeName,
    type GaugeSample,
    type HistogramName,
    type Labels,
    type Meter,
    type MetricName,
    METRICS,
    type MetricSpec,
} from "./meter";

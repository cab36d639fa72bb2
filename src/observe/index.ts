/** Counters, latency histograms and the log of state changes. */
export { type Counters, createCounters } from "./counters";
export { createHistograms, type Histograms, type HistogramSummary } from "./histograms";
export { createLog, type Log } from "./log";

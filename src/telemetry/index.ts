/** Log lines, counters and histograms of an instance on the users' platform, without libraries to load. */
export { createLineLog, type LineLogOptions } from "./lineLog";
export { createMetrics, type Metrics } from "./metrics";

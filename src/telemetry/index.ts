/** Log and metrics of an instance on the users' platform, without third-party libraries. */
export { createLineLog, type LineLogOptions } from "./lineLog";
export { createMetrics, type Metrics } from "./metrics";

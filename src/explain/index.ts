/** Explains the outcome of one request, or of all jobs, from log lines alone. */
export { createJobReport, type JobReport, type JobSummary, type PreemptionRecord, Served } from "./jobReport";
export type { LogLine } from "./logLine";
export { renderJobReport } from "./renderJobReport";
export { renderTimeline } from "./renderTimeline";
export { createTimeline, parseLogLine, type Timeline, type Verdict } from "./timeline";

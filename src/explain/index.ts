/** Explains the outcome of one request, or of all jobs, from log lines alone. */
export { createJobReport, type JobReport, type JobSummary, type PreemptionRecord, Served } from "./jobReport";
export { renderJobReport } from "./renderJobReport";
export { renderTimeline } from "./renderTimeline";
export { createTimeline, type LogLine, parseLogLine, type Timeline, type Verdict } from "./timeline";

/** Losses of workers: which runs were lost, whether they crashed the worker, and which workers and tasks are suspect. */
export type { CrashAttribution } from "./crashAttribution";
export { quarantineIfFailing, recordFailedRun } from "./failingWorkers";
export { listLostRuns, type ListLostRunsOptions } from "./lostRuns";
export { hasUnsettledSuspect, isUnsettled, MAX_SUSPECT_START_SILENCE_MS } from "./suspects";
export { createWorkerLosses, type LossReason, type NextIncarnation } from "./workerLosses";

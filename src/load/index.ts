/** A load generator for a running site: sends requests as callers do and records their outcomes. */
export { type CallerLog, type CallerRecord, createCallerLog, type LoadSummary } from "./callerLog";
export { type CallersClient, createCallersClient, type SubmitAnswer } from "./callersClient";
export { createLoad, type Load, type LoadOptions, type LoadStream } from "./load";

/** Explains what became of a request, or of all jobs, from log lines alone. */
export { keepLedger, type Ledger, type LedgerEntry, Served, type StopRecord } from "./ledger";
export { renderStory } from "./render";
export { renderLedger } from "./renderLedger";
export { type LogLine, parseLine, type Story, tellStory, type Verdict } from "./story";

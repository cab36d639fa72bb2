/** Decides whether a CI run passes: every failure must be a known one, and every known failure must still fail. */
export { type CheckResult, readJestReport } from "./checkResult";
export { evaluateResults, type Evaluation } from "./evaluateResults";
export { type KnownFailure, type ParsedList, parseKnownFailures } from "./knownFailures";

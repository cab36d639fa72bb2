/** The verdict of a run of all tests: what failed must be a known failure, and each known failure must still fail. */
export { type CheckResult, readJestReport } from "./checkResult";
export { evaluateResults, type Evaluation } from "./evaluateResults";
export { type KnownFailure, type ParsedList, parseKnownFailures } from "./knownFailures";

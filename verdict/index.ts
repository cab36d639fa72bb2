/** The verdict of a run of all tests: what failed must be a known failure, and each known failure must still fail. */
export { type CheckResult, readJestReport } from "./checkResult";
export { judge, type Judgement } from "./judge";
export { type KnownFailure, type ParsedList, parseKnownFailures } from "./knownFailures";

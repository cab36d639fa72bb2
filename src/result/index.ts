/** Numbered result codes, refusals and invariants, used for errors throughout the program. */
export { getResultInfo, type Ran, RESULT_TABLE, ResultCode, type ResultInfo } from "./codes";
export { invariant, InvariantCode } from "./invariant";
export { createRefusal, getErrorMessage, isRefusal, type Refusal, refusalFromUnknown, refuse } from "./refusal";
export { err, ok, type Result } from "./result";

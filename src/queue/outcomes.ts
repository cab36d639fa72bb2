/** Outcomes of jobs that did not succeed. */
import type * as jobs from "../jobs/index";
import * as result from "../result/index";

/** Outcome of a job that was cancelled before it started. */
export function cancelled(): jobs.JobOutcome {
    return notRun(result.ResultCode.Cancelled, "cancelled before it started");
}

/** Outcome of a job whose work did not run. */
export function notRun(code: result.ResultCode, message: string): jobs.JobOutcome {
    return { kind: "notRun", code, message };
}

/** Outcome of a job whose work started, or may have started, and did not finish. */
export function failed(code: result.ResultCode, message: string): jobs.JobOutcome {
    return { kind: "failed", code, message };
}

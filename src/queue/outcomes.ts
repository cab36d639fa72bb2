/** How jobs end that are not done. */
import type * as jobs from "../jobs/index";
import * as result from "../result/index";

export function cancelled(): jobs.JobOutcome {
    return notRun(result.ResultCode.Cancelled, "cancelled before it started");
}

export function notRun(code: result.ResultCode, message: string): jobs.JobOutcome {
    return { kind: "notRun", code, message };
}

export function failed(code: result.ResultCode, message: string): jobs.JobOutcome {
    return { kind: "failed", code, message };
}

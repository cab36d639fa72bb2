/**
 * The numbered result codes. A code never changes its meaning. A test compares docs/RESULT-CODES.md with this table.
 */

/** Whether the work of the request ran, as far as a caller can conclude from the code alone. */
export type Ran = "no" | "yes" | "unknown";

/** Facts about a result code. */
export interface ResultInfo {
    readonly code: number;
    readonly name: string;
    readonly ran: Ran;
    readonly httpStatus: number;
    /** Exit code of the command line. */
    readonly exitCode: number;
    readonly meaning: string;
}

/** Result codes by name. */
export const ResultCode = {
    Done: 0,
    BadRequest: 1001,
    BodyTooLarge: 1002,
    Unauthorized: 1003,
    Forbidden: 1004,
    NotFound: 1005,
    CanNeverRun: 1006,
    ConflictingReuse: 1007,
    RateLimited: 1101,
    QueueFull: 1102,
    DeadlineTooSoon: 1103,
    NoCapacity: 1104,
    AccountLimit: 1105,
    Leaving: 1106,
    StoreUnavailable: 1201,
    OwnerUnavailable: 1202,
    HomeUnavailable: 1203,
    NotOwner: 1204,
    WorkerUnavailable: 1205,
    StaleToken: 1206,
    Cancelled: 1301,
    TaskFailed: 1401,
    WorkerLost: 1402,
    DeadlineExceeded: 1403,
    AnswerInvalid: 1404,
    Unresolved: 1501,
    ConfigurationConflict: 1601,
    ConfigurationInvalid: 1602,
    SettingsInvalid: 1603,
    Unreachable: 1701,
    Internal: 1901,
} as const;
export type ResultCode = typeof ResultCode[keyof typeof ResultCode];

/** One row per code, in the order of the codes. */
export const RESULT_TABLE: readonly ResultInfo[] = [
    row(ResultCode.Done, "done", "yes", 200, 0, "The work ran once and its answer is complete."),
    row(ResultCode.BadRequest, "badRequest", "no", 400, 2, "A field is missing, unknown or out of range."),
    row(ResultCode.BodyTooLarge, "bodyTooLarge", "no", 413, 2, "The request body exceeds the limit."),
    row(ResultCode.Unauthorized, "unauthorized", "no", 401, 3, "The key is missing, unknown or expired."),
    row(ResultCode.Forbidden, "forbidden", "no", 403, 3, "The key does not allow this call."),
    row(
        ResultCode.NotFound,
        "notFound",
        "no",
        404,
        4,
        "The client account has no job, preset or account of this name.",
    ),
    row(ResultCode.CanNeverRun, "canNeverRun", "no", 422, 5, "No availability zone can ever hold this job."),
    row(
        ResultCode.ConflictingReuse,
        "conflictingReuse",
        "no",
        409,
        5,
        "The request id was used before with a different body.",
    ),
    row(ResultCode.RateLimited, "rateLimited", "no", 429, 6, "The client account exceeds its rate."),
    row(ResultCode.QueueFull, "queueFull", "no", 503, 6, "The queue of this class is full."),
    row(ResultCode.DeadlineTooSoon, "deadlineTooSoon", "no", 503, 6, "The work cannot start before its deadline."),
    row(ResultCode.NoCapacity, "noCapacity", "no", 503, 6, "No healthy worker has enough free resources now."),
    row(ResultCode.AccountLimit, "accountLimit", "no", 429, 6, "The client account has too many unfinished jobs."),
    row(ResultCode.Leaving, "leaving", "no", 503, 6, "The instance is shutting down."),
    row(
        ResultCode.StoreUnavailable,
        "storeUnavailable",
        "no",
        503,
        6,
        "The platform's table service is unreachable and the job could not be recorded.",
    ),
    row(
        ResultCode.OwnerUnavailable,
        "ownerUnavailable",
        "no",
        503,
        6,
        "No instance owns the rack or queue at the moment.",
    ),
    row(
        ResultCode.HomeUnavailable,
        "homeUnavailable",
        "no",
        503,
        6,
        "The worker that guards this request id against running twice is unreachable.",
    ),
    row(ResultCode.NotOwner, "notOwner", "no", 503, 6, "The instance asked does not own the rack or queue."),
    row(ResultCode.WorkerUnavailable, "workerUnavailable", "no", 503, 6, "The worker did not take the task."),
    row(ResultCode.StaleToken, "staleToken", "no", 503, 6, "The worker refused an outdated fencing token."),
    row(ResultCode.Cancelled, "cancelled", "no", 200, 7, "The job was cancelled before it started."),
    row(ResultCode.TaskFailed, "taskFailed", "yes", 200, 8, "The work ran and failed."),
    row(
        ResultCode.WorkerLost,
        "workerLost",
        "unknown",
        502,
        8,
        "The worker was lost while it ran the work, and the work may not be repeated.",
    ),
    row(
        ResultCode.DeadlineExceeded,
        "deadlineExceeded",
        "unknown",
        504,
        8,
        "The deadline passed after the work was sent to a worker.",
    ),
    row(
        ResultCode.AnswerInvalid,
        "answerInvalid",
        "yes",
        502,
        8,
        "The work ran, but its answer was truncated or belonged to another request.",
    ),
    row(
        ResultCode.Unresolved,
        "unresolved",
        "unknown",
        503,
        9,
        "The outcome is not known yet; ask again with the same request id.",
    ),
    row(
        ResultCode.ConfigurationConflict,
        "configurationConflict",
        "no",
        409,
        10,
        "Another operator changed the configuration first.",
    ),
    row(
        ResultCode.ConfigurationInvalid,
        "configurationInvalid",
        "no",
        422,
        10,
        "The configuration is inconsistent or its guarantees cannot be placed.",
    ),
    row(ResultCode.SettingsInvalid, "settingsInvalid", "no", 400, 11, "A settings file is not valid."),
    row(
        ResultCode.Unreachable,
        "unreachable",
        "unknown",
        503,
        12,
        "The site did not answer a call of the command line.",
    ),
    row(ResultCode.Internal, "internal", "unknown", 500, 13, "An internal error of this program."),
];

const infoByCode = new Map(RESULT_TABLE.map(info => [info.code, info]));

/** Returns the facts about a code; those of `Internal` for an unknown code, for instance of a newer instance. */
export function getResultInfo(code: number): ResultInfo {
    return infoByCode.get(code) ?? infoByCode.get(ResultCode.Internal)!;
}

function row(code: number, name: string, ran: Ran, httpStatus: number, exitCode: number, meaning: string): ResultInfo {
    return { code, name, ran, httpStatus, exitCode, meaning };
}

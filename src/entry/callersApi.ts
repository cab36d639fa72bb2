/** Operations of callers: submit, wait for, read and cancel jobs and fetch results, limited to their own account. */
import * as crypto from "node:crypto";
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";
import * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as result from "../result/index";
import * as workers from "../workers/index";
import type * as interactiveRouter from "./interactiveRouter";
import type * as jobAdmission from "./jobAdmission";
import type * as rateLimit from "./rateLimit";
import * as submission from "./submission";

/** State of a job as reported to its caller. */
export interface JobView {
    readonly requestId: string;
    readonly state: "queued" | "placed" | "done" | "failed" | "notRun";
    readonly class: configuration.JobClass;
    readonly accelerators: number;
    /** Wall-clock time in milliseconds. */
    readonly acceptedAt: number;
    /** Wall-clock time in milliseconds; absent until the job has ended. */
    readonly endedAt?: number;
    readonly attempt: number;
    /** Result code; absent until the job has ended. */
    readonly code?: number;
    readonly message?: string;
    readonly answerLength?: number;
}

/** Operations of callers; each returns a refusal when it cannot be carried out. */
export interface CallersApi {
    /** Runs an interactive request and resolves to its outcome. */
    submitInteractive(
        account: configuration.Account,
        submitted: submission.Submission,
    ): Promise<interactiveRouter.InteractiveOutcome>;
    /** Accepts a job once its row is written, then waits up to `waitMs` for its end. */
    submitJob(
        account: configuration.Account,
        submitted: submission.Submission,
        waitMs: number,
    ): Promise<result.Result<JobView>>;
    /** Reads a job; waits up to `waitMs` for its end. */
    getJob(account: configuration.Account, requestId: string, waitMs: number): Promise<result.Result<JobView>>;
    /** Cancels a job and resolves to its state; a job that has ended stays as it is. */
    cancelJob(account: configuration.Account, requestId: string): Promise<result.Result<JobView>>;
    /** Fetches the answer of a job that is done, after a check of its digest. */
    getResult(account: configuration.Account, requestId: string): Promise<result.Result<Uint8Array>>;
}

/** Options of `createCallersApi`. */
export interface CallersApiOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly counters: observe.Counters;
    readonly histograms: observe.Histograms;
    readonly store: jobs.JobStore;
    readonly objects: platform.ObjectStore;
    readonly router: interactiveRouter.InteractiveRouter;
    readonly admission: jobAdmission.JobAdmission;
    readonly rateLimit: rateLimit.RateLimit;
    /** Fraction of an account's rate that this instance admits. */
    readonly getRateShare: () => number;
    readonly defaultDeadlineMs: number;
    /** Whether the instance refuses new requests because it shuts down. */
    readonly isLeaving: () => boolean;
    /** Sends a notice to the owner of the zone's queue; resolves to `undefined` if there was no reply. */
    readonly notifyJob: (notice: peer.JobNotice, timeoutMs: number) => Promise<peer.JobNoticeReply | undefined>;
}

/** Timeout of a notice, in addition to the time that the notice itself waits. */
const NOTICE_TIMEOUT_MS = 2000;
const RETRY_AFTER_MS = 1000;
/** Maximum wait of one await notice; a longer wait sends several. */
const MAX_AWAIT_MS = 5000;
const AWAIT_RETRY_DELAY_MS = 200;
/** Time that a cancellation waits for the job's end before it returns the current state. */
const CANCEL_WAIT_MS = 5000;

/** Creates the operations of callers at this instance. */
export function createCallersApi(options: CallersApiOptions): CallersApi {
    const { clock: time, counters, store } = options;

    const checkAdmission = (account: configuration.Account): result.Result<void> => {
        if (options.isLeaving()) {
            return result.refuse(
                result.ResultCode.Leaving,
                "the instance is shutting down; ask another",
                {
                    retryAfterMs: 100,
                },
            );
        }
        const retryAfterMs = options.rateLimit.take(account, options.getRateShare());
        if (retryAfterMs > 0) {
            counters.increment("entry.rateLimited");
            return result.refuse(result.ResultCode.RateLimited, `account "${account.name}" exceeds its rate`, {
                retryAfterMs,
            });
        }
        return result.ok(undefined);
    };

    const readJobRow = async (
        account: configuration.Account,
        requestId: string,
    ): Promise<result.Result<jobs.JobRow>> => {
        const found = await store.read(jobs.getJobId(account.name, requestId));
        if (found.kind !== "read") {
            return result.refuse(result.ResultCode.StoreUnavailable, "the table service did not answer", {
                retryAfterMs: RETRY_AFTER_MS,
                ran: "unknown",
            });
        }
        return found.value
            ? result.ok(found.value.row)
            : result.refuse(result.ResultCode.NotFound, `no job "${requestId}" of this account`);
    };

    /** Waits for the job's end at the current owner of its queue, which may change during the wait. */
    const waitForEnd = async (
        account: configuration.Account,
        requestId: string,
        waitMs: number,
    ): Promise<result.Result<JobView>> => {
        const deadline = time.now() + waitMs;
        for (;;) {
            const row = await readJobRow(account, requestId);
            const remainingMs = deadline - time.now();
            if (!row.ok || row.value.state === "ended" || remainingMs <= 0) {
                return row.ok ? result.ok(toJobView(row.value)) : row;
            }
            const awaitMs = Math.min(remainingMs, MAX_AWAIT_MS);
            const { jobId, zone } = row.value;
            const notice = { jobId, zone, kind: "await", waitMs: awaitMs };
            const reply = await options.notifyJob(notice, awaitMs + NOTICE_TIMEOUT_MS);
            if (reply?.state !== "ended") {
                await time.sleep(Math.min(AWAIT_RETRY_DELAY_MS, Math.max(1, remainingMs)));
            }
        }
    };

    const createRow = (
        account: configuration.Account,
        submitted: submission.Submission,
        requestId: string,
        zone: string,
    ): jobs.JobRow => {
        const spec = submission.toJobSpec(submitted);
        const acceptedAt = time.wallTime();
        return {
            jobId: jobs.getJobId(account.name, requestId),
            account: account.name,
            requestId,
            specDigest: jobs.getSpecDigest(spec),
            zone,
            spec,
            acceptedAt,
            startBy: submitted.deadlineMs === undefined ? undefined : acceptedAt + submitted.deadlineMs,
            state: "queued",
            attempt: 0,
            members: [],
            savedMs: 0,
            failedWorkers: [],
            writeId: "",
        };
    };

    return {
        submitInteractive: async (account, submitted) => {
            const admitted = checkAdmission(account);
            if (!admitted.ok) {
                return { kind: "refused", requestId: submitted.requestId ?? "", refusal: admitted.refusal };
            }
            const startedAt = time.now();
            const outcome = await options.router.run(account, submitted, options.defaultDeadlineMs);
            counters.increment(`interactive.${outcome.kind}`);
            if (outcome.kind === "done") {
                options.histograms.record(account.name, "interactive", time.now() - startedAt);
            }
            return outcome;
        },
        submitJob: async (account, submitted, waitMs) => {
            const admitted = checkAdmission(account);
            if (!admitted.ok) {
                return admitted;
            }
            const zone = options.admission.chooseZone(account, submission.toJobSpec(submitted), submitted.deadlineMs);
            if (!zone.ok) {
                return zone;
            }
            const requestId = submitted.requestId ?? crypto.randomUUID();
            const row = createRow(account, submitted, requestId, zone.value);
            const written = await store.create(row);
            switch (written.kind) {
                case "written":
                    counters.increment("jobs.accepted");
                    break;
                case "conflict":
                    if (written.found?.row.specDigest !== row.specDigest) {
                        return result.refuse(
                            result.ResultCode.ConflictingReuse,
                            `request id "${requestId}" was used for another job`,
                        );
                    }
                    counters.increment("jobs.repeatedSubmission");
                    return waitMs > 0
                        ? waitForEnd(account, requestId, waitMs)
                        : result.ok(toJobView(written.found.row));
                case "unavailable":
                    return result.refuse(
                        result.ResultCode.StoreUnavailable,
                        "the table service is down; the job was not recorded",
                        { retryAfterMs: RETRY_AFTER_MS },
                    );
                case "unknown":
                    return result.refuse(
                        result.ResultCode.Unresolved,
                        `it is not known whether the job was recorded; submit it again with requestId "${requestId}"`,
                        { retryAfterMs: RETRY_AFTER_MS },
                    );
            }
            const notice = { jobId: row.jobId, zone: row.zone, kind: "submitted", waitMs: 0 };
            if (waitMs > 0) {
                return waitForEnd(account, requestId, waitMs);
            }
            // The notice only saves time: an owner that misses it finds the row when it next scans its queue.
            options.notifyJob(notice, NOTICE_TIMEOUT_MS).catch((err: unknown) => {
                options.log.info("noticeNotSent", { job: row.jobId, zone: row.zone, why: String(err) });
            });
            return result.ok(toJobView(row));
        },
        getJob: async (account, requestId, waitMs) => {
            if (waitMs > 0) {
                return waitForEnd(account, requestId, waitMs);
            }
            const row = await readJobRow(account, requestId);
            return row.ok ? result.ok(toJobView(row.value)) : row;
        },
        cancelJob: async (account, requestId) => {
            const row = await readJobRow(account, requestId);
            if (!row.ok || row.value.state === "ended") {
                return row.ok ? result.ok(toJobView(row.value)) : row;
            }
            const { jobId, zone } = row.value;
            const notice = { jobId, zone, kind: "cancel", waitMs: CANCEL_WAIT_MS };
            const reply = await options.notifyJob(notice, CANCEL_WAIT_MS + NOTICE_TIMEOUT_MS);
            if (!reply?.owner) {
                return result.refuse(
                    result.ResultCode.OwnerUnavailable,
                    "nobody owns the job's queue at the moment; cancel again",
                    {
                        retryAfterMs: RETRY_AFTER_MS,
                        ran: "unknown",
                    },
                );
            }
            counters.increment("jobs.cancelled");
            const after = await readJobRow(account, requestId);
            return after.ok ? result.ok(toJobView(after.value)) : after;
        },
        getResult: async (account, requestId) => {
            const row = await readJobRow(account, requestId);
            if (!row.ok) {
                return row;
            }
            const { outcome, jobId, attempt } = row.value;
            if (outcome?.kind !== "done") {
                return result.refuse(
                    result.ResultCode.NotFound,
                    `job "${requestId}" has no result: ${toJobView(row.value).state}`,
                );
            }
            const found = await options.objects.get(workers.getResultKey(jobId, attempt));
            if (found.kind === "unavailable") {
                return result.refuse(result.ResultCode.StoreUnavailable, "the object store did not answer", {
                    retryAfterMs: RETRY_AFTER_MS,
                    ran: "yes",
                });
            }
            const isWhole = found.kind === "found" && workers.getBodyDigest(found.body) === outcome.digest;
            return isWhole
                ? result.ok(found.body)
                : result.refuse(result.ResultCode.AnswerInvalid, "the stored result is missing or not whole");
        },
    };
}

function toJobView(row: jobs.JobRow): JobView {
    const { outcome } = row;
    const base = {
        requestId: row.requestId,
        class: row.spec.jobClass,
        accelerators: row.spec.accelerators,
        acceptedAt: row.acceptedAt,
        endedAt: row.endedAt,
        attempt: row.attempt,
    };
    switch (outcome?.kind) {
        case undefined:
            return { ...base, state: row.state === "placed" ? "placed" : "queued" };
        case "done":
            return { ...base, state: "done", code: result.ResultCode.Done, answerLength: outcome.length };
        case "failed":
        case "notRun":
            return { ...base, state: outcome.kind, code: outcome.code, message: outcome.message };
    }
}

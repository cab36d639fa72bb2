/** Schema and validation of callers' submissions. */
import * as z from "zod";
import * as configuration from "../configuration/index";
import * as jobs from "../jobs/index";
import * as result from "../result/index";

/** Maximum deadline and declared run time: 7 days. */
const MAX_DEADLINE_MS = 7 * 24 * 3_600_000;

/** Schema of the body of `POST /v1/jobs`. */
export const submissionSchema = z.strictObject({
    /** Idempotency key: a second submission with the same key gets the outcome of the first. */
    requestId: z.string().regex(/^[0-9A-Za-z._~:-]{1,128}$/, "expected up to 128 letters, digits, or . _ ~ : -")
        .optional(),
    class: configuration.jobClassSchema,
    accelerators: z.number().int().min(0).max(128).optional(),
    adjacency: configuration.adjacencySchema.default("any"),
    cpusPerAccelerator: z.number().positive().max(1024).default(1),
    memoryMbPerAccelerator: z.number().positive().max(4_194_304).default(256),
    /** Run time that the caller expects, in milliseconds. */
    declaredMs: z.number().positive().max(MAX_DEADLINE_MS).optional(),
    /** Milliseconds until an interactive request must be answered, or until a job must have started. */
    deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS).optional(),
    /** Whether the work may run more than once. */
    repeatable: z.boolean().default(true),
    payload: z.string().default(""),
});
/** A valid submission with defaults applied. */
export type Submission = z.infer<typeof submissionSchema>;

/** Validates a submission; the refusal names the invalid field. */
export function parseSubmission(body: unknown): result.Result<Submission> {
    const parsed = submissionSchema.safeParse(body);
    if (!parsed.success) {
        const issue = parsed.error.issues[0]!;
        const location = issue.path.length > 0 ? `${issue.path.join(".")}: ` : "";
        return result.refuse(result.ResultCode.BadRequest, `${location}${issue.message}`);
    }
    const { class: jobClass, accelerators, deadlineMs } = parsed.data;
    if (jobClass === "interactive" && (accelerators ?? 0) > 0) {
        return result.refuse(result.ResultCode.BadRequest, "accelerators: an interactive request takes none");
    }
    if (jobClass === "interactive" && (deadlineMs ?? 0) > MAX_INTERACTIVE_DEADLINE_MS) {
        return result.refuse(
            result.ResultCode.BadRequest,
            `deadlineMs: expected at most ${MAX_INTERACTIVE_DEADLINE_MS} for an interactive request`,
        );
    }
    if (jobClass !== "interactive" && accelerators === 0) {
        return result.refuse(result.ResultCode.BadRequest, "accelerators: expected at least 1");
    }
    return result.ok(parsed.data);
}

const MAX_INTERACTIVE_DEADLINE_MS = 120_000;

/** Converts a submission to a job specification; a job takes one accelerator by default. */
export function toJobSpec(submission: Submission): jobs.JobSpec {
    return {
        jobClass: submission.class,
        accelerators: submission.accelerators ?? 1,
        adjacency: submission.adjacency,
        cpusPerAccelerator: submission.cpusPerAccelerator,
        memoryMbPerAccelerator: submission.memoryMbPerAccelerator,
        declaredMs: submission.declaredMs,
        repeatable: submission.repeatable,
        payload: submission.payload,
    };
}

/** What a caller submits, as checked on arrival. */
import * as z from "zod";
import * as configuration from "../configuration/index";
import * as jobs from "../jobs/index";
import * as result from "../result/index";

const MAX_DEADLINE_MS = 7 * 24 * 3_600_000;

export const submissionSchema = z.strictObject({
    /** Idempotency key: a second submission with the same one gets the first one's outcome. */
    requestId: z.string().regex(/^[0-9A-Za-z._~:-]{1,128}$/, "expected up to 128 letters, digits, or . _ ~ : -")
        .optional(),
    class: configuration.jobClassSchema,
    accelerators: z.number().int().min(0).max(128).optional(),
    adjacency: configuration.adjacencySchema.default("any"),
    cpusPerAccelerator: z.number().positive().max(1024).default(1),
    memoryMbPerAccelerator: z.number().positive().max(4_194_304).default(256),
    /** How long the caller expects the work to run, in milliseconds. */
    declaredMs: z.number().positive().max(MAX_DEADLINE_MS).optional(),
    /** Interactive: time until the answer is useless. Others: time until the job must have started. In milliseconds. */
    deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS).optional(),
    /** False for work that may run at most once. */
    repeatable: z.boolean().default(true),
    payload: z.string().default(""),
});
export type Submission = z.infer<typeof submissionSchema>;

export function parseSubmission(body: unknown): result.Result<Submission> {
    const parsed = submissionSchema.safeParse(body);
    if (!parsed.success) {
        const issue = parsed.error.issues[0]!;
        const where = issue.path.length > 0 ? `${issue.path.join(".")}: ` : "";
        return result.refuse(result.ResultCode.BadRequest, `${where}${issue.message}`);
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

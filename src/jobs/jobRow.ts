/** The row of a job in the table service: its submission, state and outcome. Durations are in milliseconds. */
import * as crypto from "node:crypto";
import * as z from "zod";
import * as configuration from "../configuration/index";

/** The job as the caller submitted it. */
export const jobSpecSchema = z.strictObject({
    jobClass: configuration.jobClassSchema,
    accelerators: z.number().int().min(0).max(128),
    adjacency: configuration.adjacencySchema,
    cpusPerAccelerator: z.number().positive(),
    memoryMbPerAccelerator: z.number().positive(),
    /** Run time that the caller expects. */
    declaredMs: z.number().positive().optional(),
    /** Whether the job may be run again after a failure, and stopped and resumed. */
    repeatable: z.boolean(),
    payload: z.string(),
});
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** Outcome of a job: completed with a result, ran and failed, or did not run. */
export const outcomeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("done"), digest: z.string(), length: z.number().int() }),
    z.object({ kind: z.literal("failed"), code: z.number().int(), message: z.string() }),
    z.object({ kind: z.literal("notRun"), code: z.number().int(), message: z.string() }),
]);
export type JobOutcome = z.infer<typeof outcomeSchema>;

/** A gang member: the worker and the resources that one task of the job uses. */
const memberSchema = z.object({
    workerId: z.string(),
    rackId: z.string(),
    needs: z.object({ accelerators: z.number(), slots: z.number(), cpus: z.number(), memoryMb: z.number() }),
});
export type JobMember = z.infer<typeof memberSchema>;

export const jobRowSchema = z.object({
    jobId: z.string(),
    account: z.string(),
    requestId: z.string(),
    /** Digest of the spec; distinguishes a repeated submission from another job with the same request id. */
    specDigest: z.string(),
    /** Zone whose queue holds the job. */
    zone: z.string(),
    spec: jobSpecSchema,
    /** Wall times in milliseconds since the epoch. */
    acceptedAt: z.number(),
    startBy: z.number().optional(),
    endedAt: z.number().optional(),
    /** In state `placed`, an attempt may be running on the members. */
    state: z.enum(["queued", "placed", "ended"]),
    /** Number of the latest attempt. */
    attempt: z.number().int(),
    members: z.array(memberSchema),
    /** Run time that the latest checkpoint covers. */
    savedMs: z.number(),
    failedWorkers: z.array(z.string()),
    outcome: outcomeSchema.optional(),
    /** Id of the latest write; a writer whose answer was lost recognises its own write by it. */
    writeId: z.string(),
});
export type JobRow = z.infer<typeof jobRowSchema>;

/** Job id of a request: equal for every submission of the same request id by the same account, at any instance. */
export function getJobId(account: string, requestId: string): string {
    return crypto.createHash("sha256").update(`${account}\n${requestId}`).digest("hex").slice(0, 32);
}

/** First 32 hexadecimal digits of the SHA-256 of the spec as JSON. */
export function getSpecDigest(spec: JobSpec): string {
    return crypto.createHash("sha256").update(JSON.stringify(spec)).digest("hex").slice(0, 32);
}

/** Key of the job's row. */
export function getJobKey(jobId: string): string {
    return `job/${jobId}`;
}

/** Key prefix of the index rows of a zone's unfinished jobs; the job id follows it. */
export function getQueuePrefix(zone: string): string {
    return `queue/${zone}/`;
}

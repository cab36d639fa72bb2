/** The row of a job in the table service: what was accepted, and what became of it. */
import * as crypto from "node:crypto";
import * as z from "zod";
import * as configuration from "../configuration/index";

export const jobSpecSchema = z.strictObject({
    jobClass: configuration.jobClassSchema,
    accelerators: z.number().int().min(0).max(128),
    adjacency: configuration.adjacencySchema,
    cpusPerAccelerator: z.number().positive(),
    memoryMbPerAccelerator: z.number().positive(),
    declaredMs: z.number().positive().optional(),
    /** May be run again after a failure, and stopped and continued. */
    repeatable: z.boolean(),
    payload: z.string(),
});
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** What became of a job. `ran` tells the caller whether work was done. */
export const outcomeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("done"), digest: z.string(), length: z.number().int() }),
    z.object({ kind: z.literal("failed"), code: z.number().int(), message: z.string() }),
    z.object({ kind: z.literal("notRun"), code: z.number().int(), message: z.string() }),
]);
export type JobOutcome = z.infer<typeof outcomeSchema>;

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
    /** Digest of the submission, to tell a repetition from another job under the same request id. */
    specDigest: z.string(),
    /** Zone whose queue holds the job. */
    zone: z.string(),
    spec: jobSpecSchema,
    /** Wall times, in milliseconds since the epoch. */
    acceptedAt: z.number(),
    startBy: z.number().optional(),
    endedAt: z.number().optional(),
    /** `placed`: an attempt may be running on the members. */
    state: z.enum(["queued", "placed", "ended"]),
    attempt: z.number().int(),
    members: z.array(memberSchema),
    savedMs: z.number(),
    failedWorkers: z.array(z.string()),
    outcome: outcomeSchema.optional(),
    /** Id of the latest write, by which a writer whose answer was lost recognises its own write. */
    writeId: z.string(),
});
export type JobRow = z.infer<typeof jobRowSchema>;

/** The same for every submission of the same request id by the same account, at whatever entry. */
export function getJobId(account: string, requestId: string): string {
    return crypto.createHash("sha256").update(`${account}\n${requestId}`).digest("hex").slice(0, 32);
}

export function getSpecDigest(spec: JobSpec): string {
    return crypto.createHash("sha256").update(JSON.stringify(spec)).digest("hex").slice(0, 32);
}

export function getJobKey(jobId: string): string {
    return `job/${jobId}`;
}

/** Prefix of the index rows of a zone's unfinished jobs; the job id follows. */
export function getQueuePrefix(zone: string): string {
    return `queue/${zone}/`;
}

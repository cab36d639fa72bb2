/** Faults of the stand-ins, which tests and the demo enable and disable. */
import * as z from "zod";

export const platformFaultsSchema = z.strictObject({
    /** No call is executed or answered. */
    down: z.boolean().default(false),
    /** Delay of every response, in milliseconds. */
    slowMs: z.number().int().nonnegative().default(0),
    /** Share of writes that take effect but whose response is lost. */
    loseAnswers: z.number().min(0).max(1).default(0),
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

export const workerFaultsSchema = z.strictObject({
    /** No call is executed or answered. */
    down: z.boolean().default(false),
    /** Calls are held until the pause ends. */
    paused: z.boolean().default(false),
    /** Delay of every call, in milliseconds. */
    slowMs: z.number().int().nonnegative().default(0),
    /** Share of commands that take effect but whose response is lost. */
    loseAnswers: z.number().min(0).max(1).default(0),
    /** Every task fails as soon as it starts. */
    failTasks: z.boolean().default(false),
    /** Share of responses that are truncated. */
    truncateAnswers: z.number().min(0).max(1).default(0),
    /** Share of responses that carry the task id of another request. */
    crossAnswers: z.number().min(0).max(1).default(0),
});
export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

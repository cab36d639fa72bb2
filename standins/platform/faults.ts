/** Faults of a stand-in that a test or a demonstration switches on and off. */
import * as z from "zod";

export const platformFaultsSchema = z.strictObject({
    /** No call is answered or executed. */
    down: z.boolean().default(false),
    /** Every answer is delayed by this many milliseconds. */
    slowMs: z.number().int().nonnegative().default(0),
    /** Share of writes that take effect but whose answer is lost. */
    loseAnswers: z.number().min(0).max(1).default(0),
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

export const workerFaultsSchema = z.strictObject({
    /** Nothing is executed or answered. */
    down: z.boolean().default(false),
    /** Calls are held until the pause ends. */
    paused: z.boolean().default(false),
    slowMs: z.number().int().nonnegative().default(0),
    /** Share of commands that take effect but whose answer is lost. */
    loseAnswers: z.number().min(0).max(1).default(0),
    /** Every task that starts fails at once. */
    failTasks: z.boolean().default(false),
    /** Share of answers that are cut short. */
    truncateAnswers: z.number().min(0).max(1).default(0),
    /** Share of answers that carry another request's task id. */
    crossAnswers: z.number().min(0).max(1).default(0),
});
export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

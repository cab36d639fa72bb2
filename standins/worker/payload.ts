/** The work order that stand-in workers understand, as JSON in the payload of a task. */
import * as z from "zod";

export const payloadSchema = z.object({
    /** How long the task runs, in milliseconds. */
    runMs: z.number().nonnegative().default(0),
    /** Comes back in the answer, so that a caller can tell its own answer from another's. */
    mark: z.string().default(""),
    /** The task fails on any worker: the job's fault. */
    fails: z.boolean().default(false),
    /** Bytes of filling in the answer. */
    answerBytes: z.number().int().nonnegative().default(0),
});
export type Payload = z.infer<typeof payloadSchema>;

/** A payload that is not such an order runs for no time and has no mark. */
export function readPayload(text: string): Payload {
    try {
        return payloadSchema.parse(JSON.parse(text));
    }
    catch {
        return payloadSchema.parse({});
    }
}

export function createAnswerBody(payload: Payload): Buffer {
    const filling = payload.answerBytes > 0 ? { filling: "x".repeat(payload.answerBytes) } : {};
    return Buffer.from(JSON.stringify({ mark: payload.mark, ...filling }));
}

/** The JSON payload of a task for the stand-in workers. */
import * as z from "zod";

export const payloadSchema = z.object({
    /** How long the task runs, in milliseconds. */
    runMs: z.number().nonnegative().default(0),
    /** Returned in the answer, so that a caller can verify that the answer belongs to its request. */
    mark: z.string().default(""),
    /** The task fails on every worker, as that of a faulty job does. */
    fails: z.boolean().default(false),
    /** Bytes of padding in the answer. */
    answerBytes: z.number().int().nonnegative().default(0),
});
export type Payload = z.infer<typeof payloadSchema>;

/** Parses a payload. An invalid one gets the defaults: it runs for 0 ms and has no mark. */
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

/** What an owner must know of a task that another owner started; it travels with the task as its note. */
import * as z from "zod";

const noteSchema = z.object({
    jobId: z.string(),
    attempt: z.number().int(),
    /** Position among the gang's members. */
    index: z.number().int(),
    members: z.number().int(),
    evictable: z.boolean(),
    urgent: z.boolean(),
});
export type TaskNote = z.infer<typeof noteSchema>;

const NO_NOTE: TaskNote = { jobId: "", attempt: 0, index: 0, members: 0, evictable: false, urgent: false };

export function writeNote(note: TaskNote): string {
    return JSON.stringify(note);
}

/** A text that is no note gives one without a job. */
export function readNote(text: string): TaskNote {
    if (text === "") {
        return NO_NOTE;
    }
    try {
        return noteSchema.parse(JSON.parse(text));
    }
    catch {
        return NO_NOTE;
    }
}

/** Metadata stored as a task's note at the worker, from which a new owner learns about tasks that it did not start. */
import * as z from "zod";

const noteSchema = z.object({
    jobId: z.string(),
    attempt: z.number().int(),
    /** Position among the gang's members, starting at 0. */
    index: z.number().int(),
    /** Size of the gang. */
    members: z.number().int(),
    evictable: z.boolean(),
    urgent: z.boolean(),
});
/** Metadata of a queued task. */
export type TaskNote = z.infer<typeof noteSchema>;

const EMPTY_NOTE: TaskNote = { jobId: "", attempt: 0, index: 0, members: 0, evictable: false, urgent: false };

/** Encodes a note as JSON. */
export function formatTaskNote(note: TaskNote): string {
    return JSON.stringify(note);
}

/** Decodes a note; an invalid text yields a note with an empty job id and no members. */
export function parseTaskNote(text: string): TaskNote {
    if (text === "") {
        return EMPTY_NOTE;
    }
    try {
        return noteSchema.parse(JSON.parse(text));
    }
    catch {
        return EMPTY_NOTE;
    }
}

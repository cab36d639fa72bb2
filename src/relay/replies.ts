/** Replies that the relay creates itself, and the classification of replies by status. */
import type * as messages from "./messages";

/** Statuses without a result: 503 means that nothing was or will be done, 504 leaves the outcome open. */
export const Status = { Unavailable: 503, Undecided: 504 } as const;

/** Same as after a refusal by the intake: most disturbances are shorter. */
const RETRY_AFTER_MS = 1_000;

/** The request was refused because the configuration is stale. */
export const OUT_OF_DATE: messages.CallerReply = {
    status: Status.Unavailable,
    retryAfterMs: RETRY_AFTER_MS,
    body: { error: "configuration out of date" },
};

/** A peer may have carried out the request, but did not reply. */
export const NO_ANSWER: messages.CallerReply = {
    status: Status.Undecided,
    retryAfterMs: RETRY_AFTER_MS,
    body: { error: "no answer" },
};

/** Whether a reply states the outcome of its request, or a refusal that all instances share. */
export function isDecided({ status, final }: messages.CallerReply): boolean {
    return final === true || status !== Status.Unavailable && status !== Status.Undecided;
}

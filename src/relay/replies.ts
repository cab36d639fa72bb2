/** Replies that the relay creates itself, and the classification of replies by status. */
import type * as messages from "./messages";

/** Among them those without a result: 503 means that nothing was or will be done, 504 leaves the outcome open. */
export const Status = { Ok: 200, Redirect: 300, Gone: 410, Unavailable: 503, Undecided: 504 } as const;

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

/** The request is refused, but another copy of it may still be carried out. */
export const EARLIER_COPY_UNDECIDED: messages.CallerReply = {
    status: Status.Undecided,
    retryAfterMs: RETRY_AFTER_MS,
    body: { error: "another copy of the request is undecided" },
};

/** Whether a reply says that the request was carried out, so that it holds for each copy of the request. */
export function isCarriedOut({ method }: messages.CallerRequest, { status }: messages.CallerReply): boolean {
    return status >= Status.Ok && status < Status.Redirect || method === "DELETE" && status === Status.Gone;
}

/** Whether a reply states the outcome of its request, or a refusal that all instances share. */
export function isDecided({ status, final }: messages.CallerReply): boolean {
    return final === true || status !== Status.Unavailable && status !== Status.Undecided;
}

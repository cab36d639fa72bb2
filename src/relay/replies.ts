/** Replies of the relay's own, and what a reply decides. */
import type * as messages from "./messages";

/** Replies that decide nothing: the first says that nothing was or will be done, the second leaves it open. */
export const Status = { Unavailable: 503, Undecided: 504 } as const;

/** As after a refusal by an instance itself: most troubles are over by then. */
const RETRY_AFTER_MS = 1_000;

export const OUT_OF_DATE: messages.CallerReply = {
    status: Status.Unavailable,
    retryAfterMs: RETRY_AFTER_MS,
    body: { error: "configuration out of date" },
};

export const NO_ANSWER: messages.CallerReply = {
    status: Status.Undecided,
    retryAfterMs: RETRY_AFTER_MS,
    body: { error: "no answer" },
};

export function isDecided({ status }: messages.CallerReply): boolean {
    return status !== Status.Unavailable && status !== Status.Undecided;
}

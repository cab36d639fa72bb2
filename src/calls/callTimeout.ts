/**
 * How long a call waits for its answer.
 *
 * A timeout is there to notice silence. What goes wrong where it bounds the whole of an answer whose length has no
 * bound: on a weak link the answer takes longer, is given up while it is coming, and is asked for anew from its first
 * byte, for ever. One notices a link that is busy without pause and a reader that is behind for good. So whoever asks
 * for such an answer sets `mostMs`, and `timeoutMs` then bounds the time without a byte of it.
 */

export interface CallTimeouts {
    /** From the call to the end of the answer; with `mostMs`, to its beginning, and from one part of it to the next. */
    readonly timeoutMs: number;
    /** From the call to the end of an answer that keeps coming. */
    readonly totalTimeoutMs?: number;
}

export interface CallTimer {
    /** A part of the answer has come. */
    refresh(): void;
    /** The call is over: `onOver` is not called any more. */
    stop(): void;
}

/** Calls `onOver` once, with the milliseconds since the call, when it has to be given up. */
export function startCallTimer(
    { timeoutMs, totalTimeoutMs: mostMs }: CallTimeouts,
    onOver: (afterMs: number) => void,
): CallTimer {
    const startedAt = performance.now();
    let heardAt = startedAt;
    let ended = false;
    let timer: NodeJS.Timeout;
    const getDueAt = () =>
        mostMs === undefined ? startedAt + timeoutMs : Math.min(heardAt + timeoutMs, startedAt + mostMs);
    const check = () => {
        if (ended) {
            return;
        }
        const now = performance.now();
        if (getDueAt() <= now) {
            onOver(now - startedAt);
            return;
        }
        arm();
    };
    const arm = () => {
        // A busy process sees its timers before the answers that have come in the meantime; these go first.
        timer = setTimeout(() => setImmediate(check), Math.max(0, Math.ceil(getDueAt() - performance.now())));
    };
    arm();
    return {
        refresh: () => {
            heardAt = performance.now();
        },
        stop: () => {
            ended = true;
            clearTimeout(timer);
        },
    };
}

/**
 * Timeouts of a call.
 *
 * A timeout is meant to detect silence. If it bounded the whole of an answer of unbounded length, then on a weak link
 * the answer would be abandoned while it arrives and be requested again from its first byte, forever: the link would be
 * saturated and the reader never catch up. Calls for such answers set `totalTimeoutMs`, and `timeoutMs` then bounds the
 * time without a byte of the answer.
 */

/** Timeouts of one call, in milliseconds. */
export interface CallTimeouts {
    /** Maximum time to the end of the answer; with `totalTimeoutMs`, to its first byte and between its chunks. */
    readonly timeoutMs: number;
    /** Maximum time from the call to the end of an answer that keeps arriving. */
    readonly totalTimeoutMs?: number;
}

/** Running timer of one call. */
export interface CallTimer {
    /** Restarts the idle timeout; called when a part of the answer has arrived. */
    refresh(): void;
    /** Stops the timer when the call has ended. */
    stop(): void;
}

/** Calls `onTimeout` at most once, with the milliseconds since the call, when it has timed out. */
export function startCallTimer(
    { timeoutMs, totalTimeoutMs }: CallTimeouts,
    onTimeout: (afterMs: number) => void,
): CallTimer {
    const startedAt = performance.now();
    let refreshedAt = startedAt;
    let isStopped = false;
    let timer: NodeJS.Timeout;
    const getDueAt = () =>
        totalTimeoutMs === undefined
            ? startedAt + timeoutMs
            : Math.min(refreshedAt + timeoutMs, startedAt + totalTimeoutMs);
    const check = () => {
        if (isStopped) {
            return;
        }
        const now = performance.now();
        if (getDueAt() <= now) {
            onTimeout(now - startedAt);
            return;
        }
        arm();
    };
    const arm = () => {
        // After a busy period the event loop runs timers before pending I/O; setImmediate lets the answers go first.
        timer = setTimeout(() => setImmediate(check), Math.max(0, Math.ceil(getDueAt() - performance.now())));
    };
    arm();
    return {
        refresh: () => {
            refreshedAt = performance.now();
        },
        stop: () => {
            isStopped = true;
            clearTimeout(timer);
        },
    };
}

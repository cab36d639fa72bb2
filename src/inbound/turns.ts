/**
 * Divides the event loop between connections that have more input than can be handled at once.
 *
 * The parser handles all that it is given in one call, and a buffer of 64 KB holds thousands of small requests. So each
 * connection is given a little at a time, in turn, and timers and other input get theirs in between.
 */
import type * as clock from "../clock/index";

/** Handles a little input. Returns whether there is more. */
export type Step = () => boolean;

export interface Turns {
    /** Runs the step until it returns false, at once if nothing else waits. A step that waits already is not added. */
    schedule(step: Step): void;
}

/** Longest time without a return to the event loop. */
const TURN_MS = 1;

export function createTurns(time: clock.Clock): Turns {
    /** In the order of their turns. */
    const waiting = new Set<Step>();
    let isRunning = false;
    let isContinuing = false;
    const run = () => {
        isRunning = true;
        const until = time.now() + TURN_MS;
        for (const step of waiting) {
            waiting.delete(step);
            if (step()) {
                waiting.add(step);
            }
            if (time.now() >= until) {
                break;
            }
        }
        isRunning = false;
        if (waiting.size > 0 && !isContinuing) {
            isContinuing = true;
            setImmediate(() => {
                isContinuing = false;
                run();
            });
        }
    };
    return {
        schedule: step => {
            waiting.add(step);
            if (!isRunning && !isContinuing) {
                run();
            }
        },
    };
}

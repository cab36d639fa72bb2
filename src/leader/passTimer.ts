/**
 * Schedules the passes of the scheduler: batches events, and spaces passes so that answers are processed in between.
 */
import type * as clock from "../clock/index";

/** Schedules passes. */
export interface PassTimer {
    /** Schedules a pass after this delay, or later if the last pass took long. An earlier pass that is due stands. */
    schedulePass(minDelayMs: number): void;
    /** Records the duration of the last pass. */
    recordDuration(ms: number): void;
}

/**
 * Minimum gap between passes, as a multiple of the last pass's duration, so that most of the processor is left for
 * answers: at 4,800 workers a pass takes 3 ms, and after a takeover the first answer of each worker requests one.
 */
const PASS_SPACING = 4;
/** Maximum gap: a pause of the process may have made the last pass long, which does not predict the next one. */
const MAX_SPACING_MS = 100;

export function createPassTimer(time: clock.Clock, runPass: () => void): PassTimer {
    let passMs = 0;
    let nextPassAt = Infinity;
    return {
        schedulePass: minDelayMs => {
            const delayMs = Math.max(minDelayMs, Math.min(MAX_SPACING_MS, PASS_SPACING * passMs));
            const at = time.now() + delayMs;
            if (nextPassAt <= at) {
                return;
            }
            nextPassAt = at;
            time.setTimer(delayMs, () => {
                // A later call may have scheduled an earlier pass.
                if (nextPassAt === at) {
                    nextPassAt = Infinity;
                    runPass();
                }
            });
        },
        recordDuration: ms => {
            passMs = ms;
        },
    };
}

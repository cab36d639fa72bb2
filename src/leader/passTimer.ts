/** When the next pass of the decisions is made: events of one moment are decided together, and passes leave room for answers. */
import type * as clock from "../clock/index";

export interface PassTimer {
    /** Has a pass made after so long at the latest, or after what the latest one took asks for. */
    schedulePass(leastMs: number): void;
    /** What the latest pass took. */
    recordDuration(ms: number): void;
}

/**
 * At 4,800 workers a pass takes 3 ms, and each worker that is heard of after a takeover asks for one. This
 * many times its duration pass until the next, so that passes leave most of the processor to answers.
 */
const PASS_SPACING = 4;
/** A pass may have taken long for a pause of the process, which says nothing of the next one. */
const MOST_SPACING_MS = 100;

export function createPassTimer(time: clock.Clock, runPass: () => void): PassTimer {
    let passMs = 0;
    let nextPassAt = Infinity;
    return {
        schedulePass: leastMs => {
            const delayMs = Math.max(leastMs, Math.min(MOST_SPACING_MS, PASS_SPACING * passMs));
            const at = time.now() + delayMs;
            if (nextPassAt <= at) {
                return;
            }
            nextPassAt = at;
            time.setTimer(delayMs, () => {
                // A later call may have planned an earlier pass.
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

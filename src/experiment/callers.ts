/** Simulated callers: each submits its job to an instance of its zone, and retries for a while if it is refused. */
import type * as clocks from "../clock/index";
import type * as emulator from "../emulator/index";
import type * as generate from "./generate";
import type * as jobTracker from "./jobTracker";
import type * as loads from "./load";

/** The simulation that a caller takes part in. */
export interface CallerContext {
    readonly site: emulator.Site;
    readonly load: loads.Load;
    readonly tracker: jobTracker.JobTracker;
    readonly time: clocks.ManualClock;
}

/** Retries of a refused caller; it gives up earlier if a retry would start after the timeout. */
const MAX_RETRIES = 4;
const INITIAL_BACKOFF_MS = 500;
const BACKOFF_INCREMENT_MS = 150;
const RETRY_TIMEOUT_MS = 3_000;

/** Submits the job and, if its caller cancels it, schedules the cancellation. The tracker records the outcome. */
export function submitJob(planned: generate.PlannedJob, context: CallerContext): void {
    const { site, load, tracker, time } = context;
    const { job } = planned;
    const startedAt = time.now();
    const send = (retries: number) => {
        const instance = chooseInstance(planned.zone + retries * load.zones, context);
        void site.submit(job, instance).then(reply => {
            if (reply.kind === "accepted") {
                tracker.recordAcceptance(job.jobId);
                if (planned.cancelAfterMs !== undefined) {
                    time.setTimer(planned.cancelAfterMs, () => void site.cancel(job.jobId, instance));
                }
                return;
            }
            const backoffMs = INITIAL_BACKOFF_MS + retries * BACKOFF_INCREMENT_MS;
            if (retries < MAX_RETRIES && time.now() + backoffMs - startedAt < RETRY_TIMEOUT_MS) {
                time.setTimer(backoffMs, () => send(retries + 1));
                return;
            }
            tracker.recordGiveUp(job.jobId);
        });
    };
    send(0);
}

/** Chooses as a load balancer does: the preferred instance, or the next one that is alive. */
function chooseInstance(preferred: number, { site, load }: CallerContext): number {
    const candidates = Array.from({ length: load.instances }, (_, offset) => (preferred + offset) % load.instances);
    return candidates.find(site.isAlive) ?? candidates[0]!;
}

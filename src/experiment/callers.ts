/** Callers: each hands its job in at an instance of its zone, and comes back a while when it is refused. */
import type * as clocks from "../clock/index";
import type * as emulator from "../emulator/index";
import type * as generate from "./generate";
import type * as jobRecord from "./jobTracker";
import type * as loads from "./load";

export interface CallerContext {
    readonly site: emulator.Site;
    readonly load: loads.Load;
    readonly record: jobRecord.JobTracker;
    readonly time: clocks.ManualClock;
}

/** A caller that is refused comes back this often, each time after a pause, as long as it has patience. */
const MOST_TRIES = 4;
const LEAST_PAUSE_MS = 500;
const MORE_PAUSE_MS = 150;
const PATIENCE_MS = 3_000;

export function submitJob(planned: generate.PlannedJob, playing: CallerContext): void {
    const { site, load, record, time } = playing;
    const { job } = planned;
    const startedAt = time.now();
    const send = (tries: number) => {
        const instance = chooseInstance(planned.zone + tries * load.zones, playing);
        void site.submit(job, instance).then(reply => {
            if (reply.kind === "accepted") {
                record.recordAcceptance(job.jobId);
                if (planned.cancelAfterMs !== undefined) {
                    time.setTimer(planned.cancelAfterMs, () => void site.cancel(job.jobId, instance));
                }
                return;
            }
            const pauseMs = LEAST_PAUSE_MS + tries * MORE_PAUSE_MS;
            if (tries < MOST_TRIES && time.now() + pauseMs - startedAt < PATIENCE_MS) {
                time.setTimer(pauseMs, () => send(tries + 1));
                return;
            }
            record.recordGiveUp(job.jobId);
        });
    };
    send(0);
}

/** The balancer's choice: the instance of that number, or the next one that is there. */
function chooseInstance(wanted: number, { site, load }: CallerContext): number {
    const candidates = Array.from({ length: load.instances }, (_, next) => (wanted + next) % load.instances);
    return candidates.find(site.isAlive) ?? candidates[0]!;
}

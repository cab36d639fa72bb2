/** When running tasks are expected to end, from their progress and the estimates of their queues. */
import type * as decisions from "../decisions/index";
import type * as entries from "./entries";
import type * as units from "./units";

/** Duration of a task away from its data relative to the expected one. */
const REMOTE_FACTOR = 3;
/** Least time until a task ends that has run for longer than expected. */
const MIN_REMAINING_MS = 100;

/** Expected ends of the tasks on workers, for one pass. */
export interface ExpectedEnds {
    /** Tasks that are being stopped are left out: their resources count as being released. */
    list(worker: entries.WorkerEntry): decisions.ExpectedEnd[];
}

/** Creates the expected ends as of `now`. */
export function createExpectedEnds(now: number, estimateRunMs: units.RunTimeEstimator): ExpectedEnds {
    const endsByGang = new Map<entries.StepEntry, number>();
    const estimateTaskEnd = (task: entries.TaskEntry) => {
        const { sampledAt, sampledPercent, recentRate } = task.speed;
        if (task.phase !== "running") {
            return task.worker ? now + estimateRunMs(task.step) * getRemoteFactor(task) : now;
        }
        if (sampledAt !== undefined && recentRate !== undefined && recentRate > 0) {
            return sampledAt + (100 - sampledPercent) / recentRate;
        }
        return task.runningSince + estimateRunMs(task.step) * getRemoteFactor(task);
    };
    const estimateEnd = (task: entries.TaskEntry) => {
        const { step } = task;
        if (step.spec.lasting) {
            return Infinity;
        }
        if (!step.spec.gang) {
            return Math.max(estimateTaskEnd(task), now + MIN_REMAINING_MS);
        }
        // The members of a gang end together.
        let endsAt = endsByGang.get(step);
        if (endsAt === undefined) {
            endsAt = Math.max(now + MIN_REMAINING_MS, ...step.tasks.map(estimateTaskEnd));
            endsByGang.set(step, endsAt);
        }
        return endsAt;
    };
    return {
        list: worker =>
            [...worker.tasks].filter(task => task.phase !== "stopping" && task.phase !== "done")
                .map(task => ({ needs: task.step.needs, endsAt: estimateEnd(task) })),
    };
}

function getRemoteFactor({ step, worker }: entries.TaskEntry): number {
    const { dataRack } = step.spec;
    return dataRack !== undefined && worker?.info.rack !== dataRack ? REMOTE_FACTOR : 1;
}

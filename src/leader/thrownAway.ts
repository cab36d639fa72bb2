/**
 * Totals of the work of a term that was neither completed nor saved, by cause.
 *
 * A leader under load drops most log lines on single runs, just when most work is lost, so the causes could not be
 * derived from these lines. The totals are a few numbers however many runs end.
 */
import * as decisions from "../decisions/index";
import * as entries from "./entries";

/** Totals of thrown-away work, in core-seconds. */
export interface ThrownAwayWork {
    /**
     * Adds a run that ended without success; `cause` is why it was stopped, or how it ended, and `endedAt` is the latest
     * time at which it can have run. Returns core-seconds.
     */
    addRun(task: entries.TaskEntry, cause: string, endedAt: number): number;
    /** Adds what the members of a gang held while they waited for the last one to start. Returns core-seconds. */
    addGangWait(step: entries.StepEntry): number;
    /** Core-seconds by cause since the start of the term. */
    getTotals(): Readonly<Record<string, number>>;
}

/** Cause under which the waits of gang members are counted. */
export const GANG_WAIT_CAUSE = "gangWait";

export function createThrownAwayWork(): ThrownAwayWork {
    const totals = new Map<string, number>();
    const add = (cause: string, coreSeconds: number) => {
        totals.set(cause, (totals.get(cause) ?? 0) + coreSeconds);
        return coreSeconds;
    };
    return {
        addRun: (task, cause, endedAt) => add(cause, getUnsavedCoreSeconds(task, endedAt)),
        addGangWait: step => add(GANG_WAIT_CAUSE, getWaitCoreSeconds(step)),
        getTotals: () => Object.fromEntries([...totals].map(([cause, total]) => [cause, Math.round(total)])),
    };
}

/** Returns the reason without the unit that the run was stopped for, which differs between runs. */
export function getCause(reason: string): string {
    return reason.replace(/ for .*/, "");
}

/** Maximum time from a stop order to the end of the run. */
const MAX_STOP_MS = 400;

/**
 * Returns the latest time at which a run can have ended whose end is read at `now`. A leader that stops hundreds of runs
 * at once reads the ends seconds later, and until then would count work that was not done.
 */
export function getStoppedAt({ stopSentAt }: entries.TaskEntry, now: number): number {
    return stopSentAt === undefined ? now : Math.min(now, stopSentAt + MAX_STOP_MS);
}

/**
 * Returns the latest time at which a run can have ended that is lost with its worker. The loss is certain only when the
 * leases have expired, seconds after the worker has left. The end of a worker that has restarted, or has announced that
 * it leaves, is known better; any other may run on without a connection until its lease expires.
 */
export function getLostAt(worker: entries.WorkerEntry, hasRestarted: boolean, now: number): number {
    const { disconnectedAt, drainingSince, lastAnswerAt = 0, info } = worker;
    if (drainingSince === undefined) {
        return hasRestarted ? disconnectedAt ?? now : now;
    }
    const leftAt = Math.max(lastAnswerAt, drainingSince + info.remainingMs);
    return Math.min(now, disconnectedAt ?? leftAt);
}

function getUnsavedCoreSeconds(task: entries.TaskEntry, endedAt: number): number {
    const since = Math.max(entries.getStartedAt(task), task.savedAt);
    return decisions.getCoreEquivalents(task.step.spec.needs) * Math.max(0, endedAt - since) / 1_000;
}

function getWaitCoreSeconds({ spec, tasks }: entries.StepEntry): number {
    const begunAt = Math.max(...tasks.map(entries.getStartedAt));
    const waitedMs = tasks.reduce((sum, task) => sum + begunAt - entries.getStartedAt(task), 0);
    return decisions.getCoreEquivalents(spec.needs) * waitedMs / 1_000;
}

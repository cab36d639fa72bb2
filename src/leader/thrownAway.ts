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
    /** Adds a run that ended without success; `cause` is why it was stopped, or how it ended. Returns core-seconds. */
    addRun(task: entries.TaskEntry, cause: string, now: number): number;
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
        addRun: (task, cause, now) => add(cause, getUnsavedCoreSeconds(task, now)),
        addGangWait: step => add(GANG_WAIT_CAUSE, getWaitCoreSeconds(step)),
        getTotals: () => Object.fromEntries([...totals].map(([cause, total]) => [cause, Math.round(total)])),
    };
}

/** Returns the reason without the unit that the run was stopped for, which differs between runs. */
export function getCause(reason: string): string {
    return reason.replace(/ for .*/, "");
}

function getUnsavedCoreSeconds(task: entries.TaskEntry, now: number): number {
    const since = Math.max(entries.getStartedAt(task), task.savedAt);
    return decisions.getCoreEquivalents(task.step.spec.needs) * Math.max(0, now - since) / 1_000;
}

function getWaitCoreSeconds({ spec, tasks }: entries.StepEntry): number {
    const begunAt = Math.max(...tasks.map(entries.getStartedAt));
    const waitedMs = tasks.reduce((sum, task) => sum + begunAt - entries.getStartedAt(task), 0);
    return decisions.getCoreEquivalents(spec.needs) * waitedMs / 1_000;
}

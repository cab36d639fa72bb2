/**
 * Work that a term's workers did and that is neither done nor saved, by cause.
 *
 * What goes wrong without it: a leader under load drops most of the lines that tell of single runs, just when the most
 * work is lost, so that nobody can say what it was lost to. The totals are a few numbers however many runs end.
 */
import * as decisions from "../decisions/index";
import * as entries from "./entries";

export interface ThrownAwayWork {
    /** A run that was at work has ended otherwise than done; `cause` is what it was stopped for, or how it ended. */
    addRun(task: entries.TaskEntry, cause: string, now: number): number;
    /** A gang has ended: what its members held while they waited for the last one to start. */
    addGangWait(step: entries.StepEntry): number;
    /** Core-seconds by cause since the term began. */
    getTotals(): Readonly<Record<string, number>>;
}

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

/** A cause without what it was for: that differs from run to run. */
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

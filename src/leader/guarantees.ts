/** Which jobs lie within what their account is guaranteed. */
import type * as catalog from "../catalog/index";
import type * as entries from "./entries";

/**
 * An account's jobs of priority 0, oldest first, as long as their first steps together need no more accelerators than
 * it is guaranteed. Jobs that have not ended count whether they run or wait.
 */
export function findGuaranteedJobs(
    active: Iterable<entries.JobEntry>,
    getAccount: (name: string) => catalog.Account | undefined,
): ReadonlySet<entries.JobEntry> {
    const usedByAccount = new Map<string, number>();
    const guaranteed = new Set<entries.JobEntry>();
    for (const job of active) {
        if (job.queue.priority !== 0) {
            continue;
        }
        const { account } = job.submission;
        const used = (usedByAccount.get(account) ?? 0) + getMostAccelerators(job);
        usedByAccount.set(account, used);
        if (used <= (getAccount(account)?.guaranteedAccelerators ?? 0)) {
            guaranteed.add(job);
        }
    }
    return guaranteed;
}

function getMostAccelerators(job: entries.JobEntry): number {
    return job.submission.spec.steps.reduce(
        (most, step) => Math.max(most, step.count * step.needs.accelerators),
        0,
    );
}

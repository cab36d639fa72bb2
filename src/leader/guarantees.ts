/** Selects the jobs that are covered by the guarantee of their account. */
import type * as catalog from "../catalog/index";
import type * as entries from "./entries";

/**
 * Returns each account's jobs of priority 0, in the order given (oldest first), while the sum of their needs stays
 * within the guaranteed accelerators. A job needs as many accelerators as its largest step. All jobs that have not
 * ended count, whether they run or wait.
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
        const used = (usedByAccount.get(account) ?? 0) + getMaxAccelerators(job);
        usedByAccount.set(account, used);
        if (used <= (getAccount(account)?.guaranteedAccelerators ?? 0)) {
            guaranteed.add(job);
        }
    }
    return guaranteed;
}

/**
 * Returns the accounts whose jobs of priority 0 that have not started need more than the guaranteed accelerators, those
 * furthest beyond first. Running jobs do not count, since they may end before an instance decides by the result.
 */
export function findAccountsBeyondGuarantee(
    active: Iterable<entries.JobEntry>,
    getAccount: (name: string) => catalog.Account | undefined,
): ReadonlySet<string> {
    const neededByAccount = new Map<string, number>();
    for (const job of active) {
        if (job.queue.priority === 0 && job.state === "queued") {
            const { account } = job.submission;
            neededByAccount.set(account, (neededByAccount.get(account) ?? 0) + getMaxAccelerators(job));
        }
    }
    const beyond = [...neededByAccount]
        .map(([account, needed]) => ({ account, by: needed - (getAccount(account)?.guaranteedAccelerators ?? 0) }))
        .filter(({ by }) => by > 0)
        .sort((a, b) => b.by - a.by);
    return new Set(beyond.map(({ account }) => account));
}

function getMaxAccelerators(job: entries.JobEntry): number {
    return job.submission.spec.steps.reduce(
        (max, step) => Math.max(max, step.count * step.needs.accelerators),
        0,
    );
}

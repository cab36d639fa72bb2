/** Calls that wait for the end of a job. */
import type * as clock from "../clock/index";

/** Waits for the ends of jobs. */
export interface EndWaiters {
    /** Resolves all waits for the job with "ended". */
    announce(jobId: string): void;
    /** Resolves with "ended" when the end is announced, or after `waitMs` milliseconds with the job's state. */
    wait(jobId: string, waitMs: number, getState: (jobId: string) => string): Promise<string>;
}

export function createEndWaiters(time: clock.Clock): EndWaiters {
    const resolversByJob = new Map<string, Set<(state: string) => void>>();
    return {
        announce: jobId => {
            for (const resolve of resolversByJob.get(jobId) ?? []) {
                resolve("ended");
            }
            resolversByJob.delete(jobId);
        },
        wait: (jobId, waitMs, getState) =>
            new Promise(resolve => {
                const resolvers = resolversByJob.get(jobId) ?? new Set();
                resolversByJob.set(jobId, resolvers);
                const finish = (state: string) => {
                    cancelTimer();
                    resolvers.delete(finish);
                    resolve(state);
                };
                const cancelTimer = time.setTimer(waitMs, () => finish(getState(jobId)));
                resolvers.add(finish);
            }),
    };
}

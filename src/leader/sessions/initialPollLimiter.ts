/**
 * Limits the concurrency of a new leader's first polls and orders them by priority.
 *
 * Polling thousands of workers at once takes a slow machine seconds, in which it renews no lease and answers time out.
 * On a large site leaders would then replace each other, or start nothing for seconds after a takeover. So only a few
 * polls are in flight: first of workers that may have tasks, last of those that have not answered before. The lease is
 * renewed between them.
 */
import type * as clock from "../../clock/index";

/** Grants slots for first polls. */
export interface InitialPollLimiter {
    /** Resolves when the poll may be sent; the returned function must be called once it was answered or has failed. */
    acquire(priority: PollPriority): Promise<() => void>;
}

/** Priorities of first polls; the lowest value goes first. */
export const PollPriority = { Busy: 0, Idle: 1, Retry: 2 } as const;
export type PollPriority = typeof PollPriority[keyof typeof PollPriority];

/** A poll takes about a millisecond of processing and one of transit, so this many keep both ends busy. */
const MAX_IN_FLIGHT = 32;
/** An unreachable worker holds its slot no longer than this; a reachable one answers within about 10 ms. */
const MAX_SLOT_MS = 100;

/** Creates a limiter that admits `maxInFlight` polls at a time. */
export function createInitialPollLimiter(time: clock.Clock, maxInFlight = MAX_IN_FLIGHT): InitialPollLimiter {
    const waiting: ReadonlyArray<Array<() => void>> = [[], [], []];
    let inFlight = 0;
    let isAdmissionPending = false;

    const admit = () => {
        isAdmissionPending = false;
        while (inFlight < maxInFlight) {
            const next = waiting.find(queue => queue.length > 0)?.shift();
            if (!next) {
                return;
            }
            inFlight++;
            next();
        }
    };
    /** Admits in a later task, so that polls requested in the same task are sorted by priority first. */
    const admitSoon = () => {
        if (!isAdmissionPending) {
            isAdmissionPending = true;
            time.setTimer(0, admit);
        }
    };
    const occupySlot = () => {
        let isReleased = false;
        const release = () => {
            if (!isReleased) {
                isReleased = true;
                cancel();
                inFlight--;
                admitSoon();
            }
        };
        const cancel = time.setTimer(MAX_SLOT_MS, release);
        return release;
    };
    return {
        acquire: priority =>
            new Promise(resolve => {
                waiting[priority]!.push(() => resolve(occupySlot()));
                admitSoon();
            }),
    };
}

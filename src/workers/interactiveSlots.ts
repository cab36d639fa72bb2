/** The slots for interactive requests on the workers of a rack, and the line of requests that wait for one. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as placement from "../placement/index";
import * as result from "../result/index";
import type * as health from "./health";
import * as interactiveOutcome from "./interactiveOutcome";
import type * as rackBooks from "./rackBooks";
import type * as workerSession from "./workerSession";

export interface InteractiveSlotsOptions {
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly books: rackBooks.RackBooks;
    readonly health: health.WorkerHealth;
    readonly sessions: ReadonlyMap<string, workerSession.WorkerSession>;
    readonly isDrained: (workerId: string) => boolean;
    readonly getQueueLimit: () => number;
}

/** A worker on which the request is counted; `free` gives it back. */
export interface Slot {
    readonly session: workerSession.WorkerSession;
    readonly free: () => void;
}

export interface InteractiveSlots {
    /** A slot now, or the first that becomes free before the deadline; `undefined` when the line is full or time is up. */
    waitForSlot(
        needs: placement.Needs,
        excluded: ReadonlySet<string>,
        preferred: string | undefined,
        deadline: number,
    ): Promise<Slot | undefined>;
    /** Why a request got no slot. */
    shed(deadline: number): interactiveOutcome.RunOutcome;
    getWaiting(): number;
    isClosed(): boolean;
    /** Something was freed: let waiting requests try again. */
    wake(): void;
    close(): void;
}

interface Waiter {
    readonly needs: placement.Needs;
    readonly excluded: ReadonlySet<string>;
    readonly preferred: string | undefined;
    readonly resolve: (slot: Slot | undefined) => void;
    done: boolean;
}

/** After a refusal for want of a slot: most requests hold theirs for less. */
const RETRY_AFTER_MS = 500;

export function createInteractiveSlots(options: InteractiveSlotsOptions): InteractiveSlots {
    const { clock: time, counters, books, sessions } = options;
    const waiters: Waiter[] = [];
    let closed = false;

    const isCandidate = (session: workerSession.WorkerSession, needs: placement.Needs, excluded: ReadonlySet<string>) =>
        session.isReady()
        && !excluded.has(session.workerId)
        && !options.isDrained(session.workerId)
        && options.health.isUsable(session.workerId)
        && placement.fitsWithin(needs, books.getFree(session));

    const pickSession = (needs: placement.Needs, excluded: ReadonlySet<string>, preferred: string | undefined) => {
        let best: workerSession.WorkerSession | undefined;
        let bestLoad = Infinity;
        for (const session of sessions.values()) {
            if (!isCandidate(session, needs, excluded)) {
                continue;
            }
            const load = session.workerId === preferred ? -1 : books.getInteractive(session.workerId);
            if (load < bestLoad) {
                best = session;
                bestLoad = load;
            }
        }
        return best;
    };

    const takeSlot = (session: workerSession.WorkerSession, needs: placement.Needs): Slot => {
        const undo = books.registerInteractive(session.workerId, needs);
        return {
            session,
            free: () => {
                undo();
                wake();
            },
        };
    };

    const wake = () => {
        for (const waiter of [...waiters]) {
            const session = pickSession(waiter.needs, waiter.excluded, waiter.preferred);
            if (session) {
                waiters.splice(waiters.indexOf(waiter), 1);
                waiter.done = true;
                waiter.resolve(takeSlot(session, waiter.needs));
            }
        }
    };

    const waitForSlot = (
        needs: placement.Needs,
        excluded: ReadonlySet<string>,
        preferred: string | undefined,
        deadline: number,
    ): Promise<Slot | undefined> => {
        if (closed) {
            return Promise.resolve(undefined);
        }
        const session = pickSession(needs, excluded, preferred);
        if (session) {
            return Promise.resolve(takeSlot(session, needs));
        }
        if (waiters.length >= options.getQueueLimit()) {
            counters.increment("interactive.shed");
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const waiter: Waiter = { needs, excluded, preferred, resolve, done: false };
            waiters.push(waiter);
            time.setTimer(Math.max(0, deadline - time.now()), () => {
                if (!waiter.done) {
                    waiter.done = true;
                    waiters.splice(waiters.indexOf(waiter), 1);
                    resolve(undefined);
                }
            });
        });
    };

    const shed = (deadline: number): interactiveOutcome.RunOutcome => {
        if (closed) {
            return interactiveOutcome.refusal(result.ResultCode.NotOwner, "the rack has just been given up");
        }
        return time.now() >= deadline
            ? interactiveOutcome.refusal(
                result.ResultCode.DeadlineTooSoon,
                "no slot became free before the deadline",
                RETRY_AFTER_MS,
            )
            : interactiveOutcome.refusal(
                result.ResultCode.QueueFull,
                "the queue of interactive requests is full",
                RETRY_AFTER_MS,
            );
    };

    return {
        waitForSlot,
        shed,
        getWaiting: () => waiters.length,
        isClosed: () => closed,
        wake,
        close: () => {
            closed = true;
            for (const waiter of waiters.splice(0)) {
                waiter.done = true;
                waiter.resolve(undefined);
            }
        },
    };
}

/** Assigns the interactive slots of a rack's workers to requests and queues requests while no slot is free. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as placement from "../placement/index";
import * as result from "../result/index";
import type * as health from "./health";
import * as interactiveOutcome from "./interactiveOutcome";
import type * as rackAllocations from "./rackAllocations";
import type * as workerSession from "./workerSession";

/** Options of `createInteractiveSlots`. */
export interface InteractiveSlotsOptions {
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly allocations: rackAllocations.RackAllocations;
    readonly health: health.WorkerHealth;
    readonly sessions: ReadonlyMap<string, workerSession.WorkerSession>;
    readonly isDrained: (workerId: string) => boolean;
    /** Maximum number of waiting requests. */
    readonly getQueueLimit: () => number;
}

/** A worker with a slot and resources allocated to a request; `free` releases them. */
export interface Slot {
    readonly session: workerSession.WorkerSession;
    readonly free: () => void;
}

/** Slots of one rack and the requests that wait for them. */
export interface InteractiveSlots {
    /** Resolves to the first free slot, or to `undefined` if the queue is full or closed or the deadline passes. */
    waitForSlot(
        needs: placement.Needs,
        excluded: ReadonlySet<string>,
        preferred: string | undefined,
        deadline: number,
    ): Promise<Slot | undefined>;
    /** Creates the refusal of a request that got no slot. */
    createRefusal(deadline: number): interactiveOutcome.RunOutcome;
    /** Number of waiting requests. */
    getWaiting(): number;
    isClosed(): boolean;
    /** Assigns slots that became free to waiting requests. */
    wake(): void;
    /** Ends all waits without a slot and refuses new ones. */
    close(): void;
}

interface Waiter {
    readonly needs: placement.Needs;
    readonly excluded: ReadonlySet<string>;
    readonly preferred: string | undefined;
    readonly resolve: (slot: Slot | undefined) => void;
    done: boolean;
}

/** Retry delay sent to callers that got no slot; most requests occupy a slot for less time. */
const RETRY_AFTER_MS = 500;

/** Creates the slots of a rack; none is assigned. */
export function createInteractiveSlots(options: InteractiveSlotsOptions): InteractiveSlots {
    const { clock: time, counters, allocations, sessions } = options;
    const waiters: Waiter[] = [];
    let closed = false;

    const isCandidate = (session: workerSession.WorkerSession, needs: placement.Needs, excluded: ReadonlySet<string>) =>
        session.isReady()
        && !excluded.has(session.workerId)
        && !options.isDrained(session.workerId)
        && options.health.isUsable(session.workerId)
        && placement.fitsWithin(needs, allocations.getFree(session));

    const pickSession = (needs: placement.Needs, excluded: ReadonlySet<string>, preferred: string | undefined) => {
        let leastLoaded: workerSession.WorkerSession | undefined;
        let minLoad = Infinity;
        for (const session of sessions.values()) {
            if (!isCandidate(session, needs, excluded)) {
                continue;
            }
            const load = session.workerId === preferred ? -1 : allocations.getInteractiveCount(session.workerId);
            if (load < minLoad) {
                leastLoaded = session;
                minLoad = load;
            }
        }
        return leastLoaded;
    };

    const acquireSlot = (session: workerSession.WorkerSession, needs: placement.Needs): Slot => {
        const unregister = allocations.registerInteractive(session.workerId, needs);
        return {
            session,
            free: () => {
                unregister();
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
                waiter.resolve(acquireSlot(session, waiter.needs));
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
            return Promise.resolve(acquireSlot(session, needs));
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

    const createRefusal = (deadline: number): interactiveOutcome.RunOutcome => {
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
        createRefusal,
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

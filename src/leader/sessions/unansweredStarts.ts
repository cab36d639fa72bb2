/**
 * Start orders that may still be carried out, because they are in flight or got no answer.
 *
 * A stop makes a worker refuse the delayed order, but only in its present incarnation: calls name the worker, and its
 * next incarnation knows nothing of the stop. So the orders are kept by the name of the worker, apart from its entry and
 * from the task, both of which may be gone while the order is still under way.
 */
import type * as clock from "../../clock/index";

/** A run whose start order may still be carried out. */
export interface UnansweredStart {
    readonly task: string;
    readonly run: number;
}

/** The orders of one term; those of earlier terms are refused for their lower fencing token. */
export interface UnansweredStarts {
    /**
     * Records an order before it is sent. The returned function is called once with whether it was answered, or is known
     * not to have been sent.
     */
    add(workerName: string, start: UnansweredStart): (isAnswered: boolean) => void;
    /** Whether an order to that worker may still be carried out. */
    hasAny(workerName: string): boolean;
    /** Whether an order to that worker to start that run may still be carried out. */
    has(workerName: string, start: UnansweredStart): boolean;
    /** Returns the highest such run of each task; a worker that refuses it refuses the lower ones, too. */
    list(workerName: string): readonly UnansweredStart[];
    /** Number of orders, at all workers. */
    count(): number;
}

/**
 * How long after its timeout an order may be carried out. The protocol speaks of seconds; delays of up to 12 s are
 * stated for the platform's disruptions.
 */
const MAX_DELAY_MS = 60_000;

interface Order {
    readonly workerName: string;
    readonly start: UnansweredStart;
    /** `Infinity` while the order is in flight. */
    expiresAt: number;
}

/** Creates an empty record. */
export function createUnansweredStarts(time: Pick<clock.Clock, "now">): UnansweredStarts {
    const byWorker = new Map<string, Set<Order>>();
    /** Orders that timed out, in the order of their expiry. */
    const timedOut = new Set<Order>();

    const remove = (order: Order) => {
        timedOut.delete(order);
        const orders = byWorker.get(order.workerName);
        orders?.delete(order);
        if (orders?.size === 0) {
            byWorker.delete(order.workerName);
        }
    };
    const removeExpired = () => {
        const now = time.now();
        for (const order of timedOut) {
            if (order.expiresAt > now) {
                return;
            }
            remove(order);
        }
    };
    const getOrders = (workerName: string) => {
        removeExpired();
        return [...byWorker.get(workerName) ?? []];
    };

    return {
        add: (workerName, start) => {
            removeExpired();
            const order = { workerName, start, expiresAt: Infinity };
            byWorker.set(workerName, (byWorker.get(workerName) ?? new Set()).add(order));
            return isAnswered => {
                if (isAnswered) {
                    remove(order);
                    return;
                }
                order.expiresAt = time.now() + MAX_DELAY_MS;
                timedOut.add(order);
            };
        },
        hasAny: workerName => getOrders(workerName).length > 0,
        has: (workerName, { task, run }) =>
            getOrders(workerName).some(({ start }) => start.task === task && start.run === run),
        list: workerName => {
            const highest = new Map<string, UnansweredStart>();
            for (const { start } of getOrders(workerName)) {
                const known = highest.get(start.task);
                if (!known || known.run < start.run) {
                    highest.set(start.task, start);
                }
            }
            return [...highest.values()];
        },
        count: () => {
            removeExpired();
            return [...byWorker.values()].reduce((sum, orders) => sum + orders.size, 0);
        },
    };
}

/**
 * Protects the shared table service with a prioritized rate limit and a circuit breaker.
 *
 * The service accepts several hundred writes per second from all instances together. Without protection, retry loops
 * add calls during an outage and overload the service when it returns, so that it fails again; the counter
 * `table.unavailable` then keeps rising after the service is back. The breaker sends one probe at a time while the
 * service is down. The rate limit applies when it is back, and sends writes of outcomes before writes of progress.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as retryPolicy from "./retryPolicy";
import type * as tableService from "./tableService";

/** Order of calls that wait for the rate limit; lower values go first. */
export const Priority = { Outcome: 0, Submit: 1, Progress: 2, Poll: 3 } as const;
export type Priority = typeof Priority[keyof typeof Priority];

/** The table service behind the rate limit and the breaker. */
export interface GuardedTable {
    get(priority: Priority, keys: readonly string[]): ReturnType<tableService.TableService["get"]>;
    scan(
        priority: Priority,
        prefix: string,
        after: string,
        limit: number,
    ): ReturnType<tableService.TableService["scan"]>;
    transact(priority: Priority, writes: readonly tableService.TableWrite[]): Promise<tableService.TransactResult>;
    /** Whether calls are sent; false while the breaker is open. */
    isAvailable(): boolean;
}

export interface GuardedTableOptions {
    readonly table: tableService.TableService;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly retry: retryPolicy.RetryPolicy;
    /** Rows written per second. */
    readonly writesPerSecond: number;
    /** Keys read per second; a scan counts as one key. */
    readonly readsPerSecond: number;
    /** Consecutive failures that open the breaker. */
    readonly maxConsecutiveFailures: number;
    /** Maximum time a call waits for the rate limit; after that it fails without being sent. */
    readonly maxWaitMs: number;
}

interface CallFailure {
    readonly kind: "unavailable";
    readonly message: string;
}

/** Wraps a table service. Calls that are not sent resolve to `unavailable`. */
export function createGuardedTable(options: GuardedTableOptions): GuardedTable {
    const { table, counters } = options;
    const breaker = createBreaker(options);
    const writes = createRateLimiter(options.clock, options.writesPerSecond, options.maxWaitMs);
    const reads = createRateLimiter(options.clock, options.readsPerSecond, options.maxWaitMs);

    const call = async <T extends { readonly kind: string; }>(
        limiter: RateLimiter,
        priority: Priority,
        cost: number,
        send: () => Promise<T>,
    ): Promise<T | CallFailure> => {
        if (!breaker.tryAcquire()) {
            return { kind: "unavailable", message: "the table service is down (breaker open)" };
        }
        if (!await limiter.acquire(priority, cost)) {
            breaker.reportSkipped();
            counters.increment("table.overBudget");
            return {
                kind: "unavailable",
                message: "the budget of calls to the table service is used up",
            };
        }
        const result = await send();
        const failed = result.kind === "unavailable" || result.kind === "unknown";
        breaker.report(!failed);
        counters.increment(failed ? `table.${result.kind}` : "table.answered");
        return result;
    };

    return {
        get: (priority, keys) => call(reads, priority, keys.length, () => table.get(keys)),
        scan: (priority, prefix, after, limit) => call(reads, priority, 1, () => table.scan(prefix, after, limit)),
        transact: (priority, rows) => {
            counters.increment("table.rowsWritten", rows.length);
            return call(writes, priority, rows.length, () => table.transact(rows));
        },
        isAvailable: breaker.isClosed,
    };
}

interface Breaker {
    /** Whether a call may be sent now. While the breaker is open, one probe at a time may be sent after the backoff. */
    tryAcquire(): boolean;
    /** Records the result of a call. */
    report(succeeded: boolean): void;
    /** Records that a permitted call was not sent. */
    reportSkipped(): void;
    /** Whether calls are sent without restriction. */
    isClosed(): boolean;
}

function createBreaker(options: GuardedTableOptions): Breaker {
    const { clock, retry, maxConsecutiveFailures: breakerFailures, counters } = options;
    let consecutiveFailures = 0;
    let nextProbeAt = 0;
    let probing = false;
    const isClosed = () => consecutiveFailures < breakerFailures;
    return {
        isClosed,
        tryAcquire: () => {
            if (isClosed()) {
                return true;
            }
            if (probing || clock.now() < nextProbeAt) {
                return false;
            }
            probing = true;
            return true;
        },
        reportSkipped: () => {
            probing = false;
        },
        report: succeeded => {
            probing = false;
            if (succeeded) {
                consecutiveFailures = 0;
                return;
            }
            consecutiveFailures++;
            if (consecutiveFailures === breakerFailures) {
                counters.increment("table.breakerOpened");
            }
            nextProbeAt = clock.now() + retry.getDelay(Math.max(1, consecutiveFailures - breakerFailures + 1));
        },
    };
}

interface RateLimiter {
    /** Takes `cost` tokens. Resolves to false when they were not available within the maximum wait. */
    acquire(priority: Priority, cost: number): Promise<boolean>;
}

interface Waiter {
    readonly cost: number;
    readonly resolve: (granted: boolean) => void;
    readonly giveUpAt: number;
}

/** A token bucket that holds the tokens of one second, with one queue per priority. */
function createRateLimiter(time: clock.Clock, perSecond: number, maxWaitMs: number): RateLimiter {
    const queues: Waiter[][] = Object.values(Priority).map(() => []);
    let tokens = perSecond;
    let refilledAt = time.now();
    let isTimerSet = false;

    const refill = () => {
        const now = time.now();
        tokens = Math.min(perSecond, tokens + (now - refilledAt) * perSecond / 1000);
        refilledAt = now;
    };

    const drainQueues = () => {
        isTimerSet = false;
        refill();
        for (const queue of queues) {
            while (queue.length > 0) {
                const waiter = queue[0]!;
                const expired = time.now() >= waiter.giveUpAt;
                if (!expired && tokens < Math.min(waiter.cost, perSecond)) {
                    return scheduleNext();
                }
                queue.shift();
                tokens -= expired ? 0 : waiter.cost;
                waiter.resolve(!expired);
            }
        }
    };

    const scheduleNext = () => {
        if (!isTimerSet) {
            isTimerSet = true;
            time.setTimer(10, drainQueues);
        }
    };

    return {
        acquire: (priority, cost) => {
            refill();
            const noneAhead = queues.every((queue, index) => index > priority || queue.length === 0);
            if (noneAhead && tokens >= Math.min(cost, perSecond)) {
                tokens -= cost;
                return Promise.resolve(true);
            }
            return new Promise<boolean>(resolve => {
                queues[priority]!.push({ cost, resolve, giveUpAt: time.now() + maxWaitMs });
                scheduleNext();
            });
        },
    };
}

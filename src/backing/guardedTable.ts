/**
 * Guards the shared table service: a rate budget with priorities, and a circuit breaker.
 *
 * What goes wrong without it: the service takes several hundred writes a second for everybody. During an outage every
 * loop that retries adds calls, and when the service returns it is overrun and fails again. One notices it by the
 * counter `table.unavailable` that does not fall after the service is back. The breaker lets one probe through at a
 * time while the service is down, and the budget bounds the rate when it is back, with outcomes ahead of progress.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as retryPolicy from "./retryPolicy";
import type * as tableService from "./tableService";

/** Which calls go first when the budget is short; lower goes first. */
export const Priority = { Outcome: 0, Submit: 1, Progress: 2, Poll: 3 } as const;
export type Priority = typeof Priority[keyof typeof Priority];

export interface GuardedTable {
    get(priority: Priority, keys: readonly string[]): ReturnType<tableService.TableService["get"]>;
    scan(
        priority: Priority,
        prefix: string,
        after: string,
        limit: number,
    ): ReturnType<tableService.TableService["scan"]>;
    transact(priority: Priority, writes: readonly tableService.TableWrite[]): Promise<tableService.TransactResult>;
    /** Whether calls are let through; false while the breaker is open. */
    isAvailable(): boolean;
}

export interface GuardedTableOptions {
    readonly table: tableService.TableService;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly retry: retryPolicy.RetryPolicy;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    /** Failures in a row that open the breaker. */
    readonly breakerFailures: number;
    /** A call that waited longer than this for the budget is given up unsent. */
    readonly maxWaitMs: number;
}

interface Failed {
    readonly kind: "unavailable";
    readonly message: string;
}

export function createGuardedTable(options: GuardedTableOptions): GuardedTable {
    const { table, counters } = options;
    const breaker = createBreaker(options);
    const writes = createBudget(options.clock, options.writesPerSecond, options.maxWaitMs);
    const reads = createBudget(options.clock, options.readsPerSecond, options.maxWaitMs);

    const call = async <T extends { readonly kind: string; }>(
        budget: Budget,
        priority: Priority,
        cost: number,
        send: () => Promise<T>,
    ): Promise<T | Failed> => {
        if (!breaker.tryPass()) {
            return { kind: "unavailable", message: "the table service is down (breaker open)" };
        }
        if (!await budget.take(priority, cost)) {
            breaker.reportSkipped();
            counters.increment("table.overBudget");
            return { kind: "unavailable", message: "the budget of calls to the table service is used up" };
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
    /** Whether a call may be sent now. While open, only one probe at a time, and only after the backoff. */
    tryPass(): boolean;
    report(succeeded: boolean): void;
    /** The call that passed was not sent after all. */
    reportSkipped(): void;
    isClosed(): boolean;
}

function createBreaker(options: GuardedTableOptions): Breaker {
    const { clock, retry, breakerFailures, counters } = options;
    let failuresInRow = 0;
    let nextProbeAt = 0;
    let probing = false;
    const isClosed = () => failuresInRow < breakerFailures;
    return {
        isClosed,
        tryPass: () => {
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
                failuresInRow = 0;
                return;
            }
            failuresInRow++;
            if (failuresInRow === breakerFailures) {
                counters.increment("table.breakerOpened");
            }
            nextProbeAt = clock.now() + retry.getDelay(Math.max(1, failuresInRow - breakerFailures + 1));
        },
    };
}

interface Budget {
    /** Resolves to whether the call may be sent. */
    take(priority: Priority, cost: number): Promise<boolean>;
}

interface Waiter {
    readonly cost: number;
    readonly resolve: (granted: boolean) => void;
    readonly giveUpAt: number;
}

/** A token bucket that holds one second's worth, with one queue for each priority. */
function createBudget(time: clock.Clock, perSecond: number, maxWaitMs: number): Budget {
    const queues: Waiter[][] = Object.values(Priority).map(() => []);
    let tokens = perSecond;
    let refilledAt = time.now();
    let timerSet = false;

    const refill = () => {
        const now = time.now();
        tokens = Math.min(perSecond, tokens + (now - refilledAt) * perSecond / 1000);
        refilledAt = now;
    };

    const serveQueues = () => {
        timerSet = false;
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
        if (!timerSet) {
            timerSet = true;
            time.setTimer(10, serveQueues);
        }
    };

    return {
        take: (priority, cost) => {
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

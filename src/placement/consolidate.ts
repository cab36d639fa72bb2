/**
 * Moves that make a broken worker whole: its few tasks fit on other broken workers. With checkpoints a move costs a task
 * some seconds, and gives large jobs a whole worker that would otherwise be broken until the longest task on it ends.
 */
import * as fleet from "./fleet";
import * as place from "./place";
import * as request from "./request";

export interface Move {
    readonly task: fleet.BookedTask;
    readonly from: fleet.WorkerBook;
    readonly to: fleet.WorkerBook;
}

export interface ConsolidateOptions {
    /** Tasks expected to end sooner than this are not worth a move. Milliseconds. */
    readonly minRemainingMs: number;
    readonly isMovable: (task: fleet.BookedTask) => boolean;
    readonly createRequest: (task: fleet.BookedTask) => request.PlaceRequest;
}

/** The moves that empty one worker, the one with the least on it; `undefined` when there is none. */
export function findConsolidation(books: fleet.Fleet, options: ConsolidateOptions, now: number): Move[] | undefined {
    for (let level = books.largestWorker - 1; level >= books.largestWorker / 2; level--) {
        for (const worker of books.getWorkersWithFree(level)) {
            const moves = worker.reservation ? undefined : emptyWorker(books, worker, options, now);
            if (moves) {
                return moves;
            }
        }
    }
    return undefined;
}

function emptyWorker(
    books: fleet.Fleet,
    worker: fleet.WorkerBook,
    options: ConsolidateOptions,
    now: number,
): Move[] | undefined {
    const tasks = [...worker.tasks.values()];
    const isWorthwhile = fleet.getFreeAt(worker, now) - now >= options.minRemainingMs;
    if (!isWorthwhile || !tasks.every(task => task.evictable && options.isMovable(task))) {
        return undefined;
    }
    const moves: Move[] = [];
    const used = new Set<fleet.WorkerBook>([worker]);
    for (const task of tasks) {
        const to = findTarget(books, task, used, options);
        if (!to) {
            return undefined;
        }
        // One task a target: the room left there after the first is not known to this search.
        used.add(to);
        moves.push({ task, from: worker, to });
    }
    return moves;
}

/** The fullest broken worker that has room. */
function findTarget(
    books: fleet.Fleet,
    task: fleet.BookedTask,
    used: ReadonlySet<fleet.WorkerBook>,
    options: ConsolidateOptions,
): fleet.WorkerBook | undefined {
    const req = options.createRequest(task);
    for (let level = task.needs.accelerators; level < books.largestWorker; level++) {
        for (const worker of books.getWorkersWithFree(level)) {
            const isBroken = worker.free.accelerators < worker.capacity.accelerators;
            if (
                isBroken && !used.has(worker) && !worker.reservation
                && place.isAllowed(worker, req, task.needs.accelerators)
            ) {
                return worker;
            }
        }
    }
    return undefined;
}

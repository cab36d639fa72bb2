/** Queue of start orders: bounds how many are in flight, in total and for each worker. */
import type * as entries from "../entries";

/** A task and the run for which its row is stored; the task may be placed again before the order is sent. */
export interface PlacedTask {
    readonly task: entries.TaskEntry;
    readonly run: number;
}

export interface StartQueue {
    /** Adds starts in the order in which they are to be sent; those of a worker at its limit let others pass. */
    add(placed: readonly PlacedTask[]): void;
}

/**
 * More concurrent starts would only wait for the leader's processor while their timeouts run: a leader with a third of
 * a core would stop healthy runs whose answers it has not read in time.
 */
const MAX_IN_FLIGHT = 32;
/**
 * The client keeps four connections to a worker, of which the poll holds one. More starts would wait for a connection
 * while their timeouts run, and those of a silent worker would hold up the starts on all others.
 */
const MAX_IN_FLIGHT_PER_WORKER = 3;

/** Starts on one worker. */
interface WorkerStarts {
    inFlight: number;
    /** Passed over since the worker was at its limit, in order. */
    readonly held: PlacedTask[];
}

/** Creates a queue that calls `send` for each start; its promise settles when the order has its outcome. */
export function createStartQueue(send: (placed: PlacedTask) => Promise<void>): StartQueue {
    const waiting: PlacedTask[] = [];
    const startsByWorker = new Map<entries.WorkerEntry, WorkerStarts>();
    let inFlight = 0;

    /** Takes the next start whose worker is below its limit. */
    const takeNext = (): PlacedTask | undefined => {
        for (;;) {
            const next = waiting.shift();
            const starts = next?.task.worker && startsByWorker.get(next.task.worker);
            if (!next || !starts || starts.inFlight < MAX_IN_FLIGHT_PER_WORKER) {
                return next;
            }
            starts.held.push(next);
        }
    };
    const count = (worker: entries.WorkerEntry | undefined) => {
        inFlight++;
        if (worker) {
            const starts = startsByWorker.get(worker) ?? { inFlight: 0, held: [] };
            starts.inFlight++;
            startsByWorker.set(worker, starts);
        }
    };
    const release = (worker: entries.WorkerEntry | undefined) => {
        inFlight--;
        const starts = worker && startsByWorker.get(worker);
        if (!starts) {
            return;
        }
        starts.inFlight--;
        let held = starts.held.shift();
        while (held && held.task.worker !== worker) {
            // Its placement was withdrawn, so its outcome would not release the next one of this worker.
            held = starts.held.shift();
        }
        if (held) {
            waiting.unshift(held);
        }
        else if (starts.inFlight === 0) {
            startsByWorker.delete(worker);
        }
    };
    const sendNext = () => {
        while (inFlight < MAX_IN_FLIGHT) {
            const next = takeNext();
            if (!next) {
                return;
            }
            const { worker } = next.task;
            count(worker);
            void send(next).then(() => {
                release(worker);
                sendNext();
            });
        }
    };
    return {
        add: placed => {
            waiting.push(...placed);
            sendNext();
        },
    };
}

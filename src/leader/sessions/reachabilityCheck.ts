/**
 * Checks that a worker is reachable before a task that may have crashed earlier workers is placed there.
 *
 * The row that names the worker is stored before the start order is sent. If the worker is down and the leader fails
 * before it has stored that no order was sent, the next leader counts one more run as lost with its worker.
 */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import * as crashHistory from "../crashHistory";
import type * as entries from "../entries";
import type * as workerSession from "./workerSession";

/** Maximum age of the last answer. Storing the row takes a few milliseconds; members of a gang are polled together. */
const MAX_PLACEMENT_SILENCE_MS = 300;
/** Quarantine of a worker that was overloaded or unreachable. */
export const UNREACHABLE_QUARANTINE_MS = 1_500;

/** What the check needs from the term; the signal ends with the term. */
export interface ReachabilityCheckOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly signal: AbortSignal;
    getSession(worker: entries.WorkerEntry): workerSession.WorkerSession | undefined;
    /** Called when a worker has answered or was quarantined. */
    onChanged(): void;
}

/** Decides whether workers have answered recently enough, and polls the others. */
export interface ReachabilityCheck {
    /** Whether the tasks may be placed on these workers now; if not, polls the workers without a recent answer. */
    mayPlace(tasks: readonly entries.TaskEntry[], workers: readonly entries.WorkerEntry[]): boolean;
}

/** Creates the check for one term. */
export function createReachabilityCheck(options: ReachabilityCheckOptions): ReachabilityCheck {
    const { clock: time, log } = options;
    const polling = new Set<entries.WorkerEntry>();

    const poll = async (worker: entries.WorkerEntry) => {
        const session = options.getSession(worker);
        if (!session || polling.has(worker)) {
            return;
        }
        polling.add(worker);
        const answers = await session.ensureReachable(MAX_PLACEMENT_SILENCE_MS);
        polling.delete(worker);
        if (options.signal.aborted) {
            return;
        }
        if (!answers) {
            worker.quarantinedUntil = time.now() + UNREACHABLE_QUARANTINE_MS;
            log.info("workerSuspect", { worker: worker.id, reason: "no answer before a start" });
        }
        options.onChanged();
    };
    const lacksRecentAnswer = (worker: entries.WorkerEntry) =>
        options.getSession(worker)?.hasAnsweredWithin(MAX_PLACEMENT_SILENCE_MS) !== true;
    return {
        mayPlace: (tasks, workers) => {
            if (!tasks.some(task => crashHistory.mayHaveCrashedWorker(task.crashes))) {
                return true;
            }
            const unconfirmed = [...new Set(workers)].filter(lacksRecentAnswer);
            unconfirmed.forEach(worker => void poll(worker));
            return unconfirmed.length === 0;
        },
    };
}

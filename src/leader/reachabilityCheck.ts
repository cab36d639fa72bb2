/**
 * The look at a worker before a task whose earlier runs were lost is placed there.
 *
 * A row that names the worker is stored before the order goes out. If the worker turns out to be down, and the leader is
 * lost before it has stored that it sent nothing, the next leader finds a run that was lost with its worker.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as crashHistory from "./crashHistory";
import type * as entries from "./entries";
import type * as workerSession from "./workerSession";

/** Storing the row takes a few milliseconds; members of a gang are looked at together. */
const PLACING_SILENCE_MS = 300;
/** A worker that was unwell or out of reach gets no new task for this long. */
export const UNREACHABLE_QUARANTINE_MS = 1_500;

export interface ReachabilityCheckOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly signal: AbortSignal;
    getSession(worker: entries.WorkerEntry): workerSession.WorkerSession | undefined;
    /** A worker has answered, or is set aside. */
    onChanged(): void;
}

export interface ReachabilityCheck {
    /** Whether the tasks may be placed on these workers now; if not, those in question are looked at. */
    mayPlace(tasks: readonly entries.TaskEntry[], workers: readonly entries.WorkerEntry[]): boolean;
}

export function createReachabilityCheck(options: ReachabilityCheckOptions): ReachabilityCheck {
    const { clock: time, log } = options;
    const lookedAt = new Set<entries.WorkerEntry>();

    const look = async (worker: entries.WorkerEntry) => {
        const session = options.getSession(worker);
        if (!session || lookedAt.has(worker)) {
            return;
        }
        lookedAt.add(worker);
        const answers = await session.ensureReachable(PLACING_SILENCE_MS);
        lookedAt.delete(worker);
        if (options.signal.aborted) {
            return;
        }
        if (!answers) {
            worker.quarantinedUntil = time.now() + UNREACHABLE_QUARANTINE_MS;
            log.info("workerSuspect", { worker: worker.id, reason: "no answer before a start" });
        }
        options.onChanged();
    };
    const isSilent = (worker: entries.WorkerEntry) =>
        options.getSession(worker)?.hasAnsweredWithin(PLACING_SILENCE_MS) !== true;
    return {
        mayPlace: (tasks, workers) => {
            if (!tasks.some(task => crashHistory.mayHaveCrashedWorker(task.crashes))) {
                return true;
            }
            const silent = [...new Set(workers)].filter(isSilent);
            silent.forEach(worker => void look(worker));
            return silent.length === 0;
        },
    };
}

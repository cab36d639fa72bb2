/** Moves waiting jobs to the queues of zones that have room for them. */
import * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import type * as queueEntry from "./entry";
import type * as schedulerModule from "./scheduler";

/** What the moves of waiting jobs use and call. */
export interface JobMovesOptions {
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly store: jobs.JobStore;
    readonly scheduler: schedulerModule.Scheduler;
    readonly entries: Map<string, queueEntry.QueueEntry>;
    /** A zone that has room for the job according to its queue owner's latest load; `undefined` for none. */
    readonly findOtherZone: (job: { readonly account: string; readonly accelerators: number; }) => string | undefined;
    /** Notifies the owner of a zone's queue that a job was moved to it. */
    readonly notifyMoved: (zone: string, jobId: string) => void;
    /** Queues the job here again, since it could not be moved. */
    requeue(entry: queueEntry.QueueEntry): void;
    /** Replaces the entry by the row that another owner has written. */
    replace(entry: queueEntry.QueueEntry, found: jobs.VersionedRow | undefined): void;
    /** Runs work in the background and logs its failure. */
    run(work: Promise<void>): void;
}

/** Moves of waiting jobs to other zones. */
export interface JobMoves {
    /** Starts the moves that are due. */
    moveWaiting(): void;
}

/** A job may be moved to another zone once it has waited in this queue for longer than this. */
const MIN_WAIT_BEFORE_MOVE_MS = 2000;
const MAX_MOVES_PER_ROUND = 20;

export function createJobMoves(options: JobMovesOptions): JobMoves {
    const { clock: time, counters, store, scheduler, entries, requeue, replace, run } = options;

    /** Moves a few jobs per round, since the load of the other zones is known with a delay. */
    const moveWaiting = () => {
        const now = time.now();
        let moves = 0;
        for (const job of scheduler.queue.getJobs()) {
            if (moves >= MAX_MOVES_PER_ROUND) {
                return;
            }
            const entry = entries.get(job.jobId);
            const isDue = entry && now - entry.admittedAt > MIN_WAIT_BEFORE_MOVE_MS
                && !scheduler.isPlaceHeld(job.jobId);
            const target = isDue ? options.findOtherZone(job) : undefined;
            if (target !== undefined && entry && !entry.active && scheduler.remove(job.jobId)) {
                moves++;
                run(move(entry, target));
            }
        }
    };

    const move = async (entry: queueEntry.QueueEntry, target: string): Promise<void> => {
        entry.active = true;
        const row: jobs.JobRow = { ...entry.stored.row, zone: target, state: "queued", members: [] };
        const written = await store.update(entry.stored, row, platform.Priority.Progress);
        if (written.kind === "written") {
            entries.delete(entry.job.jobId);
            counters.increment("jobs.moved");
            options.notifyMoved(target, entry.job.jobId);
            return;
        }
        const found = await store.read(entry.job.jobId);
        if (found.kind === "read" && found.value?.version !== entry.stored.version) {
            replace(entry, found.value);
            return;
        }
        requeue(entry);
    };

    return { moveWaiting };
}

/** After a look: finds out whether the worker has turned slow, and moves what is better off elsewhere. */
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as book from "./book";
import type * as entries from "./entries";

/** A slow worker gets no new task until it has not been seen slow for this long. */
const SLOW_ASIDE_MS = 2_000;

export interface SlownessOptions {
    readonly now: number;
    readonly book: book.Book;
    readonly log: observe.Log;
    readonly leftOut: ReadonlySet<decisions.Mechanism>;
}

export function judgeSpeed(worker: entries.WorkerEntry, options: SlownessOptions): void {
    const running = [...worker.tasks].filter(task => task.phase === "running" && !task.step.spec.lasting);
    const slowdowns = running.flatMap(task => decisions.getSlowdown(task.speed) ?? []);
    if (!decisions.isSlow(slowdowns)) {
        return;
    }
    if (worker.setAsideUntil <= options.now) {
        options.log.warn("workerSlow", {
            worker: worker.id,
            slowdowns: slowdowns.map(slowdown => Math.round(slowdown * 10) / 10),
        });
    }
    if (!options.leftOut.has("slowWorkers")) {
        worker.setAsideUntil = Math.max(worker.setAsideUntil, options.now + SLOW_ASIDE_MS);
    }
    if (options.leftOut.has("slowMoves")) {
        return;
    }
    for (const task of running) {
        const { priority } = task.step.occurrence.job.queue;
        const saves = task.step.spec.checkpoints;
        // Work that neither saves nor is urgent stays: moving it throws away more than it gains.
        if ((saves || priority === 0) && decisions.shouldMove({ ...task.speed, percent: task.percent, saves })) {
            options.book.requestStop(task, "workerSlow");
        }
    }
}

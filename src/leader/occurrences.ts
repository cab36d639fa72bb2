/**
 * The open occurrences of jobs, and their tasks.
 *
 * A job may have thousands of occurrences due at once. Only as many are open as the leader has memory and time for in
 * each pass; the others follow in the order of their due times. The entries of an occurrence are dropped after its end.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as work from "../work/index";
import * as entries from "./entries";

export interface OccurrencesOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    /** Jobs that have not ended, the oldest first. */
    readonly active: ReadonlySet<entries.JobEntry>;
}

/** The open occurrences of a term. */
export interface Occurrences {
    getTask(name: string): entries.TaskEntry | undefined;
    /** Creates the entries of an occurrence. */
    open(job: entries.JobEntry, number: number): entries.OccurrenceEntry;
    /**
     * Opens the occurrences that are due, and drops those that have ended. Returns the Unix time at which the next one
     * is due, in milliseconds.
     */
    update(): number | undefined;
    /** Has the occurrence dropped once none of its tasks is placed. */
    markEnded(occurrence: entries.OccurrenceEntry): void;
    /** Number of occurrences that are due and not open. */
    countHeldBack(): number;
    /** Drops all entries of the job. */
    forget(job: entries.JobEntry): void;
}

/** Maximum open tasks of one job that have not started, apart from its first open occurrence. */
const MAX_WAITING_TASKS_OF_JOB = 4_000;
/** Maximum open tasks of all jobs that have not started, apart from the first open occurrence of each job. */
const MAX_WAITING_TASKS = 20_000;

/** Creates the occurrences of a term, none of which is open. */
export function createOccurrences(options: OccurrencesOptions): Occurrences {
    const { clock: time, log, active } = options;
    const tasks = new Map<string, entries.TaskEntry>();
    /** Occurrences that have ended and are not dropped yet. */
    const ended = new Set<entries.OccurrenceEntry>();
    /** Jobs of which a due occurrence is not open. */
    const heldBack = new Set<entries.JobEntry>();

    const open = (job: entries.JobEntry, number: number) => {
        const occurrence = entries.createOccurrenceEntry(job, number, time.now());
        job.occurrences.set(number, occurrence);
        for (const step of occurrence.steps) {
            for (const task of step.tasks) {
                tasks.set(task.name, task);
            }
        }
        return occurrence;
    };

    const drop = (occurrence: entries.OccurrenceEntry) => {
        const { job, number } = occurrence;
        ended.delete(occurrence);
        job.occurrences.delete(number);
        job.endedOccurrences.add(number);
        for (const step of occurrence.steps) {
            step.tasks.forEach(task => tasks.delete(task.name));
        }
    };

    /** Opens the job's due occurrences. Returns when its next one is due; `undefined` if none is or it is held back. */
    const openDue = (job: entries.JobEntry, now: number, total: WaitingTotal): number | undefined => {
        const { spec } = job.submission;
        const count = work.getOccurrenceCount(spec);
        const tasksEach = work.countTasks(spec);
        let waiting: number | undefined;
        heldBack.delete(job);
        for (; job.nextOccurrence < count; job.nextOccurrence++) {
            const number = job.nextOccurrence;
            if (job.endedOccurrences.has(number) || job.occurrences.has(number)) {
                continue;
            }
            const dueAt = work.getDueAt(spec, number);
            if (dueAt !== undefined && dueAt > now) {
                return dueAt;
            }
            if (hasUnfinishedOccurrence(job)) {
                waiting ??= countWaitingTasks(job);
                if (waiting + tasksEach > MAX_WAITING_TASKS_OF_JOB || total.get() + tasksEach > MAX_WAITING_TASKS) {
                    heldBack.add(job);
                    return undefined;
                }
                waiting += tasksEach;
            }
            open(job, number);
            total.add(tasksEach);
        }
        return undefined;
    };

    return {
        getTask: name => tasks.get(name),
        open,
        update: () => {
            for (const occurrence of ended) {
                if (!entries.hasPlacedTask(occurrence)) {
                    drop(occurrence);
                }
            }
            for (const job of heldBack) {
                if (!active.has(job)) {
                    heldBack.delete(job);
                }
            }
            const now = time.wallTime();
            const total = createWaitingTotal(active);
            let next: number | undefined;
            for (const job of active) {
                const wasHeldBack = heldBack.has(job);
                const dueAt = openDue(job, now, total);
                if (dueAt !== undefined) {
                    next = Math.min(next ?? Infinity, dueAt);
                }
                if (heldBack.has(job) && !wasHeldBack) {
                    log.info("occurrencesHeldBack", {
                        job: job.submission.jobId,
                        open: job.occurrences.size,
                        heldBack: countDue(job, now) - job.nextOccurrence,
                    });
                }
            }
            return next;
        },
        markEnded: occurrence => ended.add(occurrence),
        countHeldBack: () => {
            const now = time.wallTime();
            return [...heldBack].reduce((sum, job) => sum + countDue(job, now) - job.nextOccurrence, 0);
        },
        forget: job => {
            heldBack.delete(job);
            [...job.occurrences.values()].forEach(drop);
        },
    };
}

/** The number of open tasks of all jobs that have not started, which is counted when first asked for. */
interface WaitingTotal {
    get(): number;
    add(tasks: number): void;
}

function createWaitingTotal(active: Iterable<entries.JobEntry>): WaitingTotal {
    let counted: number | undefined;
    return {
        get: () => {
            if (counted === undefined) {
                counted = 0;
                for (const job of active) {
                    counted += countWaitingTasks(job);
                }
            }
            return counted;
        },
        add: added => {
            if (counted !== undefined) {
                counted += added;
            }
        },
    };
}

function hasUnfinishedOccurrence(job: entries.JobEntry): boolean {
    for (const occurrence of job.occurrences.values()) {
        if (!occurrence.isEnded) {
            return true;
        }
    }
    return false;
}

function countWaitingTasks(job: entries.JobEntry): number {
    let waiting = 0;
    for (const occurrence of job.occurrences.values()) {
        for (const step of occurrence.isEnded ? [] : occurrence.steps) {
            for (const task of step.tasks) {
                waiting += task.phase === "waiting" ? 1 : 0;
            }
        }
    }
    return waiting;
}

/** Number of the job's occurrences whose due time has passed. */
function countDue(job: entries.JobEntry, now: number): number {
    const { spec } = job.submission;
    const count = work.getOccurrenceCount(spec);
    const { firstDueAt, periodMs } = spec;
    if (periodMs === 0 || spec.repeats === 0) {
        return count;
    }
    return Math.max(0, Math.min(count, Math.floor((now - firstDueAt) / periodMs) + 1));
}

/**
 * The open occurrences of jobs, and their tasks.
 *
 * A job may have thousands of occurrences due at once, and thousands of jobs may wait. Only as many occurrences are open
 * as the leader has memory and time for in each pass; the others of a job follow in the order of their due times. The
 * entries of an occurrence are dropped after its end.
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

/** Maximum open tasks of one job that wait, apart from its first unfinished occurrence. */
const MAX_WAITING_TASKS_OF_JOB = 4_000;
/** Number of open tasks of all jobs that wait from which a job gets no occurrence beside its first unfinished one. */
const MAX_WAITING_TASKS = 20_000;
/** Maximum open tasks of all jobs that wait. */
const MAX_WAITING_TASKS_WITH_FIRST = 30_000;
/** The same for jobs of the most urgent priority, which other work must not block. */
const MAX_WAITING_TASKS_WITH_URGENT = 40_000;
/**
 * Time after which an occurrence that has not started is suspended if jobs without an open occurrence are held back.
 * Otherwise jobs that fit on no worker would block all later ones.
 */
const SUSPEND_AFTER_MS = 1_000;

/** Creates the occurrences of a term, none of which is open. */
export function createOccurrences(options: OccurrencesOptions): Occurrences {
    const { clock: time, log, active } = options;
    const tasks = new Map<string, entries.TaskEntry>();
    /** Occurrences that have ended and are not dropped yet. */
    const ended = new Set<entries.OccurrenceEntry>();
    /** Jobs of which a due occurrence is not open. */
    const heldBack = new Set<entries.JobEntry>();
    /** Jobs of which it has been logged that they are held back. */
    const logged = new WeakSet<entries.JobEntry>();
    /** Jobs with a suspended occurrence, in the order of suspension. */
    const suspended = new Set<entries.JobEntry>();
    let nextSuspensionAt = 0;

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

    const close = ({ job, number, steps }: entries.OccurrenceEntry) => {
        job.occurrences.delete(number);
        for (const step of steps) {
            step.tasks.forEach(task => tasks.delete(task.name));
        }
    };
    const drop = (occurrence: entries.OccurrenceEntry) => {
        ended.delete(occurrence);
        occurrence.job.endedOccurrences.add(occurrence.number);
        close(occurrence);
    };
    /** Closes an occurrence that has not started, to be opened again later. */
    const suspend = (occurrence: entries.OccurrenceEntry) => {
        const { job, number } = occurrence;
        close(occurrence);
        job.nextOccurrence = Math.min(job.nextOccurrence, number);
        suspended.delete(job);
        suspended.add(job);
    };
    /** Suspends occurrences that have not started, the oldest first, until `tasksWanted` tasks are closed. */
    const suspendUnstarted = (tasksWanted: number) => {
        const now = time.now();
        if (now < nextSuspensionAt) {
            return;
        }
        nextSuspensionAt = now + SUSPEND_AFTER_MS;
        let freed = 0;
        for (const occurrence of [...active].flatMap(job => [...job.occurrences.values()])) {
            if (freed >= tasksWanted) {
                return;
            }
            if (occurrence.openedAt <= now - SUSPEND_AFTER_MS && !hasStarted(occurrence)) {
                suspend(occurrence);
                freed += work.countTasks(occurrence.job.submission.spec);
            }
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
            const isFirst = !hasUnfinishedOccurrence(job);
            waiting ??= isFirst ? 0 : countWaitingTasks(job);
            const limit = isFirst ? getLimitOfFirst(job) : MAX_WAITING_TASKS;
            if (
                (!isFirst && waiting + tasksEach > MAX_WAITING_TASKS_OF_JOB)
                || (tasks.size + tasksEach > limit && total.get() + tasksEach > limit)
            ) {
                heldBack.add(job);
                return undefined;
            }
            open(job, number);
            suspended.delete(job);
            waiting += tasksEach;
            total.add(tasksEach);
        }
        return undefined;
    };

    const logHeldBack = (job: entries.JobEntry, now: number) => {
        if (logged.has(job)) {
            return;
        }
        logged.add(job);
        log.info("occurrencesHeldBack", {
            job: job.submission.jobId,
            open: job.occurrences.size,
            heldBack: countHeldBackOf(job, now),
        });
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
            for (const job of [...heldBack, ...suspended]) {
                if (!active.has(job)) {
                    heldBack.delete(job);
                    suspended.delete(job);
                }
            }
            const now = time.wallTime();
            const total = createWaitingTotal(active);
            let next = Infinity;
            let tasksWanted = 0;
            const visit = (job: entries.JobEntry) => {
                next = Math.min(next, openDue(job, now, total) ?? Infinity);
                if (!heldBack.has(job)) {
                    return;
                }
                if (!hasUnfinishedOccurrence(job)) {
                    tasksWanted += work.countTasks(job.submission.spec);
                }
                logHeldBack(job, now);
            };
            const visitedLast = [...suspended];
            for (const job of active) {
                if (!suspended.has(job)) {
                    visit(job);
                }
            }
            visitedLast.forEach(visit);
            if (tasksWanted > 0) {
                suspendUnstarted(tasksWanted);
            }
            return next === Infinity ? undefined : next;
        },
        markEnded: occurrence => ended.add(occurrence),
        countHeldBack: () => {
            const now = time.wallTime();
            return [...heldBack].reduce((sum, job) => sum + countHeldBackOf(job, now), 0);
        },
        forget: job => {
            heldBack.delete(job);
            suspended.delete(job);
            [...job.occurrences.values()].forEach(drop);
        },
    };
}

/** The number of open tasks of all jobs that wait, which is counted when first asked for. */
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

function getLimitOfFirst(job: entries.JobEntry): number {
    return job.queue.priority === 0 ? MAX_WAITING_TASKS_WITH_URGENT : MAX_WAITING_TASKS_WITH_FIRST;
}

/** Whether a run of the occurrence has been placed, so that a row of it may be stored. */
function hasStarted(occurrence: entries.OccurrenceEntry): boolean {
    return occurrence.rowVersion > 0 || occurrence.steps.some(step => step.tasks.some(task => task.run > 0));
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

/** Number of the job's occurrences that are due and have not been opened. */
function countHeldBackOf(job: entries.JobEntry, now: number): number {
    const openLater = [...job.occurrences.keys()].filter(number => number >= job.nextOccurrence).length;
    return countDue(job, now) - job.nextOccurrence - openLater;
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

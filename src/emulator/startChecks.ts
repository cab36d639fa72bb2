/** What a scheduler must never start, as the emulated workers see it. */
import * as decisions from "../decisions/index";
import type * as work from "../work/index";
import * as workerLife from "./workerIncarnation";

export interface StartRecord {
    readonly task: string;
    readonly run: number;
    readonly workerId: string;
    /** Of the worker's life on which it began. */
    readonly incarnationId: string;
    readonly at: number;
}

export interface StartChecks {
    /** Breaches of promises, in words, but for `shrunkStarts`; empty when all were kept. */
    readonly violations: readonly string[];
    /** Starts that were sent over a capacity that had shrunk long before: breaches, unless links had held them up. */
    readonly startsAfterShrink: readonly StartRecord[];
    /** How many workers each task has taken down. */
    readonly crashCounts: ReadonlyMap<string, number>;
    checkStart(life: workerLife.Incarnation, model: workerLife.TaskModel, start: StartRecord, sentAt: number): void;
    /** The run has ended under that number, as `done` or `failed`. */
    noteEnd(life: workerLife.Incarnation, run: workerLife.Run, number: number, how: "done" | "failed"): void;
    /** Ends up to this number are recorded. */
    noteRecorded(life: workerLife.Incarnation, upTo: number): void;
    noteCrash(task: string): void;
}

/** A run that ended well or failed, and what became of it. */
interface EndedRun {
    readonly task: string;
    readonly run: number;
    readonly life: workerLife.Incarnation;
    readonly number: number;
    readonly maxAttempts: number | undefined;
    recorded: boolean;
    /** How often the task was started afterwards. */
    startsSince: number;
}

/** A capacity that has shrunk binds the starts that are sent this much later: contact and one heartbeat. */
const SHRINK_GRACE_MS = 4_500;
/** A task that takes its workers down is started fewer than `MOST_STARTS_AFTER` times more after so many crashes. */
const CRASH_BUDGET = 3;
const MOST_STARTS_AFTER = 3;

export function createStartChecks(lives: ReadonlyMap<string, workerLife.Incarnation>): StartChecks {
    const breaches: string[] = [];
    const shrunkStarts: StartRecord[] = [];
    const crashCounts = new Map<string, number>();
    const startsAfterCrashes = new Map<string, number>();
    const dones: EndedRun[] = [];
    /** Failed runs of each task, in order. */
    const failures = new Map<string, EndedRun[]>();

    const noteBreachOf = (done: EndedRun) => {
        if (done.recorded && done.startsSince > 0) {
            breaches.push(`${done.task} is started again after run ${done.run} ended well`);
        }
    };
    const checkDone = (task: string) => {
        for (const done of dones) {
            if (done.task === task) {
                // A breach only if that end counts: it is, or will be, recorded before its worker's lease lapses.
                done.startsSince++;
                noteBreachOf(done);
            }
        }
    };
    const checkFailures = (task: string, maxAttempts: number | undefined) => {
        const recorded = (failures.get(task) ?? []).filter(failure => failure.recorded && failure.startsSince > 0);
        if (maxAttempts !== undefined && recorded.length >= maxAttempts) {
            breaches.push(`${task} is started again after ${recorded.length} failed runs`);
        }
    };
    const checkTwice = (life: workerLife.Incarnation, { task, run }: StartRecord) => {
        for (const other of lives.values()) {
            if (other.alive && other !== life && other.runs.has(task)) {
                breaches.push(`${task} run ${run} is started on ${life.info.id} while it runs on ${other.info.id}`);
            }
        }
    };
    const checkCapacity = (life: workerLife.Incarnation, start: StartRecord, sentAt: number) => {
        const sum: work.Resources = workerLife.sumNeeds(life);
        if (decisions.fitsWithin(sum, workerLife.getCapacitySince(life, sentAt - SHRINK_GRACE_MS))) {
            return;
        }
        const fitted = life.earlierCapacities.some(({ capacity }) => decisions.fitsWithin(sum, capacity));
        if (fitted) {
            shrunkStarts.push(start);
            return;
        }
        breaches.push(`${start.task} brings ${life.info.id} over its capacity`);
    };
    const checkBudget = (task: string) => {
        if ((crashCounts.get(task) ?? 0) < CRASH_BUDGET) {
            return;
        }
        const count = (startsAfterCrashes.get(task) ?? 0) + 1;
        startsAfterCrashes.set(task, count);
        if (count === MOST_STARTS_AFTER) {
            breaches.push(`${task} is started ${count} times more after ${CRASH_BUDGET} workers crashed under it`);
        }
    };
    return {
        violations: breaches,
        startsAfterShrink: shrunkStarts,
        crashCounts,
        checkStart: (life, model, start, sentAt) => {
            checkDone(start.task);
            for (const failure of failures.get(start.task) ?? []) {
                failure.startsSince++;
            }
            checkFailures(start.task, model.maxAttempts);
            checkTwice(life, start);
            checkCapacity(life, start, sentAt);
            if (model.crashesAfterMs !== undefined) {
                checkBudget(start.task);
            }
        },
        noteEnd: (life, run, number, how) => {
            const ended = {
                task: run.task,
                run: run.run,
                life,
                number,
                recorded: false,
                startsSince: 0,
                maxAttempts: run.model.maxAttempts,
            };
            if (how === "done") {
                dones.push(ended);
                return;
            }
            failures.set(run.task, [...failures.get(run.task) ?? [], ended]);
        },
        noteRecorded: (life, upTo) => {
            const isRecordedNow = (ended: EndedRun) =>
                !ended.recorded && ended.life === life && ended.number <= upTo && !(life.lapsedEnd >= ended.number);
            for (const done of dones.filter(isRecordedNow)) {
                done.recorded = true;
                noteBreachOf(done);
            }
            for (const ended of failures.values()) {
                for (const failure of ended.filter(isRecordedNow)) {
                    failure.recorded = true;
                    checkFailures(failure.task, failure.maxAttempts);
                }
            }
        },
        noteCrash: task => {
            crashCounts.set(task, (crashCounts.get(task) ?? 0) + 1);
        },
    };
}

/** Of a start over a capacity that had shrunk, in words. */
export function describeShrunkStart({ task, workerId }: StartRecord): string {
    return `${task} brings ${workerId} over its capacity, which had shrunk`;
}

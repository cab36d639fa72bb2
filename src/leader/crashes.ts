/**
 * How strongly the loss of a worker speaks against the tasks that ran on it.
 *
 * A task may take down each worker that starts it. Several tasks run on a worker, and workers also crash alone, with
 * their rack, or are only out of reach. So each lost run is weighed, and its task is given up when its weights have
 * added up to `CRASH_LIMIT`. A run that had just begun weighs more than one that was at work, a worker that is known to
 * have restarted more than a silent one, and workers that fall silent together weigh little.
 */
import type * as clock from "../clock/index";
import * as entries from "./entries";

/** Sum of weights at which a task is given up: two strong ones, or four weak ones. */
export const CRASH_LIMIT = 4;
const Weight = { None: 0, Weak: 1, Strong: 2 } as const;
type Weight = typeof Weight[keyof typeof Weight];
/** A task with this much against it is started apart from others that have just begun. */
const SUSPECT_WEIGHT = Weight.Strong;
/** A run that its worker has told of for this long has settled in. */
const SETTLED_MS = 1_000;
/** A lasting task that was at work for this long has proved itself. */
const PROVEN_MS = 60_000;
/** Workers that fall silent, or are back, this close to each other may have been lost to one cause: a look waits 2 s. */
const TOGETHER_MS = 2_500;
/** As many others lost together as no single task takes down. */
const LEAST_OTHERS = 2;
/** The directory lists the restarts of idle workers this much later, so a loss is weighed once more. */
const REVIEW_MS = 2_000;
/** How long a loss is remembered for those that follow from the same cause, and for the worker's next life. */
const REMEMBERED_MS = 30_000;

/**
 * - fresh: it had just begun.
 * - settled: it had been at work.
 * - inherited: an earlier leader ordered it, so its age is not known.
 */
type RunAge = "fresh" | "settled" | "inherited";

interface LostRun {
    readonly task: entries.TaskEntry;
    readonly age: RunAge;
    readonly isSuspect: boolean;
    /** Lasting, and was at work for so long that a crash says nothing of it. */
    readonly isProven: boolean;
}

interface Loss {
    readonly worker: entries.WorkerEntry;
    readonly silentSince: number;
    readonly at: number;
    readonly runs: readonly LostRun[];
    restarted: boolean;
    /** The same life of the worker has answered again: it was only out of reach. */
    disproved: boolean;
    /** What is counted of it at present. */
    weights: ReadonlyMap<entries.TaskEntry, Weight>;
}

export interface CrashJudgeOptions {
    readonly clock: clock.Clock;
    getWorkers(): Iterable<entries.WorkerEntry>;
    /** More is known of a loss by now: its weight on the task changes by that much. */
    onChange(task: entries.TaskEntry, change: number): void;
}

export interface CrashJudge {
    /** Weights of the runs that are lost with the worker now; `restarted`: another life of it has answered. */
    weigh(worker: entries.WorkerEntry, restarted: boolean): ReadonlyMap<entries.TaskEntry, number>;
    /** The directory lists the worker, or it answers. */
    noteWorker(worker: Pick<entries.WorkerInfo, "id" | "address">): void;
}

export function createCrashJudge(options: CrashJudgeOptions): CrashJudge {
    const { clock: time } = options;
    let losses: Loss[] = [];
    const lastIds = new Map<string, string>();
    /** When each address was last found to have another worker than before. */
    const restartedAt = new Map<string, number>();

    const forgetOld = () => {
        const since = time.now() - REMEMBERED_MS;
        losses = losses.filter(loss => loss.at >= since);
        for (const [address, at] of restartedAt) {
            if (at < since) {
                restartedAt.delete(address);
            }
        }
    };
    /** Workers that were lost together with this one, and not to the same job. */
    const countOthers = (loss: Loss): number => {
        const { address } = loss.worker.info;
        const freshJobs = listFreshJobs(loss.runs);
        const isUnrelated = (runs: readonly LostRun[]) => ![...listFreshJobs(runs)].some(job => freshJobs.has(job));
        const isSilentWith = (since: number | undefined) => since !== undefined && isTogether(since, loss.silentSince);
        const silent = [...options.getWorkers()]
            .filter(other => isSilentWith(other.silentSince) && isUnrelated(listRuns(other)));
        const lost = losses.filter(other => isSilentWith(other.silentSince));
        const ownRestartAt = restartedAt.get(address);
        const idle = [...restartedAt]
            .filter(([, at]) => ownRestartAt !== undefined && isTogether(at, ownRestartAt))
            .map(([other]) => other);
        const addresses = new Set([
            ...silent.map(other => other.info.address),
            ...lost.map(other => other.worker.info.address),
            ...idle,
        ]);
        for (const other of losses.filter(candidate => !isUnrelated(candidate.runs))) {
            addresses.delete(other.worker.info.address);
        }
        addresses.delete(address);
        return addresses.size;
    };
    const weighLoss = (loss: Loss): ReadonlyMap<entries.TaskEntry, Weight> =>
        loss.disproved
            ? new Map()
            : weighAll(loss.runs, loss.restarted, countOthers(loss) >= LEAST_OTHERS);
    const review = (loss: Loss) => {
        const before = loss.weights;
        loss.weights = weighLoss(loss);
        for (const { task } of loss.runs) {
            const change = (loss.weights.get(task) ?? Weight.None) - (before.get(task) ?? Weight.None);
            if (change !== 0) {
                options.onChange(task, change);
            }
        }
    };
    const noteRestart = (address: string) => {
        restartedAt.set(address, time.now());
        for (const loss of losses) {
            if (loss.worker.info.address === address && !loss.restarted) {
                loss.restarted = true;
                review(loss);
                time.setTimer(REVIEW_MS, () => review(loss));
            }
        }
    };
    return {
        weigh: (worker, restarted) => {
            forgetOld();
            if (restarted) {
                noteRestart(worker.info.address);
            }
            const runs = worker.info.draining || worker.reserved ? [] : listRuns(worker);
            if (runs.length === 0) {
                return new Map();
            }
            const at = time.now();
            const silentSince = worker.silentSince ?? at;
            const loss: Loss = { worker, silentSince, at, runs, restarted, disproved: false, weights: new Map() };
            losses.push(loss);
            loss.weights = weighLoss(loss);
            time.setTimer(REVIEW_MS, () => review(loss));
            return loss.weights;
        },
        noteWorker: ({ id, address }) => {
            const before = lastIds.get(address);
            lastIds.set(address, id);
            for (const loss of losses.filter(candidate => candidate.worker.id === id && !candidate.restarted)) {
                loss.disproved = true;
                review(loss);
            }
            if (before !== undefined && before !== id) {
                noteRestart(address);
            }
        },
    };
}

function isTogether(a: number, b: number): boolean {
    return Math.abs(a - b) <= TOGETHER_MS;
}

/** Whether the task is started apart from others that have just begun. */
export function isSuspect(task: entries.TaskEntry): boolean {
    return task.crashWeight >= SUSPECT_WEIGHT;
}

/** Whether the task's run has been ordered and has not settled in yet. */
export function isUnsettled(task: entries.TaskEntry): boolean {
    return isUnderWay(task) && entries.getSeenMs(task) < SETTLED_MS;
}

/** Whether something has just begun there that may take the worker down. */
export function hasUnsettledSuspect(worker: entries.WorkerEntry): boolean {
    return [...worker.tasks].some(task => isSuspect(task) && isUnsettled(task));
}

function listRuns(worker: entries.WorkerEntry): LostRun[] {
    return [...worker.tasks].filter(mayHaveRun).map(task => ({
        task,
        age: getAge(task),
        isSuspect: isSuspect(task),
        isProven: task.step.spec.lasting && entries.getSeenMs(task) >= PROVEN_MS,
    }));
}

/** A start that is still without an answer when another life answers was sent to that one, which did not take it. */
function mayHaveRun(task: entries.TaskEntry): boolean {
    return task.phase === "running" || task.phase === "stopping"
        || (task.phase === "ordered" && task.unansweredAt !== undefined);
}

function isUnderWay({ phase }: entries.TaskEntry): boolean {
    return phase === "recording" || phase === "ordered" || phase === "running";
}

function getAge(task: entries.TaskEntry): RunAge {
    if (entries.getSeenMs(task) >= SETTLED_MS) {
        return "settled";
    }
    return task.inherited ? "inherited" : "fresh";
}

function listFreshJobs(runs: readonly LostRun[]): ReadonlySet<entries.JobEntry> {
    return new Set(runs.filter(run => run.age === "fresh").map(run => run.task.step.occurrence.job));
}

function weighAll(
    runs: readonly LostRun[],
    restarted: boolean,
    isOneOfMany: boolean,
): ReadonlyMap<entries.TaskEntry, Weight> {
    const suspects = runs.filter(run => run.age === "fresh" && run.isSuspect);
    const blamed = suspects.length > 0 ? suspects : runs;
    const isOneJob = listFreshJobs(blamed).size === 1;
    return new Map(blamed.map(run => [
        run.task,
        run.isProven ? Weight.None : weighOne(run.age, { restarted, isOneOfMany, isOneJob }),
    ]));
}

interface Circumstances {
    readonly restarted: boolean;
    readonly isOneOfMany: boolean;
    /** All fresh runs on the worker are of one job. */
    readonly isOneJob: boolean;
}

function weighOne(age: RunAge, { restarted, isOneOfMany, isOneJob }: Circumstances): Weight {
    switch (age) {
        case "fresh":
            if (isOneOfMany) {
                return restarted ? Weight.Weak : Weight.None;
            }
            return restarted && isOneJob ? Weight.Strong : Weight.Weak;
        case "settled":
            return restarted && !isOneOfMany ? Weight.Weak : Weight.None;
        case "inherited":
            return isOneOfMany ? Weight.None : Weight.Weak;
    }
}

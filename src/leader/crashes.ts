/**
 * How strongly the loss of a worker speaks against the tasks that ran on it.
 *
 * A task may take down each worker that starts it. Several tasks run on a worker, and workers also crash alone, with
 * their rack, or are only out of reach. So each lost run is weighed, and its task is given up when its weights have
 * added up to `CRASH_LIMIT`. A run that had just begun on a worker that restarted, with no other cause in sight, weighs
 * twice. Every run that may have taken its worker down weighs something: where many workers crash, a task that takes
 * each of its workers down would otherwise be excused without end.
 */
import type * as clock from "../clock/index";
import * as entries from "./entries";

/** Sum of weights at which a task is given up: two strong ones, four usual ones or five doubtful ones. */
const CRASH_LIMIT = 20;
const Weight = {
    None: 0,
    /** Its rack went down with the worker. */
    Excused: 2,
    /** It may never have begun. */
    Unconfirmed: 3,
    /** The worker may not have crashed, or the run's age is not known. */
    Doubtful: 4,
    Usual: 5,
    /** Nothing else can have taken the worker down. */
    Strong: 10,
} as const;
type Weight = typeof Weight[keyof typeof Weight];
/** From three lost runs on each further start counts as a doubtful one, however it ends. */
const CHARGED_FROM = 3 * Weight.Doubtful;
/** A worker tells of its runs every 2 s at least. */
const OUTLIVED_BY_MS = 2_500;
/** A task with this much against it is started apart from others that have just begun. */
const SUSPECT_WEIGHT = Weight.Strong;
/** A run that its worker has told of for this long has settled in. */
const SETTLED_MS = 1_000;
/** A lasting task that was at work for this long has proved itself. */
const PROVEN_MS = 60_000;
/** Workers that fall silent this close to each other may have been lost to one cause: a look waits up to 2 s. */
const SILENT_TOGETHER_MS = 2_500;
/** With so many others silent it is not clear that a task took the worker down. */
const LEAST_SILENT = 2;
/** Workers of a rack that are back this close to each other went down with it: a silent one is looked at every 0.75 s. */
const BACK_TOGETHER_MS = 1_000;
/** With so many others of its rack back at the same time the rack was down, whatever ran there. */
const LEAST_BACK = 3;
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
    /** The worker had confirmed its start; otherwise it may never have begun. */
    readonly isConfirmed: boolean;
    readonly isSuspect: boolean;
    /** What its start was counted for when it was placed. */
    readonly charge: number;
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
    weights: ReadonlyMap<entries.TaskEntry, number>;
}

export interface CrashJudgeOptions {
    readonly clock: clock.Clock;
    getWorkers(): Iterable<entries.WorkerEntry>;
    /** What can be known of a loss is known by now, or more than before: its weight on the task changes by that much. */
    onReviewed(task: entries.TaskEntry, change: number): void;
}

export interface CrashJudge {
    /** Weights of the runs that are lost with the worker now; `restarted`: another life of it has answered. */
    weigh(worker: entries.WorkerEntry, restarted: boolean): ReadonlyMap<entries.TaskEntry, number>;
    /** The directory lists the worker, or it answers. */
    noteWorker(worker: Place & Pick<entries.WorkerInfo, "id">): void;
}

type Place = Pick<entries.WorkerInfo, "address" | "rack">;

export function createCrashJudge(options: CrashJudgeOptions): CrashJudge {
    const { clock: time } = options;
    let losses: Loss[] = [];
    const lastIds = new Map<string, string>();
    /** When each address was last found to have another worker than before, and the rack that it is in. */
    const restarts = new Map<string, { readonly at: number; readonly rack: string; }>();

    const forgetOld = () => {
        const since = time.now() - REMEMBERED_MS;
        losses = losses.filter(loss => loss.at >= since);
        for (const [address, { at }] of restarts) {
            if (at < since) {
                restarts.delete(address);
            }
        }
    };
    const isRelated = (loss: Loss, others: readonly LostRun[]) => {
        const freshJobs = listFreshJobs(loss.runs);
        return [...listFreshJobs(others)].some(job => freshJobs.has(job));
    };
    /** Workers that fell silent with this one, and not under the same job. */
    const countSilent = (loss: Loss): number => {
        const isSilentWith = (since: number | undefined) =>
            since !== undefined && Math.abs(since - loss.silentSince) <= SILENT_TOGETHER_MS;
        const silent = [...options.getWorkers()]
            .filter(other => isSilentWith(other.silentSince) && !isRelated(loss, listRuns(other)))
            .map(other => other.info.address);
        const lost = losses
            .filter(other => isSilentWith(other.silentSince) && !isRelated(loss, other.runs))
            .map(other => other.worker.info.address);
        const addresses = new Set([...silent, ...lost]);
        addresses.delete(loss.worker.info.address);
        return addresses.size;
    };
    /** Other workers of its rack that are back at the same time, and were not lost to the same job. */
    const countBack = (loss: Loss): number => {
        const { address: ownAddress, rack } = loss.worker.info;
        const own = restarts.get(ownAddress);
        const related = new Set(
            losses.filter(other => isRelated(loss, other.runs)).map(other => other.worker.info.address),
        );
        return [...restarts].filter(([address, other]) =>
            own !== undefined && address !== ownAddress && other.rack === rack && !related.has(address)
            && Math.abs(other.at - own.at) <= BACK_TOGETHER_MS
        ).length;
    };
    const weighLoss = (loss: Loss): ReadonlyMap<entries.TaskEntry, number> =>
        loss.disproved
            ? new Map()
            : weighAll(loss, { silent: countSilent(loss), back: countBack(loss) });
    const review = (loss: Loss) => {
        const before = loss.weights;
        loss.weights = weighLoss(loss);
        for (const { task } of loss.runs) {
            options.onReviewed(task, (loss.weights.get(task) ?? Weight.None) - (before.get(task) ?? Weight.None));
        }
    };
    const noteRestart = ({ address, rack }: Place) => {
        restarts.set(address, { at: time.now(), rack });
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
                noteRestart(worker.info);
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
        noteWorker: ({ id, address, rack }) => {
            const before = lastIds.get(address);
            lastIds.set(address, id);
            for (const loss of losses.filter(candidate => candidate.worker.id === id && !candidate.restarted)) {
                loss.disproved = true;
                review(loss);
            }
            if (before !== undefined && before !== id) {
                noteRestart({ address, rack });
            }
        },
    };
}

/** Whether the task is not started again: it is given up, or its latest loss is yet to be reviewed. */
export function isBeyondLimit(task: entries.TaskEntry): boolean {
    return task.crashWeight >= CRASH_LIMIT;
}

/** Whether a run that was stopped had worked for longer than any that was lost: it would have crashed its worker. */
export function hasOutlivedLosses(task: entries.TaskEntry): boolean {
    return entries.getSeenMs(task) > task.longestLostMs + OUTLIVED_BY_MS;
}

/** What the next start of a task counts for beforehand. */
export function getStartCharge(crashWeight: number): number {
    return crashWeight >= CHARGED_FROM ? Weight.Doubtful : Weight.None;
}

/** What the run under way was counted for, of a weight that holds it already. */
export function getHeldCharge(crashWeight: number): number {
    return getStartCharge(crashWeight - Weight.Doubtful);
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
        isConfirmed: task.phase !== "ordered" && task.runningSince >= task.orderedAt,
        isSuspect: isSuspect(task),
        charge: task.startCharge,
        isProven: task.step.spec.lasting && entries.getSeenMs(task) >= PROVEN_MS,
    }));
}

/**
 * Not a run that its worker no longer listed, nor a start that is without an answer when another life answers: it was
 * sent to that one, which did not take it.
 */
function mayHaveRun(task: entries.TaskEntry): boolean {
    switch (task.phase) {
        case "running":
            return true;
        case "stopping":
            return task.stopReason !== entries.MISSING;
        case "ordered":
            return task.unansweredAt !== undefined;
        case "waiting":
        case "recording":
        case "done":
            return false;
    }
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

/** Workers that were lost with this one. */
interface Others {
    readonly silent: number;
    readonly back: number;
}

function weighAll({ runs, restarted }: Loss, others: Others): ReadonlyMap<entries.TaskEntry, number> {
    const fresh = runs.filter(run => run.age === "fresh");
    const suspects = fresh.filter(run => run.isSuspect);
    const blamed = suspects.length > 0 ? suspects : fresh;
    const isAlone = others.silent < LEAST_SILENT && others.back < LEAST_BACK;
    const isClear = isAlone && listFreshJobs(blamed).size === 1;
    const weigh = (run: LostRun): Weight => {
        if (run.isProven) {
            return Weight.None;
        }
        if (others.back >= LEAST_BACK) {
            return Weight.Excused;
        }
        if (!run.isConfirmed) {
            return Weight.Unconfirmed;
        }
        if (!restarted || run.age === "inherited") {
            return Weight.Doubtful;
        }
        return isClear && blamed.includes(run) ? Weight.Strong : Weight.Usual;
    };
    return new Map(runs.map(run => [run.task, weigh(run) - run.charge]));
}

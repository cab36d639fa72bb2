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
/** From so much and so many lost runs on each further start counts as a doubtful one, however it ends. */
const CHARGED_FROM = 3 * Weight.Doubtful;
const CHARGED_FROM_RUNS = 3;
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

/** What lost runs say against their task. */
export interface Evidence {
    readonly weight: number;
    /** How many runs it stands for. */
    readonly lostRuns: number;
}

const NO_EVIDENCE: Evidence = { weight: Weight.None, lostRuns: 0 };

interface Loss {
    readonly worker: entries.WorkerEntry;
    readonly silentSince: number;
    readonly at: number;
    readonly runs: readonly LostRun[];
    readonly freshJobs: ReadonlySet<entries.JobEntry>;
    /** It was about to be taken away. */
    readonly leaves: boolean;
    restarted: boolean;
    /** The same life of the worker has answered again: it was only out of reach. */
    disproved: boolean;
    /** What is counted of it at present. */
    evidence: ReadonlyMap<entries.TaskEntry, Evidence>;
}

export interface CrashJudgeOptions {
    readonly clock: clock.Clock;
    getWorkers(): Iterable<entries.WorkerEntry>;
    /** What can be known of a loss is known by now, or more than before: its weight on the task changes by that much. */
    onReviewed(task: entries.TaskEntry, change: Evidence): void;
}

export interface CrashJudge {
    /** Of the runs that are lost with the worker now; `restarted`: another life of it has answered. */
    weigh(worker: entries.WorkerEntry, restarted: boolean): ReadonlyMap<entries.TaskEntry, Evidence>;
    /** The directory lists the worker, or it answers. */
    noteWorker(worker: Place & Pick<entries.WorkerInfo, "id">): void;
}

type Place = Pick<entries.WorkerInfo, "address" | "rack">;

export function createCrashJudge(options: CrashJudgeOptions): CrashJudge {
    const { clock: time } = options;
    /** The latest of each worker, the oldest first. */
    const losses = new Map<string, Loss>();
    const lossesByAddress = new Map<string, Loss>();
    const lastIds = new Map<string, string>();
    /** When each address was last found to have another worker than before, and the rack that it is in. */
    const restarts = new Map<string, { readonly at: number; readonly rack: string; }>();

    const forgetOld = () => {
        const since = time.now() - REMEMBERED_MS;
        dropOld(losses, since);
        dropOld(lossesByAddress, since);
        dropOld(restarts, since);
    };
    const isLostTogether = (loss: Loss, since: number | undefined) =>
        since !== undefined && Math.abs(since - loss.silentSince) <= SILENT_TOGETHER_MS;
    function* listSilent(loss: Loss): Iterable<string> {
        for (const other of losses.values()) {
            if (isLostTogether(loss, other.silentSince) && !intersect(loss.freshJobs, other.freshJobs)) {
                yield other.worker.info.address;
            }
        }
        for (const other of options.getWorkers()) {
            const freshJobs = isLostTogether(loss, other.silentSince) ? listFreshJobs(listRuns(other)) : undefined;
            if (freshJobs && !intersect(loss.freshJobs, freshJobs)) {
                yield other.info.address;
            }
        }
    }
    function* listBack(loss: Loss): Iterable<string> {
        const { address: ownAddress, rack } = loss.worker.info;
        const ownAt = restarts.get(ownAddress)?.at;
        for (const [address, other] of ownAt === undefined ? [] : restarts) {
            const related = lossesByAddress.get(address);
            const isRelated = related !== undefined && intersect(loss.freshJobs, related.freshJobs);
            if (other.rack === rack && Math.abs(other.at - ownAt!) <= BACK_TOGETHER_MS && !isRelated) {
                yield address;
            }
        }
    }
    /** Whether others fell silent with this one, and not under the same job. */
    const areOthersSilent = (loss: Loss) => hasOthers(listSilent(loss), loss.worker.info.address, LEAST_SILENT);
    /** Whether others of its rack are back at the same time, which were not lost to the same job. */
    const isRackBack = (loss: Loss) => hasOthers(listBack(loss), loss.worker.info.address, LEAST_BACK);
    const weighLoss = (loss: Loss): ReadonlyMap<entries.TaskEntry, Evidence> =>
        loss.disproved
            ? new Map()
            : weighAll(loss, { areOthersSilent: areOthersSilent(loss), isRackBack: isRackBack(loss) });
    const review = (loss: Loss) => {
        const before = loss.evidence;
        loss.evidence = weighLoss(loss);
        for (const { task } of loss.runs) {
            options.onReviewed(task, subtract(loss.evidence.get(task), before.get(task)));
        }
    };
    const noteRestart = ({ address, rack }: Place) => {
        put(restarts, address, { at: time.now(), rack });
        const loss = lossesByAddress.get(address);
        if (loss && !loss.restarted) {
            loss.restarted = true;
            review(loss);
            time.setTimer(REVIEW_MS, () => review(loss));
        }
    };
    return {
        weigh: (worker, restarted) => {
            forgetOld();
            if (restarted) {
                noteRestart(worker.info);
            }
            const leaves = worker.info.draining || worker.reserved;
            const runs = listRuns(worker).filter(run => !leaves || run.charge > 0);
            if (runs.length === 0) {
                return new Map();
            }
            const at = time.now();
            const silentSince = worker.silentSince ?? at;
            const loss: Loss = {
                worker,
                silentSince,
                at,
                runs,
                freshJobs: listFreshJobs(runs),
                leaves,
                restarted,
                disproved: false,
                evidence: new Map(),
            };
            put(losses, worker.id, loss);
            put(lossesByAddress, worker.info.address, loss);
            loss.evidence = weighLoss(loss);
            time.setTimer(REVIEW_MS, () => review(loss));
            return loss.evidence;
        },
        noteWorker: ({ id, address, rack }) => {
            const before = lastIds.get(address);
            lastIds.set(address, id);
            const loss = losses.get(id);
            if (loss && !loss.restarted) {
                loss.disproved = true;
                review(loss);
            }
            if (before !== undefined && before !== id) {
                noteRestart({ address, rack });
            }
        },
    };
}

function subtract(now = NO_EVIDENCE, before = NO_EVIDENCE): Evidence {
    return { weight: now.weight - before.weight, lostRuns: now.lostRuns - before.lostRuns };
}

/** Entries in the order in which they were put. */
function put<T>(map: Map<string, T>, key: string, value: T): void {
    map.delete(key);
    map.set(key, value);
}

function dropOld(map: Map<string, { readonly at: number; }>, since: number): void {
    for (const [key, { at }] of map) {
        if (at >= since) {
            return;
        }
        map.delete(key);
    }
}

/** Stops at `least`: of hundreds of workers that are lost at once each is weighed. */
function hasOthers(addresses: Iterable<string>, own: string, least: number): boolean {
    const others = new Set<string>();
    for (const address of addresses) {
        if (address !== own && others.add(address).size >= least) {
            return true;
        }
    }
    return false;
}

function intersect<T>(a: ReadonlySet<T>, b: ReadonlySet<T>): boolean {
    return [...a].some(item => b.has(item));
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
export function getStartCharge({ crashWeight, lostRuns }: CrashRecord): number {
    return crashWeight >= CHARGED_FROM && lostRuns >= CHARGED_FROM_RUNS ? Weight.Doubtful : Weight.None;
}

/** What the run under way was counted for, of a weight that holds it already. */
export function getHeldCharge({ crashWeight, lostRuns }: CrashRecord): number {
    return getStartCharge({ crashWeight: crashWeight - Weight.Doubtful, lostRuns });
}

type CrashRecord = Pick<entries.TaskEntry, "crashWeight" | "lostRuns">;

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
    for (const task of worker.tasks) {
        if (isSuspect(task) && isUnsettled(task)) {
            return true;
        }
    }
    return false;
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
    readonly areOthersSilent: boolean;
    readonly isRackBack: boolean;
}

function weighAll(
    { runs, freshJobs, leaves, restarted }: Loss,
    others: Others,
): ReadonlyMap<entries.TaskEntry, Evidence> {
    const fresh = runs.filter(run => run.age === "fresh");
    const suspects = fresh.filter(run => run.isSuspect);
    const blamed = suspects.length > 0 ? suspects : fresh;
    const isAlone = !others.areOthersSilent && !others.isRackBack;
    const isClear = isAlone && (suspects.length > 0 ? listFreshJobs(suspects) : freshJobs).size === 1;
    const weigh = (run: LostRun): Weight => {
        if (run.isProven) {
            return Weight.None;
        }
        if (others.isRackBack) {
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
    return new Map(runs.map(run => [run.task, {
        weight: (leaves ? run.charge : weigh(run)) - run.charge,
        lostRuns: leaves || run.isProven ? 0 : 1,
    }]));
}

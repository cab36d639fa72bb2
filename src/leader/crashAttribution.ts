/**
 * What the loss of a worker says of the tasks that ran on it.
 *
 * A task may take down each worker that starts it. Several tasks run on a worker, and workers also crash alone, with
 * their rack, or are only out of reach. A crash is certain for a run that had just begun on a worker that restarted, with
 * no other cause in sight; every other run that may have taken its worker down is counted as a possible crash. Where many
 * workers crash, a task that takes each of its workers down would otherwise be excused without end.
 */
import type * as clock from "../clock/index";
import * as crashHistory from "./crashHistory";
import type * as entries from "./entries";
import * as lostRuns from "./lostRuns";

/** Workers that fall silent this close to each other may have been lost to one cause: a look waits up to 2 s. */
const SILENT_TOGETHER_MS = 2_500;
/** With so many others silent it is not clear that a task took the worker down. */
const LEAST_SILENT = 2;
/** Workers of a rack that are back this close to each other went down with it: a silent one is looked at every 0.75 s. */
const BACK_TOGETHER_MS = 1_000;
/** With so many others of its rack back at the same time the rack was down, whatever ran there. */
const LEAST_BACK = 3;
/** The directory lists the restarts of idle workers this much later, so a loss is judged once more. */
const REVIEW_MS = 2_000;
/** How long a loss is remembered for those that follow from the same cause, and for the worker's next life. */
const REMEMBERED_MS = 30_000;

interface Loss {
    readonly worker: entries.WorkerEntry;
    readonly silentSince: number;
    readonly at: number;
    readonly recentJobs: ReadonlySet<entries.JobEntry>;
    /** It was about to be taken away. */
    readonly wasLeaving: boolean;
    restarted: boolean;
    /** The same life of the worker has answered again: it was only out of reach. */
    disproved: boolean;
    /** What each task is told of it. */
    readonly told: ReadonlyMap<lostRuns.LostRun, crashHistory.RunLoss>;
}

export interface CrashAttributionOptions {
    readonly clock: clock.Clock;
    getWorkers(): Iterable<entries.WorkerEntry>;
    /** How long a run of the step's tasks is expected to take. */
    estimateRunMs(step: entries.StepEntry): number;
    /** What can be known of a loss is known by now, or more than before; `hasChanged`: the task's counts have. */
    onReviewed(task: entries.TaskEntry, hasChanged: boolean): void;
}

export interface CrashAttribution {
    /** Of the runs that are lost with the worker now. */
    attributeLoss(worker: entries.WorkerEntry, how: HowLost): ReadonlyMap<entries.TaskEntry, crashHistory.RunLoss>;
    /** The directory lists the worker, or it answers. */
    recordWorkerSeen(worker: Place & Pick<entries.WorkerInfo, "id">): void;
}

interface HowLost {
    /** Another life of it is there, or another worker at its address. */
    readonly restarted: boolean;
    /** It has started again under its name. */
    readonly hasNextIncarnation: boolean;
}

type Place = Pick<entries.WorkerInfo, "address" | "rack">;

export function createCrashAttribution(options: CrashAttributionOptions): CrashAttribution {
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
            if (isLostTogether(loss, other.silentSince) && !intersect(loss.recentJobs, other.recentJobs)) {
                yield other.worker.info.address;
            }
        }
        for (const other of options.getWorkers()) {
            const freshJobs = isLostTogether(loss, other.unreachableSince)
                ? lostRuns.getRecentJobs(lostRuns.listLostRuns(other, options))
                : undefined;
            if (freshJobs && !intersect(loss.recentJobs, freshJobs)) {
                yield other.info.address;
            }
        }
    }
    function* listBack(loss: Loss): Iterable<string> {
        const { address: ownAddress, rack } = loss.worker.info;
        const ownAt = restarts.get(ownAddress)?.at;
        for (const [address, other] of ownAt === undefined ? [] : restarts) {
            const related = lossesByAddress.get(address);
            const isRelated = related !== undefined && intersect(loss.recentJobs, related.recentJobs);
            if (other.rack === rack && Math.abs(other.at - ownAt!) <= BACK_TOGETHER_MS && !isRelated) {
                yield address;
            }
        }
    }
    /** Whether others fell silent with this one, and not under the same job. */
    const areOthersSilent = (loss: Loss) => hasOthers(listSilent(loss), loss.worker.info.address, LEAST_SILENT);
    /** Whether others of its rack are back at the same time, which were not lost to the same job. */
    const isRackBack = (loss: Loss) => hasOthers(listBack(loss), loss.worker.info.address, LEAST_BACK);
    const judgeLoss = (loss: Loss): boolean => {
        const certainties = lostRuns.attributeCrashes([...loss.told.keys()], {
            ...loss,
            wereOthersUnreachable: areOthersSilent(loss),
            didRackRestart: isRackBack(loss),
        });
        let hasChanged = false;
        for (const [run, told] of loss.told) {
            const certainty = certainties.get(run) ?? crashHistory.Certainty.None;
            hasChanged ||= told.certainty !== certainty || told.isDisproved !== loss.disproved;
            told.certainty = certainty;
            told.isDisproved = loss.disproved;
        }
        return hasChanged;
    };
    const review = (loss: Loss) => {
        const hasChanged = judgeLoss(loss);
        for (const { task } of loss.told.keys()) {
            options.onReviewed(task, hasChanged);
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
        attributeLoss: (worker, { restarted, hasNextIncarnation: hasNextLife }) => {
            forgetOld();
            if (restarted) {
                noteRestart(worker.info);
            }
            const leaves = worker.info.draining || worker.reserved;
            const succeededAt = restarted ? time.now() : undefined;
            const { estimateRunMs: expectRun } = options;
            const runs = lostRuns.listLostRuns(worker, {
                successorSeenAt: succeededAt,
                hasNextIncarnation: hasNextLife,
                estimateRunMs: expectRun,
            }).filter(run => !run.isProven);
            if (runs.length === 0) {
                return new Map();
            }
            const at = time.now();
            const silentSince = worker.unreachableSince ?? at;
            const loss: Loss = {
                worker,
                silentSince,
                at,
                recentJobs: lostRuns.getRecentJobs(runs),
                wasLeaving: leaves,
                restarted,
                disproved: false,
                told: new Map(runs.map(run => [run, createLoss(run)])),
            };
            put(losses, worker.id, loss);
            put(lossesByAddress, worker.info.address, loss);
            judgeLoss(loss);
            time.setTimer(REVIEW_MS, () => review(loss));
            return new Map([...loss.told].map(([{ task }, told]) => [task, told]));
        },
        recordWorkerSeen: ({ id, address, rack }) => {
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

function createLoss({ mostAgeMs }: lostRuns.LostRun): crashHistory.RunLoss {
    return { mostAgeMs, certainty: crashHistory.Certainty.None, isDisproved: false };
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

/** Stops at `least`: of hundreds of workers that are lost at once each is judged. */
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

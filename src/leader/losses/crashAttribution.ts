/**
 * Attributes the loss of a worker to the runs that it had.
 *
 * A task may crash every worker that starts it. But a worker has several tasks, and workers also crash by themselves or
 * with their rack, or are merely unreachable. A crash is certain for a run that had just begun on a worker that
 * restarted, if no other cause is known. Every other run that may have crashed its worker counts as a possible crash:
 * otherwise a crashing task would never be given up where many workers crash.
 */
import type * as clock from "../../clock/index";
import * as crashHistory from "../crashHistory";
import type * as entries from "../entries";
import * as lostRuns from "./lostRuns";

/** Workers that become unreachable within this time may share a cause: a poll waits up to 2 s. */
const LOST_TOGETHER_MS = 2_500;
/** If this many other workers are unreachable, the crash is not certainly caused by a task. */
const MIN_OTHERS_UNREACHABLE = 2;
/** Workers of a rack that restart within this time crashed with it: an unreachable one is polled every 0.75 s. */
const RESTARTED_TOGETHER_MS = 1_000;
/** If this many other workers of the rack restarted at the same time, the rack is the cause. */
const MIN_OTHERS_RESTARTED = 3;
/** A loss is attributed again after this time, when the directory lists the restarts of idle workers too. */
const REVIEW_DELAY_MS = 2_000;
/** How long a loss is kept, for later losses of the same cause and for the worker's next incarnation. */
const LOSS_RETENTION_MS = 30_000;

interface WorkerLoss {
    readonly worker: entries.WorkerEntry;
    readonly unreachableSince: number;
    readonly at: number;
    readonly recentJobs: ReadonlySet<entries.JobEntry>;
    /** Whether the worker was draining or reserved for maintenance. */
    readonly wasLeaving: boolean;
    restarted: boolean;
    /** Whether the same incarnation has answered again, so that it was merely unreachable. */
    isDisproved: boolean;
    /** The losses that the tasks' crash histories hold, updated in place, by run. */
    readonly runLosses: ReadonlyMap<lostRuns.LostRun, crashHistory.RunLoss>;
}

/** What the attribution needs from the term. */
export interface CrashAttributionOptions {
    readonly clock: clock.Clock;
    getWorkers(): Iterable<entries.WorkerEntry>;
    /** Expected duration of a run of the step's tasks, in milliseconds. */
    estimateRunMs(step: entries.StepEntry): number;
    /**
     * Called for each task of a loss after it was attributed again; `hasChanged` is whether the task's counts
     * changed.
     */
    onReviewed(task: entries.TaskEntry, hasChanged: boolean): void;
}

/** Attributes losses, and again when more is known of the workers. */
export interface CrashAttribution {
    /** Attributes the loss of the worker; returns the losses of those tasks whose runs may have crashed it. */
    attributeLoss(
        worker: entries.WorkerEntry,
        evidence: LossEvidence,
    ): ReadonlyMap<entries.TaskEntry, crashHistory.RunLoss>;
    /** Records that the directory lists the worker, or that it has answered. */
    recordWorkerSeen(worker: Location & Pick<entries.WorkerInfo, "id">): void;
}

/** What is known of a loss when it is detected. */
interface LossEvidence {
    /** Whether another incarnation or another worker answers at its address. */
    readonly restarted: boolean;
    /** Whether the worker has restarted under its name. */
    readonly hasNextIncarnation: boolean;
}

type Location = Pick<entries.WorkerInfo, "address" | "rack">;

/** Creates the crash attribution of one term. */
export function createCrashAttribution(options: CrashAttributionOptions): CrashAttribution {
    const { clock: time } = options;
    /** The latest loss of each worker by its id, oldest first. */
    const losses = new Map<string, WorkerLoss>();
    const lossesByAddress = new Map<string, WorkerLoss>();
    const lastIdByAddress = new Map<string, string>();
    /** When another worker or incarnation was last found at each address, and its rack. */
    const restarts = new Map<string, { readonly at: number; readonly rack: string; }>();

    const createRunLosses = (runs: readonly lostRuns.LostRun[]) => {
        const runLosses = new Map<lostRuns.LostRun, crashHistory.RunLoss>();
        for (const run of runs) {
            runLosses.set(run, {
                maxAgeMs: run.maxAgeMs,
                certainty: crashHistory.Certainty.None,
                isDisproved: false,
                findOtherCause: () => findOtherCause(run, runLosses),
            });
        }
        return runLosses;
    };
    const dropExpired = () => {
        const since = time.now() - LOSS_RETENTION_MS;
        dropBefore(losses, since);
        dropBefore(lossesByAddress, since);
        dropBefore(restarts, since);
    };
    const isLostTogether = (loss: WorkerLoss, since: number | undefined) =>
        since !== undefined && Math.abs(since - loss.unreachableSince) <= LOST_TOGETHER_MS;
    function* listOthersUnreachable(loss: WorkerLoss): Iterable<string> {
        for (const other of losses.values()) {
            if (isLostTogether(loss, other.unreachableSince) && !intersect(loss.recentJobs, other.recentJobs)) {
                yield other.worker.info.address;
            }
        }
        for (const other of options.getWorkers()) {
            const recentJobs = isLostTogether(loss, other.unreachableSince)
                ? lostRuns.getRecentJobs(lostRuns.listLostRuns(other, options))
                : undefined;
            if (recentJobs && !intersect(loss.recentJobs, recentJobs)) {
                yield other.info.address;
            }
        }
    }
    function* listOthersRestarted(loss: WorkerLoss): Iterable<string> {
        const { address: ownAddress, rack } = loss.worker.info;
        const ownAt = restarts.get(ownAddress)?.at;
        for (const [address, other] of ownAt === undefined ? [] : restarts) {
            const related = lossesByAddress.get(address);
            const isRelated = related !== undefined && intersect(loss.recentJobs, related.recentJobs);
            if (other.rack === rack && Math.abs(other.at - ownAt!) <= RESTARTED_TOGETHER_MS && !isRelated) {
                yield address;
            }
        }
    }
    /** Whether other workers, without a recent run of the same jobs, became unreachable at the same time. */
    const areOthersUnreachable = (loss: WorkerLoss) =>
        hasOthers(listOthersUnreachable(loss), loss.worker.info.address, MIN_OTHERS_UNREACHABLE);
    /** Whether other workers of its rack, not lost to the same jobs, restarted at the same time. */
    const hasRackRestarted = (loss: WorkerLoss) =>
        hasOthers(listOthersRestarted(loss), loss.worker.info.address, MIN_OTHERS_RESTARTED);
    const updateLoss = (loss: WorkerLoss): boolean => {
        const certainties = lostRuns.attributeCrashes([...loss.runLosses.keys()], {
            ...loss,
            wereOthersUnreachable: areOthersUnreachable(loss),
            didRackRestart: hasRackRestarted(loss),
        });
        let hasChanged = false;
        for (const [run, runLoss] of loss.runLosses) {
            const certainty = certainties.get(run) ?? crashHistory.Certainty.None;
            hasChanged ||= runLoss.certainty !== certainty || runLoss.isDisproved !== loss.isDisproved;
            runLoss.certainty = certainty;
            runLoss.isDisproved = loss.isDisproved;
        }
        return hasChanged;
    };
    const review = (loss: WorkerLoss) => {
        const hasChanged = updateLoss(loss);
        for (const { task } of loss.runLosses.keys()) {
            options.onReviewed(task, hasChanged);
        }
    };
    const recordRestart = ({ address, rack }: Location) => {
        setLast(restarts, address, { at: time.now(), rack });
        const loss = lossesByAddress.get(address);
        if (loss && !loss.restarted) {
            loss.restarted = true;
            review(loss);
            time.setTimer(REVIEW_DELAY_MS, () => review(loss));
        }
    };
    return {
        attributeLoss: (worker, { restarted, hasNextIncarnation }) => {
            dropExpired();
            if (restarted) {
                recordRestart(worker.info);
            }
            const wasLeaving = worker.info.draining || worker.reserved;
            const successorSeenAt = restarted ? time.now() : undefined;
            const { estimateRunMs } = options;
            const runs = lostRuns.listLostRuns(worker, {
                successorSeenAt,
                hasNextIncarnation,
                estimateRunMs,
            }).filter(run => !run.isProven);
            if (runs.length === 0) {
                return new Map();
            }
            const at = time.now();
            const unreachableSince = worker.unreachableSince ?? at;
            const loss: WorkerLoss = {
                worker,
                unreachableSince,
                at,
                recentJobs: lostRuns.getRecentJobs(runs),
                wasLeaving,
                restarted,
                isDisproved: false,
                runLosses: createRunLosses(runs),
            };
            setLast(losses, worker.id, loss);
            setLast(lossesByAddress, worker.info.address, loss);
            updateLoss(loss);
            time.setTimer(REVIEW_DELAY_MS, () => review(loss));
            return new Map([...loss.runLosses].map(([{ task }, runLoss]) => [task, runLoss]));
        },
        recordWorkerSeen: ({ id, address, rack }) => {
            const previousId = lastIdByAddress.get(address);
            lastIdByAddress.set(address, id);
            const loss = losses.get(id);
            if (loss && !loss.restarted) {
                loss.isDisproved = true;
                review(loss);
            }
            if (previousId !== undefined && previousId !== id) {
                recordRestart({ address, rack });
            }
        },
    };
}

/**
 * Finds out whether a run that was never confirmed was lost to the crash of another job's run, which its worker had
 * confirmed.
 */
function findOtherCause(
    run: lostRuns.LostRun,
    runLosses: ReadonlyMap<lostRuns.LostRun, crashHistory.RunLoss>,
): crashHistory.OtherCause {
    const { Certainty, OtherCause } = crashHistory;
    if (run.isConfirmed || run.task.inherited) {
        return OtherCause.None;
    }
    const { job } = run.task.step.occurrence;
    const steps = [...runLosses]
        .filter(([{ task }, loss]) =>
            task.step.occurrence.job !== job && loss.certainty > Certainty.None
            && crashHistory.isUpheld(task.crashes, loss)
        )
        .map(([{ task }]) => task.step);
    if (steps.some(step => step.crashesWorkers)) {
        return OtherCause.Known;
    }
    return steps.some(step => !step.occurrence.isEnded) ? OtherCause.Possible : OtherCause.None;
}

/** Sets the entry and moves it to the end of the map's order. */
function setLast<T>(map: Map<string, T>, key: string, value: T): void {
    map.delete(key);
    map.set(key, value);
}

function dropBefore(map: Map<string, { readonly at: number; }>, since: number): void {
    for (const [key, { at }] of map) {
        if (at >= since) {
            return;
        }
        map.delete(key);
    }
}

/** Stops counting at `min`, since hundreds of workers may be lost at once. */
function hasOthers(addresses: Iterable<string>, own: string, min: number): boolean {
    const others = new Set<string>();
    for (const address of addresses) {
        if (address !== own && others.add(address).size >= min) {
            return true;
        }
    }
    return false;
}

function intersect<T>(a: ReadonlySet<T>, b: ReadonlySet<T>): boolean {
    return [...a].some(item => b.has(item));
}

/**
 * The workers that the leader knows from the directory, stored rows and answers, one entry per incarnation. Decides
 * which incarnation of a worker is the current one, and passes on to it the orders that may have reached it instead of
 * its predecessor.
 */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import type * as directory from "../directory";
import * as entries from "../entries";
import * as incarnations from "../incarnation";
import type * as jobRegistry from "../jobRegistry";
import type * as leases from "../lease/index";
import * as leaseExpiry from "./leaseExpiry";
import type * as unansweredStarts from "./unansweredStarts";
import type * as workerSession from "./workerSession";

/** What the registry needs from the term. */
export interface WorkerRegistryOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly leadership: leases.Leadership;
    readonly maxLeaseMs: number;
    readonly jobRegistry: Pick<jobRegistry.JobRegistry, "handleWorkerLoss" | "crashAttribution" | "getTask">;
    /** Removes workers that no queue can use. */
    filterKnownServices<T extends entries.WorkerInfo>(listed: readonly T[]): readonly T[];
    openSession(worker: entries.WorkerEntry): workerSession.WorkerSession;
    readonly unansweredStarts: Pick<unansweredStarts.UnansweredStarts, "list">;
    /** Stops a run whose start got no answer, so that the worker's current incarnation refuses the delayed order. */
    closeRun(worker: entries.WorkerEntry, task: string, run: number): void;
    /** Called when a task may have become startable. */
    onChanged(): void;
}

/** Holds the workers and their sessions. */
export interface WorkerRegistry {
    /** All known incarnations by id. */
    readonly workers: ReadonlyMap<string, entries.WorkerEntry>;
    /** Returns the incarnation with that id; creates an entry without further information if it is unknown. */
    getWorker(id: string): entries.WorkerEntry;
    /** Returns the current incarnation of the worker with that name. */
    findCurrent(name: string): entries.WorkerEntry | undefined;
    getSession(worker: entries.WorkerEntry): workerSession.WorkerSession | undefined;
    /** Updates the workers from the directory's complete list. */
    applyDirectory(listed: readonly directory.ListedWorker[]): void;
    /** The worker's incarnation has answered. */
    onConfirmed(worker: entries.WorkerEntry): void;
    /** Another worker answers at the address, or all leases there have expired. */
    onLost(worker: entries.WorkerEntry, reason: "otherLife" | "lapsed"): void;
    /** The worker's next incarnation has answered. */
    onNextIncarnation(
        worker: entries.WorkerEntry,
        next: incarnations.Incarnation,
        pollResult: workerSession.PollResult,
    ): void;
    closeSessions(): void;
}

type ListedIncarnation = entries.WorkerInfo & Pick<directory.ListedWorker, "reportedAt">;

/** Creates an empty registry. */
export function createWorkerRegistry(options: WorkerRegistryOptions): WorkerRegistry {
    const { clock: time, log, jobRegistry: jobs } = options;
    const workers = new Map<string, entries.WorkerEntry>();
    const sessions = new Map<string, workerSession.WorkerSession>();
    const byName = new Map<string, Set<entries.WorkerEntry>>();
    const current = incarnations.createCurrentIncarnations();

    const getWorker = (id: string): entries.WorkerEntry => {
        let worker = workers.get(id);
        if (!worker) {
            worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo(id));
            worker.listed = false;
            workers.set(id, worker);
            byName.set(worker.incarnation.name, (byName.get(worker.incarnation.name) ?? new Set()).add(worker));
            current.restore(worker.incarnation);
        }
        return worker;
    };
    const remove = (worker: entries.WorkerEntry) => {
        sessions.get(worker.id)?.close();
        sessions.delete(worker.id);
        workers.delete(worker.id);
        byName.get(worker.incarnation.name)?.delete(worker);
    };
    const openSession = (worker: entries.WorkerEntry) => {
        jobs.crashAttribution.recordWorkerSeen(worker.info);
        sessions.set(worker.id, options.openSession(worker));
    };
    /** Makes a new incarnation refuse the start orders that may still reach it, except of runs that continue there. */
    const closeUnansweredStarts = (worker: entries.WorkerEntry) => {
        const starts = options.unansweredStarts.list(worker.incarnation.name)
            .filter(start => jobs.getTask(start.task)?.worker !== worker);
        if (starts.length > 0) {
            log.info("unansweredStartsClosed", { worker: worker.id, starts: starts.length });
        }
        starts.forEach(({ task, run }) => options.closeRun(worker, task, run));
    };
    /** Replaces an incarnation by its successor; `pollResult` is the successor's answer, if it has answered. */
    const replaceIncarnation = (
        previous: entries.WorkerEntry,
        next: entries.WorkerEntry,
        pollResult?: workerSession.PollResult,
    ) => {
        log.info("workerRestarted", { worker: next.id, before: previous.id, tasks: previous.tasks.size });
        sessions.get(previous.id)?.close();
        sessions.delete(previous.id);
        if (!sessions.has(next.id)) {
            openSession(next);
        }
        jobs.handleWorkerLoss(previous, "otherLife", { worker: next, pollResult });
        closeUnansweredStarts(next);
        remove(previous);
    };
    /** Lists the entries of the worker's earlier incarnations. */
    const listEarlier = ({ incarnation }: entries.WorkerEntry) =>
        [...byName.get(incarnation.name) ?? []].filter(other => other.incarnation.startedAt < incarnation.startedAt);

    /** Returns `undefined` if the incarnation has ended. */
    const toIncarnation = ({ name, startedAt, ...info }: directory.ListedWorker): ListedIncarnation | undefined => {
        const incarnation = current.list({ name, startedAt });
        return incarnation && { ...info, id: incarnations.getIncarnationId(incarnation) };
    };
    const updateListed = (info: ListedIncarnation) => {
        const worker = getWorker(info.id);
        worker.info = info;
        worker.reportedAt = info.reportedAt;
        worker.listed = true;
        if (info.draining && worker.drainingSince === undefined) {
            worker.drainingSince = time.now();
            log.info("workerDraining", { worker: info.id, remainingMs: info.remainingMs });
        }
        return worker;
    };
    /** Opens the session unless the previous incarnation must first be polled for the fate of its tasks. */
    const openListedSession = (worker: entries.WorkerEntry) => {
        for (const previous of listEarlier(worker)) {
            const session = sessions.get(previous.id);
            if (session && previous.tasks.size > 0) {
                session.pollNow();
                return;
            }
            replaceIncarnation(previous, worker);
        }
        if (!sessions.has(worker.id)) {
            openSession(worker);
            closeUnansweredStarts(worker);
        }
    };
    const handleUnlisted = (worker: entries.WorkerEntry) => {
        if (worker.listed) {
            log.info("workerUnlisted", { worker: worker.id, tasks: worker.tasks.size });
        }
        worker.listed = false;
        if (worker.tasks.size === 0) {
            remove(worker);
        }
        else if (!sessions.has(worker.id)) {
            // It has not been listed since the takeover, so its address is unknown and only its leases can expire.
            const { leadership, maxLeaseMs } = options;
            markLostAfterExpiry(worker, { clock: time, leadership, maxLeaseMs, jobRegistry: jobs });
        }
    };

    return {
        workers,
        getWorker,
        findCurrent: name => workers.get(incarnations.getIncarnationId(current.get(name))),
        getSession: worker => sessions.get(worker.id),
        applyDirectory: all => {
            const listed = options.filterKnownServices(all.map(toIncarnation).filter(info => info !== undefined));
            const listedIds = new Set(listed.map(info => info.id));
            for (const info of listed) {
                const worker = updateListed(info);
                if (!sessions.has(info.id)) {
                    openListedSession(worker);
                }
            }
            for (const worker of [...workers.values()]) {
                if (!listedIds.has(worker.id)) {
                    handleUnlisted(worker);
                }
            }
            options.onChanged();
        },
        onConfirmed: worker => void current.confirm(worker.incarnation),
        onLost: (worker, reason) => {
            jobs.handleWorkerLoss(worker, reason);
            if (reason === "otherLife") {
                remove(worker);
            }
        },
        onNextIncarnation: (worker, { name, startedAt }, pollResult) => {
            const id = incarnations.getIncarnationId(current.confirm({ name, startedAt }));
            const next = getWorker(id);
            if (!next.listed) {
                next.info = { ...worker.info, id };
            }
            replaceIncarnation(worker, next, pollResult);
            options.onChanged();
        },
        closeSessions: () => sessions.forEach(session => session.close()),
    };
}

/** Reports the tasks of an unreachable worker as lost once the last lease that any leader granted it has expired. */
function markLostAfterExpiry(
    worker: entries.WorkerEntry,
    options: {
        readonly clock: clock.Clock;
        readonly leadership: leases.Leadership;
        readonly maxLeaseMs: number;
        readonly jobRegistry: Pick<jobRegistry.JobRegistry, "handleWorkerLoss">;
    },
): void {
    if (options.clock.now() > leaseExpiry.getExpiresAt(options.leadership.predecessorsInactiveAt, options.maxLeaseMs)) {
        options.jobRegistry.handleWorkerLoss(worker, "lapsed");
    }
}

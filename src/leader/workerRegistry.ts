/**
 * The workers that the leader knows, each by its life: from the directory, from stored rows, and from answers. Decides
 * which life of a worker is the present one, and hands over to it what may have reached it in place of the one before.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as directory from "./directory";
import * as entries from "./entries";
import type * as heldLease from "./heldLease";
import * as lives from "./incarnation";
import type * as bookOfTasks from "./jobRegistry";
import * as watch from "./taskWatchdog";
import type * as workerSession from "./workerSession";

export interface WorkerRegistryOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly leadership: heldLease.Leadership;
    readonly maxLeaseMs: number;
    readonly jobRegistry: Pick<bookOfTasks.JobRegistry, "loseTasksOf" | "crashAttribution">;
    /** Leaves out workers that no queue can use. */
    filterKnownServices<T extends entries.WorkerInfo>(listed: readonly T[]): readonly T[];
    openSession(worker: entries.WorkerEntry): workerSession.WorkerSession;
    /** Sees to it that a start that got no answer is not carried out by the worker's present life. */
    closeRun(worker: entries.WorkerEntry, task: string, run: number): void;
    /** Something may now be startable. */
    onChanged(): void;
}

export interface WorkerRegistry {
    readonly workers: ReadonlyMap<string, entries.WorkerEntry>;
    /** The life of that id; one of which nothing else is known where it is not listed. */
    getWorker(id: string): entries.WorkerEntry;
    /** The present life of the worker of that name. */
    findCurrent(name: string): entries.WorkerEntry | undefined;
    getSession(worker: entries.WorkerEntry): workerSession.WorkerSession | undefined;
    applyDirectory(listed: readonly directory.ListedWorker[]): void;
    /** Another worker answers at the address, or all that ran there has lapsed. */
    onLost(worker: entries.WorkerEntry, how: "otherLife" | "lapsed"): void;
    /** The worker's next life has answered. */
    onNextIncarnation(worker: entries.WorkerEntry, next: lives.Incarnation, lists: workerSession.PollResult): void;
    closeSessions(): void;
}

type ListedLife = entries.WorkerInfo & Pick<directory.ListedWorker, "reportedAt">;

export function createWorkerRegistry(options: WorkerRegistryOptions): WorkerRegistry {
    const { clock: time, log, jobRegistry: book } = options;
    const workers = new Map<string, entries.WorkerEntry>();
    const sessions = new Map<string, workerSession.WorkerSession>();
    const byName = new Map<string, Set<entries.WorkerEntry>>();
    const newest = lives.createLatestIncarnations();

    const getLife = (id: string): entries.WorkerEntry => {
        let worker = workers.get(id);
        if (!worker) {
            worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo(id));
            worker.listed = false;
            workers.set(id, worker);
            byName.set(worker.incarnation.name, (byName.get(worker.incarnation.name) ?? new Set()).add(worker));
            newest.record(worker.incarnation);
        }
        return worker;
    };
    const forget = (worker: entries.WorkerEntry) => {
        sessions.get(worker.id)?.close();
        sessions.delete(worker.id);
        workers.delete(worker.id);
        byName.get(worker.incarnation.name)?.delete(worker);
    };
    const openSession = (worker: entries.WorkerEntry) => {
        book.crashAttribution.recordWorkerSeen(worker.info);
        sessions.set(worker.id, options.openSession(worker));
    };
    /** `lists`: what the next life has told, if it has answered. */
    const succeed = (before: entries.WorkerEntry, next: entries.WorkerEntry, lists?: workerSession.PollResult) => {
        log.info("workerRestarted", { worker: next.id, before: before.id, tasks: before.tasks.size });
        sessions.get(before.id)?.close();
        sessions.delete(before.id);
        if (!sessions.has(next.id)) {
            openSession(next);
        }
        book.loseTasksOf(before, "otherLife", { worker: next, pollResult: lists });
        for (const [task, run] of before.unconfirmedStarts) {
            options.closeRun(next, task, run);
        }
        forget(before);
    };
    /** The lives before this one of which something may still be known. */
    const listEarlier = ({ incarnation: life }: entries.WorkerEntry) =>
        [...byName.get(life.name) ?? []].filter(other => other.incarnation.startedAt < life.startedAt);

    /** `undefined`: the life is over, and the directory is behind. */
    const toLife = ({ name, startedAt: bornAt, ...info }: directory.ListedWorker): ListedLife | undefined => {
        const present = newest.record({ name, startedAt: bornAt });
        return bornAt === 0 || present.startedAt === bornAt
            ? { ...info, id: lives.getIncarnationId(present) }
            : undefined;
    };
    const noteListed = (info: ListedLife) => {
        const worker = getLife(info.id);
        worker.info = info;
        worker.reportedAt = info.reportedAt;
        worker.listed = true;
        if (info.draining && worker.drainingSince === undefined) {
            worker.drainingSince = time.now();
            log.info("workerDraining", { worker: info.id, remainingMs: info.remainingMs });
        }
        return worker;
    };
    /** Opens the session unless the life before is still to be asked what became of its tasks. */
    const openListed = (worker: entries.WorkerEntry) => {
        for (const before of listEarlier(worker)) {
            const session = sessions.get(before.id);
            if (session && before.tasks.size > 0) {
                session.pollNow();
                return;
            }
            succeed(before, worker);
        }
        if (!sessions.has(worker.id)) {
            openSession(worker);
        }
    };
    const noteUnlisted = (worker: entries.WorkerEntry) => {
        if (worker.listed) {
            log.info("workerUnlisted", { worker: worker.id, tasks: worker.tasks.size });
        }
        worker.listed = false;
        if (worker.tasks.size === 0) {
            forget(worker);
        }
        else if (!sessions.has(worker.id)) {
            // Not listed since before the takeover: it cannot be reached, only waited for.
            const { leadership, maxLeaseMs } = options;
            watch.markLostAfterExpiry(worker, { clock: time, leadership, maxLeaseMs, jobRegistry: book });
        }
    };

    return {
        workers: workers,
        getWorker: getLife,
        findCurrent: name => workers.get(lives.getIncarnationId(newest.record({ name, startedAt: 0 }))),
        getSession: worker => sessions.get(worker.id),
        applyDirectory: all => {
            const listed = options.filterKnownServices(all.map(toLife).filter(info => info !== undefined));
            const present = new Set(listed.map(info => info.id));
            for (const info of listed) {
                const worker = noteListed(info);
                if (!sessions.has(info.id)) {
                    openListed(worker);
                }
            }
            for (const worker of [...workers.values()]) {
                if (!present.has(worker.id)) {
                    noteUnlisted(worker);
                }
            }
            options.onChanged();
        },
        onLost: (worker, how) => {
            book.loseTasksOf(worker, how);
            if (how === "otherLife") {
                forget(worker);
            }
        },
        onNextIncarnation: (worker, { name, startedAt: bornAt }, lists) => {
            const life = newest.record({ name, startedAt: bornAt });
            const id = lives.getIncarnationId(life);
            const next = getLife(id);
            if (!next.listed) {
                next.info = { ...worker.info, id };
            }
            succeed(worker, next, lists);
            options.onChanged();
        },
        closeSessions: () => sessions.forEach(session => session.close()),
    };
}

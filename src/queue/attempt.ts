/**
 * Runs one attempt of a job, from the write that claims its row until the final state of each task is known.
 *
 * All members of a gang are prepared before any is started, and when one does not start, all are stopped. A task whose
 * reply was lost is stopped with a tombstone: the worker then replies whether the task ever started.
 */
import * as platform from "../backing/index";
import type * as clock from "../clock/index";
import * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as workers from "../workers/index";
import type * as queueEntry from "./entry";
import * as scheduler from "./scheduler";

/** The result of an attempt. */
export type AttemptEnd =
    | { readonly kind: "finished"; readonly ranMs: number; readonly digest: string; readonly length: number; }
    /** A task failed on this worker without having been stopped. */
    | { readonly kind: "failed"; readonly workerId: string; readonly message: string; }
    /** No task started, or all that did were stopped; `savedMs` is the minimum run time saved by the members. */
    | { readonly kind: "stopped"; readonly started: boolean; readonly savedMs: number; }
    /** The task on this worker may have run, and the worker is lost. */
    | { readonly kind: "lost"; readonly workerId: string; }
    /**
     * Another owner has changed the row, or it could not be written: no command was sent. Also the result when this
     * owner stops. `found` is the current row, if known.
     */
    | { readonly kind: "notClaimed"; readonly found: jobs.VersionedRow | undefined; };

/** The final state of one task. */
type TaskEnd =
    | { readonly kind: "neverStarted"; }
    | { readonly kind: "finished"; }
    | { readonly kind: "failed"; readonly message: string; }
    | { readonly kind: "stopped"; readonly savedMs: number; }
    | { readonly kind: "lost"; };

/** Runs the attempts of a zone's jobs. */
export interface AttemptRunner {
    /** Claims the job by writing its row, then runs it on the members. */
    run(entry: queueEntry.QueueEntry, members: queueEntry.Members): Promise<AttemptEnd>;
    /** Monitors an attempt that a previous owner of the queue claimed. */
    adopt(entry: queueEntry.QueueEntry, members: queueEntry.Members): Promise<AttemptEnd>;
}

/** What the attempts of a zone's jobs use. */
export interface AttemptOptions {
    readonly store: jobs.JobStore;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly retry: platform.RetryPolicy;
    readonly signal: AbortSignal;
    readonly leases: workers.LeaseTimes;
    readonly getGraceMs: () => number;
    /** Sends commands to a rack's owner; `undefined` without a reply: the commands may have been carried out. */
    readonly command: (command: peer.RackCommand) => Promise<peer.RackCommandReply | undefined>;
    /** Called when a member has ended, so that its resources can be used again. */
    readonly onMemberEnd: (entry: queueEntry.QueueEntry, index: number) => void;
}

/** A gang of which not all members have started after this time is stopped. */
const GANG_START_TIMEOUT_MS = 5000;
/** Delay before a start or stop command is sent again. */
const STOP_RETRY_MS = 200;

/** Creates the runner; aborting `options.signal` ends all attempts without stopping their tasks. */
export function createAttemptRunner(options: AttemptOptions): AttemptRunner {
    const { store, clock: time, counters, signal } = options;

    /** Sends one action to each of the given members, in one call per rack. Returns the results by member index. */
    const commandAll = async (
        members: queueEntry.Members,
        indexes: readonly number[],
        createAction: (index: number) => peer.TaskCommand["action"],
    ): Promise<Map<number, peer.CommandResult["result"]>> => {
        const byRack = new Map<string, number[]>();
        for (const index of indexes) {
            const rackId = members[index]!.rackId;
            byRack.set(rackId, [...byRack.get(rackId) ?? [], index]);
        }
        const results = new Map<number, peer.CommandResult["result"]>();
        // Racks are called in the same order everywhere, so that two gangs do not each hold half of their common racks.
        const racks = [...byRack].sort(([a], [b]) => a < b ? -1 : 1);
        await Promise.all(racks.map(async ([rackId, rackIndexes]) => {
            const commands = rackIndexes.map(index => ({
                workerId: members[index]!.workerId,
                action: createAction(index),
            }));
            const reply = await options.command({ rackId, commands });
            for (const [position, index] of rackIndexes.entries()) {
                const refusedResult: peer.CommandResult["result"] = { $case: "refused", value: { reason: "notOwner" } };
                const answered = reply?.owner ? reply.results[position]?.result : refusedResult;
                results.set(
                    index,
                    reply ? answered : { $case: "unknown", value: { message: "rack owner not reached" } },
                );
            }
        }));
        return results;
    };

    const getTaskId = (entry: queueEntry.QueueEntry, index: number) =>
        scheduler.getTaskId(entry.job.jobId, entry.job.attempt, index);

    const createAction = (entry: queueEntry.QueueEntry, members: queueEntry.Members, index: number) => ({
        $case: "create" as const,
        value: {
            taskId: getTaskId(entry, index),
            account: entry.job.account,
            needs: members[index]!.needs,
            queueZone: entry.stored.row.zone,
            note: workers.formatTaskNote({
                jobId: entry.job.jobId,
                attempt: entry.job.attempt,
                index,
                members: members.length,
                evictable: entry.job.repeatable,
                urgent: entry.job.jobClass === "urgent",
            }),
            payload: entry.stored.row.spec.payload,
            resumeMs: entry.job.savedMs,
            start: members.length === 1,
        },
    });

    /** Claims the job by a conditional write of its row; only the winner may send commands to workers. */
    const claim = async (
        entry: queueEntry.QueueEntry,
        members: queueEntry.Members,
    ): Promise<AttemptEnd | undefined> => {
        const row: jobs.JobRow = {
            ...entry.stored.row,
            state: "placed",
            attempt: entry.job.attempt,
            members: members.map(member => ({ ...member })),
            savedMs: entry.job.savedMs,
            failedWorkers: [...entry.job.failedWorkers],
        };
        const written = await store.update(entry.stored, row, platform.Priority.Submit);
        switch (written.kind) {
            case "written":
                entry.stored = written.stored;
                return undefined;
            case "conflict":
                return { kind: "notClaimed", found: written.found };
            case "unavailable":
                return { kind: "notClaimed", found: entry.stored };
            case "unknown":
                return readClaim(entry, row, written.writeId);
        }
    };

    /** After a claim whose result is unknown: reads the row until it shows whether this owner's write succeeded. */
    const readClaim = async (
        entry: queueEntry.QueueEntry,
        row: jobs.JobRow,
        writeId: string,
    ): Promise<AttemptEnd | undefined> => {
        let ownWriteId = writeId;
        for (let failures = 1; !signal.aborted; failures++) {
            const found = await store.read(entry.job.jobId);
            if (found.kind === "read" && found.value?.row.writeId === ownWriteId) {
                entry.stored = found.value;
                return undefined;
            }
            if (found.kind === "read") {
                if (!found.value || found.value.version !== entry.stored.version) {
                    return { kind: "notClaimed", found: found.value };
                }
                // Not written yet, but the first write may still arrive. Both are conditional on the version, so that
                // after a second write at most one of them succeeds.
                const rewritten = await store.update(found.value, row, platform.Priority.Submit);
                if (rewritten.kind === "written") {
                    entry.stored = rewritten.stored;
                    return undefined;
                }
                ownWriteId = rewritten.kind === "unknown" ? rewritten.writeId : ownWriteId;
            }
            await time.sleep(options.retry.getDelay(failures), signal);
        }
        return { kind: "notClaimed", found: undefined };
    };

    const isStarted = (answered: peer.CommandResult["result"]) =>
        answered?.$case === "status" && answered.value.state !== "prepared" && answered.value.state !== "tombstoned";

    const isPrepared = (answered: peer.CommandResult["result"]) =>
        answered?.$case === "status" && answered.value.state !== "tombstoned";

    /** Prepares all members, then starts all of them; returns false when the attempt has to be stopped. */
    const start = async (entry: queueEntry.QueueEntry, members: queueEntry.Members): Promise<boolean> => {
        const indexes = [...members.keys()];
        const created = await commandAll(members, indexes, index => createAction(entry, members, index));
        if (members.length === 1) {
            return isStarted(created.get(0));
        }
        if (!indexes.every(index => isPrepared(created.get(index))) || entry.requestedAction !== "run") {
            counters.increment("gangs.notPrepared");
            return false;
        }
        const startDeadlineAt = time.now() + GANG_START_TIMEOUT_MS;
        let pending = indexes;
        while (pending.length > 0 && time.now() < startDeadlineAt && !signal.aborted) {
            const started = await commandAll(members, pending, index => ({
                $case: "start",
                value: { taskId: getTaskId(entry, index) },
            }));
            const refused = pending.some(index => started.get(index)?.$case === "refused");
            pending = pending.filter(index => !isStarted(started.get(index)));
            if (refused || pending.length === 0) {
                break;
            }
            await time.sleep(STOP_RETRY_MS, signal);
        }
        if (pending.length > 0) {
            counters.increment("gangs.notStarted");
            return false;
        }
        await commandAll(members, indexes, index => ({ $case: "confirm", value: { taskId: getTaskId(entry, index) } }));
        return true;
    };

    /**
     * Sends stop commands until the worker reports the task's final state or the task's lease has certainly expired.
     */
    const stopTask = async (
        entry: queueEntry.QueueEntry,
        members: queueEntry.Members,
        index: number,
        mode: workers.StopMode,
    ): Promise<TaskEnd> => {
        const leaseExpiryMs = options.leases.taskMs + options.leases.controlMs;
        const graceEndsAt = time.now() + options.getGraceMs();
        let unreachableSince: number | undefined;
        while (!signal.aborted) {
            const usedMode = time.now() < graceEndsAt ? mode : workers.StopMode.Tombstone;
            const answered = await commandAll(members, [index], () => ({
                $case: "stop",
                value: { taskId: getTaskId(entry, index), mode: usedMode },
            }));
            const outcome = answered.get(index);
            const end = outcome?.$case === "status" ? toTaskEnd(outcome.value) : undefined;
            if (end) {
                options.onMemberEnd(entry, index);
                return end;
            }
            // The rack's owner replies that it has no lease on the worker, so the task's lease is not renewed.
            const isUnreachable = outcome?.$case === "refused" && outcome.value.reason === "unreachable";
            unreachableSince = isUnreachable ? unreachableSince ?? time.now() : undefined;
            if (unreachableSince !== undefined && time.now() - unreachableSince > leaseExpiryMs) {
                options.onMemberEnd(entry, index);
                return { kind: "lost" };
            }
            await time.sleep(STOP_RETRY_MS, signal);
        }
        return { kind: "lost" };
    };

    const stopAll = async (
        entry: queueEntry.QueueEntry,
        members: queueEntry.Members,
        mode: workers.StopMode,
    ): Promise<AttemptEnd> => {
        const ends = await Promise.all([...members.keys()].map(index => stopTask(entry, members, index, mode)));
        const lostIndex = ends.findIndex(end => end.kind === "lost");
        if (lostIndex !== -1) {
            return { kind: "lost", workerId: members[lostIndex]!.workerId };
        }
        for (const [index, end] of ends.entries()) {
            if (end.kind === "failed") {
                return { kind: "failed", workerId: members[index]!.workerId, message: end.message };
            }
        }
        if (ends.every(end => end.kind === "finished")) {
            return awaitAnswer(entry);
        }
        const savedMs = ends.reduce(
            (least, end) => Math.min(least, end.kind === "stopped" ? end.savedMs : 0),
            Infinity,
        );
        return { kind: "stopped", started: ends.some(end => end.kind !== "neverStarted"), savedMs };
    };

    /** Waits until the first member's report carries the digest of the job's answer. */
    const awaitAnswer = async (entry: queueEntry.QueueEntry): Promise<AttemptEnd> => {
        for (;;) {
            const view = entry.reports.get(0);
            if (view?.kind === "reported" && view.report.answerDigest !== "") {
                const { answerDigest, answerLength, ranMs } = view.report;
                return { kind: "finished", ranMs, digest: answerDigest, length: answerLength };
            }
            if (signal.aborted) {
                return { kind: "notClaimed", found: undefined };
            }
            await Promise.race([entry.changed.promise, time.sleep(1000, signal)]);
        }
    };

    /** Follows the reports until all members have finished or the attempt has to be stopped. */
    const monitor = async (entry: queueEntry.QueueEntry, members: queueEntry.Members): Promise<AttemptEnd> => {
        const startedAt = time.now();
        const endedIndexes = new Set<number>();
        while (!signal.aborted) {
            const { changed } = entry;
            const views = [...members.keys()].map(index => entry.reports.get(index));
            for (const [index, view] of views.entries()) {
                if (view?.kind === "reported" && view.report.state === "finished" && !endedIndexes.has(index)) {
                    endedIndexes.add(index);
                    options.onMemberEnd(entry, index);
                }
            }
            if (endedIndexes.size === members.length) {
                return awaitAnswer(entry);
            }
            if (entry.requestedAction === "evict") {
                return stopAll(entry, members, workers.StopMode.Checkpoint);
            }
            const isFailed = views.some(view => view && isFailedView(view));
            const isPartiallyStarted = views.some(view => view?.kind === "reported" && view.report.state === "prepared")
                && time.now() - startedAt > GANG_START_TIMEOUT_MS;
            if (entry.requestedAction === "cancel" || isFailed || isPartiallyStarted) {
                return stopAll(entry, members, workers.StopMode.Tombstone);
            }
            await Promise.race([changed.promise, time.sleep(GANG_START_TIMEOUT_MS, signal)]);
        }
        return { kind: "notClaimed", found: undefined };
    };

    return {
        run: async (entry, members) => {
            const failedClaim = await claim(entry, members);
            if (failedClaim) {
                return failedClaim;
            }
            return await start(entry, members)
                ? monitor(entry, members)
                : stopAll(entry, members, workers.StopMode.Tombstone);
        },
        adopt: monitor,
    };
}

function isFailedView(view: queueEntry.TaskView): boolean {
    if (view.kind === "missing") {
        return true;
    }
    const { state } = view.report;
    return state === "failed" || state === "stopped" || state === "tombstoned";
}

function toTaskEnd(report: peer.TaskReport): TaskEnd | undefined {
    switch (report.state) {
        case "tombstoned":
            return { kind: "neverStarted" };
        case "finished":
            return { kind: "finished" };
        case "failed":
            return { kind: "failed", message: report.message };
        case "stopped":
            return { kind: "stopped", savedMs: report.savedMs };
        default:
            return undefined;
    }
}

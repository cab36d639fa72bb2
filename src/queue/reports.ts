/** Takes in the reports of the zone's racks and hands each task's state to the attempt that waits for it. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as workers from "../workers/index";
import * as queueEntry from "./entry";
import * as scheduler from "./scheduler";

export interface RackReports {
    handle(report: peer.RackReport): peer.RackReportReply;
    hasReported(rackId: string): boolean;
    /** Whether the rack's owner says that the worker takes tasks. */
    isUsable(workerId: string): boolean;
    /** Workers whose rack owner has had no lease on them for long. */
    getLostWorkers(): string[];
    /** The job is ended or not of this queue: its ended tasks may be forgotten, and others of it are stopped. */
    settle(jobId: string): void;
}

interface RackReportsOptions {
    readonly clock: clock.Clock;
    readonly entries: ReadonlyMap<string, queueEntry.QueueEntry>;
    readonly counters: observe.Counters;
    readonly isLoaded: () => boolean;
    /** A task of a job was reported that is not among the entries: its row decides what becomes of the task. */
    readonly onUnknownJob: (jobId: string) => void;
    /** A task holds resources for a job that has ended, or for an attempt that was given up. */
    readonly onOrphan: (rackId: string, task: peer.TaskReport) => void;
}

interface RackState {
    readonly term: number;
    readonly sequence: number;
    readonly heardAt: number;
}

interface WorkerState {
    readonly usable: boolean;
    readonly reachedAt: number;
}

/** A rack whose owner was not heard for this long takes no new tasks. */
const SILENT_RACK_MS = 5000;
/** A worker without a lease for this long counts as lost in the guarantee plan, so that spares take over its homes. */
const LOST_WORKER_MS = 20_000;
/** Ended jobs that are remembered, so that their tasks are told from unknown ones without a read. */
const MAX_SETTLED = 50_000;
/** A task that was just created may be missing from a report that was under way. */
const MISSING_AFTER_MS = 3000;

export function createRackReports(options: RackReportsOptions): RackReports {
    const { clock: time, entries } = options;
    const racks = new Map<string, RackState>();
    const settled = new Set<string>();
    const missingSince = new Map<string, number>();
    const rackOfWorker = new Map<string, string>();
    const workerStates = new Map<string, WorkerState>();

    const noteWorkers = (report: peer.RackReport) => {
        for (const worker of report.workers) {
            const before = workerStates.get(worker.workerId);
            const reachedAt = worker.reached ? time.now() : before?.reachedAt ?? time.now();
            workerStates.set(worker.workerId, { usable: worker.usable, reachedAt });
            rackOfWorker.set(worker.workerId, report.rackId);
        }
    };

    const view = (entry: queueEntry.QueueEntry, index: number, next: queueEntry.TaskView) => {
        const before = entry.reports.get(index);
        entry.reports.set(index, next);
        const isNews = before?.kind !== next.kind
            || (before.kind === "reported" && next.kind === "reported"
                && (before.report.state !== next.report.state
                    || before.report.answerDigest !== next.report.answerDigest));
        if (isNews) {
            queueEntry.wakeEntry(entry);
        }
    };

    /** What the rack may forget, or may renew, of one reported task. */
    const noteTask = (rackId: string, task: peer.TaskReport, reply: peer.RackReportReply) => {
        const note = workers.readNote(task.note);
        const [jobId, attempt, index] = workers.splitTaskId(task.taskId);
        const entry = entries.get(jobId);
        if (!entry && !settled.has(jobId)) {
            // Its end may be unrecorded, though this owner never heard of it: forgetting the task now could lose it.
            if (options.isLoaded()) {
                options.onUnknownJob(jobId);
            }
            return;
        }
        // A job that waits has no task of its own: what is reported then is left of an attempt that was given up. Taking
        // it for news would end the next attempt at its start, again and again.
        if (!entry?.active || Number(attempt) < entry.job.attempt) {
            if (task.state === "prepared" || task.state === "running") {
                options.onOrphan(rackId, task);
            }
            else {
                reply.acknowledged.push(task.taskId);
            }
            return;
        }
        view(entry, Number(index), { kind: "reported", report: task });
        if (task.state === "running" && !task.confirmed && isWhole(entry, note.members)) {
            reply.confirmed.push(task.taskId);
        }
    };

    /** Whether all members of the gang are known to have started. */
    const isWhole = (entry: queueEntry.QueueEntry, members: number) => {
        for (let index = 0; index < members; index++) {
            const seen = entry.reports.get(index);
            if (seen?.kind !== "reported" || (seen.report.state !== "running" && seen.report.state !== "finished")) {
                return false;
            }
        }
        return true;
    };

    const noteMissing = (report: peer.RackReport) => {
        const listed = new Set(report.tasks.map(task => task.taskId));
        const reached = new Set(report.workers.filter(worker => worker.reached).map(worker => worker.workerId));
        for (const entry of entries.values()) {
            if (!entry.active || entry.stored.row.state !== "placed") {
                continue;
            }
            for (const [index, member] of entry.stored.row.members.entries()) {
                const taskId = scheduler.getTaskId(entry.job.jobId, entry.stored.row.attempt, index);
                if (member.rackId !== report.rackId || !reached.has(member.workerId) || listed.has(taskId)) {
                    missingSince.delete(taskId);
                    continue;
                }
                const since = missingSince.get(taskId) ?? time.now();
                missingSince.set(taskId, since);
                if (time.now() - since > MISSING_AFTER_MS) {
                    missingSince.delete(taskId);
                    view(entry, index, { kind: "missing" });
                }
            }
        }
    };

    const isFresh = (rackId: string | undefined) => {
        const heardAt = rackId === undefined ? undefined : racks.get(rackId)?.heardAt;
        return heardAt !== undefined && time.now() - heardAt < SILENT_RACK_MS;
    };

    return {
        handle: report => {
            const reply: peer.RackReportReply = { owner: true, acknowledged: [], confirmed: [] };
            const known = racks.get(report.rackId);
            const isOld = known && (report.term < known.term
                || (report.term === known.term && report.sequence <= known.sequence));
            if (isOld && isFresh(report.rackId)) {
                options.counters.increment("queue.oldReports");
                return { ...reply, owner: false };
            }
            racks.set(report.rackId, { term: report.term, sequence: report.sequence, heardAt: time.now() });
            noteWorkers(report);
            for (const task of report.tasks) {
                noteTask(report.rackId, task, reply);
            }
            if (options.isLoaded()) {
                noteMissing(report);
            }
            return reply;
        },
        hasReported: rackId => racks.has(rackId),
        isUsable: workerId => isFresh(rackOfWorker.get(workerId)) && (workerStates.get(workerId)?.usable ?? false),
        getLostWorkers: () =>
            [...workerStates]
                .filter(([, state]) => time.now() - state.reachedAt > LOST_WORKER_MS)
                .map(([workerId]) => workerId),
        settle: jobId => {
            settled.add(jobId);
            if (settled.size > MAX_SETTLED) {
                settled.delete(settled.values().next().value!);
            }
        },
    };
}

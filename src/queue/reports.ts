/** Processes the reports of the zone's racks and passes each task's state to the attempt that waits for it. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as workers from "../workers/index";
import * as queueEntry from "./entry";
import * as scheduler from "./scheduler";

/** The state of the zone's racks, workers and tasks according to the racks' owners. */
export interface RackReports {
    /** Processes a report; the reply lists the tasks that the rack's owner may forget and those that are confirmed. */
    handle(report: peer.RackReport): peer.RackReportReply;
    /** Whether a report of the rack was ever received. */
    hasReported(rackId: string): boolean;
    /** Whether the rack's latest report is recent and says that the worker takes tasks. */
    isUsable(workerId: string): boolean;
    /** Workers that their rack's owner has not reached for `WORKER_LOST_AFTER_MS`. */
    getLostWorkers(): string[];
    /** Marks a job as ended or not in this queue: its ended tasks may be forgotten, and its other tasks are stopped. */
    markClosed(jobId: string): void;
}

interface RackReportsOptions {
    readonly clock: clock.Clock;
    readonly entries: ReadonlyMap<string, queueEntry.QueueEntry>;
    readonly counters: observe.Counters;
    readonly isLoaded: () => boolean;
    /** Called for a reported task whose job has no entry; the job's row decides how the task is handled. */
    readonly onUnknownJob: (jobId: string) => void;
    /** Called for a task that holds resources for a job that has ended, or for an abandoned attempt. */
    readonly onOrphan: (rackId: string, task: peer.TaskReport) => void;
}

interface RackState {
    readonly term: number;
    readonly sequence: number;
    readonly receivedAt: number;
}

interface WorkerState {
    readonly usable: boolean;
    readonly lastReachableAt: number;
}

/** A rack without a report for this time takes no new tasks. */
const RACK_REPORT_TIMEOUT_MS = 5000;
/**
 * A worker that was unreachable for this time counts as lost in the guarantee plan, so that spares take over its homes.
 */
const WORKER_LOST_AFTER_MS = 20_000;
/** Maximum number of closed jobs that are remembered; a report of a remembered job's task needs no read of its row. */
const MAX_CLOSED_JOBS = 50_000;
/** A task counts as missing after this time: a report that was under way may lack a task that was just created. */
const MISSING_AFTER_MS = 3000;

export function createRackReports(options: RackReportsOptions): RackReports {
    const { clock: time, entries } = options;
    const racks = new Map<string, RackState>();
    const closedJobs = new Set<string>();
    const missingSince = new Map<string, number>();
    const rackByWorker = new Map<string, string>();
    const workerStates = new Map<string, WorkerState>();

    const recordWorkers = (report: peer.RackReport) => {
        for (const worker of report.workers) {
            const before = workerStates.get(worker.workerId);
            const lastReachableAt = worker.reached ? time.now() : before?.lastReachableAt ?? time.now();
            workerStates.set(worker.workerId, { usable: worker.usable, lastReachableAt });
            rackByWorker.set(worker.workerId, report.rackId);
        }
    };

    const updateTaskView = (entry: queueEntry.QueueEntry, index: number, next: queueEntry.TaskView) => {
        const before = entry.reports.get(index);
        entry.reports.set(index, next);
        const isChanged = before?.kind !== next.kind
            || (before.kind === "reported" && next.kind === "reported"
                && (before.report.state !== next.report.state
                    || before.report.answerDigest !== next.report.answerDigest));
        if (isChanged) {
            queueEntry.notifyEntryChanged(entry);
        }
    };

    /** Processes one reported task and adds it to the reply if it may be forgotten or is confirmed. */
    const recordTask = (rackId: string, task: peer.TaskReport, reply: peer.RackReportReply) => {
        const note = workers.parseTaskNote(task.note);
        const [jobId, attempt, index] = workers.parseTaskId(task.taskId);
        const entry = entries.get(jobId);
        if (!entry && !closedJobs.has(jobId)) {
            // The task's end may not be recorded yet; letting the rack forget the task now could lose it.
            if (options.isLoaded()) {
                options.onUnknownJob(jobId);
            }
            return;
        }
        // A waiting job has no tasks: what is reported for it belongs to an abandoned attempt. If it were recorded,
        // each following attempt would end at its start.
        if (!entry?.active || Number(attempt) < entry.job.attempt) {
            if (task.state === "prepared" || task.state === "running") {
                options.onOrphan(rackId, task);
            }
            else {
                reply.acknowledged.push(task.taskId);
            }
            return;
        }
        updateTaskView(entry, Number(index), { kind: "reported", report: task });
        if (task.state === "running" && !task.confirmed && isGangStarted(entry, note.members)) {
            reply.confirmed.push(task.taskId);
        }
    };

    /** Whether all members of the gang are reported as running or finished. */
    const isGangStarted = (entry: queueEntry.QueueEntry, members: number) => {
        for (let index = 0; index < members; index++) {
            const seen = entry.reports.get(index);
            if (seen?.kind !== "reported" || (seen.report.state !== "running" && seen.report.state !== "finished")) {
                return false;
            }
        }
        return true;
    };

    const detectMissingTasks = (report: peer.RackReport) => {
        const listed = new Set(report.tasks.map(task => task.taskId));
        const reachableWorkers = new Set(
            report.workers.filter(worker => worker.reached).map(worker => worker.workerId),
        );
        for (const entry of entries.values()) {
            if (!entry.active || entry.stored.row.state !== "placed") {
                continue;
            }
            for (const [index, member] of entry.stored.row.members.entries()) {
                const taskId = scheduler.getTaskId(entry.job.jobId, entry.stored.row.attempt, index);
                if (member.rackId !== report.rackId || !reachableWorkers.has(member.workerId) || listed.has(taskId)) {
                    missingSince.delete(taskId);
                    continue;
                }
                const since = missingSince.get(taskId) ?? time.now();
                missingSince.set(taskId, since);
                if (time.now() - since > MISSING_AFTER_MS) {
                    missingSince.delete(taskId);
                    updateTaskView(entry, index, { kind: "missing" });
                }
            }
        }
    };

    const isFresh = (rackId: string | undefined) => {
        const receivedAt = rackId === undefined ? undefined : racks.get(rackId)?.receivedAt;
        return receivedAt !== undefined && time.now() - receivedAt < RACK_REPORT_TIMEOUT_MS;
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
            racks.set(report.rackId, { term: report.term, sequence: report.sequence, receivedAt: time.now() });
            recordWorkers(report);
            for (const task of report.tasks) {
                recordTask(report.rackId, task, reply);
            }
            if (options.isLoaded()) {
                detectMissingTasks(report);
            }
            return reply;
        },
        hasReported: rackId => racks.has(rackId),
        isUsable: workerId => isFresh(rackByWorker.get(workerId)) && (workerStates.get(workerId)?.usable ?? false),
        getLostWorkers: () =>
            [...workerStates]
                .filter(([, state]) => time.now() - state.lastReachableAt > WORKER_LOST_AFTER_MS)
                .map(([workerId]) => workerId),
        markClosed: jobId => {
            closedJobs.add(jobId);
            if (closedJobs.size > MAX_CLOSED_JOBS) {
                closedJobs.delete(closedJobs.values().next().value!);
            }
        },
    };
}

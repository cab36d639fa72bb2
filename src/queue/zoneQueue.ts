/**
 * The queue of one zone on the instance that owns it: loads the unfinished jobs, runs scheduling passes, runs one
 * attempt for each placed job, and processes the reports of the zone's racks.
 */
import * as async from "../async/index";
import * as platform from "../backing/index";
import type * as clock from "../clock/index";
import * as configuration from "../configuration/index";
import * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as placement from "../placement/index";
import * as result from "../result/index";
import * as workers from "../workers/index";
import * as attemptModule from "./attempt";
import * as attemptEnds from "./attemptEnds";
import * as endWaiters from "./endWaiters";
import * as queueEntry from "./entry";
import * as jobMoves from "./jobMoves";
import * as outcomes from "./outcomes";
import * as recorderModule from "./recorder";
import * as reports from "./reports";
import * as rowReader from "./rowReader";
import * as schedulerModule from "./scheduler";
import * as zoneViews from "./zoneViews";

/** The queue of one zone. */
export interface ZoneQueue {
    readonly zone: string;
    /** Runs the queue until the signal is aborted. Running tasks continue and are adopted by the next owner. */
    run(signal: AbortSignal): Promise<void>;
    /** Processes a report of one of the zone's racks. */
    handleReport(report: peer.RackReport): peer.RackReportReply;
    /**
     * Handles a submission or cancellation; waits up to `waitMs` milliseconds for the job's end when that is positive.
     */
    handleNotice(notice: peer.JobNotice): Promise<peer.JobNoticeReply>;
    /** The load that other instances use to choose a zone. */
    getLoad(): peer.ZoneLoad;
    /** The status that operators see. */
    getStatus(): zoneViews.ZoneStatus;
}

/** What a zone queue uses of its instance. */
export interface ZoneQueueOptions {
    readonly zone: string;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly histograms: observe.Histograms;
    readonly log: observe.Log;
    readonly retry: platform.RetryPolicy;
    readonly leases: workers.LeaseTimes;
    readonly store: jobs.JobStore;
    readonly getConfiguration: () => configuration.Configuration;
    /** Whether the platform lists the worker as leaving. */
    readonly isLeaving: (workerId: string) => boolean;
    readonly command: attemptModule.AttemptOptions["command"];
    /** A zone that has room for the job according to its queue owner's latest load; `undefined` for none. */
    readonly findOtherZone: (job: { readonly account: string; readonly accelerators: number; }) => string | undefined;
    /** Notifies the owner of a zone's queue that a job was moved to it. */
    readonly notifyMoved: (zone: string, jobId: string) => void;
}

/** Delay between an event and the scheduling pass, so that events in quick succession share one pass. */
const PASS_DELAY_MS = 5;
/** Interval of housekeeping rounds, and the maximum time between two scheduling passes. */
const HOUSEKEEPING_INTERVAL_MS = 1000;
/** Maximum time that a new owner waits for the first reports of all racks before its first pass. */
const FIRST_REPORTS_TIMEOUT_MS = 4000;
/** The zone's rows are read again once in this many housekeeping rounds. */
const RESCAN_INTERVAL_ROUNDS = 10;

/** Creates the queue; it takes reports at once, and loads and runs jobs once `run` is called. */
export function createZoneQueue(options: ZoneQueueOptions): ZoneQueue {
    const { zone, clock: time, counters, log, store } = options;
    const entries = new Map<string, queueEntry.QueueEntry>();
    const waiters = endWaiters.createEndWaiters(time);
    const stopped = async.createAbortController();
    const scheduler = schedulerModule.createScheduler(time, zoneViews.getShapes(options.getConfiguration(), zone));
    const view: zoneViews.ZoneView = { zone, entries, scheduler, getConfiguration: options.getConfiguration };
    let passRequested = async.createDeferred();
    let unplacedBlocks = 0;

    const health = workers.createWorkerHealth({
        clock: time,
        workerCount: scheduler.fleet.workers.size,
        onQuarantined: worker => {
            counters.increment("queue.workersSetAside");
            log.warn("worker set aside by its failures", { zone, worker });
        },
        onRestored: worker => log.info("worker back", { zone, worker }),
    });
    const recorder = recorderModule.createRecorder({
        store,
        clock: time,
        counters,
        retry: options.retry,
        signal: stopped.signal,
    });
    const reader = rowReader.createRowReader({
        ...options,
        signal: stopped.signal,
        entries,
        admit: stored => admit(stored),
        markClosed: jobId => rackReports.markClosed(jobId),
        announceEnd: waiters.announce,
    });
    const attempts = attemptModule.createAttemptRunner({
        store,
        clock: time,
        counters,
        retry: options.retry,
        signal: stopped.signal,
        leases: options.leases,
        getGraceMs: () => options.getConfiguration().contracts.limits.reclaimGraceMs,
        command: options.command,
        onMemberEnd: (entry, index) => {
            scheduler.endMember(entry.job.jobId, index);
            passRequested.resolve();
        },
    });
    const rackReports = reports.createRackReports({
        clock: time,
        entries,
        counters,
        isLoaded: reader.isLoaded,
        onUnknownJob: jobId => runInBackground(reader.readNew(jobId)),
        onOrphan: (rackId, task) => {
            counters.increment("queue.orphansStopped");
            const action: peer.TaskCommand["action"] = {
                $case: "stop",
                value: { taskId: task.taskId, mode: "tombstone" },
            };
            runInBackground(
                options.command({ rackId, commands: [{ workerId: task.workerId, action }] }).then(() => undefined),
            );
        },
    });

    const toMonotonic = (wallTime: number) => time.now() + wallTime - time.wallTime();

    const announceEnd = (row: jobs.JobRow) => {
        const { account, spec, acceptedAt, endedAt } = row;
        options.histograms.record(account, spec.jobClass, Math.max(0, (endedAt ?? acceptedAt) - acceptedAt));
        counters.increment(`jobs.${row.outcome?.kind ?? "unknown"}`);
        waiters.announce(row.jobId);
    };

    const finish = async (entry: queueEntry.QueueEntry, outcome: jobs.JobOutcome) => {
        entry.active = true;
        const row = await recorder.recordEnd(entry, outcome);
        rackReports.markClosed(entry.job.jobId);
        entries.delete(entry.job.jobId);
        if (row) {
            announceEnd(row);
        }
    };

    const requeue = (entry: queueEntry.QueueEntry) => {
        entry.active = false;
        entry.reports.clear();
        if (entry.requestedAction === "cancel") {
            runInBackground(finish(entry, outcomes.cancelled()));
            return;
        }
        entry.requestedAction = "run";
        scheduler.add(entry.job);
        passRequested.resolve();
    };

    /** Replaces the entry after another instance has written the job's row. */
    const replace = (entry: queueEntry.QueueEntry, found: jobs.VersionedRow | undefined) => {
        entries.delete(entry.job.jobId);
        if (found && found.row.state !== "ended" && found.row.zone === zone) {
            admit(found);
        }
        else if (found) {
            announceEnd(found.row);
        }
    };

    const { handleEnd } = attemptEnds.createAttemptEnds({
        clock: time,
        counters,
        signal: stopped.signal,
        scheduler,
        health,
        recorder,
        getMaxFailures: () => options.getConfiguration().contracts.limits.maxFailures,
        finish: (entry, outcome) => finish(entry, outcome),
        requeue,
        replace,
        onWorkersChanged: () => refreshWorkers(),
        requestPass: () => passRequested.resolve(),
    });

    const startAttempt = (entry: queueEntry.QueueEntry, begin: () => Promise<attemptModule.AttemptEnd>) => {
        entry.active = true;
        entry.reports.clear();
        runInBackground(begin().then(end => stopped.signal.aborted ? undefined : handleEnd(entry, end)));
    };

    /** Adds a row that was read: adopts its attempt if the job is placed on known workers, or queues the job. */
    const admit = (stored: jobs.VersionedRow): queueEntry.QueueEntry => {
        const entry = queueEntry.createEntry(stored, toMonotonic, time.now());
        entries.set(entry.job.jobId, entry);
        const { row } = stored;
        const isKnownPlace = row.members.every(member => scheduler.fleet.workers.has(member.workerId));
        if (row.state === "placed" && isKnownPlace) {
            counters.increment("attempts.adopted");
            scheduler.adopt(entry.job, row.members, 0);
            startAttempt(entry, () => attempts.adopt(entry, row.members));
        }
        else {
            scheduler.add(entry.job);
        }
        passRequested.resolve();
        return entry;
    };

    const refreshWorkers = () => {
        const preset = configuration.getPresetInForce(options.getConfiguration());
        const drained = new Set(preset?.drainedWorkers ?? []);
        for (const worker of scheduler.fleet.workers.values()) {
            const usable = rackReports.isUsable(worker.id)
                && health.isUsable(worker.id)
                && !drained.has(worker.id)
                && !options.isLeaving(worker.id);
            if (usable !== worker.usable) {
                scheduler.fleet.setUsable(worker.id, usable);
                passRequested.resolve();
            }
        }
    };

    let configKey = "";
    /** Recomputes the guarantee plan when the configuration, or the set of lost workers, has changed. */
    const refreshConfig = () => {
        const current = options.getConfiguration();
        const { contracts, topology, head } = current;
        const preset = configuration.getPresetInForce(current)!;
        const lost = new Set([...health.getQuarantined(), ...rackReports.getLostWorkers()]);
        const key = `${head.revision}|${[...lost].sort().join(",")}`;
        if (key === configKey) {
            return;
        }
        configKey = key;
        const plan = placement.createPlan(preset, topology, lost);
        unplacedBlocks = plan.unplaced.length;
        scheduler.setConfig({
            policy: contracts.policy,
            accounts: contracts.accounts,
            homes: plan.parts,
            drained: new Set(preset.drainedWorkers),
        });
        passRequested.resolve();
    };

    const applyDecision = (decision: schedulerModule.Decision) => {
        switch (decision.kind) {
            case "start": {
                const entry = entries.get(decision.job.jobId);
                result.invariant(entry, result.InvariantCode.JobNotQueued, decision.job.jobId);
                counters.increment("jobs.placed");
                startAttempt(entry, () => attempts.run(entry, decision.members));
                return;
            }
            case "evict": {
                const entry = entries.get(decision.jobId);
                if (entry && entry.requestedAction === "run") {
                    counters.increment(`jobs.evicted.${decision.cause}`);
                    entry.requestedAction = "evict";
                    queueEntry.notifyEntryChanged(entry);
                }
                return;
            }
        }
    };

    const expireJobs = () => {
        const now = time.now();
        for (const job of [...scheduler.queue.getJobs()]) {
            if (job.startBy !== undefined && job.startBy <= now && scheduler.remove(job.jobId)) {
                const message = "the job could not start before its deadline";
                runInBackground(
                    finish(entries.get(job.jobId)!, outcomes.notRun(result.ResultCode.DeadlineTooSoon, message)),
                );
            }
        }
    };

    const { moveWaiting } = jobMoves.createJobMoves({
        ...options,
        scheduler,
        entries,
        requeue,
        replace,
        run: work => runInBackground(work),
    });

    const runInBackground = (work: Promise<void>) => {
        work.catch(err => {
            counters.increment("queue.faults");
            log.error("queue task failed", { zone, cause: result.getErrorMessage(err) });
        });
    };

    const decideLoop = async () => {
        const racks = scheduler.fleet.racks.map(rack => rack.id);
        const decideAt = time.now() + FIRST_REPORTS_TIMEOUT_MS;
        while (!stopped.signal.aborted) {
            await Promise.race([passRequested.promise, time.sleep(HOUSEKEEPING_INTERVAL_MS, stopped.signal)]);
            await time.sleep(PASS_DELAY_MS, stopped.signal);
            passRequested = async.createDeferred();
            refreshWorkers();
            refreshConfig();
            const isComplete = racks.every(rackReports.hasReported);
            if (stopped.signal.aborted || (!isComplete && time.now() < decideAt)) {
                continue;
            }
            for (const decision of scheduler.decide()) {
                applyDecision(decision);
            }
        }
    };

    const housekeep = async () => {
        for (let round = 1; !stopped.signal.aborted; round++) {
            await time.sleep(HOUSEKEEPING_INTERVAL_MS, stopped.signal);
            expireJobs();
            moveWaiting();
            if (round % RESCAN_INTERVAL_ROUNDS === 0) {
                runInBackground(reader.rescan());
            }
        }
    };

    const cancel = (entry: queueEntry.QueueEntry) => {
        if (scheduler.remove(entry.job.jobId)) {
            runInBackground(finish(entry, outcomes.cancelled()));
            return;
        }
        entry.requestedAction = "cancel";
        queueEntry.notifyEntryChanged(entry);
    };

    const getState = (jobId: string): string => {
        if (scheduler.running.has(jobId)) {
            return "placed";
        }
        return entries.has(jobId) ? "queued" : "";
    };

    for (const worker of scheduler.fleet.workers.values()) {
        scheduler.fleet.setUsable(worker.id, false);
    }

    return {
        zone,
        run: async signal => {
            signal.addEventListener("abort", () => stopped.abort(), { once: true });
            log.info("queue taken", { zone });
            counters.increment("queues.taken");
            await reader.load();
            await Promise.all([decideLoop(), housekeep()]);
            log.info("queue given up", { zone });
        },
        handleReport: report => {
            const reply = rackReports.handle(report);
            refreshWorkers();
            return reply;
        },
        handleNotice: async notice => {
            if (stopped.signal.aborted || !reader.isLoaded()) {
                return { owner: false, state: "" };
            }
            if (!entries.has(notice.jobId)) {
                await reader.readNew(notice.jobId);
            }
            const entry = entries.get(notice.jobId);
            if (entry && notice.kind === "cancel") {
                cancel(entry);
            }
            if (entry && notice.waitMs > 0) {
                return { owner: true, state: await waiters.wait(notice.jobId, notice.waitMs, getState) };
            }
            return { owner: true, state: getState(notice.jobId) };
        },
        getLoad: () => zoneViews.getLoad(view),
        getStatus: () => zoneViews.getStatus(view, unplacedBlocks),
    };
}

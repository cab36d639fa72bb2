/**
 * The owner of a zone's queue: loads the unfinished jobs, decides with the scheduler, runs one attempt for each placed job,
 * and follows the reports of the zone's racks.
 */
import * as async from "../async/index";
import * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";
import * as jobs from "../jobs/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as placement from "../placement/index";
import * as result from "../result/index";
import * as workers from "../workers/index";
import * as attemptModule from "./attempt";
import * as queueEntry from "./entry";
import * as recorderModule from "./recorder";
import * as reports from "./reports";
import * as schedulerModule from "./scheduler";

export interface ZoneQueue {
    readonly zone: string;
    /** Owns the queue until the signal is aborted; running tasks go on and are adopted by the next owner. */
    own(signal: AbortSignal): Promise<void>;
    handleReport(report: peer.RackReport): peer.RackReportReply;
    handleNotice(notice: peer.JobNotice): Promise<peer.JobNoticeReply>;
    getLoad(): peer.ZoneLoad;
    getStatus(): ZoneStatus;
}

export interface ZoneStatus {
    readonly zone: string;
    readonly waiting: number;
    readonly running: number;
    readonly freeAccelerators: number;
    readonly fragmentation: number;
    /** Guaranteed blocks that have no home at the moment. */
    readonly unplacedBlocks: number;
    /** Accelerators in use by account. */
    readonly useByAccount: Readonly<Record<string, number>>;
}

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
    /** Workers that the platform lists as leaving. */
    readonly isLeaving: (workerId: string) => boolean;
    readonly command: attemptModule.AttemptOptions["command"];
    /** A zone that could take the job now, by what its queue owner last said; undefined for none. */
    readonly findOtherZone: (job: { readonly account: string; readonly accelerators: number; }) => string | undefined;
    /** Tells the owner of a queue that a job was moved to it. */
    readonly notifyMoved: (zone: string, jobId: string) => void;
}

/** A decision pass follows an event after this long, so that events that come together share one. */
const PASS_DELAY_MS = 5;
const HOUSEKEEPING_MS = 1000;
/** How long a new owner waits for the reports of all racks before it decides. */
const FIRST_REPORTS_MS = 4000;
/** A job that waited in this queue for this long may be moved to another zone. */
const MOVE_AFTER_MS = 2000;
const RESCAN_ROUNDS = 10;
const MAX_MOVES_A_ROUND = 20;
const PAUSE_AFTER_REFUSAL_MS = 300;

export function createZoneQueue(options: ZoneQueueOptions): ZoneQueue {
    const { zone, clock: time, counters, log, store } = options;
    const entries = new Map<string, queueEntry.QueueEntry>();
    const waiters = new Map<string, Set<(state: string) => void>>();
    const stopped = async.createAbortController();
    const scheduler = schedulerModule.createScheduler(time, getShapes(options.getConfiguration(), zone));
    let wakePass = async.createDeferred();
    let loaded = false;
    let unplacedBlocks = 0;

    const health = workers.createWorkerHealth({
        clock: time,
        workerCount: scheduler.books.workers.size,
        onSetAside: worker => {
            counters.increment("queue.workersSetAside");
            log.warn("worker set aside by its failures", { zone, worker });
        },
        onBack: worker => log.info("worker back", { zone, worker }),
    });
    const recorder = recorderModule.createRecorder({
        store,
        clock: time,
        counters,
        retry: options.retry,
        signal: stopped.signal,
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
            wakePass.resolve();
        },
    });
    const rackReports = reports.createRackReports({
        clock: time,
        entries,
        counters,
        isLoaded: () => loaded,
        onUnknownJob: jobId => run(readNew(jobId)),
        onOrphan: (rackId, task) => {
            counters.increment("queue.orphansStopped");
            const action: peer.TaskCommand["action"] = {
                $case: "stop",
                value: { taskId: task.taskId, mode: "tombstone" },
            };
            run(options.command({ rackId, commands: [{ workerId: task.workerId, action }] }).then(() => undefined));
        },
    });

    const toMonotonic = (wallTime: number) => time.now() + wallTime - time.wallTime();

    const announceEnd = (row: jobs.JobRow) => {
        const { account, spec, acceptedAt, endedAt } = row;
        options.histograms.record(account, spec.jobClass, Math.max(0, (endedAt ?? acceptedAt) - acceptedAt));
        counters.increment(`jobs.${row.outcome?.kind ?? "unknown"}`);
        for (const resolve of waiters.get(row.jobId) ?? []) {
            resolve("ended");
        }
        waiters.delete(row.jobId);
    };

    const finish = async (entry: queueEntry.QueueEntry, outcome: jobs.JobOutcome) => {
        entry.active = true;
        const row = await recorder.recordEnd(entry, outcome);
        rackReports.settle(entry.job.jobId);
        entries.delete(entry.job.jobId);
        if (row) {
            announceEnd(row);
        }
    };

    const requeue = (entry: queueEntry.QueueEntry) => {
        entry.active = false;
        entry.reports.clear();
        if (entry.wish === "cancel") {
            run(finish(entry, cancelled()));
            return;
        }
        entry.wish = "run";
        scheduler.add(entry.job);
        wakePass.resolve();
    };

    /** Another owner, or a canceller, wrote the row: take over what it says. */
    const replace = (entry: queueEntry.QueueEntry, found: jobs.VersionedRow | undefined) => {
        entries.delete(entry.job.jobId);
        if (found && found.row.state !== "ended" && found.row.zone === zone) {
            admit(found);
        }
        else if (found) {
            announceEnd(found.row);
        }
    };

    const handleEnd = async (entry: queueEntry.QueueEntry, end: attemptModule.AttemptEnd): Promise<void> => {
        const { job } = entry;
        scheduler.end(job.jobId, end.kind === "finished" ? end.ranMs : undefined);
        wakePass.resolve();
        switch (end.kind) {
            case "finished":
                for (const member of entry.stored.row.members) {
                    health.recordSuccess(member.workerId);
                }
                return finish(entry, { kind: "done", digest: end.digest, length: end.length });
            case "failed":
                return handleFailure(entry, end.workerId, end.message);
            case "stopped":
                return handleStopped(entry, end.started, end.savedMs);
            case "lost":
                counters.increment("jobs.workerLost");
                if (job.repeatable) {
                    requeue(entry);
                    return;
                }
                return finish(
                    entry,
                    failed(result.ResultCode.WorkerLost, `worker ${end.workerId} was lost while it ran the job`),
                );
            case "notClaimed":
                if (end.found?.version === entry.stored.version) {
                    // The table service is down: the job stays accepted and waits.
                    await time.sleep(PAUSE_AFTER_REFUSAL_MS, stopped.signal);
                    requeue(entry);
                    return;
                }
                replace(entry, end.found);
                return;
        }
    };

    const handleFailure = async (entry: queueEntry.QueueEntry, workerId: string, message: string): Promise<void> => {
        const { job } = entry;
        health.recordFailure(workerId, job.jobId);
        job.failedWorkers.add(workerId);
        job.failures++;
        job.failedAt = time.now();
        const { maxFailures } = options.getConfiguration().contracts.limits;
        if (job.failures >= maxFailures) {
            // It failed on several workers that others use without trouble: the job is at fault, not the workers.
            health.absolve(job.jobId);
        }
        refreshWorkers();
        if (job.repeatable && job.failures < maxFailures) {
            counters.increment("jobs.retried");
            requeue(entry);
            return;
        }
        return finish(entry, failed(result.ResultCode.TaskFailed, message));
    };

    const handleStopped = async (entry: queueEntry.QueueEntry, started: boolean, savedMs: number): Promise<void> => {
        if (entry.wish === "cancel") {
            const outcome = started ? failed(result.ResultCode.Cancelled, "cancelled while it ran") : cancelled();
            return finish(entry, outcome);
        }
        if (started && !entry.job.repeatable) {
            return finish(
                entry,
                failed(result.ResultCode.WorkerLost, "the work was stopped while it ran and may not be repeated"),
            );
        }
        if (started && savedMs > entry.job.savedMs) {
            entry.job.savedMs = savedMs;
            await recorder.recordProgress(entry, { state: "queued", savedMs });
        }
        if (!started) {
            counters.increment("attempts.notStarted");
            await time.sleep(PAUSE_AFTER_REFUSAL_MS, stopped.signal);
        }
        requeue(entry);
    };

    const startAttempt = (entry: queueEntry.QueueEntry, begin: () => Promise<attemptModule.AttemptEnd>) => {
        entry.active = true;
        entry.reports.clear();
        run(begin().then(end => stopped.signal.aborted ? undefined : handleEnd(entry, end)));
    };

    /** Takes in a row that was read or has just been written. */
    const admit = (stored: jobs.VersionedRow): queueEntry.QueueEntry => {
        const entry = queueEntry.createEntry(stored, toMonotonic, time.now());
        entries.set(entry.job.jobId, entry);
        const { row } = stored;
        const isKnownPlace = row.members.every(member => scheduler.books.workers.has(member.workerId));
        if (row.state === "placed" && isKnownPlace) {
            counters.increment("attempts.adopted");
            scheduler.adopt(entry.job, row.members, 0);
            startAttempt(entry, () => attempts.adopt(entry, row.members));
        }
        else {
            scheduler.add(entry.job);
        }
        wakePass.resolve();
        return entry;
    };

    const refreshWorkers = () => {
        const { contracts, head } = options.getConfiguration();
        const preset = contracts.presets.find(item => item.name === head.preset);
        const drained = new Set(preset?.drainedWorkers ?? []);
        for (const worker of scheduler.books.workers.values()) {
            const usable = rackReports.isUsable(worker.id)
                && health.isUsable(worker.id)
                && !drained.has(worker.id)
                && !options.isLeaving(worker.id);
            if (usable !== worker.usable) {
                scheduler.books.setUsable(worker.id, usable);
                wakePass.resolve();
            }
        }
    };

    let termsKey = "";
    /** Recomputes the guarantee plan when the configuration, or the set of lost workers, has changed. */
    const refreshTerms = () => {
        const { contracts, topology, head } = options.getConfiguration();
        const preset = contracts.presets.find(item => item.name === head.preset)!;
        const lost = new Set([...health.getSetAside(), ...rackReports.getLostWorkers()]);
        const key = `${head.revision}|${[...lost].sort().join(",")}`;
        if (key === termsKey) {
            return;
        }
        termsKey = key;
        const plan = placement.createPlan(preset, topology, lost);
        unplacedBlocks = plan.unplaced.length;
        scheduler.setTerms({
            policy: contracts.policy,
            accounts: contracts.accounts,
            homes: plan.parts,
            drained: new Set(preset.drainedWorkers),
        });
        wakePass.resolve();
    };

    const carryOut = (decision: schedulerModule.Decision) => {
        switch (decision.kind) {
            case "start": {
                const entry = entries.get(decision.job.jobId);
                result.invariant(entry, result.InvariantCode.MissingResult, decision.job.jobId);
                counters.increment("jobs.placed");
                startAttempt(entry, () => attempts.run(entry, decision.members));
                return;
            }
            case "evict": {
                const entry = entries.get(decision.jobId);
                if (entry && entry.wish === "run") {
                    counters.increment(`jobs.evicted.${decision.cause}`);
                    entry.wish = "evict";
                    queueEntry.wakeEntry(entry);
                }
                return;
            }
        }
    };

    const expire = () => {
        const now = time.now();
        for (const job of [...scheduler.queue.getJobs()]) {
            if (job.startBy !== undefined && job.startBy <= now && scheduler.remove(job.jobId)) {
                const message = "the job could not start before its deadline";
                run(finish(entries.get(job.jobId)!, notRun(result.ResultCode.DeadlineTooSoon, message)));
            }
        }
    };

    /** Moves jobs that wait here to zones that have room for them, a few at a time since the view of the other is old. */
    const moveWaiting = () => {
        const now = time.now();
        let moves = 0;
        for (const job of scheduler.queue.getJobs()) {
            if (moves >= MAX_MOVES_A_ROUND) {
                return;
            }
            const entry = entries.get(job.jobId);
            const isDue = entry && now - entry.admittedAt > MOVE_AFTER_MS && !scheduler.isPlaceKept(job.jobId);
            const target = isDue ? options.findOtherZone(job) : undefined;
            if (target !== undefined && entry && !entry.active && scheduler.remove(job.jobId)) {
                moves++;
                run(move(entry, target));
            }
        }
    };

    const move = async (entry: queueEntry.QueueEntry, target: string): Promise<void> => {
        entry.active = true;
        const row: jobs.JobRow = { ...entry.stored.row, zone: target, state: "queued", members: [] };
        const written = await store.update(entry.stored, row, platform.Priority.Progress);
        if (written.kind === "written") {
            entries.delete(entry.job.jobId);
            counters.increment("jobs.moved");
            options.notifyMoved(target, entry.job.jobId);
            return;
        }
        const found = await store.read(entry.job.jobId);
        if (found.kind === "read" && found.value?.version !== entry.stored.version) {
            replace(entry, found.value);
            return;
        }
        requeue(entry);
    };

    const run = (work: Promise<void>) => {
        work.catch(err => {
            counters.increment("queue.faults");
            log.error("queue task failed", { zone, cause: result.getErrorMessage(err) });
        });
    };

    const load = async (): Promise<void> => {
        for (let failures = 1; !stopped.signal.aborted; failures++) {
            const rows = await store.readQueue(zone);
            if (rows) {
                for (const stored of rows) {
                    if (!entries.has(stored.row.jobId) && stored.row.state !== "ended" && stored.row.zone === zone) {
                        admit(stored);
                    }
                }
                loaded = true;
                log.info("queue loaded", { zone, jobs: rows.length });
                return;
            }
            await time.sleep(options.retry.getDelay(failures), stopped.signal);
        }
    };

    const decideLoop = async () => {
        const racks = scheduler.books.racks.map(rack => rack.id);
        const decideAt = time.now() + FIRST_REPORTS_MS;
        while (!stopped.signal.aborted) {
            await Promise.race([wakePass.promise, time.sleep(HOUSEKEEPING_MS, stopped.signal)]);
            await time.sleep(PASS_DELAY_MS, stopped.signal);
            wakePass = async.createDeferred();
            refreshWorkers();
            refreshTerms();
            const isComplete = racks.every(rackReports.hasReported);
            if (stopped.signal.aborted || (!isComplete && time.now() < decideAt)) {
                continue;
            }
            for (const decision of scheduler.decide()) {
                carryOut(decision);
            }
        }
    };

    const housekeep = async () => {
        for (let round = 1; !stopped.signal.aborted; round++) {
            await time.sleep(HOUSEKEEPING_MS, stopped.signal);
            expire();
            moveWaiting();
            if (round % RESCAN_ROUNDS === 0) {
                run(rescan());
            }
        }
    };

    const reading = new Set<string>();

    /** Takes in a job that was submitted, moved here, or is only known from a report of its tasks. */
    const readNew = async (jobId: string): Promise<void> => {
        if (reading.has(jobId)) {
            return;
        }
        reading.add(jobId);
        const found = await store.read(jobId);
        reading.delete(jobId);
        if (found.kind !== "read" || entries.has(jobId)) {
            return;
        }
        const { value } = found;
        if (value && value.row.zone === zone && value.row.state !== "ended") {
            admit(value);
            return;
        }
        rackReports.settle(jobId);
        if (value?.row.state === "ended") {
            for (const resolve of waiters.get(jobId) ?? []) {
                resolve("ended");
            }
        }
    };

    /** Finds jobs whose notice was lost: they are recorded as accepted, and nobody else will start them. */
    const rescan = async (): Promise<void> => {
        const ids = await store.readQueueIds(zone);
        for (const jobId of ids ?? []) {
            if (!entries.has(jobId)) {
                await readNew(jobId);
            }
        }
    };

    const cancel = (entry: queueEntry.QueueEntry) => {
        if (scheduler.remove(entry.job.jobId)) {
            run(finish(entry, cancelled()));
            return;
        }
        entry.wish = "cancel";
        queueEntry.wakeEntry(entry);
    };

    const awaitEnd = (jobId: string, waitMs: number): Promise<string> =>
        new Promise(resolve => {
            const resolvers = waiters.get(jobId) ?? new Set();
            waiters.set(jobId, resolvers);
            const finishWait = (state: string) => {
                cancelTimer();
                resolvers.delete(finishWait);
                resolve(state);
            };
            const cancelTimer = time.setTimer(waitMs, () => finishWait(getState(jobId)));
            resolvers.add(finishWait);
        });

    const getState = (jobId: string): string => {
        if (scheduler.running.has(jobId)) {
            return "placed";
        }
        return entries.has(jobId) ? "queued" : "";
    };

    for (const worker of scheduler.books.workers.values()) {
        scheduler.books.setUsable(worker.id, false);
    }

    return {
        zone,
        own: async signal => {
            signal.addEventListener("abort", () => stopped.abort(), { once: true });
            log.info("queue taken", { zone });
            counters.increment("queues.taken");
            await load();
            await Promise.all([decideLoop(), housekeep()]);
            log.info("queue given up", { zone });
        },
        handleReport: report => {
            const reply = rackReports.handle(report);
            refreshWorkers();
            return reply;
        },
        handleNotice: async notice => {
            if (stopped.signal.aborted || !loaded) {
                return { owner: false, state: "" };
            }
            if (!entries.has(notice.jobId)) {
                await readNew(notice.jobId);
            }
            const entry = entries.get(notice.jobId);
            if (entry && notice.kind === "cancel") {
                cancel(entry);
            }
            if (entry && notice.waitMs > 0) {
                return { owner: true, state: await awaitEnd(notice.jobId, notice.waitMs) };
            }
            return { owner: true, state: getState(notice.jobId) };
        },
        getLoad: () => {
            let waitingWorkMs = 0;
            const waiting: Record<string, number> = {};
            const unfinished: Record<string, number> = {};
            for (const { job } of entries.values()) {
                unfinished[job.account] = (unfinished[job.account] ?? 0) + 1;
            }
            for (const job of scheduler.queue.getJobs()) {
                const key = `${job.account}/${job.jobClass}`;
                waiting[key] = (waiting[key] ?? 0) + 1;
                const predicted = scheduler.predictor.predict(job.account, job.jobClass, job.declaredMs);
                waitingWorkMs += predicted * Math.max(1, job.accelerators);
            }
            const { accounts } = options.getConfiguration().contracts;
            return {
                zone,
                freeAccelerators: scheduler.books.getFreeAccelerators(),
                largestFreeBlock: scheduler.books.getLargestFreeBlock(),
                largestHole: scheduler.books.getLargestHole(),
                waitingWorkMs,
                unfinished,
                waiting,
                freeGuaranteed: Object.fromEntries(
                    accounts.map(account => [account.name, scheduler.books.getLargestFreeGuaranteed(account.name)]),
                ),
            };
        },
        getStatus: () => {
            const { accounts } = options.getConfiguration().contracts;
            const free = scheduler.books.getFreeAccelerators();
            return {
                zone,
                waiting: scheduler.queue.size(),
                running: scheduler.running.size,
                freeAccelerators: free,
                fragmentation: placement.getFragmentation(free, scheduler.books.getWholeFreeAccelerators()),
                unplacedBlocks,
                useByAccount: Object.fromEntries(accounts.map(item => [item.name, scheduler.books.getUse(item.name)])),
            };
        },
    };
}

/** The workers of a zone, with what queued work may take of each. */
export function getShapes(current: configuration.Configuration, zone: string): placement.WorkerShape[] {
    const reserve = current.contracts.limits.interactiveReserve;
    return current.topology.racks.flatMap((rack, rackIndex) =>
        rack.zone === zone
            ? rack.workers.map(worker => ({
                id: worker.id,
                rackId: rack.id,
                rackIndex,
                capacity: placement.subtractNeeds(rack.capacity ?? current.topology.capacity, {
                    accelerators: 0,
                    ...reserve,
                }),
            }))
            : []
    );
}

function cancelled(): jobs.JobOutcome {
    return notRun(result.ResultCode.Cancelled, "cancelled before it started");
}

function notRun(code: result.ResultCode, message: string): jobs.JobOutcome {
    return { kind: "notRun", code, message };
}

function failed(code: result.ResultCode, message: string): jobs.JobOutcome {
    return { kind: "failed", code, message };
}

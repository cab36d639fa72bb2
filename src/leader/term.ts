/** One term of leadership, from loading the stored state to the loss of the lease. */
import type * as admission from "../admission/index";
import type * as catalog from "../catalog/index";
import type * as clock from "../clock/index";
import * as decisions from "../decisions/index";
import type * as evacuation from "../evacuation/index";
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";
import * as accountShares from "./accountShares";
import * as advice from "./advice/index";
import * as bestEffortPacing from "./bestEffortPacing";
import type * as directory from "./directory";
import * as entries from "./entries";
import * as execution from "./execution";
import * as followIntake from "./followIntake";
import * as gauges from "./gauges";
import * as guarantees from "./guarantees";
import * as headrooms from "./headroom";
import * as incarnations from "./incarnation";
import * as jobRegistries from "./jobRegistry";
import * as knownServices from "./knownServices";
import * as learned from "./learned/index";
import type * as leases from "./lease/index";
import * as leavingWorkers from "./leavingWorkers";
import type * as machines from "./machines";
import * as passTimer from "./passTimer";
import * as placementFilter from "./placementFilter";
import * as progressWriter from "./progressWriter";
import * as queueLoads from "./queueLoads";
import * as reservations from "./reservations";
import * as retention from "./retention";
import * as sessions from "./sessions/index";
import * as slowWorkers from "./slowWorkers";
import * as stalledSteps from "./stalledSteps";
import * as takeover from "./takeover";
import * as taskWatchdog from "./taskWatchdog";
import * as thrownAways from "./thrownAway";
import * as units from "./units";
import * as upkeep from "./upkeep/index";
import * as workerSpeeds from "./workerSpeeds";

export interface TermOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly catalog: catalog.CurrentCatalog;
    readonly directory: directory.WorkerDirectory;
    readonly adviser: directory.Adviser;
    readonly workers: sessions.WorkerPort;
    readonly leadership: leases.Leadership;
    readonly machines: machines.MachineService;
    readonly waves: machines.WavePort;
    readonly evacuations: evacuation.Evacuations;
    readonly policy: decisions.Policy;
    /** Unique to this incarnation of the instance. */
    readonly incarnationId: string;
    /** Maximum lease of the tasks on a worker, in milliseconds. */
    readonly maxLeaseMs: number;
    /** How long a start may rely on a reported capacity, in milliseconds. */
    readonly capacityMs: number;
    /** How long a machine is down for its upkeep, in milliseconds. */
    readonly upkeepMs: number;
    /** How long the state of an ended job stays available, in milliseconds. */
    readonly retentionMs: number;
    /** Maximum size of a row's value in the store, in bytes. */
    readonly rowBytes: number;
    onSuperseded(reason: string): void;
}

/** A running term. */
export interface Term {
    /** Number of jobs by queue of which no task has started; `undefined` until the stored jobs are loaded. */
    getWaitingCounts(): Readonly<Record<string, number>> | undefined;
    /** Summary of the load for admission; `undefined` before the first pass, and while admission is disabled. */
    getLoad(): admission.EncodedSummary | undefined;
}

/** Delay that batches events into one pass; short compared with the round trip to a worker. */
const PASS_DELAY_MS = 4;
/** Interval of passes without events, for waits that expire. */
const IDLE_PASS_MS = 250;
/** Interval of directory checks; short compared with the seconds after which an unlisted worker is removed. */
const DIRECTORY_CHECK_MS = 600;
/** Interval of the log lines on thrown-away work and on stalled steps. */
const SUMMARY_INTERVAL_MS = 2_000;
/** Longest time for which a worker holds a poll open. */
const MAX_POLL_WAIT_MS = 2_000;
/**
 * Share of a lease after which it is extended. Of a lease of 6 s at least 5 s are then left when a network partition
 * begins, so tasks survive partitions of that length.
 */
const POLL_SHARE = 1 / 6;

/** Starts a term, which runs until the signal of its leadership is aborted. */
export function createTerm(options: TermOptions): Term {
    const { clock: time, log, meter, leadership } = options;
    const { signal } = leadership;
    const { disabledMechanisms } = options.policy;
    const pollWaitMs = Math.round(Math.min(MAX_POLL_WAIT_MS, POLL_SHARE * options.maxLeaseMs));
    const predictor = decisions.createPredictor();
    const naturalSpeeds = workerSpeeds.createWorkerSpeeds({
        clock: time,
        disabledMechanisms,
        log,
        meter,
        getTask: name => jobRegistry.getTask(name),
        getWorker: id => registry.getWorker(id),
    });
    const pollLimiter = sessions.createInitialPollLimiter(
        time,
        options.policy.disabledMechanisms.has("firstLooks") ? Infinity : undefined,
    );
    const openedAt = time.now();
    let ready = false;

    const writer = progressWriter.createProgressWriter({
        store: options.store,
        clock: time,
        log,
        meter,
        leadership,
        onSuperseded: () => options.onSuperseded("the store holds another leader's fencing token"),
    });
    const thrownAway = thrownAways.createThrownAwayWork();
    const unansweredStarts = sessions.createUnansweredStarts(time);
    const jobRegistry = jobRegistries.createJobRegistry({
        clock: time,
        log,
        meter,
        signal,
        getQueue: name => options.catalog.getQueue(name),
        getExpectedTimes: job => units.getExpectedTimes(job, estimateRunMs),
        estimateRunMs: step => estimateRunMs(step),
        getWorkers: () => registry.workers.values(),
        unansweredStarts,
        disabledMechanisms,
        thrownAway,
        listener: {
            onOccurrenceChanged: writer.markOccurrence,
            onJobChanged: writer.markJob,
            onStopRequested: task => orders.stop(task),
            onRunObsolete: task => orders.stopObsolete(task),
            onChanged: () => planPass(PASS_DELAY_MS),
        },
    });
    const orders = sessions.createOrders({
        jobRegistry,
        clock: time,
        log,
        meter,
        signal,
        getSession: worker => registry.getSession(worker),
        mayIssueOrders: leadership.mayIssueOrders,
        findStartObstacle: worker => findStartObstacle(worker, time.now()),
        unansweredStarts,
        disabledMechanisms,
    });
    const reachability = sessions.createReachabilityCheck({
        clock: time,
        log,
        signal,
        getSession: worker => registry.getSession(worker),
        onChanged: () => planPass(PASS_DELAY_MS),
    });
    const adviceRequester = advice.createAdviceRequester({
        adviser: options.adviser,
        clock: time,
        log,
        meter,
        signal,
        onTicketsChanged: () => planPass(PASS_DELAY_MS),
    });

    const openSession = (worker: entries.WorkerEntry) =>
        sessions.createWorkerSession({
            worker: { name: worker.incarnation.name, address: worker.info.address },
            incarnation: worker.incarnation,
            port: options.workers,
            clock: time,
            log,
            leadership,
            pollLimiter,
            maxLeaseMs: options.maxLeaseMs,
            isBusy: () => worker.tasks.size > 0 || worker.unknownRunCount > 0 || leaving.isObserved(worker),
            getPollWaitMs: () => leaving.getPollWaitMs(worker, taskWatchdog.getPollWaitMs(worker, pollWaitMs)),
            onPollResult: async pollResult => {
                for (const end of pollResult.ended) {
                    recordRunTime(end);
                    naturalSpeeds.recordEnd(end);
                }
                sessions.reconcile(
                    { jobRegistry, clock: time, log, stopUnknownRun: orders.stopUnknownRun },
                    worker,
                    pollResult,
                );
                slowWorkers.handleSlowWorker(worker, {
                    now: time.now(),
                    jobRegistry,
                    log,
                    disabledMechanisms,
                    getUrgency: step => units.getUrgency(step, createView(new Set())),
                });
                naturalSpeeds.recordPoll(worker);
                bestEffortPacing.paceBestEffortTasks(worker, orders.pace);
                planPass(PASS_DELAY_MS);
                await writer.flush();
            },
            onConfirmed: () => registry.onConfirmed(worker),
            onLost: how => registry.onLost(worker, how),
            onNextIncarnation: (next, lists) => registry.onNextIncarnation(worker, next, lists),
            onReachability: reachable => {
                const before = worker.reachable;
                entries.setReachable(worker, reachable, time.now());
                if (reachable && !before) {
                    jobRegistry.crashAttribution.recordWorkerSeen(worker.info);
                    planPass(PASS_DELAY_MS);
                }
            },
            onDisconnected: () => worker.disconnectedAt ??= time.now(),
            onFenced: () => options.onSuperseded(`worker ${worker.id} has seen a higher fencing token`),
        });
    const recordRunTime = (end: sessions.TaskEnd) => {
        const task = jobRegistry.getTask(end.task);
        if (end.how === "done" && task && task.run === end.run && task.saved === "" && task.runningSince > 0) {
            predictor.learn(
                task.step.occurrence.job.queue.name,
                task.step.spec.estimateMs,
                (time.now() - task.runningSince) * naturalSpeeds.getRunSpeed(task),
            );
        }
    };

    const filterKnownServices = knownServices.createServiceFilter({
        catalog: options.catalog,
        log,
        meter,
        isInUse: id =>
            (registry.workers.get(id)?.tasks.size ?? 0) > 0
            || unansweredStarts.hasAny(incarnations.parseIncarnationId(id).name),
        isServiceNeeded: jobRegistry.isServiceNeeded,
    });
    const registry = sessions.createWorkerRegistry({
        clock: time,
        log,
        leadership,
        maxLeaseMs: options.maxLeaseMs,
        jobRegistry,
        unansweredStarts,
        filterKnownServices,
        openSession,
        closeRun: orders.closeRun,
        onChanged: () => planPass(PASS_DELAY_MS),
    });
    const followDirectory = async () => {
        let listed: readonly directory.ListedWorker[] | undefined;
        options.directory.follow(signal, workersListed => {
            listed = workersListed;
            registry.applyDirectory(listed);
            leaving.follow(registry.workers);
        });
        while (!signal.aborted) {
            await time.sleep(DIRECTORY_CHECK_MS, signal);
            // Workers that are no longer listed expire without a change of the directory.
            if (listed && !signal.aborted) {
                registry.applyDirectory(listed);
                leaving.follow(registry.workers);
            }
        }
    };

    const activePredictor = disabledMechanisms.has("prediction") ? decisions.createPredictor() : predictor;
    const estimateRunMs: units.RunTimeEstimator = step =>
        activePredictor.predict(step.occurrence.job.queue.name, step.spec.estimateMs);
    const leaving = leavingWorkers.createLeavingWorkers({
        clock: time,
        log,
        meter,
        jobRegistry,
        estimateTaskMs: task => estimateRunMs(task.step) / naturalSpeeds.getRunSpeed(task),
        maxLeaseMs: options.maxLeaseMs,
        disabledMechanisms,
    });
    const getLossAgeMs = disabledMechanisms.has("gangExposure") ? () => undefined : leaving.getLossAgeMs;
    const shares = disabledMechanisms.has("fairShares") ? undefined : accountShares.createAccountShares({
        log,
        meter,
        catalog: options.catalog,
        active: jobRegistry.active,
        now: time.now,
        getWorkers: () => registry.workers.values(),
    });
    const createView = (guaranteed: ReadonlySet<entries.JobEntry>): units.UnitsOptions => ({
        now: time.now(),
        wallNow: time.wallTime(),
        estimateRunMs,
        policy: options.policy,
        isGuaranteed: job => guaranteed.has(job),
        getRunSpeed: naturalSpeeds.getRunSpeed,
        getLossAgeMs,
        getUsage: shares?.getUsage,
    });

    const { isPlaceable, findStartObstacle } = placementFilter.createPlacementFilter({
        catalog: options.catalog,
        evacuations: options.evacuations,
        capacityMs: options.capacityMs,
        disabledMechanisms,
        hasSession: worker => registry.getSession(worker) !== undefined,
    });

    const reservationKeeper = disabledMechanisms.has("gangReservations")
        ? undefined
        : reservations.createReservationKeeper({ log, meter, estimateRunMs, getWorker: registry.getWorker });
    const headroom = disabledMechanisms.has("headroom")
        ? undefined
        : headrooms.createHeadroom({ log, meter, estimateRunMs, getNow: time.now });
    const loads = disabledMechanisms.has("admission") ? undefined : queueLoads.createQueueLoads();
    const observeLoads = (passUnits: readonly units.UnitOfTasks[], now: number) =>
        loads?.observe({
            now,
            wallNow: time.wallTime(),
            units: passUnits,
            active: jobRegistry.active,
            workers: registry.workers.values(),
            isPlaceable: worker => isPlaceable(worker, now),
            getAccount: options.catalog.getAccount,
            estimateRunMs,
        });

    let appliedVersion: number | undefined;
    const applyConfiguration = () => {
        const version = options.catalog.get()?.version;
        if (version !== appliedVersion) {
            appliedVersion = version;
            jobRegistry.updateQueues();
        }
    };

    const runPass = () => {
        if (signal.aborted || !ready) {
            return;
        }
        planPass(IDLE_PASS_MS);
        applyConfiguration();
        if (!leadership.mayIssueOrders()) {
            return;
        }
        jobRegistry.releaseDueOccurrences();
        const now = time.now();
        const view = createView(guarantees.findGuaranteedJobs(jobRegistry.active, options.catalog.getAccount));
        taskWatchdog.stopUnviableTasks([...registry.workers.values()], {
            now,
            estimateRunMs,
            getRunSpeed: naturalSpeeds.getRunSpeed,
            jobRegistry,
            log,
            disabledMechanisms,
        });
        naturalSpeeds.update();
        const nextStopAt = leaving.decide();
        if (nextStopAt !== undefined) {
            planPass(Math.max(0, nextStopAt - now));
        }
        shares?.sample();
        const waiting = units.collectWaitingUnits(jobRegistry.active, view);
        if (waiting.length === 0) {
            observeLoads(waiting, now);
            return;
        }
        const usable = [...registry.workers.values()].filter(worker => isPlaceable(worker, now));
        adviceRequester.requestAdvice(waiting, usable);
        let groups: ReadonlyMap<string, units.GroupOfTasks> = new Map();
        const plan = decisions.plan({
            now,
            disabledMechanisms,
            workers: usable.map(worker => units.toPlaceableWorker(worker, naturalSpeeds.getSpeed(worker))),
            units: waiting.map(item => item.unit),
            getRunningGroups: () => {
                groups = units.collectRunningGroups(jobRegistry.active, view);
                return [...groups.values()].map(item => item.group);
            },
            reservations: reservationKeeper?.getInput(now),
            mayStart: headroom?.observe(waiting, now),
        });
        reservationKeeper?.record(plan, now, waiting);
        naturalSpeeds.recordChoices(plan.speedChoices ?? [], waiting);
        shares?.recordDecisions({ plan, waiting, groups });
        execution.executePlan({
            jobRegistry,
            orders,
            reachability,
            log,
            meter,
            getWorker: registry.getWorker,
            evacuations: options.evacuations,
            hasWaitedForSpeed: naturalSpeeds.hasWaited,
            getLossAgeMs,
            flush: writer.flush,
        }, {
            plan,
            waiting,
            groups,
        });
        observeLoads(waiting, now);
        const passMs = time.now() - now;
        passes.recordDuration(passMs);
        meter.record("pass_duration_ms", {}, passMs);
    };
    const passes = passTimer.createPassTimer(time, runPass);
    const planPass = passes.schedulePass;

    const logStalledSteps = () => {
        const now = time.now();
        stalledSteps.logStalledSteps({
            now,
            log,
            waiting: units.collectWaitingUnits(jobRegistry.active, createView(new Set())),
            workers: [...registry.workers.values()],
            isPlaceable: worker => isPlaceable(worker, now),
            evacuations: options.evacuations,
        });
    };
    const logSummaries = async () => {
        let lastLogged = "{}";
        while (!signal.aborted) {
            await time.sleep(SUMMARY_INTERVAL_MS, signal);
            const coreSeconds = thrownAway.getTotals();
            if (JSON.stringify(coreSeconds) !== lastLogged) {
                lastLogged = JSON.stringify(coreSeconds);
                log.info("workThrownAway", { token: leadership.token, coreSeconds });
            }
            logStalledSteps();
        }
    };

    const learnedSections: learned.LearnedSection[] = [
        ...(disabledMechanisms.has("learnedDurations")
            ? []
            : [{ name: "durations", encode: predictor.encode, restore: predictor.restore }]),
        ...(headroom ? [headroom.section] : []),
        ...(disabledMechanisms.has("workerSpeeds") ? [] : [naturalSpeeds.section]),
        ...(disabledMechanisms.has("departures") && disabledMechanisms.has("gangExposure") ? [] : [leaving.section]),
        ...(shares ? [shares.section] : []),
    ];
    const learnedState = learned.createLearnedState({
        store: options.store,
        clock: time,
        log,
        meter,
        leadership,
        rowBytes: options.rowBytes,
        sections: learnedSections,
    });

    const runTerm = async () => {
        const loadingLearnedState = learnedState.load();
        const version = await takeover.loadStoredState({
            store: options.store,
            clock: time,
            log,
            signal,
            jobRegistry,
            getWorker: registry.getWorker,
            onOrphans: keys => void retention.removeOrphans({ store: options.store, log, leadership }, keys),
        });
        if (version === undefined) {
            return;
        }
        await loadingLearnedState;
        ready = true;
        void learnedState.run();
        meter.record("takeover_duration_ms", {}, time.now() - openedAt);
        void followDirectory();
        void logSummaries();
        upkeep.runUpkeep({
            wavePort: options.waves,
            service: options.machines,
            store: options.store,
            clock: time,
            log,
            leadership,
            holder: options.incarnationId,
            upkeepMs: options.upkeepMs,
            jobRegistry,
            getWorker: registry.findCurrent,
            onFenced: () => options.onSuperseded("a machine has seen a higher fencing token"),
        });
        void retention.runRetention({
            store: options.store,
            clock: time,
            log,
            leadership,
            jobRegistry,
            retentionMs: options.retentionMs,
        });
        planPass(0);
        await followIntake.followIntake({
            store: options.store,
            clock: time,
            log,
            signal,
            after: version,
            onRows: changed => {
                takeover.applyIntakeRows(jobRegistry, changed);
                planPass(PASS_DELAY_MS);
            },
        });
    };
    meter.increment("terms_total");
    const endGauges = meter.registerGauges(() => [
        ...naturalSpeeds.readGauges(),
        ...leaving.readGauges(),
        ...shares?.readGauges() ?? [],
        ...gauges.readGauges({
            active: jobRegistry.active,
            workers: registry.workers.values(),
            isPlaceable: worker => isPlaceable(worker, time.now()),
            isEvacuated: options.evacuations.isEvacuated,
        }),
        { metric: "starts_unanswered", value: unansweredStarts.count() },
        { metric: "occurrences_held_back", value: jobRegistry.countHeldBackOccurrences() },
        ...loads?.readGauges() ?? [],
    ]);
    signal.addEventListener("abort", () => {
        endGauges();
        registry.closeSessions();
    });
    void runTerm();

    return {
        getWaitingCounts: () => {
            if (!ready) {
                return undefined;
            }
            const counts: Record<string, number> = {};
            for (const job of jobRegistry.active) {
                if (job.state === "queued") {
                    counts[job.queue.name] = (counts[job.queue.name] ?? 0) + 1;
                }
            }
            return counts;
        },
        getLoad: () => loads?.getSummary(),
    };
}

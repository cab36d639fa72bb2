/**
 * Follows the workers that leave, and decides for each task or gang on them whether it ends there, saves its state at the
 * last moment, or restarts at once elsewhere. Remembers simultaneous losses of workers.
 */
import type * as clock from "../clock/index";
import type * as decisions from "../decisions/index";
import * as departures from "../departures/index";
import type * as observe from "../observe/index";
import * as entries from "./entries";
import type * as jobRegistry from "./jobRegistry";
import type * as learned from "./learned/index";

export interface LeavingWorkersOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly jobRegistry: Pick<jobRegistry.JobRegistry, "requestStop">;
    /** Expected duration of a whole run of the task on its worker, in milliseconds. */
    estimateTaskMs(task: entries.TaskEntry): number;
    readonly maxLeaseMs: number;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
}

export interface LeavingWorkers {
    /** Takes note of new notices and losses; called after each change of the directory's list. */
    follow(workers: ReadonlyMap<string, entries.WorkerEntry>): void;
    /** Requests the stops that are due. Returns when the next one is due, `undefined` if none is planned. */
    decide(): number | undefined;
    /** Whether the worker leaves and is polled until it is gone, so that its stay is known. */
    isObserved(worker: entries.WorkerEntry): boolean;
    /** Returns how long a poll of the worker may wait, at most `maxMs`. */
    getPollWaitMs(worker: entries.WorkerEntry, maxMs: number): number;
    /** Time since the latest simultaneous loss of workers of the service; `undefined` if none is remembered. */
    getLossAgeMs(service: string): number | undefined;
    /** The learned stays and the remembered losses. */
    readonly section: learned.LearnedSection;
    readGauges(): readonly observe.GaugeSample[];
}

/** A worker that has announced that it leaves. */
interface Departure {
    readonly service: string;
    /** When the leader learned of it. */
    readonly noticedAt: number;
    /** Whether the notice may be older, since the first list of this leader already had it. */
    readonly isNoticeOld: boolean;
    /** Earliest announced time of leaving, counted from when the leader read the report; learned stays are added to it. */
    announcedAt: number;
    /** The same, counted from when the worker may have written the report: up to a second earlier. */
    reportedAt: number;
    isObserved: boolean;
}

/** A task, or the members of a gang, with the departure that concerns it first. */
interface AffectedUnit {
    readonly tasks: readonly entries.TaskEntry[];
    worker: entries.WorkerEntry;
    departure: Departure;
    leavesAt: number;
}

/** The decision that was last made for a run of a unit. */
interface DecidedUnit {
    readonly run: number;
    readonly kind: departures.DecisionKind;
}

/** Workers observed until they are gone; each is polled several times a second. */
const MAX_OBSERVED = 40;
/** A worker that stays for longer than this counts as staying for as long: most work ends in that time. */
const MAX_OBSERVATION_MS = 10_000;
/** A worker that is silent for longer is gone; three polls then had no answer. */
const GONE_AFTER_MS = 1_500;
/**
 * Maximum poll wait shortly before a worker leaves: its decisions depend on the progress of its tasks, and its stay is
 * known as exactly as its last answer.
 */
const LEAVING_POLL_WAIT_MS = 300;
const SHORT_NOTICE_MS = 10_000;
/** A loss of a sixth of the workers of a large site concerns thousands of tasks. */
const MAX_LINES_PER_SECOND = 50;
const SECOND_MS = 1_000;

export function createLeavingWorkers(options: LeavingWorkersOptions): LeavingWorkers {
    const { clock: time, log, meter, disabledMechanisms } = options;
    let hasList = false;
    const stays = departures.createStayModel();
    const losses = departures.createLossMemory();
    /** Workers of the directory's last list that have no lost lease, by id. */
    let present = new Map<string, entries.WorkerEntry>();
    const leaving = new Map<entries.WorkerEntry, Departure>();
    let decided = new Map<entries.TaskEntry, DecidedUnit>();
    const isDeciding = !disabledMechanisms.has("departures") && !disabledMechanisms.has("leavingWorkers");
    const logLimited = createLimitedLog(time, log);

    const recordLoss = (worker: entries.WorkerEntry, isAnnounced: boolean, serviceWorkers: number) => {
        const { service } = worker.info;
        meter.increment("workers_departed_total", { service, how: isAnnounced ? "announced" : "lost" });
        if (losses.record({ service, workerId: worker.id, at: time.now(), serviceWorkers })) {
            log.warn("simultaneousLosses", { service, serviceWorkers, worker: worker.id, isAnnounced });
        }
    };
    const addDeparture = (worker: entries.WorkerEntry, isNoticeOld: boolean) => {
        const observed = [...leaving.values()].filter(({ isObserved }) => isObserved).length;
        leaving.set(worker, {
            service: worker.info.service,
            noticedAt: time.now(),
            isNoticeOld,
            announcedAt: time.now() + worker.info.remainingMs,
            reportedAt: getReportedAt(worker),
            // An idle worker is not polled, so it would only be seen leaving by the directory, which lags.
            isObserved: isDeciding && !isNoticeOld && worker.tasks.size > 0 && observed < MAX_OBSERVED,
        });
    };
    const endObservation = (departure: Departure, seenUntil: number) => {
        departure.isObserved = false;
        stays.record(departure.service, seenUntil - departure.announcedAt);
    };
    const observe = (worker: entries.WorkerEntry, departure: Departure) => {
        const now = time.now();
        const answeredAt = worker.lastAnswerAt;
        if (answeredAt === undefined || answeredAt < departure.noticedAt) {
            departure.isObserved &&= now - departure.announcedAt < MAX_OBSERVATION_MS;
        }
        else if (isRemoved(worker) || (!worker.reachable && now - answeredAt > GONE_AFTER_MS)) {
            endObservation(departure, Math.max(answeredAt, worker.disconnectedAt ?? answeredAt));
        }
        else if (answeredAt - departure.announcedAt > MAX_OBSERVATION_MS) {
            endObservation(departure, answeredAt);
        }
    };
    const isRemoved = (worker: entries.WorkerEntry) => worker.tasks.size === 0 && present.get(worker.id) !== worker;
    const getReportedAt = (worker: entries.WorkerEntry) =>
        Math.min(time.now(), worker.reportedAt ?? time.now()) + worker.info.remainingMs;
    const getLeavesAt = ({ service, announcedAt, reportedAt, isNoticeOld }: Departure) => {
        const beyondMs = isNoticeOld ? undefined : stays.getBeyondMs(service);
        return beyondMs === undefined ? reportedAt : announcedAt + beyondMs;
    };

    /** The units with a task that runs on a leaving worker, by their first task. */
    const collectAffected = () => {
        const affected = new Map<entries.TaskEntry, AffectedUnit>();
        for (const [worker, departure] of leaving) {
            const leavesAt = getLeavesAt(departure);
            for (const task of worker.tasks) {
                if (task.phase !== "running") {
                    continue;
                }
                const tasks = task.step.spec.gang ? task.step.tasks : [task];
                const known = affected.get(tasks[0]!);
                if (!known || leavesAt < known.leavesAt) {
                    affected.set(tasks[0]!, { tasks, worker, departure, leavesAt });
                }
            }
        }
        return affected;
    };
    const decideUnit = (unit: AffectedUnit): departures.Decision => {
        const now = time.now();
        const { tasks, worker, departure, leavesAt } = unit;
        const [first] = tasks;
        const { spec, occurrence } = first!.step;
        const { run } = unit.tasks[0]!;
        const previous = decided.get(first!);
        const slowest = findSlowest(tasks, options.estimateTaskMs, now);
        const decision = departures.decide({
            now,
            leavesAt,
            endsAt: slowest.end.at,
            // A lasting task loses nothing by a late stop, and is available until then.
            savesState: spec.checkpoints || spec.lasting,
            isNoticeOld: departure.isNoticeOld,
            wasLeftToEnd: previous?.run === run && previous.kind === "leftToEnd",
        });
        if (previous?.run !== run || previous.kind !== decision.kind) {
            meter.increment("departure_decisions_total", {
                queue: occurrence.job.queue.name,
                decision: decision.kind,
            });
            logLimited("departureDecision", {
                unit: first!.name,
                run,
                members: tasks.length,
                worker: worker.id,
                decision: decision.kind,
                leavesInMs: Math.round(leavesAt - now),
                endsInMs: Number.isFinite(slowest.end.at) ? Math.round(slowest.end.at - now) : undefined,
                endBasis: slowest.end.basis,
                percent: slowest.task.percent,
                progressAgeMs: Math.round(now - slowest.task.lastReportAt),
                noticeAgeMs: Math.round(now - departure.noticedAt),
                isNoticeOld: departure.isNoticeOld,
                beyondMs: stays.getBeyondMs(departure.service),
                observations: stays.countObservations(departure.service),
            });
        }
        return decision;
    };

    return {
        follow: workers => {
            const sizes = countByService(workers.values());
            const next = new Map<string, entries.WorkerEntry>();
            for (const worker of workers.values()) {
                if (!worker.listed || hasLostLease(worker, time.now(), options.maxLeaseMs)) {
                    continue;
                }
                next.set(worker.id, worker);
                if (!worker.info.draining) {
                    leaving.delete(worker);
                    continue;
                }
                const departure = leaving.get(worker);
                if (departure) {
                    // Later reports repeat the announcement or count it down; the earliest time holds.
                    departure.announcedAt = Math.min(departure.announcedAt, time.now() + worker.info.remainingMs);
                    departure.reportedAt = Math.min(departure.reportedAt, getReportedAt(worker));
                    continue;
                }
                addDeparture(worker, !hasList);
                // Of the notices before this term, only short ones tell of a loss that happens now.
                if (hasList || worker.info.remainingMs <= SHORT_NOTICE_MS) {
                    recordLoss(worker, true, sizes.get(worker.info.service) ?? 0);
                }
            }
            for (const [id, worker] of present) {
                if (!next.has(id) && !leaving.has(worker)) {
                    recordLoss(worker, false, sizes.get(worker.info.service) ?? 0);
                }
            }
            present = next;
            hasList = true;
        },
        decide: () => {
            for (const [worker, departure] of leaving) {
                if (departure.isObserved) {
                    observe(worker, departure);
                }
                if (!departure.isObserved && isRemoved(worker)) {
                    leaving.delete(worker);
                }
            }
            if (!isDeciding) {
                return undefined;
            }
            let nextAt: number | undefined;
            const nowDecided = new Map<entries.TaskEntry, DecidedUnit>();
            for (const [first, unit] of collectAffected()) {
                const decision = decideUnit(unit);
                nowDecided.set(first, { run: first.run, kind: decision.kind });
                switch (decision.kind) {
                    case "leftToEnd":
                        break;
                    case "saveLater":
                        nextAt = Math.min(nextAt ?? decision.at, decision.at);
                        break;
                    case "saveNow":
                    case "giveUp":
                        unit.tasks.forEach(task => options.jobRegistry.requestStop(task, "workerLeaves"));
                        break;
                }
            }
            decided = nowDecided;
            return nextAt;
        },
        isObserved: worker => leaving.get(worker)?.isObserved ?? false,
        getPollWaitMs: (worker, maxMs) => {
            const departure = leaving.get(worker);
            const isShortNotice = departure !== undefined && departure.announcedAt - time.now() < SHORT_NOTICE_MS;
            return isDeciding && isShortNotice ? Math.min(maxMs, LEAVING_POLL_WAIT_MS) : maxMs;
        },
        getLossAgeMs: service => losses.getAgeMs(service, time.now()),
        section: {
            name: "departures",
            encode: maxBytes => {
                const stored: StoredDepartures = {
                    stays: stays.encode(),
                    losses: losses.encode(time.now(), time.wallTime() - time.now()),
                };
                return encodeWithin(stored, maxBytes);
            },
            restore: text => {
                const stored = JSON.parse(text) as Partial<StoredDepartures>;
                stays.restore(stored.stays);
                losses.restore(stored.losses, time.now(), time.wallTime() - time.now());
            },
        },
        readGauges: () => {
            const services = new Set([...present.values()].map(({ info }) => info.service));
            const read = (metric: observe.GaugeName, get: (service: string) => number | undefined) =>
                [...services].flatMap(service => {
                    const value = get(service);
                    return value === undefined ? [] : [{ metric, labels: { service }, value: Math.round(value) }];
                });
            return [
                ...read("worker_stay_ms", stays.getBeyondMs),
                ...read("simultaneous_loss_age_ms", service => losses.getAgeMs(service, time.now())),
            ];
        },
    };
}

/** Stored form of the section. */
interface StoredDepartures {
    readonly stays: Readonly<Record<string, readonly number[]>>;
    readonly losses: Readonly<Record<string, number>>;
}

/** Leaves out the stays of the last services if the text would be too long: a site rarely has more than a dozen. */
function encodeWithin(stored: StoredDepartures, maxBytes: number): string | undefined {
    const services = Object.keys(stored.stays);
    for (let count = services.length; count >= 0; count--) {
        const kept = services.slice(0, count).map((service): [string, readonly number[]] => [
            service,
            stored.stays[service]!,
        ]);
        const text = JSON.stringify({ ...stored, stays: Object.fromEntries(kept) });
        if (Buffer.byteLength(text) <= maxBytes) {
            return count === 0 && Object.keys(stored.losses).length === 0 ? undefined : text;
        }
    }
    return undefined;
}

function findSlowest(
    tasks: readonly entries.TaskEntry[],
    estimateTaskMs: LeavingWorkersOptions["estimateTaskMs"],
    now: number,
) {
    const ends = tasks.map(task => ({ task, end: getExpectedEnd(task, estimateTaskMs(task), now) }));
    return ends.reduce((slowest, item) => item.end.at > slowest.end.at ? item : slowest);
}

function getExpectedEnd(task: entries.TaskEntry, estimateMs: number, now: number): departures.ExpectedEnd {
    if (task.step.spec.lasting) {
        return { at: Infinity, basis: "estimate" };
    }
    if (task.phase !== "running") {
        return { at: now + estimateMs, basis: "estimate" };
    }
    return departures.getExpectedEnd({
        startedAt: task.runningSince,
        estimateMs,
        percent: task.percent,
        progressAt: task.lastProgressAt,
        recentRate: task.speed.recentRate,
        isResumed: task.saved !== "" || task.inherited,
    });
}

function hasLostLease(worker: entries.WorkerEntry, now: number, maxLeaseMs: number): boolean {
    return worker.unreachableSince !== undefined && now - worker.unreachableSince > maxLeaseMs;
}

function countByService(workers: Iterable<entries.WorkerEntry>): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { info: { service } } of workers) {
        counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return counts;
}

/** Writes at most `MAX_LINES_PER_SECOND`; the next line says how many were left out before it. */
function createLimitedLog(time: clock.Clock, log: observe.Log) {
    let windowStartedAt = -Infinity;
    let lines = 0;
    let omittedBefore = 0;
    return (event: string, fields: Readonly<Record<string, unknown>>) => {
        if (time.now() - windowStartedAt >= SECOND_MS) {
            windowStartedAt = time.now();
            lines = 0;
        }
        if (lines >= MAX_LINES_PER_SECOND) {
            omittedBefore++;
            return;
        }
        lines++;
        log.info(event, { ...fields, omittedBefore: omittedBefore || undefined });
        omittedBefore = 0;
    };
}

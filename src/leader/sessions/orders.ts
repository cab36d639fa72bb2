/** Sends the orders that the job registry requests, and follows each up until its outcome is certain. */
import type * as clock from "../../clock/index";
import type * as decisions from "../../decisions/index";
import type * as observe from "../../observe/index";
import * as crashHistory from "../crashHistory";
import type * as entries from "../entries";
import type * as jobRegistry from "../jobRegistry";
import * as workerLosses from "../losses/index";
import type * as placementFilter from "../placementFilter";
import * as leaseExpiry from "./leaseExpiry";
import * as reachabilityCheck from "./reachabilityCheck";
import * as startQueue from "./startQueue";
import type * as unansweredStarts from "./unansweredStarts";
import type * as port from "./workerPort";
import type * as workerSession from "./workerSession";

/** What the orders need from the term; the signal ends with the term. */
export interface OrdersOptions {
    readonly jobRegistry: jobRegistry.JobRegistry;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly signal: AbortSignal;
    getSession(worker: entries.WorkerEntry): workerSession.WorkerSession | undefined;
    mayIssueOrders(): boolean;
    /** Why tasks that were placed on the worker must not be started there any more; `undefined` if they may. */
    findStartObstacle(worker: entries.WorkerEntry): placementFilter.StartObstacle | undefined;
    readonly unansweredStarts: Pick<unansweredStarts.UnansweredStarts, "add">;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
}

/** Sends orders; no call waits for the outcome. */
export interface Orders {
    /** Starts tasks whose rows are stored. */
    start(placed: readonly startQueue.PlacedTask[]): void;
    /** Sends stop orders for a `stopping` task until its worker has accepted one. */
    stop(task: entries.TaskEntry): void;
    /** Throttles a running task to the given percentage of its full speed. */
    pace(task: entries.TaskEntry, percent: number): void;
    /** Stops a run that the worker lists and the job registry does not hold. */
    stopUnknownRun(worker: entries.WorkerEntry, reported: port.RunningTask): void;
    /** Stops the run of a task that is done. */
    stopObsolete(task: entries.TaskEntry): void;
    /** Stops the run, so that the worker refuses a delayed start order of it. */
    closeRun(worker: entries.WorkerEntry, task: string, run: number): void;
}

/** Quarantine after a refused start: a worker without capacity may have unknown runs, which its next poll lists. */
const REFUSAL_QUARANTINE_MS = 500;
const STOP_RETRY_MS = 200;
/**
 * How long the start of a task that may crash its worker is valid. A poll afterwards proves whether it was carried out,
 * and so whether a later loss of the worker counts against the task.
 */
const SUSPECT_START_VALID_MS = 500;
/**
 * Time after which an order without an answer is sent again. Orders name the run, so a worker that has carried out the
 * first one only confirms it.
 */
const FIRST_TIMEOUT_MS = 250;
/** Time to resolve a start without an answer, even if one poll is lost; gang members wait 3 s for each other. */
const UNANSWERED_TIMEOUT_MS = 1_000;

/**
 * Checks that the worker is reachable if the task may have crashed earlier ones. A start on a worker that is already
 * down would count as one more possible crash of the task.
 */
async function checkReachable(
    task: entries.TaskEntry,
    session: workerSession.WorkerSession,
): Promise<boolean> {
    return !crashHistory.mayHaveCrashedWorker(task.crashes)
        || session.ensureReachable(workerLosses.MAX_SUSPECT_START_SILENCE_MS);
}

/**
 * Whether the answer to a repeated start settles the first one too, at this incarnation of the worker. That one may
 * still be carried out where the worker refuses the second one or is not reached by it.
 */
function isConclusive(answer: port.OrderAnswer): boolean {
    return answer.kind === "accepted" || answer.kind === "otherLife";
}

/** Creates the orders of one term. */
export function createOrders(options: OrdersOptions): Orders {
    const { jobRegistry: jobs, clock: time, log, meter } = options;

    const startOne = async ({ task, run }: startQueue.PlacedTask) => {
        if (task.run !== run) {
            return;
        }
        const worker = task.worker;
        const session = worker && options.getSession(worker);
        const answers = !session || (worker.reachable && await checkReachable(task, session));
        if (task.worker !== worker || task.run !== run) {
            return;
        }
        const obstacle = worker && options.findStartObstacle(worker);
        const mayStart = answers && worker && session && options.mayIssueOrders() && obstacle === undefined;
        if (!mayStart || task.phase !== "recording") {
            if (worker && task.phase === "recording") {
                worker.quarantinedUntil = answers
                    ? worker.quarantinedUntil
                    : time.now() + reachabilityCheck.UNREACHABLE_QUARANTINE_MS;
                log.info("startWithdrawn", { task: task.name, run, worker: worker.id, answers, obstacle });
                jobs.revertPlacement(task);
            }
            return;
        }
        task.phase = "ordered";
        task.startTimedOutAt = undefined;
        task.orderedAt = time.now();
        const validMs = crashHistory.mayHaveCrashedWorker(task.crashes) ? SUSPECT_START_VALID_MS : undefined;
        task.startExpiresAt = leaseExpiry.getStartExpiresAt(task.orderedAt, validMs ?? Infinity);
        const { submission } = task.step.occurrence.job;
        const order = {
            task: task.name,
            run,
            payload: submission.spec.payload,
            saved: task.saved,
            ticket: task.step.tickets.get(worker.id)?.ticket,
        };
        const isRepeatable = validMs === undefined && !options.disabledMechanisms.has("repeatedOrders");
        const send = async (sendOptions?: { readonly validMs?: number; readonly timeoutMs?: number; }) => {
            const settle = options.unansweredStarts.add(worker.incarnation.name, { task: task.name, run });
            const answered = await session.start(order, sendOptions);
            settle(answered.kind !== "unknown");
            meter.increment("start_orders_total", { answer: answered.kind });
            return answered;
        };
        let answer = await send({ validMs, timeoutMs: isRepeatable ? FIRST_TIMEOUT_MS : undefined });
        const isOpen = () => task.worker === worker && task.run === run;
        const mayRepeat = () => task.phase === "ordered" && options.findStartObstacle(worker) === undefined;
        if (isRepeatable && answer.kind === "unknown" && isOpen() && mayRepeat()) {
            log.info("startRepeated", { task: task.name, run, worker: worker.id });
            const repeated = await send();
            answer = isConclusive(repeated) ? repeated : answer;
        }
        if (isOpen()) {
            handleStartAnswer(task, worker, answer);
        }
    };

    const handleStartAnswer = (task: entries.TaskEntry, worker: entries.WorkerEntry, answer: port.OrderAnswer) => {
        if (answer.kind === "accepted") {
            jobs.confirmRunning(task);
            return;
        }
        log.info("startNotConfirmed", {
            task: task.name,
            run: task.run,
            worker: worker.id,
            answer: answer.kind,
            reason: answer.kind === "refused" ? answer.reason : undefined,
            afterMs: Math.round(time.now() - task.orderedAt),
        });
        switch (answer.kind) {
            case "refused":
                if (answer.reason === "ticket") {
                    task.step.tickets.delete(worker.id);
                }
                else {
                    worker.quarantinedUntil = time.now() + REFUSAL_QUARANTINE_MS;
                }
                revertStart(task);
                break;
            case "unwell":
            case "unreachable":
                worker.quarantinedUntil = time.now() + reachabilityCheck.UNREACHABLE_QUARANTINE_MS;
                revertStart(task);
                break;
            case "unknown":
                if (task.phase === "ordered") {
                    void resolveUnanswered(task, worker);
                }
                break;
            case "otherLife":
                // The session has reported the worker as lost, which took the task back.
                break;
        }
    };

    /**
     * Resolves a start without an answer, which was often carried out all the same. A poll shows whether the run is
     * listed; if not, it is stopped, and the worker then refuses a delayed start order. Stopping at once would throw
     * away healthy runs whenever answers are slow.
     */
    const resolveUnanswered = async (task: entries.TaskEntry, worker: entries.WorkerEntry) => {
        const { run } = task;
        if (options.disabledMechanisms.has("unansweredLooks")) {
            jobs.requestStop(task, "startUnanswered");
            return;
        }
        task.startTimedOutAt = time.now();
        options.getSession(worker)?.pollNow();
        await time.sleep(UNANSWERED_TIMEOUT_MS, options.signal);
        if (task.run === run && task.phase === "ordered" && !options.signal.aborted) {
            jobs.requestStop(task, "startUnanswered");
        }
    };

    const revertStart = (task: entries.TaskEntry) => {
        // In the meantime a poll may have confirmed the run, or it may have been stopped.
        if (task.phase === "ordered" || task.phase === "stopping") {
            jobs.revertPlacement(task);
        }
    };

    const stopOne = async (task: entries.TaskEntry) => {
        const { run, worker } = task;
        const isOpen = () =>
            !options.signal.aborted && task.worker === worker && task.run === run
            && task.phase === "stopping" && task.stopAcceptedAt === undefined;
        log.info("stopWanted", { task: task.name, run, worker: worker?.id, reason: task.stopReason });
        let timeoutMs = options.disabledMechanisms.has("repeatedOrders") ? undefined : FIRST_TIMEOUT_MS;
        while (worker && isOpen()) {
            const session = options.getSession(worker);
            task.stopSentAt = time.now();
            const answer = session && options.mayIssueOrders()
                ? await session.stop({ task: task.name, run }, timeoutMs)
                : undefined;
            if (answer) {
                meter.increment("stop_orders_total", { answer: answer.kind });
            }
            if (!isOpen()) {
                return;
            }
            if (answer?.kind === "accepted" || (answer?.kind === "refused" && answer.reason !== "fence")) {
                // A refusal as old means that the run has ended. In both cases the run cannot begin any more.
                task.stopAcceptedAt = time.now();
                session?.pollNow();
                return;
            }
            if (timeoutMs !== undefined && answer?.kind === "unknown") {
                timeoutMs = undefined;
                continue;
            }
            await time.sleep(STOP_RETRY_MS, options.signal);
        }
    };

    const paceOne = async (task: entries.TaskEntry, percent: number) => {
        const { worker, run, pacePercent } = task;
        const session = worker && options.getSession(worker);
        if (!session || !options.mayIssueOrders()) {
            return;
        }
        task.pacePercent = percent;
        const answer = await session.pace({ task: task.name, run, percent });
        meter.increment("pace_orders_total", { answer: answer.kind });
        log.info("paced", { task: task.name, worker: worker.id, percent, before: pacePercent, answer: answer.kind });
        if (answer.kind !== "accepted" && task.run === run) {
            // The new pace may not be in effect: the next poll decides from the old one again.
            task.pacePercent = pacePercent;
        }
    };

    const closeRun = async (worker: entries.WorkerEntry, task: string, run: number) => {
        while (!options.signal.aborted) {
            const session = options.getSession(worker);
            if (!session) {
                return;
            }
            const answer = options.mayIssueOrders() ? await session.stop({ task, run }) : undefined;
            if (answer?.kind === "accepted" || answer?.kind === "refused" || answer?.kind === "otherLife") {
                return;
            }
            await time.sleep(STOP_RETRY_MS, options.signal);
        }
    };

    const stopObsolete = async (task: entries.TaskEntry) => {
        const { run, worker } = task;
        if (!worker) {
            return;
        }
        await closeRun(worker, task.name, run);
        if (task.worker === worker && task.run === run) {
            task.runningSince = time.now();
            options.getSession(worker)?.pollNow();
        }
    };

    const starts = startQueue.createStartQueue(startOne);
    return {
        stopObsolete: task => void stopObsolete(task),
        closeRun: (worker, task, run) => void closeRun(worker, task, run),
        pace: (task, percent) => void paceOne(task, percent),
        start: starts.add,
        stop: task => void stopOne(task),
        stopUnknownRun: (worker, reported) => {
            const session = options.getSession(worker);
            if (session && options.mayIssueOrders()) {
                void session.stop({ task: reported.task, run: reported.run });
            }
        },
    };
}

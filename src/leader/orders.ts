/** Gives the orders that the book wants, and sees each through to a certain outcome. */
import type * as clock from "../clock/index";
import type * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import * as crashHistory from "./crashHistory";
import type * as entries from "./entries";
import type * as book from "./jobRegistry";
import * as contact from "./reachabilityCheck";
import * as suspects from "./suspects";
import type * as port from "./workerPort";
import type * as workerSession from "./workerSession";

export interface OrdersOptions {
    readonly jobRegistry: book.JobRegistry;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly signal: AbortSignal;
    getSession(worker: entries.WorkerEntry): workerSession.WorkerSession | undefined;
    mayOrder(): boolean;
    /** Whether what was placed on the worker may still be started there. */
    mayStart(worker: entries.WorkerEntry): boolean;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
}

/** A task and the run for which its row is stored; by the time of the order it may be placed anew. */
export interface PlacedTask {
    readonly task: entries.TaskEntry;
    readonly run: number;
}

export interface Orders {
    /** Starts tasks whose rows are stored. */
    start(placed: readonly PlacedTask[]): void;
    /** Sees a `stopping` task through to its end. */
    stop(task: entries.TaskEntry): void;
    /** Tells a running task at which share of its speed it may work. */
    pace(task: entries.TaskEntry, percent: number): void;
    stopUnknownRun(worker: entries.WorkerEntry, told: port.RunningTask): void;
    /** Stops the run of a task that is done. */
    stopObsolete(task: entries.TaskEntry): void;
    /** After it the worker refuses that run, however late its start comes. */
    closeRun(worker: entries.WorkerEntry, task: string, run: number): void;
}

/** A worker that says it has no room holds something that we do not know; its next look tells. */
const NO_ROOM_ASIDE_MS = 500;
const STOP_RETRY_MS = 200;
/**
 * More starts at once only wait for our own processor, and their timeouts run meanwhile: a leader on a third of a core
 * stops sound runs whose answers it has not read in time.
 */
const MAX_STARTS_IN_FLIGHT = 32;
/** For a look that is lost as well; members of a gang wait 3 s for each other. */
const UNANSWERED_PATIENCE_MS = 1_000;

/** A start that never began, as its worker was down already, would look like one more crash under its task. */
async function findOutWhetherItAnswers(
    task: entries.TaskEntry,
    session: workerSession.WorkerSession,
): Promise<boolean> {
    return !crashHistory.mayHaveCrashedWorker(task.crashes)
        || session.ensureReachable(suspects.MAX_SUSPECT_START_SILENCE_MS);
}

export function createOrders(options: OrdersOptions): Orders {
    const { jobRegistry: taskBook, clock: time, log, meter } = options;

    const waiting: PlacedTask[] = [];
    let inFlight = 0;
    const startNext = () => {
        while (inFlight < MAX_STARTS_IN_FLIGHT) {
            const next = waiting.shift();
            if (!next) {
                return;
            }
            inFlight++;
            void startOne(next).then(() => {
                inFlight--;
                startNext();
            });
        }
    };
    const startOne = async ({ task, run }: PlacedTask) => {
        if (task.run !== run) {
            return;
        }
        const worker = task.worker;
        const session = worker && options.getSession(worker);
        const answers = !session || await findOutWhetherItAnswers(task, session);
        if (task.worker !== worker || task.run !== run) {
            return;
        }
        const mayStart = answers && worker && session && options.mayOrder() && options.mayStart(worker);
        if (!mayStart || task.phase !== "recording") {
            if (worker && task.phase === "recording") {
                worker.quarantinedUntil = answers
                    ? worker.quarantinedUntil
                    : time.now() + contact.UNREACHABLE_QUARANTINE_MS;
                log.info("startWithdrawn", { task: task.name, run, worker: worker.id, answers });
                taskBook.revertPlacement(task);
            }
            return;
        }
        task.phase = "ordered";
        task.startTimedOutAt = undefined;
        task.orderedAt = time.now();
        const { submission } = task.step.occurrence.job;
        const answer = await session.start({
            task: task.name,
            run,
            payload: submission.spec.payload,
            saved: task.saved,
            ticket: task.step.tickets.get(worker.id)?.ticket,
        });
        meter.increment("start_orders_total", { answer: answer.kind });
        if (task.worker !== worker || task.run !== run) {
            return;
        }
        takeStartAnswer(task, worker, answer);
    };

    const takeStartAnswer = (task: entries.TaskEntry, worker: entries.WorkerEntry, answer: port.OrderAnswer) => {
        if (answer.kind === "accepted") {
            taskBook.confirmRunning(task);
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
                    worker.quarantinedUntil = time.now() + NO_ROOM_ASIDE_MS;
                }
                takeBackStart(task);
                break;
            case "unwell":
            case "unreachable":
                worker.quarantinedUntil = time.now() + contact.UNREACHABLE_QUARANTINE_MS;
                takeBackStart(task);
                break;
            case "unknown":
                worker.unconfirmedStarts.set(task.name, task.run);
                if (task.phase === "ordered") {
                    void settleUnanswered(task, worker);
                }
                break;
            case "otherLife":
                // The session has reported the end of that life, which took the task back.
                break;
        }
    };

    /**
     * A start without an answer was often carried out all the same. A look tells: listed, the task goes on; not
     * listed, it is stopped, after which the worker refuses the order should it come late. Stopping at once threw
     * away sound work whenever answers were slow.
     */
    const settleUnanswered = async (task: entries.TaskEntry, worker: entries.WorkerEntry) => {
        const { run } = task;
        if (options.disabledMechanisms.has("unansweredLooks")) {
            taskBook.requestStop(task, "startUnanswered");
            return;
        }
        task.startTimedOutAt = time.now();
        options.getSession(worker)?.pollNow();
        await time.sleep(UNANSWERED_PATIENCE_MS, options.signal);
        if (task.run === run && task.phase === "ordered" && !options.signal.aborted) {
            taskBook.requestStop(task, "startUnanswered");
        }
    };

    const takeBackStart = (task: entries.TaskEntry) => {
        // A look may have confirmed or a request stopped it in the meantime; then that decides.
        if (task.phase === "ordered" || task.phase === "stopping") {
            taskBook.revertPlacement(task);
        }
    };

    const stopOne = async (task: entries.TaskEntry) => {
        const { run, worker } = task;
        const isOpen = () =>
            !options.signal.aborted && task.worker === worker && task.run === run
            && task.phase === "stopping" && task.stopAcceptedAt === undefined;
        log.info("stopWanted", { task: task.name, run, worker: worker?.id, reason: task.stopReason });
        while (worker && isOpen()) {
            const session = options.getSession(worker);
            const answer = session && options.mayOrder()
                ? await session.stop({ task: task.name, run })
                : undefined;
            if (answer) {
                meter.increment("stop_orders_total", { answer: answer.kind });
            }
            if (!isOpen()) {
                return;
            }
            if (answer?.kind === "accepted" || (answer?.kind === "refused" && answer.reason !== "fence")) {
                // Refused as old: the run has ended there. Either way the run cannot begin any more.
                task.stopAcceptedAt = time.now();
                session?.pollNow();
                return;
            }
            await time.sleep(STOP_RETRY_MS, options.signal);
        }
    };

    const paceOne = async (task: entries.TaskEntry, percent: number) => {
        const { worker, run, pacePercent } = task;
        const session = worker && options.getSession(worker);
        if (!session || !options.mayOrder()) {
            return;
        }
        task.pacePercent = percent;
        const answer = await session.pace({ task: task.name, run, percent });
        meter.increment("pace_orders_total", { answer: answer.kind });
        log.info("paced", { task: task.name, worker: worker.id, percent, before: pacePercent, answer: answer.kind });
        if (answer.kind !== "accepted" && task.run === run) {
            // Not known to hold: the next look decides from the old pace again.
            task.pacePercent = pacePercent;
        }
    };

    const closeRun = async (worker: entries.WorkerEntry, task: string, run: number) => {
        while (!options.signal.aborted) {
            const session = options.getSession(worker);
            if (!session) {
                return;
            }
            const answer = options.mayOrder() ? await session.stop({ task, run }) : undefined;
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

    return {
        stopObsolete: task => void stopObsolete(task),
        closeRun: (worker, task, run) => void closeRun(worker, task, run),
        pace: (task, percent) => void paceOne(task, percent),
        start: placed => {
            waiting.push(...placed);
            startNext();
        },
        stop: task => void stopOne(task),
        stopUnknownRun: (worker, told) => {
            const session = options.getSession(worker);
            if (session && options.mayOrder()) {
                void session.stop({ task: told.task, run: told.run });
            }
        },
    };
}

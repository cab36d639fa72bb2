/**
 * Calls the adviser for the steps that wait for tickets.
 *
 * The adviser handles one call of an instance at a time. Further calls would wait there, or for a free connection, while
 * their timeouts run: with enough of them each is given up before its answer, is sent anew behind the others, and no step
 * gets tickets any more. So one call is in flight, and the next one is chosen when it has ended.
 */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import type * as directory from "../directory";
import type * as entries from "../entries";
import type * as units from "../units";
import * as requestOrder from "./requestOrder";

export interface AdviceRequesterOptions {
    readonly adviser: directory.Adviser;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly signal: AbortSignal;
    /** Called when there are new tickets, and when the next call may be sent. */
    onTicketsChanged(): void;
}

/** Requests tickets for waiting steps. */
export interface AdviceRequester {
    /** Sends the next call, unless one is in flight or no step needs tickets. */
    requestAdvice(waiting: readonly units.UnitOfTasks[], placeable: readonly entries.WorkerEntry[]): void;
}

/** A ticket must still be valid when the start order reaches the worker. */
const TICKET_MARGIN_MS = 400;
const CALL_SLACK_MS = 1_500;
/** Pause after a call without a usable answer. */
const RETRY_MS = 300;
/**
 * Each call that times out doubles the timeout of the next one, up to this factor, and answers in less than half of the
 * timeout halve it: an adviser that is slower than the queue declares would otherwise work only on abandoned calls.
 */
const MAX_TIMEOUT_FACTOR = 4;

/** Creates a requester with at most one call in flight. */
export function createAdviceRequester(options: AdviceRequesterOptions): AdviceRequester {
    const { clock: time, log, meter } = options;
    const histories = new WeakMap<entries.StepEntry, { unsuitable: Set<string>; lastAskedAt: number | undefined; }>();
    let isCallInFlight = false;
    let turn: requestOrder.Turn = "mostUrgent";
    let timeoutFactor = 1;

    const getHistory = (step: entries.StepEntry) => {
        const known = histories.get(step) ?? { unsuitable: new Set<string>(), lastAskedAt: undefined };
        histories.set(step, known);
        return known;
    };
    const callAdviser = async ({ name, step, workers }: requestOrder.AdviceRequest) => {
        const { advice, name: queue } = step.occurrence.job.queue;
        const sentAt = time.now();
        const timeoutMs = timeoutFactor * (advice!.decideMs + advice!.eachMs * workers.length + CALL_SLACK_MS);
        getHistory(step).lastAskedAt = sentAt;
        const answer = await options.adviser.advise(name, workers.map(worker => worker.incarnation.name), timeoutMs);
        const tookMs = time.now() - sentAt;
        if (tookMs >= timeoutMs) {
            timeoutFactor = Math.min(MAX_TIMEOUT_FACTOR, 2 * timeoutFactor);
        }
        else if (answer.kind === "advised" && tookMs < timeoutMs / 2) {
            timeoutFactor = Math.max(1, timeoutFactor / 2);
        }
        meter.increment("advice_calls_total", { answer: answer.kind });
        meter.record("advice_call_duration_ms", { queue }, tookMs);
        // The queue may be configured without advice by the time of the answer.
        return { answer, sentAt, tookMs, usualValidMs: advice!.validMs };
    };
    const recordTickets = (
        { step, workers }: requestOrder.AdviceRequest,
        answer: Extract<directory.AdviceResult, { kind: "advised"; }>,
        { sentAt, usualValidMs }: { readonly sentAt: number; readonly usualValidMs: number; },
    ) => {
        const { unsuitable } = getHistory(step);
        workers.forEach(worker => unsuitable.add(worker.id));
        const idsByName = new Map(workers.map(worker => [worker.incarnation.name, worker.id]));
        for (const grant of answer.suitable) {
            const workerId = idsByName.get(grant.workerName);
            if (workerId === undefined) {
                continue;
            }
            unsuitable.delete(workerId);
            step.tickets.set(workerId, {
                ticket: grant.ticket,
                until: sentAt + (answer.validMs || usualValidMs) - TICKET_MARGIN_MS,
            });
        }
    };
    const request = async (next: requestOrder.AdviceRequest) => {
        const { answer, sentAt, tookMs, usualValidMs } = await callAdviser(next);
        if (options.signal.aborted) {
            return;
        }
        const waitedMs = Math.round(sentAt - next.waitingSince);
        switch (answer.kind) {
            case "advised":
                recordTickets(next, answer, { sentAt, usualValidMs });
                log.info("advised", {
                    step: next.name,
                    asked: next.workers.length,
                    good: answer.suitable.length,
                    waitedMs,
                    tookMs: Math.round(tookMs),
                });
                break;
            case "unavailable":
                log.info("adviceUnavailable", {
                    step: next.name,
                    why: answer.message,
                    waitedMs,
                    tookMs: Math.round(tookMs),
                });
                await time.sleep(RETRY_MS, options.signal);
                break;
        }
        isCallInFlight = false;
        options.onTicketsChanged();
    };

    return {
        requestAdvice: (waiting, placeable) => {
            if (isCallInFlight) {
                return;
            }
            const next = requestOrder.chooseRequest({
                now: time.now(),
                turn,
                waiting,
                placeable,
                getHistory: step => histories.get(step),
            });
            if (next) {
                isCallInFlight = true;
                turn = turn === "mostUrgent" ? "longestWaiting" : "mostUrgent";
                void request(next);
            }
        },
    };
}

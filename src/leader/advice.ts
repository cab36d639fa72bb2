/** Requests tickets from the adviser for queues whose tasks may start only on workers that the adviser allows. */
import type * as clock from "../clock/index";
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as directory from "./directory";
import type * as entries from "./entries";
import type * as units from "./units";

export interface AdviceRequesterOptions {
    readonly adviser: directory.Adviser;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly signal: AbortSignal;
    onTicketsChanged(): void;
}

/** Requests tickets for waiting steps. */
export interface AdviceRequester {
    /** Requests tickets for each step that waits and does not fit on the workers for which it holds valid tickets. */
    requestAdvice(waiting: readonly units.UnitOfTasks[], placeable: readonly entries.WorkerEntry[]): void;
}

/** Maximum workers per call: the adviser's response time grows with each, and a job's objective allows for 30. */
const WORKERS_PER_CALL = 30;
/** A ticket must still be valid when the start order reaches the worker. */
const TICKET_MARGIN_MS = 400;
const CALL_SLACK_MS = 1_500;
/** Delay before the next call for a step after a call without a usable answer. */
const RETRY_MS = 300;

/** Creates a requester with at most one call in flight for each step. */
export function createAdviceRequester(options: AdviceRequesterOptions): AdviceRequester {
    const pendingSteps = new Set<string>();
    /** Unsuitable workers by step. A worker's suitability for a step does not change. */
    const unsuitableByStep = new WeakMap<entries.StepEntry, Set<string>>();

    const requestTickets = async (name: string, step: entries.StepEntry, workers: readonly entries.WorkerEntry[]) => {
        const advice = step.occurrence.job.queue.advice!;
        const sentAt = options.clock.now();
        const timeoutMs = advice.decideMs + advice.eachMs * workers.length + CALL_SLACK_MS;
        const result = await options.adviser.advise(name, workers.map(worker => worker.incarnation.name), timeoutMs);
        if (options.signal.aborted) {
            return;
        }
        if (result.kind === "unavailable") {
            options.log.info("adviceUnavailable", { step: name, why: result.message });
            await options.clock.sleep(RETRY_MS, options.signal);
        }
        else {
            const unsuitable = unsuitableByStep.get(step) ?? new Set<string>();
            workers.forEach(worker => unsuitable.add(worker.id));
            const idsByName = new Map(workers.map(worker => [worker.incarnation.name, worker.id]));
            for (const grant of result.suitable) {
                const workerId = idsByName.get(grant.workerName);
                if (workerId === undefined) {
                    continue;
                }
                unsuitable.delete(workerId);
                step.tickets.set(workerId, {
                    ticket: grant.ticket,
                    until: sentAt + (result.validMs || advice.validMs) - TICKET_MARGIN_MS,
                });
            }
            unsuitableByStep.set(step, unsuitable);
            options.log.info("advised", { step: name, asked: workers.length, good: result.suitable.length });
        }
        pendingSteps.delete(name);
        options.onTicketsChanged();
    };

    return {
        requestAdvice: (waiting, placeable) => {
            const now = options.clock.now();
            for (const { unit, tasks } of waiting) {
                const step = tasks[0]!.step;
                if (!unit.allowedWorkerIds || pendingSteps.has(unit.step) || fitsOnTicketedWorkers(unit, placeable)) {
                    continue;
                }
                const bad = unsuitableByStep.get(step);
                const candidates = placeable
                    .filter(worker => worker.info.service === unit.service && !bad?.has(worker.id))
                    .filter(worker =>
                        unit.requiredLabel === undefined
                        || worker.info.labels.includes(unit.requiredLabel)
                    )
                    .filter(worker => (step.tickets.get(worker.id)?.until ?? 0) <= now)
                    .sort((a, b) => getFreeAccelerators(b) - getFreeAccelerators(a))
                    .slice(0, WORKERS_PER_CALL);
                if (candidates.length === 0) {
                    continue;
                }
                pendingSteps.add(unit.step);
                void requestTickets(unit.step, step, candidates);
            }
        },
    };
}

/** Whether the whole unit fits now on workers for which its step holds valid tickets. */
function fitsOnTicketedWorkers(unit: decisions.WaitingUnit, placeable: readonly entries.WorkerEntry[]): boolean {
    let members = 0;
    for (const worker of placeable) {
        if (unit.allowedWorkerIds!.has(worker.id) && !unit.excludedWorkerIds.has(worker.id)) {
            const free = decisions.copyResources(worker.info.capacity);
            decisions.subtractResources(free, worker.used);
            members += decisions.countFits(free, unit.needs);
        }
    }
    return members >= unit.count;
}

function getFreeAccelerators(worker: entries.WorkerEntry): number {
    return worker.info.capacity.accelerators - worker.used.accelerators;
}
